package ggsedge

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggspermit"
	"greengageslip/io/ggslog"
)

const (
	// permitTick is the time between checks of this VM's permits, and of those that it issues.
	permitTick = 100 * time.Millisecond
	// maxPermitAsks bounds the endpoints for which a request asks for a permit.
	maxPermitAsks = 3
	// permitWaitShare is the share of a route's target latency, or else of its timeout, that a request may
	// wait for a permit.
	permitWaitShare = 0.25
	// permitAskTimeout is the time without a decision after which an ask is sent again. It covers a round
	// trip between regions and scheduling delays.
	permitAskTimeout = 50 * time.Millisecond
	// maxUnansweredAsks is the number of asks without any decision after which an issuer counts as
	// unreachable, and its endpoints as saturated for unreachableIssuerPause.
	maxUnansweredAsks      = 4
	unreachableIssuerPause = 300 * time.Millisecond
	// permitRetrySpread spreads the return of refused callers.
	permitRetrySpread = 300 * time.Millisecond
)

// Outcomes of asks in metrics and logs.
const (
	permitGranted     = "granted"
	permitRefused     = "refused"
	permitMisdirected = "misdirected"
	permitUnanswered  = "unanswered"
)

// A permitMessage is a decision that is to be sent to a peer.
type permitMessage struct {
	to netip.AddrPort
	ggscore.PermitDecision
}

// beginRequest numbers a request that is about to be sent to an endpoint. Edge.mu is held.
func (e *Edge) beginRequest(j *job, id ggscore.EndpointID) {
	j.permit, j.rejected = e.holder.Begin(id), false
}

// acquirePermit waits for a permit for the request, if the endpoint is shed-limited. Without one, it
// returns a *PermitError or the context's cause.
func (e *Edge) acquirePermit(ctx context.Context, j *job, i ggscore.Instance) error {
	e.mu.Lock()
	now := e.Now()
	e.beginRequest(j, i.ID)
	if !e.needsPermit(now, i.Service) {
		e.mu.Unlock()
		return nil
	}
	j.permitAsks++
	issuer := e.permitIssuer(&i, e.permitMembers())
	a := ggscore.PermitAsk{ID: j.permit, Endpoint: i.ID, Priority: j.route.Priority, MaxWait: e.maxPermitWait(j)}
	decisions := make(chan ggscore.PermitDecision, 1)
	e.asks[a.ID] = decisions
	e.holder.Asked(now, a.ID, issuer)
	e.table.PermitAsked(i.ID)
	e.mu.Unlock()
	begun := e.Monotonic()
	d, answered := e.awaitPermit(ctx, a, issuer, decisions)
	e.mu.Lock()
	delete(e.asks, a.ID)
	e.table.PermitDecided(i.ID)
	outcome := permitOutcome(d, answered && (d.Outcome != ggscore.PermitGranted || e.holder.Granted(e.Now(), a.ID)))
	if outcome != permitGranted && ctx.Err() == nil {
		e.table.RecordSaturated(e.Now(), i.ID, saturation(d, outcome))
	}
	e.mu.Unlock()
	if outcome == permitGranted {
		j.permitWait += e.since(begun)
		e.metrics.permits.WithLabelValues(outcome).Inc()
		return nil
	}
	e.endRequest(j, i.ID)
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	e.metrics.permits.WithLabelValues(outcome).Inc()
	_ = level.Info(e.Log).Log("event", ggslog.EventPermitRefused, "request", j.meta.ID, "endpoint", i.ID, "issuer", issuer,
		"outcome", outcome, "waited", e.since(begun), "retryAfter", d.RetryAfter)
	spread := time.Duration(rand.Int64N(int64(permitRetrySpread)))
	return &PermitError{Endpoint: i.ID, Outcome: outcome, RetryAfter: max(d.RetryAfter, refusedRetryAfter) + spread}
}

// maxPermitWait returns how long a request may wait for a permit.
func (e *Edge) maxPermitWait(j *job) time.Duration {
	share := time.Duration(permitWaitShare * float64(cmp.Or(j.route.Target, j.timeout)))
	return min(share, j.deadline.Sub(e.Monotonic()), ggspermit.MaxWait)
}

// permitOutcome returns the outcome of an ask. answered is false if no decision arrived in time.
func permitOutcome(d ggscore.PermitDecision, answered bool) string {
	switch {
	case !answered:
		return permitUnanswered
	case d.Outcome == ggscore.PermitGranted:
		return permitGranted
	case d.Outcome == ggscore.PermitMisdirected:
		return permitMisdirected
	}
	return permitRefused
}

// saturation returns the time for which this VM asks for no permit of an endpoint after an ask without
// success.
func saturation(d ggscore.PermitDecision, outcome string) time.Duration {
	if outcome == permitRefused {
		return ggspermit.AskAgainAfter(d)
	}
	return unreachableIssuerPause
}

