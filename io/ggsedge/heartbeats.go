package ggsedge

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsgossip"
	"greengageslip/core/ggsrelay"
	"greengageslip/io/ggslog"
)

const (
	// heartbeatInterval is the time between heartbeats that go to each VM.
	heartbeatInterval = 150 * time.Millisecond
	// wholeInterval is the time after which all that endpoints hold is told, changed or not.
	wholeInterval = 900 * time.Millisecond
	// heartbeatDelay is taken for a heartbeat's way: a trip between regions, and a relay.
	heartbeatDelay = 20 * time.Millisecond
	// summaryAge is the age of the last summary up to which heartbeats that arrive directly
	// are left out of the counts: a relay's summaries count them.
	summaryAge = time.Second
	// fleet stands for all VMs together where a summary says who uses an adapter.
	fleet ggscore.VMID = ""
)

// sendHeartbeats sends heartbeats to the peers, through relays where there are many.
func (e *Edge) sendHeartbeats(ctx context.Context) error {
	for pause(ctx, e.heartbeatInterval()) {
		h := e.heartbeat()
		if !e.large() {
			e.spread(h, ggscore.RelayRegions)
			continue
		}
		e.mu.Lock()
		carrier, vms := e.node.Report(e.Now(), h)
		to := e.addrs(vms)
		e.mu.Unlock()
		h.CountingRelay = carrier
		e.sent(e.Peers.Send(h, to))
	}
	return nil
}

// sendSummaries sends summaries while this VM is a relay.
func (e *Edge) sendSummaries(ctx context.Context) error {
	for pause(ctx, e.summaryInterval()) {
		if !e.large() {
			continue
		}
		e.mu.Lock()
		ms, v, ok := e.node.Tick(e.Now(), e.controllerDomain)
		if ok {
			e.adoptView(v)
		}
		to := make([][]netip.AddrPort, 0, len(ms))
		for _, m := range ms {
			to = append(to, e.addrs(m.To))
		}
		e.mu.Unlock()
		for i, m := range ms {
			e.sent(e.Peers.SendSummary(m.Summary, to[i]))
		}
	}
	return nil
}

// idleTicks is the time between looks of a VM whether it has become a relay, in summaries.
const idleTicks = 3

func (e *Edge) summaryInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.node.IsRelay(e.Now()) {
		return ggsrelay.RelayInterval
	}
	return idleTicks * ggsrelay.RelayInterval
}

// sent logs a datagram that couldn't be sent. The next one makes up for it.
func (e *Edge) sent(err error) {
	if err != nil {
		_ = level.Debug(e.Log).Log("event", ggslog.EventBeatUnsent, "err", err)
	}
}

func (e *Edge) heartbeatInterval() time.Duration {
	if e.large() {
		return ggsrelay.ReportInterval
	}
	return heartbeatInterval
}

// large reports whether heartbeats go through relays.
func (e *Edge) large() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.node.UsesRelays()
}

// addrs returns where VMs receive datagrams. Edge.mu is held.
func (e *Edge) addrs(vms []ggscore.VMID) []netip.AddrPort {
	as := make([]netip.AddrPort, 0, len(vms))
	for _, vm := range vms {
		if p := e.peers[vm]; p != nil {
			as = append(as, p.beats)
		}
	}
	return as
}

// controllerDomain returns the domain of the VM that gives an endpoint its orders, empty
// where none does. Edge.mu is held.
func (e *Edge) controllerDomain(id ggscore.EndpointID) ggscore.Domain {
	vm := e.keeper.Owner(id)
	if vm == e.options.VM {
		return e.options.Domain
	}
	if p := e.peers[vm]; p != nil {
		return p.domain
	}
	return ""
}

// spread sends a heartbeat to each VM, as far as the relay says.
func (e *Edge) spread(h ggscore.Heartbeat, reach ggscore.Relay) {
	for relay, addrs := range e.routes(reach, h.Sequence) {
		h.Relay = relay
		e.sent(e.Peers.Send(h, addrs))
	}
}

// self returns this VM's place.
func (e *Edge) self() ggsgossip.Member {
	return ggsgossip.Member{VM: e.options.VM, Domain: e.options.Domain, Region: e.options.Regions[e.options.Domain]}
}

