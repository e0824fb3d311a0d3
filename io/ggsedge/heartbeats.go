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
	// heartbeatInterval is the time between heartbeats that go to each VM directly.
	heartbeatInterval = 150 * time.Millisecond
	// fullHoldingsInterval is the time after which the adapters held by each of this VM's
	// endpoints are all sent again, even if unchanged.
	fullHoldingsInterval = 900 * time.Millisecond
	// heartbeatDelay is the assumed delay of a heartbeat: a trip between regions and a relay.
	heartbeatDelay = 20 * time.Millisecond
	// summaryMaxAge is the age of the last relay summary up to which the contents of directly
	// received heartbeats aren't applied, because the summary already includes them.
	summaryMaxAge = time.Second
	// fleet stands for all VMs together in summaries that report the use of adapters.
	fleet ggscore.VMID = ""
)

// sendHeartbeats sends heartbeats to the peers, through relays in a large deployment.
func (e *Edge) sendHeartbeats(ctx context.Context) error {
	for pause(ctx, e.heartbeatInterval()) {
		e.crashes.Advance()
		h := e.heartbeat()
		if !e.usesRelays() {
			e.broadcast(h, ggscore.RelayRegions)
			continue
		}
		e.mu.Lock()
		countingRelay, vms := e.node.Report(e.Now(), h)
		to := e.addrs(vms)
		e.mu.Unlock()
		h.CountingRelay = countingRelay
		e.logUnsent(e.Peers.Send(h, to))
	}
	return nil
}

// sendSummaries sends summaries while this VM is a relay.
func (e *Edge) sendSummaries(ctx context.Context) error {
	for pause(ctx, e.summaryInterval()) {
		if !e.usesRelays() {
			continue
		}
		e.mu.Lock()
		ms, v, ok := e.node.Tick(e.Now(), e.ownerDomain)
		if ok {
			e.applyView(v)
		}
		to := make([][]netip.AddrPort, 0, len(ms))
		for _, m := range ms {
			to = append(to, e.addrs(m.To))
		}
		e.mu.Unlock()
		for i, m := range ms {
			e.logUnsent(e.Peers.SendSummary(m.Summary, to[i]))
		}
	}
	return nil
}

// idleTicks is the time between a VM's checks whether it has become a relay, as a multiple of
// the summary interval.
const idleTicks = 3

func (e *Edge) summaryInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.node.IsRelay(e.Now()) {
		return ggsrelay.RelayInterval
	}
	return idleTicks * ggsrelay.RelayInterval
}

// logUnsent logs a datagram that wasn't sent. The next datagram replaces it.
func (e *Edge) logUnsent(err error) {
	if err != nil {
		_ = level.Debug(e.Log).Log("event", ggslog.EventHeartbeatUnsent, "err", err)
	}
}

func (e *Edge) heartbeatInterval() time.Duration {
	if e.usesRelays() {
		return ggsrelay.ReportInterval
	}
	return heartbeatInterval
}

// usesRelays reports whether heartbeats go through relays.
func (e *Edge) usesRelays() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.node.UsesRelays()
}

// addrs returns the datagram addresses of VMs. Edge.mu is held.
func (e *Edge) addrs(vms []ggscore.VMID) []netip.AddrPort {
	as := make([]netip.AddrPort, 0, len(vms))
	for _, vm := range vms {
		if p := e.peers[vm]; p != nil {
			as = append(as, p.datagramAddr)
		}
	}
	return as
}

// ownerDomain returns the failure domain of an endpoint's owner, empty for none. Edge.mu is
// held.
func (e *Edge) ownerDomain(id ggscore.EndpointID) ggscore.Domain {
	vm := e.ownership.Owner(id)
	if vm == e.options.VM {
		return e.options.Domain
	}
	if p := e.peers[vm]; p != nil {
		return p.domain
	}
	return ""
}

// broadcast sends a heartbeat to each VM within reach.
func (e *Edge) broadcast(h ggscore.Heartbeat, reach ggscore.Relay) {
	for relay, addrs := range e.routes(reach, h.Sequence) {
		h.Relay = relay
		e.logUnsent(e.Peers.Send(h, addrs))
	}
}

// gossipSelf returns this VM as a member for ggsgossip.
func (e *Edge) gossipSelf() ggsgossip.Member {
	return ggsgossip.Member{VM: e.options.VM, Domain: e.options.Domain, Region: e.options.Regions[e.options.Domain]}
}

