package ggsegress

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

// The ranks of peers, the first to be tried first.
const (
	rankProven = iota
	rankUntried
	rankFailing
)

// The distances of peers: bytes between failure domains and between regions are paid.
const (
	distanceDomain = iota
	distanceRegion
	distanceFar
)

// A rankedPeer is a peer with its keys for sorting.
type rankedPeer struct {
	ggscore.TunnelPeer
	rank, distance int
	tie            uint64
}

// ranked returns the peers in the order in which they are asked for a tunnel.
func (t *Table) ranked(now time.Time) []ggscore.TunnelPeer {
	rs := make([]rankedPeer, 0, len(t.peers))
	proven := 0
	salt := strconv.FormatUint(t.rng.Uint64(), 36)
	for _, p := range t.peers {
		r := rankedPeer{TunnelPeer: p.TunnelPeer, rank: p.rank(now), distance: t.distance(p.Domain), tie: xxhash.Sum64String(salt + string(p.VM))}
		if r.rank == rankProven {
			proven++
		}
		rs = append(rs, r)
	}
	explore := proven < maxProven && t.rng.Float64() < exploreShare
	slices.SortFunc(rs, func(a, b rankedPeer) int {
		return cmp.Or(cmp.Compare(a.order(explore), b.order(explore)), cmp.Compare(a.distance, b.distance), cmp.Compare(a.tie, b.tie))
	})
	ps := make([]ggscore.TunnelPeer, 0, maxPeersTried)
	for _, r := range rs[:min(len(rs), maxPeersTried)] {
		ps = append(ps, r.TunnelPeer)
	}
	return ps
}

// order returns the rank of a peer. To explore, untried peers come first.
func (r *rankedPeer) order(explore bool) int {
	if explore && r.rank == rankUntried {
		return rankProven - 1
	}
	return r.rank
}

func (t *Table) distance(d ggscore.Domain) int {
	switch {
	case d == t.options.Domain:
		return distanceDomain
	case t.options.Regions[d] == t.options.Regions[t.options.Domain]:
		return distanceRegion
	}
	return distanceFar
}

func (p *peer) rank(now time.Time) int {
	switch {
	case p.failing(now):
		return rankFailing
	case !p.provenAt.IsZero() && now.Sub(p.provenAt) < provenTTL:
		return rankProven
	}
	return rankUntried
}

func (p *peer) failing(now time.Time) bool {
	return !p.failedAt.IsZero() && now.Sub(p.failedAt) < peerFailureTTL
}
