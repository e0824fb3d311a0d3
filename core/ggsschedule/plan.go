package ggsschedule

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// A want is an adapter that waiting requests need, and how urgently.
type want struct {
	adapter *adapter
	// bound is the only endpoint that a baseline policy allows, or nil.
	bound *endpoint
	score float64
	// ahead says that no request waits for it yet.
	ahead bool
}

// orderLoads orders the loads that are worth it, as far as the share allows.
func (s *Scheduler) orderLoads(now time.Time) {
	s.wake = time.Time{}
	for s.loadsWanted() {
		s.bucket.fill(now)
		if !s.bucket.ready() {
			s.wake = earliest(s.wake, s.bucket.readyAt(now))
			return
		}
		if !s.orderBest(now) && !s.orderRefill(now) {
			return
		}
	}
}

// loadsWanted reports whether there may be anything to load.
func (s *Scheduler) loadsWanted() bool {
	for _, v := range s.ordered {
		if v.kind == ggscore.KindModel && (len(v.waiting) > 0 || len(v.refill) > 0) {
			return true
		}
	}
	return false
}

// orderBest orders the load that is wanted most. It reports whether it did.
func (s *Scheduler) orderBest(now time.Time) bool {
	var wants []want
	for _, v := range s.ordered {
		if v.kind != ggscore.KindModel || !v.hasRoom(now) {
			continue
		}
		for _, a := range v.waiting {
			wants = s.appendWants(now, wants, a)
		}
	}
	for len(wants) > 0 {
		i := mostWanted(wants)
		if s.orderLoad(now, wants[i]) {
			return true
		}
		wants[i] = wants[len(wants)-1]
		wants = wants[:len(wants)-1]
	}
	return false
}

// mostWanted returns the index of the want with the greatest score, the first
// among equals.
func mostWanted(all []want) int {
	best := 0
	for i := range all {
		if all[i].score > all[best].score {
			best = i
		}
	}
	return best
}

// hasRoom reports whether any endpoint has room for a load, or something that
// may be evicted for it.
func (v *service) hasRoom(now time.Time) bool {
	for _, e := range v.endpoints {
		if !e.loads(now) {
			continue
		}
		if e.freeAdapterSlots() > e.reservedSlots() || slices.ContainsFunc(e.replicas, (*replica).evictable) {
			return true
		}
	}
	return false
}

// appendWants appends what an adapter's waiting requests need, if anything.
func (s *Scheduler) appendWants(now time.Time, all []want, a *adapter) []want {
	if a.anywhere() {
		return all
	}
	if now.Before(a.retryAt) {
		s.wake = earliest(s.wake, a.retryAt)
		return all
	}
	if s.options.Policy != PolicyCost {
		return s.appendBound(now, all, a)
	}
	coming, there := a.supply(now)
	if coming > 0 || (there > 0 && !s.worthReplica(now, a)) {
		return all
	}
	if there == 0 && !s.inTime(now, a) {
		return all
	}
	return append(all, want{adapter: a, score: s.score(now, a)})
}

// appendBound appends the wants of a baseline policy: each endpoint that
// waiting requests are bound to and that lacks the adapter, oldest first.
func (s *Scheduler) appendBound(now time.Time, all []want, a *adapter) []want {
	first := len(all)
	for i := range a.queue.All {
		j := i.Value
		if j.bound == nil {
			continue
		}
		waited := now.Sub(j.queuedAt).Seconds()
		at := slices.IndexFunc(all[first:], func(w want) bool { return w.bound == j.bound })
		if at >= 0 {
			w := &all[first+at]
			w.score = max(w.score, waited)
			continue
		}
		if r := j.bound.find(a); r == nil || r.state == stateGone {
			all = append(all, want{adapter: a, bound: j.bound, score: waited})
		}
	}
	return all
}

// orderLoad orders one load, or the eviction that makes room for it.
func (s *Scheduler) orderLoad(now time.Time, w want) bool {
	e, victim := s.placement(now, w)
	if e == nil || (w.ahead && victim != nil && s.evictionCost(now, victim)*hysteresis > w.adapter.rate(now)) {
		return false
	}
	v := w.adapter.service
	v.loads = v.loadsOfLate(now) + 1
	v.loadsAt = now
	r := s.reserve(now, w.adapter, e)
	if victim == nil {
		s.load(now, r)
		return true
	}
	v.evicted += (victim.adapter.rate(now) - v.evicted) / evictedWeight
	victim.successor = r
	s.unload(now, victim)
	return true
}

// orderRefill orders the load of the most popular adapter that a restart took,
// if no runner has it and there is room. It reports whether it did.
func (s *Scheduler) orderRefill(now time.Time) bool {
	for _, v := range s.ordered {
		for len(v.refill) > 0 {
			i := hottest(now, v.refill)
			a := v.refill[i]
			v.refill = slices.Delete(v.refill, i, i+1)
			a.listed = false
			coming, there := a.supply(now)
			if coming+there > 0 || a.rate(now) < refillLeast {
				continue
			}
			if s.orderLoad(now, want{adapter: a, ahead: true}) {
				return true
			}
		}
	}
	return false
}

// hottest returns the index of the most popular adapter.
func hottest(now time.Time, all []*adapter) int {
	best := 0
	for i, a := range all {
		if a.rate(now) > all[best].rate(now) {
			best = i
		}
	}
	return best
}

// placement returns where to load an adapter, and what to evict for it.
func (s *Scheduler) placement(now time.Time, w want) (*endpoint, *replica) {
	var best *endpoint
	var victim *replica
	least := 0.0
	for _, e := range w.adapter.service.endpoints {
		r := e.find(w.adapter)
		taken := r != nil && r.state != stateGone
		if !e.loads(now) || taken || (w.bound != nil && w.bound != e) {
			continue
		}
		cost := s.crowding(e)
		var v *replica
		if e.freeAdapterSlots() <= e.reservedSlots() {
			v = s.victim(now, e)
			if v == nil {
				continue
			}
			cost += s.evictionCost(now, v)
		}
		if best == nil || cost < least {
			best, victim, least = e, v, cost
		}
	}
	return best, victim
}

// reservedSlots counts free slots that are promised to a load already.
func (e *endpoint) reservedSlots() int {
	n := 0
	for _, r := range e.replicas {
		if r.state == stateReserved {
			n++
		}
	}
	return n
}