// gossipMembers returns the peers as members for ggsgossip. Edge.mu is held.
func (e *Edge) gossipMembers() []ggsgossip.Member {
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
	e.recency.Tick(now)
	e.sequence++
	e.setLoadable()
	e.turns.SetDecides(e.firstLiveVM() == e.options.VM)
	h := ggscore.Heartbeat{
		VM: e.options.VM, Sequence: e.sequence, Started: e.startedAt, Progress: e.progress(now),
		InFlight: e.table.ReportInFlight(), Holdings: e.holdings(now), Uses: e.ownUses(now),
	}
	h.Samples, h.Tallies = e.turns.DrainUnreported()
	h.Modes = e.turns.Modes()
	e.shareLimits()
	h.Limits, h.ShedLimits = e.limits.RecentLimits(now), e.limits.RecentShedLimits(now)
	h.Departures = e.table.Departures(now)
	return h
}

// progress returns how far this VM has read the store. Edge.mu is held.
func (e *Edge) progress(now time.Time) ggscore.StoreProgress {
	listedAt, digest := e.listProgress.Announcement()
	return ggscore.StoreProgress{
		Epoch:    e.epochs.current(),
		ListedAt: listedAt, ListDigest: digest, OperatorsAt: e.operatorsChangedAt,
		ListAge: min(now.Sub(e.listReadTime), time.Hour), OperatorsAge: min(now.Sub(e.operatorsReadTime), time.Hour),
		Config: e.configVersion(), Versions: e.versionSum,
	}
}

