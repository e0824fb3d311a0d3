package ggsedge

import (
	"time"

	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/io/ggslog"
)

// observeAnswer processes what an answer announces about its endpoint: that it leaves, its
// rate limit, a pause in the requests of this VM, and that it lacks the adapter. refused is set if the answer
// refuses the request.
func (e *Edge) observeAnswer(j *job, i ggscore.Instance, m ggscore.AnswerMeta, refused bool) {
	e.mu.Lock()
	now := e.Now()
	if m.Misdirected && j.meta.Model.Adapter != "" {
		e.table.SetMissing(now, i.ID, j.meta.Model)
	}
	leaves := m.Leaving && e.table.RecordDeparture(ggscore.Departure{Endpoint: i.ID, StartedAt: i.StartedAt})
	limited := e.observeLimit(now, j, i.ID, m.Limit)
	changed := e.observeShedLimit(now, j, i.Service, m.ShedLimit)
	if m.RetryAfter > 0 {
		e.table.Pause(now, i.ID, m.RetryAfter)
	}
	e.mu.Unlock()
	switch {
	case m.Misdirected:
		// The process that the request was meant for may be gone.
		e.crashes.EndpointAccepted(i.ID, j.sentAt)
	case m.Signed || refused:
		e.crashes.EndpointAnswered(i.ID, j.sentAt)
	}
	if leaves {
		_ = level.Info(e.Log).Log("event", ggslog.EventEndpointLeaving, "endpoint", i.ID, "service", i.Service, "request", j.meta.ID)
	}
	if changed {
		_ = level.Info(e.Log).Log("event", ggslog.EventServiceShedLimited, "request", j.meta.ID, "service", i.Service, "limited", m.ShedLimit != nil)
	}
	switch {
	case limited && m.Limit != nil:
		_ = level.Info(e.Log).Log("event", ggslog.EventEndpointLimited, "request", j.meta.ID, "endpoint", i.ID,
			"perSecond", m.Limit.RequestsPerSecond)
	case limited:
		_ = level.Info(e.Log).Log("event", ggslog.EventEndpointUnlimited, "request", j.meta.ID, "endpoint", i.ID)
	}
}

// observeLimit processes an endpoint's rate limit in an answer, nil for none. It reports
// whether the endpoint became limited or unlimited. Edge.mu is held.
func (e *Edge) observeLimit(now time.Time, j *job, id ggscore.EndpointID, l *ggscore.RateLimit) bool {
	asOf := now
	if l == nil {
		asOf = j.sentAt
	}
	changed := e.limits.Observe(now, id, l, asOf)
	if changed {
		e.shareLimits()
	}
	return changed
}

// observeShedLimit processes whether an answer says that its service is shed-limited. It reports whether
// that changed. Edge.mu is held.
func (e *Edge) observeShedLimit(now time.Time, j *job, s ggscore.Service, refusalsPerSecond *int) bool {
	asOf := now
	if refusalsPerSecond == nil {
		asOf = j.sentAt
	}
	before := e.limits.ShedLimited(now, s)
	e.limits.ObserveShedLimit(s, refusalsPerSecond, asOf)
	return before != e.limits.ShedLimited(now, s)
}

// shareLimits updates the set of VMs that share rate limits. Edge.mu is held.
func (e *Edge) shareLimits() {
	if e.limits.LimitedCount() == 0 {
		return
	}
	e.limits.SetVMs(append(e.livePeersLocked(), e.options.VM))
}

// applySignals applies the limits and departures that peers observed. Edge.mu is held.
func (e *Edge) applySignals(now time.Time, ls []ggscore.EndpointLimit, sheds []ggscore.ShedLimit, ds []ggscore.Departure) {
	e.limits.ObservePeer(now.Add(-heartbeatDelay), ls)
	e.applyShedLimits(now, sheds, e.limits.ObservePeerShedLimits)
	for _, d := range ds {
		if e.table.RecordDeparture(d) {
			_ = level.Info(e.Log).Log("event", ggslog.EventEndpointLeaving, "endpoint", d.Endpoint, "peers", true)
		}
	}
}

// applyShedLimits has apply record the shed limits that other VMs observed. Edge.mu is held.
func (e *Edge) applyShedLimits(now time.Time, ls []ggscore.ShedLimit, apply func(time.Time, []ggscore.ShedLimit)) {
	for _, l := range ls {
		before := e.limits.ShedLimited(now, l.Service)
		apply(now.Add(-heartbeatDelay), []ggscore.ShedLimit{l})
		if after := e.limits.ShedLimited(now, l.Service); after != before {
			_ = level.Info(e.Log).Log("event", ggslog.EventServiceShedLimited, "service", l.Service, "limited", after, "age", l.Age, "peers", true)
		}
	}
}

// takeLimit takes a token from this VM's share of an endpoint's rate limit, and reports whether
// one was available. Requests that chose the endpoint at the same time may have taken the last.
func (e *Edge) takeLimit(id ggscore.EndpointID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limits.Take(e.Now(), id)
}

// accepts reports whether an endpoint still accepts requests.
func (e *Edge) accepts(id ggscore.EndpointID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Accepts(e.Now(), id)
}
