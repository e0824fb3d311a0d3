package ggsschedule

import (
	"cmp"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// Protect names the adapters that may not be evicted from an endpoint. Those
// are also the ones that it serves in ModeResidentOnly. The endpoint must be
// known; nil ends the protection.
func (s *Scheduler) Protect(now time.Time, id ggscore.EndpointID, refs []ggscore.AdapterRef) []ggscore.Order {
	s.begin(now)
	e := s.endpoints[id]
	if e == nil {
		return s.finish(now)
	}
	e.protection = nil
	if len(refs) > 0 {
		e.protection = make(map[ggscore.AdapterRef]bool, len(refs))
	}
	for _, r := range refs {
		e.protection[r] = true
	}
	s.drain(now, e)
	s.refuseUnservable(now, e.service)
	return s.finish(now)
}

// RemoveEndpoint forgets an endpoint. The caller still reports the ends of the
// requests that run there.
func (s *Scheduler) RemoveEndpoint(now time.Time, id ggscore.EndpointID) []ggscore.Order {
	s.begin(now)
	e := s.endpoints[id]
	if e == nil {
		return s.finish(now)
	}
	delete(s.endpoints, id)
	e.removed = true
	v := e.service
	v.endpoints = slices.DeleteFunc(v.endpoints, func(o *endpoint) bool { return o == e })
	for len(e.replicas) > 0 {
		s.drop(now, e.replicas[0], true)
	}
	s.unbind(now, e)
	s.refuseUnservable(now, v)
	return s.finish(now)
}

// SetEndpoint adds or changes an endpoint.
func (s *Scheduler) SetEndpoint(now time.Time, p ggscore.Endpoint, m ggscore.OwnerMode) []ggscore.Order {
	e := s.endpoints[p.ID]
	if e != nil && e.spec.Service != p.Service {
		return append(slices.Clone(s.RemoveEndpoint(now, p.ID)), s.SetEndpoint(now, p, m)...)
	}
	s.begin(now)
	if e == nil {
		e = &endpoint{service: s.service(p.Service, p.Kind)}
		s.endpoints[p.ID] = e
		v := e.service
		at, _ := slices.BinarySearchFunc(v.endpoints, p.ID, func(o *endpoint, id ggscore.EndpointID) int {
			return cmp.Compare(o.spec.ID, id)
		})
		v.endpoints = slices.Insert(v.endpoints, at, e)
	}
	before := e.mode
	e.spec = p
	e.mode = m
	if m != before && (before == ggscore.ModeNone || m == ggscore.ModeFull) {
		s.doubtResidents(now, e, before)
	}
	s.drain(now, e)
	s.refuseUnservable(now, e.service)
	return s.finish(now)
}

// doubtResidents begins an ownership anew. While another VM may have been the
// owner it may have evicted what we believe to be resident: requests would be
// sent to an adapter that is gone, or is being unloaded. Nothing is believed
// until a report that is newer than the ownership, and everything is pinned
// until one shows it idle; what was protected all along can't have been evicted.
func (s *Scheduler) doubtResidents(now time.Time, e *endpoint, before ggscore.OwnerMode) {
	e.ownedAt = now
	for _, r := range e.replicas {
		r.pinned = true
		r.pinnedAt = now
		kept := before == ggscore.ModeResidentOnly && r.protected()
		switch {
		case r.state == stateResident && !kept:
			r.become(stateLoadUncertain, now)
		case r.state == stateLoading || r.state == stateUnloading:
			r.crossed = true
		}
	}
}

// refuseUnservable answers the waiting requests that no endpoint can serve any
// more, instead of letting them wait for nothing.
func (s *Scheduler) refuseUnservable(now time.Time, v *service) {
	for i := 0; i < len(v.waiting); {
		a := v.waiting[i]
		if a.servable() {
			i++
			continue
		}
		for a.queue.Len() > 0 {
			s.refuseQueued(now, a.queue.Head().Value, "no endpoint can serve it now")
		}
	}
}

// unbind binds jobs anew that a baseline policy had bound to a removed endpoint.
func (s *Scheduler) unbind(now time.Time, e *endpoint) {
	for _, a := range slices.Clone(e.service.waiting) {
		var bound []*job
		for _, j := range a.queued() {
			if j.bound == e {
				bound = append(bound, j)
			}
		}
		for _, j := range bound {
			s.dequeue(j)
			s.enter(now, j)
		}
	}
}