// holdings returns what this VM's endpoints hold. Unchanged holdings are included only every
// fullHoldingsInterval. Edge.mu is held.
func (e *Edge) holdings(now time.Time) []ggscore.Holding {
	full := now.Sub(e.lastFullHoldings) >= fullHoldingsInterval
	if full {
		e.lastFullHoldings = now
	}
	var hs []ggscore.Holding
	for id, w := range e.workers {
		if !w.ledger.Synced(now) {
			continue
		}
		h := ggscore.Holding{Endpoint: id, Waiting: w.ledger.Waiting(), FreeCapacity: w.ledger.FreeCapacity(now)}
		e.table.SetLoadCapacity(id, h.Waiting, h.FreeCapacity)
		if w.unreported || full {
			w.unreported = false
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

// receiveHeartbeat processes a peer's heartbeat.
func (e *Edge) receiveHeartbeat(from netip.AddrPort, h ggscore.Heartbeat) {
	if h.Relay > ggscore.RelayNone {
		e.broadcast(h, h.Relay)
	}
	if e.applyHeartbeat(from, h) {
		e.crashes.Greet(h.VM)
	}
}

// applyHeartbeat applies a peer's heartbeat. It reports whether the peer may have missed what this VM sent, because
// it was down or unreachable.
func (e *Edge) applyHeartbeat(from netip.AddrPort, h ggscore.Heartbeat) (back bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[h.VM]
	// Datagrams can arrive out of order. Those of a previous process may arrive after the first
	// datagram of the next one.
	if p == nil || h.Started < p.started || h.Started == p.started && h.Sequence <= p.sequence {
		return false
	}
	now := e.Now()
	h.Holdings = e.ownedHoldings(h.VM, h.Holdings)
	if e.node.UsesRelays() {
		if from != p.datagramAddr {
			e.metrics.reject(rejectedAddress)
			return false
		}
		e.node.Heartbeat(now, h)
	}
	back = h.Started != p.started || now.Sub(p.lastSeen) >= peerTimeout
	p.started, p.sequence, p.lastSeen = h.Started, h.Sequence, now
	if e.node.UsesRelays() && now.Sub(e.lastSummary) < summaryMaxAge {
		return back
	}
	e.applyProgress(now, h.VM, h.Progress)
	e.table.SetPeerInFlight(now, h.VM, h.InFlight)
	e.applyHoldings(now, h.Holdings)
	e.applyTurns(now, h.VM, h.Samples, h.Tallies, h.Modes)
	e.applySignals(now, h.Limits, h.ShedLimits, h.Departures)
	for _, u := range h.Uses {
		e.table.RecordRequests(now, u.Target, u.Count)
		e.applyUse(now, h.VM, u)
	}
	return back
}

// receiveSummary processes a relay's summary.
func (e *Edge) receiveSummary(from netip.AddrPort, s ggscore.Summary) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.peers[s.From]; p == nil || p.datagramAddr != from {
		e.metrics.reject(rejectedAddress)
		return
	}
	if v, ok := e.node.Summary(e.Now(), s); ok {
		e.applyView(v)
	}
}

// applyView applies the state that relays have summed over all VMs. Edge.mu is held.
func (e *Edge) applyView(v ggsrelay.View) {
	now := e.Now()
	e.lastSummary = now
	for _, vm := range v.VMs {
		if p := e.peers[vm]; p != nil {
			p.lastSeen = now
		}
	}
	e.applyProgress(now, fleet, v.Progress)
	if v.CountsValid {
		e.table.SetPeersInFlight(now, v.InFlight)
	}
	e.applyHoldings(now, v.Holdings)
	e.applyTurns(now, v.Decider, v.Samples, v.Tallies, v.Modes)
	e.applySignals(now, v.Limits, v.ShedLimits, v.Departures)
	for _, d := range v.Demand {
		e.table.RecordRequests(now, d.Target, d.Count)
	}
	for _, u := range v.Uses {
		e.applyUse(now, fleet, u)
	}
}

// ownedHoldings returns the holdings of endpoints that the VM owns, and drops its reports on
// other endpoints. Edge.mu is held.
func (e *Edge) ownedHoldings(vm ggscore.VMID, hs []ggscore.Holding) []ggscore.Holding {
	var own []ggscore.Holding
	for _, h := range hs {
		if e.ownership.Owner(h.Endpoint) == vm {
			own = append(own, h)
		}
	}
	return own
}

// applyProgress records how far a VM, or the fleet, has read the store. Edge.mu is held.
func (e *Edge) applyProgress(now time.Time, vm ggscore.VMID, n ggscore.StoreProgress) {
	e.epochs.observePeer(n.Epoch)
	e.recordNewer(now, vm, n)
	// A reading in an epoch that has ended gives no age for the current data.
	if n.Epoch == e.epochs.current() {
		if at := now.Add(-n.ListAge - heartbeatDelay); at.After(e.listObserved) {
			e.listObserved = at
		}
		if at := now.Add(-n.OperatorsAge - heartbeatDelay); at.After(e.operatorsObserved) {
			e.operatorsObserved = at
		}
	}
	if e.listProgress.ObservePeer(n.ListedAt, n.ListDigest) {
		notify(e.listNotified)
	}
	if e.operatorsRead.Before(n.OperatorsAt) {
		e.announceOperators(now, n.OperatorsAt)
		notify(e.operatorsNotified)
	}
}

// applyHoldings records what endpoints of other VMs hold. Edge.mu is held.
func (e *Edge) applyHoldings(now time.Time, hs []ggscore.Holding) {
	for _, h := range hs {
		if e.workers[h.Endpoint] != nil {
			continue
		}
		e.table.SetLoadCapacity(h.Endpoint, h.Waiting, h.FreeCapacity)
		if h.Whole {
			e.table.SetHeld(now, h.Endpoint, h.Held)
		}
	}
}

// applyTurns applies peers' measurements of prefill, and the turn modes of the VM
// that decides on them. Edge.mu is held.
func (e *Edge) applyTurns(
	now time.Time, vm ggscore.VMID, xs []ggscore.TurnSample, ys []ggscore.TurnTally, ms []ggscore.TurnMode,
) {
	for _, x := range xs {
		e.turns.AddSample(x)
	}
	for _, y := range ys {
		e.turns.AddTally(now, y)
	}
	if vm != e.firstLiveVM() || vm == e.options.VM {
		return
	}
	for _, m := range ms {
		e.turns.ApplyMode(now, m)
	}
}

// applyUse records whether a VM's requests use an adapter. Edge.mu is held.
func (e *Edge) applyUse(now time.Time, vm ggscore.VMID, u ggscore.Use) {
	w := e.workers[u.Endpoint]
	if w == nil {
		return
	}
	w.ledger.Use(now, u.Target, vm, u.Active)
	w.wake()
}

// firstLiveVM returns the live VM with the lowest ID, this one included. That VM decides on
// the turn modes. Edge.mu is held.
func (e *Edge) firstLiveVM() ggscore.VMID {
	first, now := e.options.VM, e.Now()
	for vm, p := range e.peers {
		if vm < first && now.Sub(p.lastSeen) < peerTimeout {
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
