package ggsegress

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

const (
	// evidenceWindow is the time within which a failed direct dial and a peer's connection to the
	// same endpoint count as one observation.
	evidenceWindow = 2 * time.Second
	// isolatedPaths is the number of broken paths, without a byte from any endpoint since the
	// first of them, from which all paths count as broken. One alone may be a fault near its
	// endpoint.
	isolatedPaths = 2
	// probeInterval is the time between direct dials to endpoints whose path is broken.
	probeInterval = time.Second
	// peerFailureTTL is how long a peer that opened no tunnel is tried after the others.
	peerFailureTTL = 2 * time.Second
	// maxProven bounds the peers that share this VM's tunnels. Below it, exploreShare of the
	// tunnels are opened through a peer that has not been tried yet.
	maxProven    = 4
	exploreShare = 0.25
	// provenTTL is how long a peer that opened a tunnel is preferred.
	provenTTL = 10 * time.Second
	// downMin and downMax bound the time for which no peer is asked about an endpoint that
	// neither this VM nor peers reached. The time doubles from one to the other.
	downMin = 300 * time.Millisecond
	downMax = time.Second
	// maxPeersTried bounds the peers of a Plan.
	maxPeersTried = 8
)

// Options configure a Table.
type Options struct {
	Domain  ggscore.Domain
	Regions map[ggscore.Domain]ggscore.Region
	Seed    uint64
}

// A Plan lists the routes to an endpoint, in the order in which to try them.
type Plan struct {
	// Direct is set if the direct route comes first. Otherwise only the peers are tried.
	Direct bool
	Peers  []ggscore.TunnelPeer
}

// A Table holds the state of this VM's paths to endpoints, and of the peers that open tunnels.
type Table struct {
	options Options
	rng     *rand.Rand
	paths   map[netip.AddrPort]*path
	peers   map[ggscore.VMID]*peer
	// endpoints are the known endpoints, and nextCheck and nextProbe are the indexes of those that
	// were checked and probed last.
	endpoints            []netip.AddrPort
	nextCheck, nextProbe int
	// isolated is set while no path works. lastDirect is when an endpoint was last known to be
	// reached directly.
	isolated   bool
	isolatedAt time.Time
	lastDirect time.Time
	lastProbe  time.Time
}

// A path is the state of the direct path to an endpoint.
type path struct {
	blocked      bool
	blockedAt    time.Time
	directFailed time.Time
	peerReached  time.Time
	downUntil    time.Time
	downFor      time.Duration
}

type peer struct {
	ggscore.TunnelPeer
	failedAt time.Time
	provenAt time.Time
}

// NewTable returns a Table in which all paths work.
func NewTable(o Options) *Table {
	return &Table{
		options: o, rng: rand.New(rand.NewPCG(o.Seed, 0)),
		paths: map[netip.AddrPort]*path{}, peers: map[ggscore.VMID]*peer{},
	}
}

// SetPeers replaces the peers that may open tunnels.
func (t *Table) SetPeers(ps []ggscore.TunnelPeer) {
	peers := make(map[ggscore.VMID]*peer, len(ps))
	for _, p := range ps {
		n := t.peers[p.VM]
		if n == nil || n.Addr != p.Addr {
			n = &peer{}
		}
		n.TunnelPeer = p
		peers[p.VM] = n
	}
	t.peers = peers
}

// SetEndpoints forgets the paths to all endpoints except the listed ones.
func (t *Table) SetEndpoints(addrs []netip.AddrPort) {
	t.endpoints = addrs
	for a := range t.paths {
		if !slices.Contains(addrs, a) {
			delete(t.paths, a)
		}
	}
}

// Plan returns the routes to an endpoint.
func (t *Table) Plan(now time.Time, addr netip.AddrPort) Plan {
	p := t.paths[addr]
	if t.Blocked(addr) {
		return Plan{Peers: t.ranked(now)}
	}
	if p != nil && now.Before(p.downUntil) {
		return Plan{Direct: true}
	}
	return Plan{Direct: true, Peers: t.ranked(now)}
}

// Blocked reports whether the endpoint can't be reached directly.
func (t *Table) Blocked(addr netip.AddrPort) bool {
	p := t.paths[addr]
	return t.isolated || p != nil && p.blocked
}

// Tunneled reports whether an idle tunnel to the endpoint is to be used: its path is broken, or a
// peer was faster than the direct dial that is still in progress or has failed.
func (t *Table) Tunneled(addr netip.AddrPort) bool {
	p := t.paths[addr]
	return t.Blocked(addr) || p != nil && !p.peerReached.IsZero()
}

// Isolated reports whether this VM reaches no endpoint directly.
func (t *Table) Isolated() bool { return t.isolated }

