package ggsschedule

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// foreignMargin is how long before a report a run of ours must have begun to be
// counted in it for sure.
const foreignMargin = 500 * time.Millisecond

// Report takes what a runner says of itself. Reports that are older than the
// last one, or than the ownership, are ignored.
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
		r.seen = false
	}
	for _, m := range p.Resident {
		s.sawResident(now, at, e, m)
	}
	for _, ref := range p.Loading {
		s.sawLoading(now, at, e, ref)
	}
	for _, r := range slices.Clone(e.replicas) {
		if !r.seen {
			s.sawNothing(now, at, r)
		}
	}
	s.drain(now, e)
	return s.finish(now)
}

// restart clears what was on an engine that has restarted. An order that was
// under way, or whose end is unknown, may have reached the old engine or the new
// one: only a report settles it.
func (s *Scheduler) restart(now time.Time, e *endpoint) {
	for _, r := range slices.Clone(e.replicas) {
		r.pinned = false
		r.foreign = 0
		switch r.state {
		case stateLoading, stateUnloading:
			r.crossed = true
		case stateReserved, stateGone, stateLoadUncertain, stateUnloadUncertain:
		case stateResident:
			s.drop(now, r, true)
		}
	}
	e.failures = 0
	e.openUntil = time.Time{}
}

// sawResident takes an adapter that a report shows resident.
func (s *Scheduler) sawResident(now, at time.Time, e *endpoint, m ggscore.ResidentAdapter) {
	a := e.service.adapter(now, m.Ref, s.options.MaxAdapters)
	r := e.find(a)
	if r == nil {
		r = s.place(now, a, e, stateResident)
		r.since = at
		r.foreign = m.Running
	}
	r.seen = true
	r.sawRunning(at, m.Running)
	switch r.state {
	case stateLoadUncertain:
		if at.After(r.since) {
			s.settleLoad(r)
			r.become(stateResident, at)
		}
	case stateUnloadUncertain:
		s.unloadAgain(now, at, r)
	case stateGone:
		if at.After(r.since.Add(s.options.SettleAfter)) {
			r.become(stateResident, at)
			r.foreign = m.Running
		}
	case stateReserved, stateLoading, stateResident, stateUnloading:
	}
}

// unloadAgain repeats an unload whose end was unknown, when a report shows the
// adapter still there. The first one may yet take effect, so that requests sent
// to the adapter meanwhile could lose it; once a second one has ended, the
// adapter is known to be gone.
func (s *Scheduler) unloadAgain(now, at time.Time, r *replica) {
	settled := at.After(r.since.Add(s.options.SettleAfter))
	if settled && r.idle() && r.endpoint.mode == ggscore.ModeFull {
		s.unload(now, r)
	}
}

// sawLoading takes an adapter that a report shows being loaded. One that we
// didn't order, an earlier owner did.
func (s *Scheduler) sawLoading(now, at time.Time, e *endpoint, ref ggscore.AdapterRef) {
	a := e.service.adapter(now, ref, s.options.MaxAdapters)
	r := e.find(a)
	if r == nil {
		r = s.place(now, a, e, stateLoadUncertain)
		r.since = at
	}
	r.seen = true
}

// sawNothing takes a replica that a report doesn't name.
func (s *Scheduler) sawNothing(now, at time.Time, r *replica) {
	switch r.state {
	case stateResident, stateGone:
		if at.After(r.since) {
			s.drop(now, r, r.state == stateResident)
		}
	case stateLoadUncertain:
		// The order may still be on its way for a while.
		if at.After(r.since.Add(s.options.SettleAfter)) {
			s.settleLoad(r)
			s.drop(now, r, false)
		}
	case stateUnloadUncertain:
		if at.After(r.since) {
			s.drop(now, r, false)
		}
	case stateReserved, stateLoading, stateUnloading:
	}
}

// sawRunning takes the number of runs that a report shows on an adapter. Runs
// beyond ours pin it: an earlier owner's request would lose its adapter beneath
// it. Since reports lag, our own count can't be taken off to prove that those
// runs are over; only a report that shows none at all ends the pin.
func (r *replica) sawRunning(at time.Time, running int) {
	if running == 0 {
		if at.After(r.pinnedAt) {
			r.pinned = false
			r.foreign = 0
		}
		return
	}
	began, old := 0, 0
	for _, j := range r.endpoint.running {
		if j.replica == r && at.After(j.startedAt) {
			began++
		}
		if j.replica == r && at.After(j.startedAt.Add(foreignMargin)) {
			old++
		}
	}
	if running > began {
		r.pinned = true
		r.pinnedAt = at
	}
	r.foreign = min(r.foreign, max(running-old, 0))
}
