package ggsschedule

import (
	"math"
	"slices"
	"time"

	"greengageslip/core/ggsqueue"
)

const (
	// minRefillRate is the popularity, in arrivals a second, below which an adapter is not
	// loaded ahead of demand, that is, before a request waits for it.
	minRefillRate = 0.002
	// hysteresis is how many times more popular an adapter must be than the one evicted for it
	// ahead of demand. Without this factor the two would evict each other in turn.
	hysteresis = 2
	// replicatedCostFactor multiplies the cost of an eviction if the adapter is also resident on
	// another runner, where its requests can run.
	replicatedCostFactor = 0.25
	// fullOccupancyCost is the cost of loading onto a runner whose request slots are all taken,
	// in the unit of eviction costs: arrivals a second that would need a reload.
	fullOccupancyCost = 0.05
	// backlogMaxAge bounds the age of the counts from which waits are predicted.
	backlogMaxAge = 250 * time.Millisecond
	// loadRateWindow is the time constant of the mean rate of loads. The predicted rate is at
	// least minLoadRateFraction of this owner's share of the weight store's rate.
	loadRateWindow      = 10 * time.Second
	minLoadRateFraction = 0.05
	// standingAfter is how long the wait for loads must exceed the wait target before new
	// requests are refused. With a StallWeight of 1, the wait target is waitTargetLoads times
	// the load time.
	standingAfter   = 2 * time.Second
	waitTargetLoads = 2
	// evictedSmoothing is the inverse weight of a new sample in the mean popularity of
	// evicted adapters.
	evictedSmoothing = 16
	// standingEndPressure is the predicted wait, as a fraction of the wait target, below which a
	// queue no longer counts as standing.
	standingEndPressure = 0.1
	// waitTargetUrgent is the factor on the wait target of the highest priority. Each lower
	// priority adds waitTargetStep, up to a factor of 1.
	waitTargetUrgent = 0.5
	waitTargetStep   = 0.25
)

// score is the urgency of a load: the total wait of the requests that need the adapter,
// including the time of the load itself for each, relative to the wait target of the
// first request in the queue.
func (s *Scheduler) score(now time.Time, a *adapter) float64 {
	n := a.queue.Len()
	waited := time.Duration(n)*(now.Sub(s.origin)+s.options.LoadTime) - a.queuedSum
	return float64(waited) / float64(s.waitTarget(a.queue.Head().Value))
}

// waitTarget is the acceptable wait of a job for a load. With a StallWeight of 0 it is the job's
// whole budget, with 1 it is the time of waitTargetLoads loads, and in between it is the
// weighted geometric mean of the two. Lower priorities have a longer wait target.
func (s *Scheduler) waitTarget(j *job) time.Duration {
	if j.waitTarget == 0 {
		w := s.options.StallWeight
		short := float64(waitTargetLoads * s.options.LoadTime)
		p := math.Pow(max(float64(j.request.Budget), short), 1-w) * math.Pow(short, w)
		j.waitTarget = time.Duration(p * min(1, waitTargetUrgent+waitTargetStep*float64(max(j.item.Class, 0))))
	}
	return j.waitTarget
}

// rate estimates the adapter's arrivals a second.
func (a *adapter) rate(now time.Time) float64 {
	return a.meter.PerSecond(now, a.service.drift.Since())
}

// countReplicas counts the serving replicas that are reserved or loading, and those
// that are resident.
func (a *adapter) countReplicas(now time.Time) (pending, resident int) {
	for _, r := range a.replicas {
		if !r.endpoint.serves(now, a.ref) {
			continue
		}
		switch r.state {
		case stateReserved, stateLoading:
			pending++
		case stateResident:
			resident++
		case stateGone, stateUnloading, stateLoadUncertain, stateUnloadUncertain:
		}
	}
	return pending, resident
}

// gainsFromReplica reports whether one more replica would shorten the wait of queued
// requests: their predicted wait for a slot exceeds the load time, and another runner
// has free slots.
func (s *Scheduler) gainsFromReplica(now time.Time, a *adapter) bool {
	if s.slotWait(now, a, ggsqueue.Classes) <= s.options.LoadTime {
		return false
	}
	for _, e := range a.service.endpoints {
		if e.find(a) == nil && e.allowsLoads(now) && e.freeSlots() > 0 {
			return true
		}
	}
	return false
}

// slotWait predicts how long the next request for a resident adapter waits for a slot.
// It divides the work queued ahead on the best runner by the rate of that runner.
func (s *Scheduler) slotWait(now time.Time, a *adapter, class int) time.Duration {
	v := a.service
	if a.needsNoReplica() {
		slots := 0
		for _, e := range v.endpoints {
			if e.serves(now, a.ref) {
				slots += e.spec.Slots
			}
		}
		return v.runTime * time.Duration(a.queue.Ahead(class)+1) / time.Duration(max(slots, 1))
	}
	best := time.Duration(-1)
	for _, r := range a.replicas {
		e := r.endpoint
		if r.state != stateResident || !e.serves(now, a.ref) {
			continue
		}
		n := 1
		for _, o := range e.replicas {
			if o.state == stateResident {
				n += o.adapter.queue.Ahead(class)
			}
		}
		w := v.runTime * time.Duration(n) / time.Duration(max(e.spec.Slots, 1))
		if best < 0 || w < best {
			best = w
		}
	}
	return max(best, 0)
}

// predictWait predicts how long a job would wait until it is dispatched.
func (s *Scheduler) predictWait(now time.Time, j *job) time.Duration {
	a := j.adapter
	pending, resident := a.countReplicas(now)
	switch {
	case resident > 0 || a.needsNoReplica():
		return s.slotWait(now, a, j.item.Class)
	case pending > 0:
		return s.options.LoadTime
	}
	return max(s.loadWait(now, j), a.retryAt.Sub(now)) + s.options.LoadTime
}

