package ggsschedule

import (
	"math"
	"slices"
	"time"

	"greengageslip/core/ggsqueue"
)

const (
	// refillLeast is the least popularity, in arrivals a second, that is worth
	// a load ahead of demand.
	refillLeast = 0.002
	// hysteresis is how much more popular an adapter must be than the one that
	// is evicted for it ahead of demand, lest the two take turns.
	hysteresis = 2
	// spareFactor is what is left of the cost of an eviction when the adapter
	// is resident elsewhere too.
	spareFactor = 0.25
	// crowdingCost is the cost of a runner whose slots are all taken, in
	// arrivals a second.
	crowdingCost = 0.05
	// recountEvery bounds the age of the counts that waits are predicted from.
	recountEvery = 250 * time.Millisecond
	// loadsConstant is the time over which the rate of loads is averaged, and
	// leastLoadRate bounds it in parts of the share.
	loadsConstant = 10 * time.Second
	leastLoadRate = 0.05
	// standingAfter is how long a queue for loads must stand to be cut, and
	// patienceLoads the number of loads to which it is cut when only stalls
	// weigh.
	standingAfter = 2 * time.Second
	patienceLoads = 2
	// evictedWeight is the weight of a new sample in the mean popularity of
	// evicted adapters.
	evictedWeight = 16
	// standingEnd is the pressure below which a queue stands no more.
	standingEnd = 0.1
	// patienceUrgent is the part of the patience that urgent requests have, and
	// patienceStep what each lower priority adds to it.
	patienceUrgent = 0.5
	patienceStep   = 0.25
)

// score is the urgency of a load: the total wait of the requests that need the
// adapter, each counted with the wait that the load itself will take, relative
// to the patience of the most urgent one.
func (s *Scheduler) score(now time.Time, a *adapter) float64 {
	n := a.queue.Len()
	waited := time.Duration(n)*(now.Sub(s.epoch)+s.options.LoadTime) - a.queuedSum
	return float64(waited) / float64(s.patience(a.queue.Head().Value))
}

// patience is the wait for a load that a job is worth. It lies between the
// job's whole budget, when only batches weigh, and the time of a few loads, when
// only stalls weigh; a lower priority has more of it.
func (s *Scheduler) patience(j *job) time.Duration {
	if j.patience == 0 {
		w := s.options.StallWeight
		short := float64(patienceLoads * s.options.LoadTime)
		p := math.Pow(max(float64(j.request.Budget), short), 1-w) * math.Pow(short, w)
		j.patience = time.Duration(p * min(1, patienceUrgent+patienceStep*float64(max(j.item.Class, 0))))
	}
	return j.patience
}

// rate estimates the adapter's arrivals a second.
func (a *adapter) rate(now time.Time) float64 {
	return a.meter.PerSecond(now, a.service.drift.Since())
}

// supply counts the replicas that are on their way and those that serve.
func (a *adapter) supply(now time.Time) (coming, there int) {
	for _, r := range a.replicas {
		if !r.endpoint.serves(now, a.ref) {
			continue
		}
		switch r.state {
		case stateReserved, stateLoading:
			coming++
		case stateResident:
			there++
		case stateGone, stateUnloading, stateLoadUncertain, stateUnloadUncertain:
		}
	}
	return coming, there
}

// worthReplica reports whether waiting requests would gain from one more
// replica: their wait for a slot is longer than the load, and another runner
// has free slots.
func (s *Scheduler) worthReplica(now time.Time, a *adapter) bool {
	if s.slotWait(now, a, ggsqueue.Classes) <= s.options.LoadTime {
		return false
	}
	for _, e := range a.service.endpoints {
		if e.find(a) == nil && e.loads(now) && e.free() > 0 {
			return true
		}
	}
	return false
}

