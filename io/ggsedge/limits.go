package ggsedge

import (
	"time"

	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/io/ggslog"
)

// observeLimit takes what an answer says of its endpoint's rate limit.
func (e *Edge) observeLimit(j *job, id ggscore.EndpointID, l *ggscore.RateLimit) {
	e.mu.Lock()
	now := e.Now()
	asOf := j.sentAt
	if l != nil {
		asOf = now
	}
	changed := e.limits.Observe(now, id, l, asOf)
	if changed {
		e.shareLimits(now)
	}
	e.mu.Unlock()
	switch {
	case changed && l != nil:
		_ = level.Info(e.Log).Log("event", ggslog.EventEndpointLimited, "request", j.meta.ID, "endpoint", id, "perSecond", l.RequestsPerSecond)
	case changed:
		_ = level.Info(e.Log).Log("event", ggslog.EventEndpointUnlimited, "request", j.meta.ID, "endpoint", id)
	}
}

// takeLimit takes a request's part of an endpoint's rate limit, and reports whether one was
// left. Requests that were placed at the same time may have taken it since.
func (e *Edge) takeLimit(id ggscore.EndpointID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limits.Take(e.Now(), id)
}

// adoptLimits takes what others know of rate limits. Edge.mu is held.
func (e *Edge) adoptLimits(now time.Time, ls []ggscore.EndpointLimit) {
	e.limits.Learn(now.Add(-heartbeatDelay), ls)
}

// shareLimits takes the VMs that rate limits are shared by. Edge.mu is held.
func (e *Edge) shareLimits(now time.Time) {
	if e.limits.Limited() == 0 {
		return
	}
	vms := []ggscore.VMID{e.options.VM}
	for vm, p := range e.peers {
		if now.Sub(p.heard) < peerLiveness {
			vms = append(vms, vm)
		}
	}
	e.limits.SetVMs(vms)
}
