package ggsedge

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsgossip"
	"greengageslip/io/ggslog"
	"greengageslip/io/ggspeer"
)

const (
	// sameRegionDelay and crossRegionDelay are the propagation delays of a turn's notice to the
	// other VMs, if the endpoint is in this VM's region or in another one. They cover a trip of
	// 1 or 8 ms, a relay and a scheduling delay.
	sameRegionDelay  = 3 * time.Millisecond
	crossRegionDelay = 12 * time.Millisecond
	// maxTurnChecks bounds how often a request's turn is checked and replaced.
	maxTurnChecks = 3
)

// takeTurn takes a turn, which is a time slot for the request's prompt at the endpoint, and waits
// until the turn begins. It returns false if the caller left or the deadline passed before.
func (e *Edge) takeTurn(ctx context.Context, j *job, i ggscore.Instance) bool {
	if j.spec.Engine == nil || !e.options.Policy.On(ggscore.MechanismTurns) {
		return true
	}
	begun := e.Monotonic()
	for tries := 0; ; tries++ {
		n, wait := e.turn(j, i, tries)
		j.turn, j.turnWait = n, e.since(begun)
		if wait <= 0 {
			return true
		}
		if !pause(ctx, wait) {
			e.dropTurn(j)
			return false
		}
	}
}

// turn takes a turn for a request, or confirms its turn on later tries. It returns the turn and
// the time until it is due, zero if the request may be sent now.
func (e *Edge) turn(j *job, i ggscore.Instance, tries int) (ggscore.PromptTurn, time.Duration) {
	delay := sameRegionDelay
	if !e.sameRegion(i.Domain) {
		delay = crossRegionDelay
	}
	e.mu.Lock()
	now := e.Now()
	n, ok := j.turn, false
	if tries == 0 {
		n = e.turns.Take(now, j.service, i.ID, j.meta.PromptTokens, delay)
	} else if n, ok = e.turns.Confirm(now, n); tries >= maxTurnChecks {
		ok = true
	}
	announced := e.turns.Announces(now, n)
	e.mu.Unlock()
	if ok {
		return n, 0
	}
	wait := n.Begin.Sub(now)
	if !announced {
		return n, wait
	}
	e.announceTurn(n, ggspeer.Notice{Wait: max(wait, 0)})
	return n, wait
}

// sameRegion reports whether a failure domain is in this VM's region.
func (e *Edge) sameRegion(d ggscore.Domain) bool {
	return d == e.options.Domain || e.options.Regions[d] == e.options.Regions[e.options.Domain]
}

// dropTurn drops the turn of a request that its endpoint has not processed. Otherwise the turn
// would count as a pending prompt: other prompts would wait for it, and gaps in streams would
// be measured against a backlog that doesn't exist.
func (e *Edge) dropTurn(j *job) {
	if j.turn.Endpoint == "" {
		return
	}
	e.mu.Lock()
	e.turns.Drop(j.turn)
	announced := e.turns.Announces(e.Now(), j.turn)
	e.mu.Unlock()
	if announced {
		e.announceTurn(j.turn, ggspeer.Notice{Withdrawn: true})
	}
	j.turn = ggscore.PromptTurn{}
}

// announceTurn sends a notice of this VM's turn to the peers.
func (e *Edge) announceTurn(n ggscore.PromptTurn, w ggspeer.Notice) {
	w.VM, w.Number, w.Service, w.Endpoint, w.Tokens = n.VM, n.Number, n.Service, n.Endpoint, n.Tokens
	e.broadcastNotice(w, ggscore.RelayRegions)
}

// broadcastNotice sends a notice to each VM within reach.
func (e *Edge) broadcastNotice(n ggspeer.Notice, reach ggscore.Relay) {
	for relay, addrs := range e.routes(reach, n.Number) {
		n.Relay = relay
		if err := e.Peers.SendNotice(n, addrs); err != nil {
			_ = level.Debug(e.Log).Log("event", ggslog.EventHeartbeatUnsent, "err", err)
		}
	}
}

// routes returns the addresses to which this VM sends a message, grouped by the range within which
// the receivers relay it. reach is the range that the message has to cover.
func (e *Edge) routes(reach ggscore.Relay, sequence uint64) map[ggscore.Relay][]netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	to := map[ggscore.Relay][]netip.AddrPort{}
	for _, r := range ggsgossip.Routes(e.gossipSelf(), e.gossipMembers(), reach, sequence) {
		to[r.Relay] = append(to[r.Relay], e.peers[r.To].datagramAddr)
	}
	return to
}

// receiveNotice processes a peer's notice.
func (e *Edge) receiveNotice(n ggspeer.Notice) {
	if n.Relay > ggscore.RelayNone {
		e.broadcastNotice(n, n.Relay)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	t := ggscore.PromptTurn{
		VM: n.VM, Number: n.Number, Service: n.Service, Endpoint: n.Endpoint, Begin: now.Add(n.Wait), Tokens: n.Tokens,
	}
	if n.Withdrawn {
		e.turns.Drop(t)
		return
	}
	// A replaced turn keeps its number.
	e.turns.Drop(t)
	e.turns.Add(now, t)
}

// setTurnEndpoints sets the endpoints at which prompts are scheduled. Edge.mu is held.
func (e *Edge) setTurnEndpoints(list []ggscore.Instance) {
	ids := map[ggscore.Service][]ggscore.EndpointID{}
	for _, i := range list {
		ids[i.Service] = append(ids[i.Service], i.ID)
	}
	for s, l := range ids {
		e.turns.SetEndpoints(s, l)
	}
}
