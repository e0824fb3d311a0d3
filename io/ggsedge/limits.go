package ggsedge

import (
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/io/ggslog"
)

// observeLimit takes what an answer says of its endpoint's rate limit.
func (e *Edge) observeLimit(j *job, id ggscore.EndpointID, l *ggscore.RateLimit) {
	e.mu.Lock()
	asOf := j.sentAt
	if l != nil {
		asOf = e.Now()
	}
	changed := e.limits.Observe(id, l, asOf)
	e.mu.Unlock()
	switch {
	case changed && l != nil:
		_ = level.Info(e.Log).Log("event", ggslog.EventEndpointLimited, "request", j.meta.ID, "endpoint", id, "perSecond", l.RequestsPerSecond)
	case changed:
		_ = level.Info(e.Log).Log("event", ggslog.EventEndpointUnlimited, "request", j.meta.ID, "endpoint", id)
	}
}
