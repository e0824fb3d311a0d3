package ggsedge

import (
	"time"

	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/io/ggslog"
)

// observeDeparture takes what an answer says of its endpoint's leaving.
func (e *Edge) observeDeparture(j *job, i ggscore.Instance, leaving bool) {
	if !leaving {
		return
	}
	e.mu.Lock()
	news := e.table.Depart(ggscore.Departure{Endpoint: i.ID, Born: i.Born})
	e.mu.Unlock()
	if news {
		_ = level.Info(e.Log).Log("event", ggslog.EventEndpointLeaving, "endpoint", i.ID, "service", i.Service, "request", j.meta.ID)
	}
}

// adoptDepartures takes the endpoints that others saw leave. Edge.mu is held.
func (e *Edge) adoptDepartures(ds []ggscore.Departure) {
	for _, d := range ds {
		if e.table.Depart(d) {
			_ = level.Info(e.Log).Log("event", ggslog.EventEndpointLeaving, "endpoint", d.Endpoint, "peers", true)
		}
	}
}

// observePause takes how long an endpoint that refused wants nothing from this VM.
func (e *Edge) observePause(i ggscore.Instance, d time.Duration) {
	if d <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.Pause(e.Now(), i.ID, d)
}

// takes reports whether an endpoint still takes requests.
func (e *Edge) takes(id ggscore.EndpointID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Takes(e.Now(), id)
}
