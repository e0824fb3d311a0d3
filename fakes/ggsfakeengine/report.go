package ggsfakeengine

import (
	"time"

	ggscore "greengageslip/core"
)

// A snapshot is the engine's state from a point in time until the next snapshot, as reports show
// it.
type snapshot struct {
	from   time.Time
	report ggscore.RunnerReport
}

// Report returns the engine's state as it was Faults.ReportLag ago.
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

// recordState adds the current state to the history of reports. It is called with the lock
// held, after each change of the state.
func (e *Engine) recordState() {
	now := e.options.Now()
	r := ggscore.RunnerReport{
		Endpoint:    e.options.ID,
		Incarnation: e.incarnationName(),
		Running:     e.running,
		Loading:     sortedRefs(e.loading),
	}
	for _, a := range sortedRefs(e.resident) {
		r.Resident = append(r.Resident, ggscore.ResidentAdapter{Ref: a, Running: e.resident[a].running})
	}
	e.history = append(e.history, snapshot{from: now, report: r})
	cutoff := now.Add(-max(e.faults.ReportLag, minHistory))
	for len(e.history) > 1 && !e.history[1].from.After(cutoff) {
		e.history = e.history[1:]
	}
}

// minHistory is how long past states are kept at least, so that a report lag that is set or
// raised later has states to report.
const minHistory = 5 * time.Second
