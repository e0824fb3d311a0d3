package ggsedge

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/io/ggslog"
)

const (
	// assignInterval is the time between decisions on the base models of an endpoint that holds some.
	assignInterval = time.Second
	// idlePause is the pause of a worker that has nothing to wait for.
	idlePause = time.Hour
)

// settled reports whether the endpoint holds the only model of its service, so that nothing needs to be decided.
func (w *worker) settled() bool {
	ms := w.engine.Models
	return len(ms) == 0 || len(ms) == 1 && w.ledger.Holds(ggscore.ModelAdapter{Model: ms[0].Name}, 0)
}

// idlePause returns the pause of the worker while no order is due.
func (w *worker) idlePause() time.Duration {
	if w.settled() {
		return idlePause
	}
	return assignInterval
}

// mayLoad reports whether the endpoint holds the adapter's base model, or is to load it, as far as that is known.
func (w *worker) mayLoad(now time.Time, t ggscore.ModelAdapter) bool {
	if !w.ledger.Synced(now) || w.assigned == t.Model {
		return true
	}
	held := w.ledger.Holds(ggscore.ModelAdapter{Model: t.Model}, 0)
	return held || len(w.engine.Models) <= 1 && w.ledger.CanHold(t)
}

// assignModels decides which base models an endpoint loads and gives up. Edge.mu is held.
func (e *Edge) assignModels(now time.Time, w *worker) {
	if w.settled() {
		return
	}
	held := w.ledger.Models()
	if len(held) == 0 && w.serves(w.assigned) {
		w.ledger.Want(now, ggscore.ModelAdapter{Model: w.assigned}, 0)
		return
	}
	if len(held) > 0 && now.Sub(w.assignedAt) < assignInterval {
		return
	}
	w.assignedAt = now
	rs := e.table.Runners(w.instance.Service)
	for i := range rs {
		if rs[i].ID == w.instance.ID {
			rs[i].Models, rs[i].Loadable = held, true
		}
	}
	o, ok := e.assignments.Decide(now, w.instance.Service, w.engine, rs)[w.instance.ID]
	if !ok {
		w.assigned = ""
		return
	}
	w.assigned = o.Load
	if o.Unload != "" {
		w.ledger.Unload(o.Unload)
	}
	w.ledger.Want(now, ggscore.ModelAdapter{Model: o.Load}, 0)
	_ = level.Info(e.Log).Log("event", ggslog.EventModelAssigned, "endpoint", w.instance.ID, "load", o.Load, "unload", o.Unload, "holds", len(held))
}

// serves reports whether a model is one of the endpoint's service.
func (w *worker) serves(m ggscore.BaseModel) bool {
	return slices.ContainsFunc(w.engine.Models, func(s ggscore.ModelSpec) bool { return s.Name == m })
}