// members returns the peers' places. Edge.mu is held.
func (e *Edge) members() []ggsgossip.Member {
	ms := make([]ggsgossip.Member, 0, len(e.peers))
	for vm, p := range e.peers {
		ms = append(ms, ggsgossip.Member{VM: vm, Domain: p.domain, Region: p.region})
	}
	return ms
}

// heartbeat returns the next heartbeat.
func (e *Edge) heartbeat() ggscore.Heartbeat {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	e.sequence++
	e.setLoadable()
	e.turns.SetDecides(e.firstHeard() == e.options.VM)
	h := ggscore.Heartbeat{
		VM: e.options.VM, Sequence: e.sequence, Started: e.startedAt, Progress: e.news(now),
		InFlight: e.table.ReportInFlight(), Holdings: e.holdings(now), Uses: e.ownUses(now),
	}
	h.Samples, h.Tallies = e.turns.DrainUnreported()
	h.Modes = e.turns.Modes()
	e.shareLimits(now)
	h.Limits = e.limits.Known(now)
	h.Departures = e.table.Departures()
	return h
}

// news returns how far this VM read the store. Edge.mu is held.
func (e *Edge) news(now time.Time) ggscore.StoreProgress {
	return ggscore.StoreProgress{
		Epoch:    e.epochs.current(),
		ListedAt: e.listedAt, OperatedAt: e.operatedAt,
		ListAge: min(now.Sub(e.listReadTime), time.Hour), OperatorsAge: min(now.Sub(e.operatorsReadTime), time.Hour),
		Config: e.configVersion(), Versions: e.versionSum,
	}
}

// holdings returns what the endpoints hold that get their orders from this VM. What hasn't
// changed is told whole only now and then. Edge.mu is held.
func (e *Edge) holdings(now time.Time) []ggscore.Holding {
	whole := now.Sub(e.lastWhole) >= wholeInterval
	if whole {
		e.lastWhole = now
	}
	var hs []ggscore.Holding
	for id, w := range e.workers {
		if !w.ledger.Synced(now) {
			continue
		}
		h := ggscore.Holding{Endpoint: id, Waiting: w.ledger.Waiting(), Room: w.ledger.FreeCapacity(now)}
		e.table.SetLoadCapacity(id, h.Waiting, h.Room)
		if w.untold || whole {
			w.untold = false
			h.Held, h.Whole = w.ledger.Resident(), true
		}
		hs = append(hs, h)
	}
	return hs
}

// ownUses returns the adapters that this VM's requests use. Edge.mu is held.
func (e *Edge) ownUses(now time.Time) []ggscore.Use {
	var us []ggscore.Use
	for u, n := range e.uses {
		us = append(us, ggscore.Use{Endpoint: u.endpoint, Target: u.target, Count: n.sent, Active: n.active > 0})
		if n.sent = 0; n.active <= 0 {
			delete(e.uses, u)
		}
		if w := e.workers[u.endpoint]; w != nil {
			w.ledger.Use(now, u.target, e.options.VM, n.active > 0)
		}
	}
	return us
}

// receiveHeartbeat takes a peer's heartbeat.
func (e *Edge) receiveHeartbeat(from netip.AddrPort, h ggscore.Heartbeat) {
	if h.Relay > ggscore.RelayNone {
		e.spread(h, h.Relay)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[h.VM]
	// Datagrams overtake each other, and those of an earlier process may come
	// after the first of the next.
	if p == nil || h.Started < p.started || h.Started == p.started && h.Sequence <= p.sequence {
		return
	}
	now := e.Now()
	h.Holdings = e.controlled(h.VM, h.Holdings)
	if e.node.UsesRelays() {
		if from != p.beats {
			e.metrics.reject(rejectedAddress)
			return
		}
		e.node.Heartbeat(now, h)
	}
	p.started, p.sequence, p.heard = h.Started, h.Sequence, now
	if e.node.UsesRelays() && now.Sub(e.summarized) < summaryAge {
		return
	}
	e.adoptNews(now, h.VM, h.Progress)
	e.table.SetPeerInFlight(now, h.VM, h.InFlight)
	e.adoptHoldings(now, h.Holdings)
	e.adoptTurns(now, h.VM, h.Samples, h.Tallies, h.Modes)
	e.adoptSignals(now, h.Limits, h.Departures)
	for _, u := range h.Uses {
		e.table.RecordRequests(now, u.Target, u.Count)
		e.used(now, h.VM, u)
	}
}

// receiveSummary takes a relay's summary.
func (e *Edge) receiveSummary(from netip.AddrPort, s ggscore.Summary) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.peers[s.From]; p == nil || p.beats != from {
		e.metrics.reject(rejectedAddress)
		return
	}
	if v, ok := e.node.Summary(e.Now(), s); ok {
		e.adoptView(v)
	}
}

