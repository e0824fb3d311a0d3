package ggsturn

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

const (
	// leastObserved is the number of a service's endpoints that are observed at least, and
	// observedShare the part of them where there are more.
	leastObserved = 8
	observedShare = 8
	// watchShare is the part of streams that are hurt from which all endpoints are observed,
	// and watchTime the time for which they are: well before prompts have to wait, and for
	// as long as they may have to again.
	watchShare = 0.05
	watchTime  = time.Minute
	// longWork is the work of a prompt from which others are to know of it at once: those
	// that are sent to the same endpoint meanwhile wait for all of it.
	longWork = 100 * time.Millisecond
)

// SetEndpoints takes the endpoints of a service of a large fleet, where announcing each
// turn to all VMs costs more than it gains. While prompts don't wait, turns are announced at
// some endpoints only, the same for all VMs, and streams there stand for all.
func (t *Table) SetEndpoints(s ggscore.Service, ids []ggscore.EndpointID) {
	ranked := slices.Clone(ids)
	slices.SortFunc(ranked, func(a, b ggscore.EndpointID) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
	})
	v := t.service(s)
	v.observed = map[ggscore.EndpointID]bool{}
	for _, id := range ranked[:min(max(leastObserved, len(ranked)/observedShare), len(ranked))] {
		v.observed[id] = true
	}
}

// knows reports whether the turns of all VMs at an endpoint are known.
func (v *service) knows(now time.Time, id ggscore.EndpointID) bool {
	return v.observed == nil || v.observed[id] || v.pauses.watched(now)
}

// watched reports whether prompts wait or may have to soon.
func (p *pauses) watched(now time.Time) bool {
	return p.waits || now.Before(p.watchUntil)
}

// watch has all endpoints observed for some time where too many streams are hurt.
func (p *pauses) watch(now time.Time) {
	if p.streams >= leastStreams && p.hurt >= watchShare*p.streams {
		p.watchUntil = now.Add(watchTime)
	}
}

// Announces reports whether a turn is announced to peers.
func (t *Table) Announces(now time.Time, n ggscore.PromptTurn) bool {
	v := t.service(n.Service)
	return v.knows(now, n.Endpoint) || v.usual(n.Tokens) >= longWork
}