// BlockedCount returns the number of endpoints to which the path is known to be broken.
func (t *Table) BlockedCount() int {
	n := 0
	for _, p := range t.paths {
		if p.blocked {
			n++
		}
	}
	return n
}

// DirectConnected records a direct connection to an endpoint. This VM isn't isolated then. If the
// endpoint's path was broken, the cause is gone, and the other paths are tried again too.
func (t *Table) DirectConnected(now time.Time, addr netip.AddrPort) {
	t.lastDirect, t.isolated = now, false
	p := t.paths[addr]
	if p != nil && p.blocked {
		clear(t.paths)
	}
	delete(t.paths, addr)
}

// Received records that bytes arrived from an endpoint on a direct connection at the given time.
func (t *Table) Received(at time.Time) {
	if at.After(t.lastDirect) {
		t.lastDirect = at
	}
	if at.After(t.isolatedAt) {
		t.isolated = false
	}
}

// DirectFailed records that a direct dial failed.
func (t *Table) DirectFailed(now time.Time, addr netip.AddrPort) {
	p := t.path(addr)
	p.directFailed = now
	t.judge(now, p)
}

// PeerConnected records that a peer connected to an endpoint.
func (t *Table) PeerConnected(now time.Time, addr netip.AddrPort, vm ggscore.VMID) {
	if n := t.peers[vm]; n != nil {
		n.provenAt, n.failedAt = now, time.Time{}
	}
	p := t.path(addr)
	p.peerReached = now
	p.downUntil, p.downFor = time.Time{}, 0
	t.judge(now, p)
}

// PeerUnavailable records that a peer didn't answer, or opens no tunnels at present.
func (t *Table) PeerUnavailable(now time.Time, vm ggscore.VMID) {
	if n := t.peers[vm]; n != nil {
		n.failedAt = now
	}
}

// PeerFailed records that a peer failed to connect to an endpoint. Unless the peer has connected
// to others lately, its own paths may be broken.
func (t *Table) PeerFailed(now time.Time, vm ggscore.VMID) {
	if n := t.peers[vm]; n != nil && n.rank(now) != rankProven {
		n.failedAt = now
	}
}

// AllFailed records that neither this VM nor the peers that were asked reached an endpoint.
func (t *Table) AllFailed(now time.Time, addr netip.AddrPort) {
	p := t.path(addr)
	p.downFor = min(max(2*p.downFor, downMin), downMax)
	p.downUntil = now.Add(p.downFor)
}

// PeerAvailable reports whether a peer has not failed lately.
func (t *Table) PeerAvailable(now time.Time, vm ggscore.VMID) bool {
	p := t.peers[vm]
	return p != nil && !p.failing(now)
}

// NextProbe returns an endpoint to dial directly although its path is broken. The endpoints take
// turns.
func (t *Table) NextProbe(now time.Time) (netip.AddrPort, bool) {
	if now.Sub(t.lastProbe) < probeInterval {
		return netip.AddrPort{}, false
	}
	for range t.endpoints {
		t.nextProbe = (t.nextProbe + 1) % len(t.endpoints)
		if a := t.endpoints[t.nextProbe]; t.Blocked(a) {
			t.lastProbe = now
			return a, true
		}
	}
	return netip.AddrPort{}, false
}

// NextCheck returns an endpoint whose path is to be checked because another one is broken, and
// nothing has arrived from any endpoint since.
func (t *Table) NextCheck() (netip.AddrPort, bool) {
	if t.isolated || t.brokenSinceDirect() == 0 {
		return netip.AddrPort{}, false
	}
	for range t.endpoints {
		t.nextCheck = (t.nextCheck + 1) % len(t.endpoints)
		if a := t.endpoints[t.nextCheck]; !t.Blocked(a) {
			return a, true
		}
	}
	return netip.AddrPort{}, false
}

// judge blocks a path if its endpoint was reached by a peer and not by this VM.
func (t *Table) judge(now time.Time, p *path) {
	if now.Sub(p.directFailed) > evidenceWindow || now.Sub(p.peerReached) > evidenceWindow {
		return
	}
	if !p.blocked {
		p.blocked, p.blockedAt = true, now
	}
	if !t.isolated && t.brokenSinceDirect() >= isolatedPaths {
		t.isolated, t.isolatedAt = true, now
	}
}

// brokenSinceDirect returns the number of paths that broke after an endpoint was last known to be
// reached directly.
func (t *Table) brokenSinceDirect() int {
	broken := 0
	for _, p := range t.paths {
		if p.blocked && p.blockedAt.After(t.lastDirect) {
			broken++
		}
	}
	return broken
}

func (t *Table) path(addr netip.AddrPort) *path {
	p := t.paths[addr]
	if p == nil {
		p = &path{}
		t.paths[addr] = p
	}
	return p
}
