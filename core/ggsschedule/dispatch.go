package ggsschedule

import (
	"time"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsqueue"
)

// bind sets the only endpoint on which a baseline policy (any but PolicyCost) allows a job. The
// job stays unbound if it needs no replica or if no endpoint serves its adapter.
func (s *Scheduler) bind(now time.Time, j *job) {
	j.bound = nil
	if s.options.Policy == PolicyCost || j.adapter.needsNoReplica() {
		return
	}
	var allowed []*endpoint
	for _, e := range j.adapter.service.endpoints {
		if e.serves(now, j.adapter.ref) {
			allowed = append(allowed, e)
		}
	}
	if len(allowed) == 0 {
		return
	}
	switch s.options.Policy {
	case PolicyRandom:
		j.bound = allowed[s.random.IntN(len(allowed))]
	case PolicyLeastLoaded:
		j.bound = leastLoaded(allowed)
	case PolicyRendezvousLRU:
		j.bound = rendezvous(allowed, j.adapter.ref)
	case PolicyCost:
	}
}

// dispatch sends a job that isn't in a queue to an endpoint.
func (s *Scheduler) dispatch(now time.Time, j *job, e *endpoint, r *replica) {
	j.endpoint = e
	j.replica = r
	j.startedAt = now
	j.dispatches++
	j.position = len(e.running)
	e.running = append(e.running, j)
	if r != nil {
		r.running++
		r.used = now
	}
	s.clock.Charge(j.item.Share)
	s.orders = append(s.orders, ggscore.Order{
		Kind:     ggscore.OrderDispatch,
		Endpoint: e.spec.ID,
		Adapter:  j.adapter.ref,
		Request:  j.request,
	})
}

// drain dispatches queued jobs to an endpoint while it has free slots.
func (s *Scheduler) drain(now time.Time, e *endpoint) {
	for e.accepts(now) && e.freeSlots() > 0 {
		j, r := s.choose(now, e)
		if j == nil {
			return
		}
		if !now.Before(j.deadline) {
			s.refuseQueued(now, j, "request budget ran out in the queue")
			continue
		}
		s.dequeue(j)
		s.dispatch(now, j, e, r)
	}
}

// choose returns the queued job to run next on an endpoint, or nil.
func (s *Scheduler) choose(now time.Time, e *endpoint) (*job, *replica) {
	var best *ggsqueue.Item[*job]
	var on *replica
	consider := func(a *adapter, r *replica) {
		h := s.headFor(a, e)
		if h != nil && (best == nil || ggsqueue.Less(h, best)) {
			best, on = h, r
		}
	}
	for _, r := range e.replicas {
		if r.state == stateResident && r.adapter.waiting >= 0 && e.serves(now, r.adapter.ref) {
			consider(r.adapter, r)
		}
	}
	for _, a := range e.service.noReplicaNeeded {
		if a.waiting >= 0 && e.serves(now, a.ref) {
			consider(a, nil)
		}
	}
	if best == nil {
		return nil, nil
	}
	return best.Value, on
}

// headFor returns the first queued job of an adapter that may run on e.
func (s *Scheduler) headFor(a *adapter, e *endpoint) *ggsqueue.Item[*job] {
	if s.options.Policy == PolicyCost || a.needsNoReplica() {
		return a.queue.Head()
	}
	var best *ggsqueue.Item[*job]
	a.queue.All(func(i *ggsqueue.Item[*job]) bool {
		allowed := i.Value.bound == nil || i.Value.bound == e
		if allowed && (best == nil || ggsqueue.Less(i, best)) {
			best = i
		}
		return true
	})
	return best
}

// route returns the endpoint with the most free slots on which a job can run at once, or nil.
// This choice keeps slots free on every endpoint for as long as possible.
func (s *Scheduler) route(now time.Time, j *job) (*endpoint, *replica) {
	a := j.adapter
	var best *endpoint
	var on *replica
	mostFree := 0
	consider := func(e *endpoint, r *replica) {
		if (j.bound == nil || j.bound == e) && e.serves(now, a.ref) && e.freeSlots() > mostFree {
			best, on, mostFree = e, r, e.freeSlots()
		}
	}
	if a.needsNoReplica() {
		for _, e := range a.service.endpoints {
			consider(e, nil)
		}
		return best, on
	}
	for _, r := range a.replicas {
		if r.state == stateResident {
			consider(r.endpoint, r)
		}
	}
	return best, on
}

// leastLoaded returns the endpoint with the fewest running and bound jobs.
func leastLoaded(all []*endpoint) *endpoint {
	best := all[0]
	for _, e := range all[1:] {
		if e.bound+len(e.running) < best.bound+len(best.running) {
			best = e
		}
	}
	return best
}

// rendezvous returns the endpoint with the highest rendezvous hash for an adapter.
func rendezvous(all []*endpoint, ref ggscore.AdapterRef) *endpoint {
	var best *endpoint
	var top uint64
	for _, e := range all {
		h := rendezvousHash(e, ref)
		if best == nil || h > top {
			best, top = e, h
		}
	}
	return best
}

// rendezvousHash hashes an endpoint together with an adapter.
func rendezvousHash(e *endpoint, ref ggscore.AdapterRef) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(e.spec.ID))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(ref.Name)
	_, _ = d.WriteString("@")
	_, _ = d.WriteString(string(ref.Version))
	return d.Sum64()
}

// placementCount returns the number of endpoints among which an adapter's queued
// requests are divided.
func (a *adapter) placementCount(now time.Time) int {
	if a.needsNoReplica() {
		return len(a.service.endpoints)
	}
	n := 0
	for _, r := range a.replicas {
		placed := r.state == stateReserved || r.state == stateLoading || r.state == stateResident
		if placed && r.endpoint.serves(now, a.ref) {
			n++
		}
	}
	return n
}

// servable reports whether any endpoint, in that endpoint's present mode, could serve the
// adapter's requests, if necessary after a load or a pause.
func (a *adapter) servable() bool {
	for _, e := range a.service.endpoints {
		if e.spec.Leaving || e.mode == ggscore.ModeNone {
			continue
		}
		if e.mode == ggscore.ModeFull {
			return true
		}
		r := e.find(a)
		held := r != nil && r.state != stateGone
		if e.protects(a.ref) && (held || a.needsNoReplica()) {
			return true
		}
	}
	return false
}