// loadWait predicts how long a job waits until the load of its adapter begins. Loads are ordered
// by wait relative to the wait target, so in a standing queue all jobs reach the same ratio of
// wait to wait target by the time their loads begin. That ratio is the pressure, which is
// computed from the backlog.
func (s *Scheduler) loadWait(now time.Time, j *job) time.Duration {
	return time.Duration(s.pressure(now, j.adapter.service) * float64(s.waitTarget(j)))
}

// pressure is the predicted wait for a load as a fraction of the wait target: the backlog, a sum
// of inverse wait targets, divided by the rate of loads.
func (s *Scheduler) pressure(now time.Time, v *service) float64 {
	if s.bucket.share.LoadsPerSecond <= 0 || s.bucket.share.InTransit <= 0 {
		return math.MaxInt32
	}
	if now.Sub(v.backlogAt) > backlogMaxAge {
		s.updateBacklog(now, v)
	}
	return v.backlog / v.loadRate
}

// standingQueue reports whether the load queue has exceeded the wait target for longer than
// standingAfter. A burst may fill the queue until waits reach the requests' time budgets. A
// standing queue delays every request without raising the throughput of loads, so it is
// shortened by refusing new requests early.
func (s *Scheduler) standingQueue(now time.Time, v *service) bool {
	p := s.pressure(now, v)
	switch {
	case p < standingEndPressure:
		v.standingSince = time.Time{}
	case p >= 1 && v.standingSince.IsZero():
		v.standingSince = now
	}
	return p >= 1 && now.Sub(v.standingSince) >= standingAfter
}

// updateBacklog recounts the adapters that wait for their first replica, weighted by
// the inverse of their wait target.
func (s *Scheduler) updateBacklog(now time.Time, v *service) {
	v.backlogAt = now
	v.backlog = 0
	v.loadRate = s.loadRate(now, v)
	for _, a := range v.waiting {
		if pending, resident := a.countReplicas(now); pending+resident == 0 && !a.needsNoReplica() {
			v.backlog += 1 / s.waitTarget(a.queue.Head().Value).Seconds()
		}
	}
}

// loadRate predicts how many loads a second will succeed. If no runner has a free or
// evictable adapter slot, the weight store's share can't be used, so the recent rate of
// loads is the limit.
func (s *Scheduler) loadRate(now time.Time, v *service) float64 {
	rate := s.bucket.share.LoadsPerSecond * s.bucket.successRate()
	if !v.allFull(now) {
		return rate
	}
	recent := v.recentLoads(now) / loadRateWindow.Seconds()
	return min(rate, max(recent, rate*minLoadRateFraction))
}

// allFull reports whether all runners that allow loads are full. Runners that have not
// reported to a new owner don't count as full. Otherwise the new owner would refuse its
// first requests, since it predicts waits from a rate of loads that is still near zero.
func (v *service) allFull(now time.Time) bool {
	reported := slices.ContainsFunc(v.endpoints, func(e *endpoint) bool { return e.allowsLoads(now) })
	return reported && !v.hasUsableAdapterSlot(now)
}

// recentLoads is the decayed number of loads that were started.
func (v *service) recentLoads(now time.Time) float64 {
	return v.loadCount * math.Exp(-now.Sub(v.loadCountAt).Seconds()/loadRateWindow.Seconds())
}

// canMeetDeadline reports whether a load that starts now would finish before the
// deadline of any queued request. A later load would waste an adapter slot and a token.
func (s *Scheduler) canMeetDeadline(now time.Time, a *adapter) bool {
	ready := now.Add(s.options.LoadTime)
	for i := range a.queue.All {
		if i.Value.deadline.After(ready) {
			return true
		}
	}
	return false
}

// occupancyCost is the cost of loading onto a runner with occupied request slots. It
// grows with the fourth power of the occupancy.
func (s *Scheduler) occupancyCost(e *endpoint) float64 {
	o := float64(len(e.running)) / float64(max(e.spec.Slots, 1))
	return fullOccupancyCost * o * o * o * o
}

// victim returns the replica with the lowest eviction cost, or nil.
func (s *Scheduler) victim(now time.Time, e *endpoint) *replica {
	var best *replica
	least := 0.0
	for _, r := range e.replicas {
		if !r.evictable() {
			continue
		}
		c := s.evictionCost(now, r)
		if best == nil || c < least {
			best, least = r, c
		}
	}
	return best
}

// evictionCost is the expected cost of evicting a replica: the rate of requests that
// would need the adapter loaded again. Baseline policies use only the time since the
// last use.
func (s *Scheduler) evictionCost(now time.Time, r *replica) float64 {
	if s.options.Policy != PolicyCost {
		return -now.Sub(r.used).Seconds()
	}
	c := r.adapter.rate(now)
	if _, resident := r.adapter.countReplicas(now); resident > 1 {
		c *= replicatedCostFactor
	}
	return c
}

// evictable reports whether a replica may be evicted. A run that loses its adapter
// returns a wrong or broken answer, so a replica that a request of this or an earlier
// owner may use is never evicted. Neither is a replica that queued requests are about
// to use.
func (r *replica) evictable() bool {
	return r.state == stateResident && r.idle() && !r.awaited()
}

// idle reports whether no request of this or an earlier owner may use the replica.
func (r *replica) idle() bool {
	return r.running == 0 && !r.pinned && r.foreignRuns == 0 && !r.protected()
}

// awaited reports whether queued requests may be about to use the replica.
func (r *replica) awaited() bool {
	a := r.adapter
	return a.queue.Len() > a.boundCount || a.bound[r.endpoint] > 0
}