// awaitPermit sends an ask until its final decision arrives. It returns false if none does, or if the context
// ends.
func (e *Edge) awaitPermit(
	ctx context.Context, a ggscore.PermitAsk, issuer ggscore.VMID, decisions <-chan ggscore.PermitDecision,
) (d ggscore.PermitDecision, answered bool) {
	begun := e.Monotonic()
	t := time.NewTicker(permitAskTimeout)
	defer t.Stop()
	for unanswered := 0; ; {
		e.sendAsk(a, issuer)
		unanswered++
		for waiting := true; waiting; {
			select {
			case d := <-decisions:
				if d.Outcome != ggscore.PermitWaiting {
					return d, true
				}
				unanswered = 0
			case <-t.C:
				waiting = false
			case <-ctx.Done():
				return ggscore.PermitDecision{}, false
			}
		}
		if unanswered >= maxUnansweredAsks || e.since(begun) > a.MaxWait+maxUnansweredAsks*permitAskTimeout {
			return ggscore.PermitDecision{}, false
		}
	}
}

// needsPermit reports whether requests to the endpoints of a service need permits. Edge.mu is held.
func (e *Edge) needsPermit(now time.Time, s ggscore.Service) bool {
	return e.options.Policy.On(ggscore.MechanismPermits) && e.limits.ShedLimited(now, s)
}

// permitMembers returns the live VMs, this one included. Edge.mu is held.
func (e *Edge) permitMembers() []ggspermit.Member {
	ms := []ggspermit.Member{{VM: e.options.VM, Domain: e.options.Domain, Region: e.options.Regions[e.options.Domain]}}
	for _, vm := range e.livePeersLocked() {
		p := e.peers[vm]
		ms = append(ms, ggspermit.Member{VM: vm, Domain: p.domain, Region: p.region})
	}
	return ms
}

// permitIssuer returns the VM that issues permits for an endpoint. Edge.mu is held.
func (e *Edge) permitIssuer(i *ggscore.Instance, ms []ggspermit.Member) ggscore.VMID {
	return ggspermit.IssuerOf(i.ID, i.Domain, e.options.Regions[i.Domain], ms)
}

// sendAsk sends an ask to its issuer, which may be this VM.
func (e *Edge) sendAsk(a ggscore.PermitAsk, issuer ggscore.VMID) {
	if issuer == e.options.VM {
		e.issue(func(now time.Time) []ggscore.PermitDecision { return e.issuer.Ask(now, a) })
		return
	}
	e.sendPermit(issuer, func(to netip.AddrPort) error { return e.Peers.SendPermitAsk(a, to) })
}

// sendPermit sends a message about permits to a peer.
func (e *Edge) sendPermit(vm ggscore.VMID, send func(netip.AddrPort) error) {
	e.mu.Lock()
	p := e.peers[vm]
	e.mu.Unlock()
	if p != nil {
		e.logUnsent(send(p.datagramAddr))
	}
}

// issue has the issuer process a message, and sends the decisions that follow.
func (e *Edge) issue(process func(now time.Time) []ggscore.PermitDecision) {
	e.mu.Lock()
	ms := e.deliverDecisions(process(e.Now()))
	e.mu.Unlock()
	e.sendDecisions(ms)
}

// deliverDecisions delivers the decisions on this VM's own asks, and returns the others. Edge.mu is held.
func (e *Edge) deliverDecisions(ds []ggscore.PermitDecision) []permitMessage {
	var ms []permitMessage
	for _, d := range ds {
		if d.ID.VM == e.options.VM {
			ms = append(ms, e.decided(d)...)
		} else if p := e.peers[d.ID.VM]; p != nil {
			ms = append(ms, permitMessage{to: p.datagramAddr, PermitDecision: d})
		}
	}
	return ms
}

// decided passes a decision to the request that waits for it. A permit of this VM's own that came too late is
// released. Edge.mu is held.
func (e *Edge) decided(d ggscore.PermitDecision) []permitMessage {
	c := e.asks[d.ID]
	if c == nil {
		if d.Outcome == ggscore.PermitGranted {
			return e.deliverDecisions(e.issuer.Release(e.Now(), ggscore.PermitRelease{ID: d.ID, Endpoint: d.Endpoint}))
		}
		return nil
	}
	if d.Outcome != ggscore.PermitWaiting {
		// A final decision replaces one that the request has not received yet.
		select {
		case <-c:
		default:
		}
	}
	select {
	case c <- d:
	default:
	}
	return nil
}

func (e *Edge) sendDecisions(ms []permitMessage) {
	for _, m := range ms {
		e.logUnsent(e.Peers.SendPermitDecision(m.PermitDecision, m.to))
	}
}

