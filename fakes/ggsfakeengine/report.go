package ggsfakeengine

import (
	"time"

	ggscore "greengageslip/core"
)

// A snapshot is the engine's state from a moment on.
type snapshot struct {
	from   time.Time
	report ggscore.RunnerReport
}

// Report returns what the engine says of itself, with the lag.
func (e *Engine) Report() ggscore.RunnerReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := e.options.Now().Add(-e.faults.ReportLag)
	for len(e.history) > 1 && !e.history[1].from.After(at) {
		e.history = e.history[1:]
	}
	r := e.history[0].report
	r.At = at
	return r
}

// note keeps the state for reports. It is called with the lock held, after
// each change of it.
func (e *Engine) note() {
	now := e.options.Now()
	r := ggscore.RunnerReport{
		Endpoint:    e.options.ID,
		Incarnation: e.name(),
		Running:     e.running,
		Loading:     sortedRefs(e.loading),
	}
	for _, a := range sortedRefs(e.resident) {
		r.Resident = append(r.Resident, ggscore.ResidentAdapter{Ref: a, Running: e.resident[a].running})
	}
	e.history = append(e.history, snapshot{from: now, report: r})
	keep := now.Add(-max(e.faults.ReportLag, minHistory))
	for len(e.history) > 1 && !e.history[1].from.After(keep) {
		e.history = e.history[1:]
	}
}

// minHistory is how much history is kept for a lag that is set later.
const minHistory = 5 * time.Second