// adoptView takes the sum over all VMs. Edge.mu is held.
func (e *Edge) adoptView(v ggsrelay.View) {
	now := e.Now()
	e.summarized = now
	for _, vm := range v.VMs {
		if p := e.peers[vm]; p != nil {
			p.heard = now
		}
	}
	e.adoptNews(now, fleet, v.Progress)
	if v.CountsValid {
		e.table.SetPeersInFlight(now, v.InFlight)
	}
	e.adoptHoldings(now, v.Holdings)
	e.adoptTurns(now, v.Decider, v.Samples, v.Tallies, v.Modes)
	e.adoptSignals(now, v.Limits, v.Departures)
	for _, d := range v.Demand {
		e.table.RecordRequests(now, d.Target, d.Count)
	}
	for _, u := range v.Uses {
		e.used(now, fleet, u)
	}
}

// controlled returns the holdings of endpoints that get their orders from the VM. What another
// VM says of them is left out. Edge.mu is held.
func (e *Edge) controlled(vm ggscore.VMID, hs []ggscore.Holding) []ggscore.Holding {
	var own []ggscore.Holding
	for _, h := range hs {
		if e.keeper.Owner(h.Endpoint) == vm {
			own = append(own, h)
		}
	}
	return own
}

// adoptNews takes how far a VM or the fleet read the store. Edge.mu is held.
func (e *Edge) adoptNews(now time.Time, vm ggscore.VMID, n ggscore.StoreProgress) {
	e.epochs.learn(n.Epoch)
	e.noteNewer(now, vm, n)
	// What was read in an epoch that has ended is no reading of the store.
	if n.Epoch == e.epochs.current() {
		if at := now.Add(-n.ListAge - heartbeatDelay); at.After(e.listObserved) {
			e.listObserved = at
		}
		if at := now.Add(-n.OperatorsAge - heartbeatDelay); at.After(e.operatorsObserved) {
			e.operatorsObserved = at
		}
	}
	e.listAnnounced = e.listAnnounced.Max(n.ListedAt)
	if e.listRead.Before(n.ListedAt) {
		notify(e.listNotified)
	}
	if e.operatorsRead.Before(n.OperatedAt) {
		e.announceOperators(now, n.OperatedAt)
		notify(e.operatorsNotified)
	}
}

// adoptHoldings takes what endpoints hold. Edge.mu is held.
func (e *Edge) adoptHoldings(now time.Time, hs []ggscore.Holding) {
	for _, h := range hs {
		if e.workers[h.Endpoint] != nil {
			continue
		}
		e.table.SetLoadCapacity(h.Endpoint, h.Waiting, h.Room)
		if h.Whole {
			e.table.SetHeld(now, h.Endpoint, h.Held)
		}
	}
}

// adoptTurns takes what others learnt of how endpoints read, and the modes of the VM that
// decides them. Edge.mu is held.
func (e *Edge) adoptTurns(
	now time.Time, vm ggscore.VMID, xs []ggscore.TurnSample, ys []ggscore.TurnTally, ms []ggscore.TurnMode,
) {
	for _, x := range xs {
		e.turns.AddSample(x)
	}
	for _, y := range ys {
		e.turns.AddTally(now, y)
	}
	if vm != e.firstHeard() || vm == e.options.VM {
		return
	}
	for _, m := range ms {
		e.turns.ApplyMode(now, m)
	}
}

// used notes what a VM's requests do with an adapter. Edge.mu is held.
func (e *Edge) used(now time.Time, vm ggscore.VMID, u ggscore.Use) {
	w := e.workers[u.Endpoint]
	if w == nil {
		return
	}
	w.ledger.Use(now, u.Target, vm, u.Active)
	w.wake()
}

// firstHeard returns the first of the VMs that are heard, this one counted. Edge.mu is
// held.
func (e *Edge) firstHeard() ggscore.VMID {
	first, now := e.options.VM, e.Now()
	for vm, p := range e.peers {
		if vm < first && now.Sub(p.heard) < peerLiveness {
			first = vm
		}
	}
	return first
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