// slotWait predicts how long the next request for a resident adapter waits for
// a slot: the work on its best runner that goes before it, over the runner's
// rate.
func (s *Scheduler) slotWait(now time.Time, a *adapter, class int) time.Duration {
	v := a.service
	if a.anywhere() {
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

// predictWait predicts how long a job would wait.
func (s *Scheduler) predictWait(now time.Time, j *job) time.Duration {
	a := j.adapter
	coming, there := a.supply(now)
	switch {
	case there > 0 || a.anywhere():
		return s.slotWait(now, a, j.item.Class)
	case coming > 0:
		return s.options.LoadTime
	}
	return max(s.loadWait(now, j), a.retryAt.Sub(now)) + s.options.LoadTime
}

// loadWait predicts how long a job waits until its adapter's load begins. Loads
// are ordered by waits relative to patience, so that in a standing queue these
// ratios are equal; the backlog, weighed by patience, gives the ratio.
func (s *Scheduler) loadWait(now time.Time, j *job) time.Duration {
	return time.Duration(s.pressure(now, j.adapter.service) * float64(s.patience(j)))
}

// pressure is the predicted wait for a load as a part of the patience.
func (s *Scheduler) pressure(now time.Time, v *service) float64 {
	if s.bucket.share.LoadsPerSecond <= 0 || s.bucket.share.InTransit <= 0 {
		return math.MaxInt32
	}
	if now.Sub(v.countedAt) > recountEvery {
		s.recount(now, v)
	}
	return v.backlog / v.loadRate
}

// standing reports whether the queue for loads has been longer than patience
// for some time. A burst may fill the queue up to the budgets. But a queue that
// stands makes every request wait, and not one load more is done for it; it is
// then cut by refusing newcomers early.
func (s *Scheduler) standing(now time.Time, v *service) bool {
	p := s.pressure(now, v)
	switch {
	case p < standingEnd:
		v.standingAt = time.Time{}
	case p >= 1 && v.standingAt.IsZero():
		v.standingAt = now
	}
	return p >= 1 && now.Sub(v.standingAt) >= standingAfter
}

// recount weighs the adapters that wait for their first replica.
func (s *Scheduler) recount(now time.Time, v *service) {
	v.countedAt = now
	v.backlog = 0
	v.loadRate = s.loadRate(now, v)
	for _, a := range v.waiting {
		if c, t := a.supply(now); c+t == 0 && !a.anywhere() {
			v.backlog += 1 / s.patience(a.queue.Head().Value).Seconds()
		}
	}
}

// loadRate predicts how many loads a second will succeed. While every runner is
// full of adapters that requests run on or wait for, the weight store could do
// more than there is room for: the rate of late is then taken.
func (s *Scheduler) loadRate(now time.Time, v *service) float64 {
	rate := s.bucket.share.LoadsPerSecond * s.bucket.success()
	if !v.crowded(now) {
		return rate
	}
	late := v.loadsOfLate(now) / loadsConstant.Seconds()
	return min(rate, max(late, rate*leastLoadRate))
}

// crowded reports whether all runners are full. Runners that have not reported
// to a new owner yet say nothing: taken for full, they would have it refuse its
// first requests by a rate of loads that it had no time to reach.
func (v *service) crowded(now time.Time) bool {
	reported := slices.ContainsFunc(v.endpoints, func(e *endpoint) bool { return e.loads(now) })
	return reported && !v.hasRoom(now)
}

// loadsOfLate is the decayed number of loads that were begun.
func (v *service) loadsOfLate(now time.Time) float64 {
	return v.loads * math.Exp(-now.Sub(v.loadsAt).Seconds()/loadsConstant.Seconds())
}

// inTime reports whether any waiting request can still gain from a load. One
// that begins too late would take a slot and a token for nothing.
func (s *Scheduler) inTime(now time.Time, a *adapter) bool {
	ready := now.Add(s.options.LoadTime)
	for i := range a.queue.All {
		if i.Value.deadline.After(ready) {
			return true
		}
	}
	return false
}

// crowding is the cost of loading onto a runner whose slots are taken.
func (s *Scheduler) crowding(e *endpoint) float64 {
	o := float64(len(e.running)) / float64(max(e.spec.Slots, 1))
	return crowdingCost * o * o * o * o
}

// victim returns the replica whose eviction costs least, or nil.
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

// evictionCost is the expected cost of evicting a replica: how often its
// adapter will be asked for and have to come back. Baselines go by age alone.
func (s *Scheduler) evictionCost(now time.Time, r *replica) float64 {
	if s.options.Policy != PolicyCost {
		return -now.Sub(r.used).Seconds()
	}
	c := r.adapter.rate(now)
	if _, there := r.adapter.supply(now); there > 1 {
		c *= spareFactor
	}
	return c
}

// evictable reports whether a replica may be evicted. A run that loses its
// adapter gives a wrong or broken answer: a replica that a request of ours or
// of an earlier owner may use is out of the question, and so is one that
// waiting requests are about to use.
func (r *replica) evictable() bool {
	return r.state == stateResident && r.idle() && !r.awaited()
}

// idle reports whether no request of ours or of an earlier owner may use the
// replica.
func (r *replica) idle() bool {
	return r.running == 0 && !r.pinned && r.foreign == 0 && !r.protected()
}

// awaited reports whether waiting requests may be about to use the replica.
func (r *replica) awaited() bool {
	a := r.adapter
	return a.queue.Len() > a.boundCount || a.bound[r.endpoint] > 0
}