// endRequest records that a request has ended at an endpoint, or wasn't sent there, and releases its permit.
func (e *Edge) endRequest(j *job, id ggscore.EndpointID) {
	e.mu.Lock()
	issuer := e.holder.End(e.Now(), j.permit)
	e.mu.Unlock()
	r := ggscore.PermitRelease{ID: j.permit, Endpoint: id, Rejected: j.rejected}
	switch issuer {
	case "":
	case e.options.VM:
		e.issue(func(now time.Time) []ggscore.PermitDecision { return e.issuer.Release(now, r) })
	default:
		e.sendPermit(issuer, func(to netip.AddrPort) error { return e.Peers.SendPermitRelease(r, to) })
	}
}

// maintainPermits renews this VM's permits, and expires those that it issues, until the context ends.
func (e *Edge) maintainPermits(ctx context.Context) error {
	for pause(ctx, permitTick) {
		e.mu.Lock()
		ms, rs := e.advancePermits(e.Now())
		e.mu.Unlock()
		e.sendDecisions(ms)
		for _, r := range rs {
			if r.Issuer == e.options.VM {
				e.issue(func(now time.Time) []ggscore.PermitDecision { return e.issuer.Renew(now, r.PermitRenewal) })
				continue
			}
			e.sendPermit(r.Issuer, func(to netip.AddrPort) error { return e.Peers.SendPermitRenewal(r.PermitRenewal, to) })
		}
	}
	return nil
}

// advancePermits returns the decisions and renewals that are due. Edge.mu is held.
func (e *Edge) advancePermits(now time.Time) ([]permitMessage, []ggspermit.Renewal) {
	limited := e.limits.ShedLimitedCount(now) > 0
	if !limited && !e.issuer.Active() {
		// Later changes of the live VMs are judged from the next call on.
		e.issuer.SetLive(now, nil)
		return nil, nil
	}
	members := e.permitMembers()
	e.issuer.SetLive(now, append(e.livePeersLocked(), e.options.VM))
	ms := e.deliverDecisions(e.issuer.Tick(now))
	if !limited {
		return ms, nil
	}
	return ms, e.holder.Renewals(now, func(id ggscore.EndpointID) ggscore.VMID {
		i, ok := e.table.Instance(id)
		if !ok || !e.needsPermit(now, i.Service) {
			return ""
		}
		return e.permitIssuer(&i, members)
	})
}

// peerAt returns the peer that sends datagrams from an address, empty for none. Edge.mu is held.
func (e *Edge) peerAt(from netip.AddrPort) ggscore.VMID {
	for vm, p := range e.peers {
		if p.datagramAddr == from {
			return vm
		}
	}
	e.metrics.reject(rejectedAddress)
	return ""
}

// receivePermitAsk processes a peer's ask.
func (e *Edge) receivePermitAsk(from netip.AddrPort, a ggscore.PermitAsk) {
	e.issue(func(now time.Time) []ggscore.PermitDecision {
		if a.ID.VM = e.peerAt(from); a.ID.VM == "" {
			return nil
		}
		i, ok := e.table.Instance(a.Endpoint)
		if !ok || e.permitIssuer(&i, e.permitMembers()) != e.options.VM {
			return []ggscore.PermitDecision{{ID: a.ID, Endpoint: a.Endpoint, Outcome: ggscore.PermitMisdirected}}
		}
		return e.issuer.Ask(now, a)
	})
}

// receivePermitRelease processes a peer's release.
func (e *Edge) receivePermitRelease(from netip.AddrPort, r ggscore.PermitRelease) {
	e.issue(func(now time.Time) []ggscore.PermitDecision {
		if r.ID.VM = e.peerAt(from); r.ID.VM == "" {
			return nil
		}
		return e.issuer.Release(now, r)
	})
}

// receivePermitRenewal processes a peer's renewal.
func (e *Edge) receivePermitRenewal(from netip.AddrPort, r ggscore.PermitRenewal) {
	e.issue(func(now time.Time) []ggscore.PermitDecision {
		if r.VM = e.peerAt(from); r.VM == "" {
			return nil
		}
		return e.issuer.Renew(now, r)
	})
}

// receivePermitDecision processes an issuer's decision. A permit that came too late is returned to it.
func (e *Edge) receivePermitDecision(from netip.AddrPort, d ggscore.PermitDecision) {
	d.ID.VM = e.options.VM
	e.mu.Lock()
	late := false
	if e.asks[d.ID] != nil {
		e.decided(d)
	} else {
		late = d.Outcome == ggscore.PermitGranted && !e.holder.Holds(d.ID) && e.peerAt(from) != ""
	}
	e.mu.Unlock()
	if late {
		e.logUnsent(e.Peers.SendPermitRelease(ggscore.PermitRelease{ID: d.ID, Endpoint: d.Endpoint}, from))
	}
}
