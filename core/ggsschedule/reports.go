package ggsschedule

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// runStartMargin is how long before a report one of this owner's runs must have begun
// to be certainly included in the report.
const runStartMargin = 500 * time.Millisecond

// Report applies a runner's report. Reports that are older than the last one or than
// the ownership are ignored.
func (s *Scheduler) Report(now time.Time, p ggscore.RunnerReport) []ggscore.Order {
	s.begin(now)
	e := s.endpoints[p.Endpoint]
	at := p.At.Add(-s.options.ReportLag)
	if e == nil || e.mode == ggscore.ModeNone || at.Before(e.ownedAt) || !at.After(e.reportAt) {
		return s.finish(now)
	}
	e.reportAt = at
	if e.incarnation != "" && e.incarnation != p.Incarnation {
		s.restart(now, e)
	}
	e.incarnation = p.Incarnation
	for _, r := range e.replicas {
		r.reported = false
	}
	for _, m := range p.Resident {
		s.applyResident(now, at, e, m)
	}
	for _, ref := range p.Loading {
		s.applyLoading(now, at, e, ref)
	}
	for _, r := range slices.Clone(e.replicas) {
		if !r.reported {
			s.applyAbsent(now, at, r)
		}
	}
	s.drain(now, e)
	return s.finish(now)
}

// restart clears the replicas of an engine that has restarted. An order that was in
// flight, or whose end is unknown, may have reached the old or the new engine, so only
// a report settles its replica.
func (s *Scheduler) restart(now time.Time, e *endpoint) {
	for _, r := range slices.Clone(e.replicas) {
		r.pinned = false
		r.foreignRuns = 0
		switch r.state {
		case stateLoading, stateUnloading:
			r.interrupted = true
		case stateReserved, stateGone, stateLoadUncertain, stateUnloadUncertain:
		case stateResident:
			s.removeReplica(now, r, true)
		}
	}
	e.failures = 0
	e.pausedUntil = time.Time{}
}

// applyResident applies a report's entry for a resident adapter.
func (s *Scheduler) applyResident(now, at time.Time, e *endpoint, m ggscore.ResidentAdapter) {
	a := e.service.adapter(now, m.Ref, s.options.MaxAdapters)
	r := e.find(a)
	if r == nil {
		r = s.addReplica(now, a, e, stateResident)
		r.since = at
		r.foreignRuns = m.Running
	}
	r.reported = true
	r.applyRunning(at, m.Running)
	switch r.state {
	case stateLoadUncertain:
		if at.After(r.since) {
			s.settleLoad(r)
			r.setState(stateResident, at)
		}
	case stateUnloadUncertain:
		s.retryUnload(now, at, r)
	case stateGone:
		if at.After(r.since.Add(s.options.SettleAfter)) {
			r.setState(stateResident, at)
			r.foreignRuns = m.Running
		}
	case stateReserved, stateLoading, stateResident, stateUnloading:
	}
}

// retryUnload repeats an unload whose end was unknown when a report shows the adapter
// still resident. The first unload may still take effect and would break requests
// dispatched to the adapter meanwhile. Once a second unload has ended, the adapter is
// known to be gone.
func (s *Scheduler) retryUnload(now, at time.Time, r *replica) {
	settled := at.After(r.since.Add(s.options.SettleAfter))
	if settled && r.idle() && r.endpoint.mode == ggscore.ModeFull {
		s.unload(now, r)
	}
}

// applyLoading applies a report's entry for a loading adapter. If this owner didn't
// order the load, an earlier owner did.
func (s *Scheduler) applyLoading(now, at time.Time, e *endpoint, ref ggscore.AdapterRef) {
	a := e.service.adapter(now, ref, s.options.MaxAdapters)
	r := e.find(a)
	if r == nil {
		r = s.addReplica(now, a, e, stateLoadUncertain)
		r.since = at
	}
	r.reported = true
}

// applyAbsent updates a replica that a report doesn't name.
func (s *Scheduler) applyAbsent(now, at time.Time, r *replica) {
	switch r.state {
	case stateResident, stateGone:
		if at.After(r.since) {
			s.removeReplica(now, r, r.state == stateResident)
		}
	case stateLoadUncertain:
		// The order may still be in flight until SettleAfter.
		if at.After(r.since.Add(s.options.SettleAfter)) {
			s.settleLoad(r)
			s.removeReplica(now, r, false)
		}
	case stateUnloadUncertain:
		if at.After(r.since) {
			s.removeReplica(now, r, false)
		}
	case stateReserved, stateLoading, stateUnloading:
	}
}

// applyRunning applies the number of runs that a report shows on an adapter. Runs
// beyond this owner's own pin the replica, since an eviction would break the requests
// of an earlier owner. Reports lag, so a count that this owner's runs explain doesn't
// prove that the other runs have ended. Only a report without any run ends the pin.
func (r *replica) applyRunning(at time.Time, running int) {
	if running == 0 {
		if at.After(r.pinnedAt) {
			r.pinned = false
			r.foreignRuns = 0
		}
		return
	}
	began, old := 0, 0
	for _, j := range r.endpoint.running {
		if j.replica == r && at.After(j.startedAt) {
			began++
		}
		if j.replica == r && at.After(j.startedAt.Add(runStartMargin)) {
			old++
		}
	}
	if running > began {
		r.pinned = true
		r.pinnedAt = at
	}
	r.foreignRuns = min(r.foreignRuns, max(running-old, 0))
}
