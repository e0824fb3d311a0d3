package ggsschedule

import (
	"cmp"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// Protect sets the adapters that may not be evicted from an endpoint. These are also
// the adapters that the endpoint serves in ModeResidentOnly. An unknown endpoint is
// ignored; nil ends the protection.
func (s *Scheduler) Protect(now time.Time, id ggscore.EndpointID, refs []ggscore.AdapterRef) []ggscore.Order {
	s.begin(now)
	e := s.endpoints[id]
	if e == nil {
		return s.finish(now)
	}
	e.protectedRefs = nil
	if len(refs) > 0 {
		e.protectedRefs = make(map[ggscore.AdapterRef]bool, len(refs))
	}
	for _, r := range refs {
		e.protectedRefs[r] = true
	}
	s.drain(now, e)
	s.refuseUnservable(now, e.service)
	return s.finish(now)
}

// RemoveEndpoint removes an endpoint. The caller must still report the ends of the
// requests that run on it.
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
		s.removeReplica(now, e.replicas[0], true)
	}
	s.rebind(now, e)
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
		s.invalidateResidents(now, e, before)
	}
	s.drain(now, e)
	s.refuseUnservable(now, e.service)
	return s.finish(now)
}

// invalidateResidents marks the residency of replicas as uncertain when an ownership
// begins. Another VM may have owned the endpoint meanwhile and evicted adapters, so
// requests could be dispatched to an adapter that is gone or unloading. Replicas stay
// uncertain until a report that is newer than the ownership, and pinned until a report
// shows them idle. Adapters that were protected throughout can't have been evicted and
// stay resident.
func (s *Scheduler) invalidateResidents(now time.Time, e *endpoint, before ggscore.OwnerMode) {
	e.ownedAt = now
	for _, r := range e.replicas {
		r.pinned = true
		r.pinnedAt = now
		kept := before == ggscore.ModeResidentOnly && r.protected()
		switch {
		case r.state == stateResident && !kept:
			r.setState(stateLoadUncertain, now)
		case r.state == stateLoading || r.state == stateUnloading:
			r.interrupted = true
		}
	}
}

// refuseUnservable refuses the queued requests that no endpoint can serve any more.
// Otherwise they would wait until their budget runs out.
func (s *Scheduler) refuseUnservable(now time.Time, v *service) {
	for i := 0; i < len(v.waiting); {
		a := v.waiting[i]
		if a.servable() {
			i++
			continue
		}
		for a.queue.Len() > 0 {
			s.refuseQueued(now, a.queue.Head().Value, "no endpoint can serve the request now")
		}
	}
}

// rebind schedules again the jobs that a baseline policy had bound to a removed
// endpoint.
func (s *Scheduler) rebind(now time.Time, e *endpoint) {
	for _, a := range slices.Clone(e.service.waiting) {
		var bound []*job
		for _, j := range a.queued() {
			if j.bound == e {
				bound = append(bound, j)
			}
		}
		for _, j := range bound {
			s.dequeue(j)
			s.schedule(now, j)
		}
	}
}
