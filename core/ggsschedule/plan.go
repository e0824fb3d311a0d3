package ggsschedule

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// A loadCandidate is an adapter to load, with the urgency of the load.
type loadCandidate struct {
	adapter *adapter
	// bound is the only endpoint that a baseline policy allows, or nil.
	bound *endpoint
	score float64
	// prefetch is set if no request waits for the adapter yet.
	prefetch bool
}

// orderLoads orders the loads that are worthwhile, as far as the load share allows.
func (s *Scheduler) orderLoads(now time.Time) {
	s.nextLoadPass = time.Time{}
	for s.mayNeedLoads() {
		s.bucket.fill(now)
		if !s.bucket.ready() {
			s.nextLoadPass = earliest(s.nextLoadPass, s.bucket.readyAt(now))
			return
		}
		if !s.orderMostUrgent(now) && !s.orderRefill(now) {
			return
		}
	}
}

// mayNeedLoads reports whether any adapter may need a load.
func (s *Scheduler) mayNeedLoads() bool {
	for _, v := range s.ordered {
		if v.kind == ggscore.KindModel && (len(v.waiting) > 0 || len(v.refill) > 0) {
			return true
		}
	}
	return false
}

// orderMostUrgent orders the most urgent load that is possible. It reports whether it
// ordered one.
func (s *Scheduler) orderMostUrgent(now time.Time) bool {
	var candidates []loadCandidate
	for _, v := range s.ordered {
		if v.kind != ggscore.KindModel || !v.hasUsableAdapterSlot(now) {
			continue
		}
		for _, a := range v.waiting {
			candidates = s.appendCandidates(now, candidates, a)
		}
	}
	for len(candidates) > 0 {
		i := topCandidate(candidates)
		if s.orderLoad(now, candidates[i]) {
			return true
		}
		candidates[i] = candidates[len(candidates)-1]
		candidates = candidates[:len(candidates)-1]
	}
	return false
}

// topCandidate returns the index of the candidate with the highest score, the first one
// of equals.
func topCandidate(all []loadCandidate) int {
	best := 0
	for i := range all {
		if all[i].score > all[best].score {
			best = i
		}
	}
	return best
}

// hasUsableAdapterSlot reports whether any endpoint has an adapter slot that is free or can be
// freed by an eviction.
func (v *service) hasUsableAdapterSlot(now time.Time) bool {
	for _, e := range v.endpoints {
		if !e.allowsLoads(now) {
			continue
		}
		if e.freeAdapterSlots() > e.reservedSlots() || slices.ContainsFunc(e.replicas, (*replica).evictable) {
			return true
		}
	}
	return false
}

// appendCandidates appends the loads that an adapter's queued requests need, if any.
func (s *Scheduler) appendCandidates(now time.Time, all []loadCandidate, a *adapter) []loadCandidate {
	if a.needsNoReplica() {
		return all
	}
	if now.Before(a.retryAt) {
		s.nextLoadPass = earliest(s.nextLoadPass, a.retryAt)
		return all
	}
	if s.options.Policy != PolicyCost {
		return s.appendBoundCandidates(now, all, a)
	}
	pending, resident := a.countReplicas(now)
	if pending > 0 || (resident > 0 && !s.gainsFromReplica(now, a)) {
		return all
	}
	if resident == 0 && !s.canMeetDeadline(now, a) {
		return all
	}
	return append(all, loadCandidate{adapter: a, score: s.score(now, a)})
}

// appendBoundCandidates appends the candidates of a baseline policy: each endpoint without the
// adapter to which queued requests are bound. The score is the longest wait of these requests so
// far.
func (s *Scheduler) appendBoundCandidates(now time.Time, all []loadCandidate, a *adapter) []loadCandidate {
	first := len(all)
	for i := range a.queue.All {
		j := i.Value
		if j.bound == nil {
			continue
		}
		waited := now.Sub(j.queuedAt).Seconds()
		at := slices.IndexFunc(all[first:], func(c loadCandidate) bool { return c.bound == j.bound })
		if at >= 0 {
			c := &all[first+at]
			c.score = max(c.score, waited)
			continue
		}
		if r := j.bound.find(a); r == nil || r.state == stateGone {
			all = append(all, loadCandidate{adapter: a, bound: j.bound, score: waited})
		}
	}
	return all
}

// orderLoad orders one load, or the eviction that frees a slot for the load. It reports
// whether it ordered one of them.
func (s *Scheduler) orderLoad(now time.Time, c loadCandidate) bool {
	e, victim := s.placement(now, c)
	if e == nil || (c.prefetch && victim != nil && s.evictionCost(now, victim)*hysteresis > c.adapter.rate(now)) {
		return false
	}
	v := c.adapter.service
	v.loadCount = v.recentLoads(now) + 1
	v.loadCountAt = now
	r := s.reserve(now, c.adapter, e)
	if victim == nil {
		s.load(now, r)
		return true
	}
	v.evicted += (victim.adapter.rate(now) - v.evicted) / evictedSmoothing
	victim.successor = r
	s.unload(now, victim)
	return true
}

// orderRefill orders, ahead of demand, the load of the most popular adapter in service.refill,
// the list of adapters lost by a restart or a removal, if no runner has the adapter and one can
// load it. It reports whether it ordered a load.
func (s *Scheduler) orderRefill(now time.Time) bool {
	for _, v := range s.ordered {
		for len(v.refill) > 0 {
			i := mostPopular(now, v.refill)
			a := v.refill[i]
			v.refill = slices.Delete(v.refill, i, i+1)
			a.inRefill = false
			pending, resident := a.countReplicas(now)
			if pending+resident > 0 || a.rate(now) < minRefillRate {
				continue
			}
			if s.orderLoad(now, loadCandidate{adapter: a, prefetch: true}) {
				return true
			}
		}
	}
	return false
}

// mostPopular returns the index of the most popular adapter.
func mostPopular(now time.Time, all []*adapter) int {
	best := 0
	for i, a := range all {
		if a.rate(now) > all[best].rate(now) {
			best = i
		}
	}
	return best
}

// placement returns the endpoint where loading an adapter costs least, by occupancy and
// eviction, and the replica to evict there, if any.
func (s *Scheduler) placement(now time.Time, c loadCandidate) (*endpoint, *replica) {
	var best *endpoint
	var victim *replica
	least := 0.0
	for _, e := range c.adapter.service.endpoints {
		r := e.find(c.adapter)
		taken := r != nil && r.state != stateGone
		if !e.allowsLoads(now) || taken || (c.bound != nil && c.bound != e) {
			continue
		}
		cost := s.occupancyCost(e)
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

// reservedSlots counts adapter slots that are reserved for loads.
func (e *endpoint) reservedSlots() int {
	n := 0
	for _, r := range e.replicas {
		if r.state == stateReserved {
			n++
		}
	}
	return n
}
