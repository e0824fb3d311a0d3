package ggsschedule

import (
	"time"

	ggscore "greengageslip/core"
)

const (
	// refillLeast is the least popularity, in arrivals a second, that is worth
	// a load ahead of demand.
	refillLeast = 0.002
	// spareFactor is what is left of the cost of an eviction when the adapter
	// is resident elsewhere too.
	spareFactor = 0.25
	// crowdingCost is the cost of a runner whose slots are all taken, in
	// arrivals a second.
	crowdingCost = 0.05
	// classStep is the factor between the weights of two priorities.
	classStep = 4.0
)

// score is the urgency of a load: the total wait of the requests that need the
// adapter, each counted with the wait that the load itself will take, weighed
// by priority.
func (s *Scheduler) score(now time.Time, a *adapter) float64 {
	n := a.queue.Len()
	waited := time.Duration(n)*(now.Sub(s.epoch)+s.options.LoadTime) - a.queuedSum
	weight := 1.0
	for c := a.queue.Head().Class; c < int(ggscore.PriorityDeferrable); c++ {
		weight *= classStep
	}
	return weight * waited.Seconds()
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
	if s.slotWait(now, a) <= s.options.LoadTime {
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
// a slot: the waiting work on its best runner over the runner's rate.
func (s *Scheduler) slotWait(now time.Time, a *adapter) time.Duration {
	v := a.service
	if a.anywhere() {
		slots := 0
		for _, e := range v.endpoints {
			if e.serves(now, a.ref) {
				slots += e.spec.Slots
			}
		}
		return v.runTime * time.Duration(a.queue.Len()+1) / time.Duration(max(slots, 1))
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
				n += o.adapter.queue.Len()
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
		return s.slotWait(now, a)
	case coming > 0:
		return s.options.LoadTime
	}
	rate := s.bucket.share.LoadsPerSecond
	if rate <= 0 || s.bucket.share.InTransit <= 0 {
		return retryAfterMost
	}
	ahead := 0
	for _, o := range a.service.waiting {
		if o != a && o.queue.Head().Class <= j.item.Class && o.queue.Len() > a.queue.Len() {
			c, t := o.supply(now)
			if c+t == 0 {
				ahead++
			}
		}
	}
	w := time.Duration(float64(ahead) / rate * float64(time.Second))
	return max(w, a.retryAt.Sub(now)) + s.options.LoadTime
}

// crowding is the cost of loading onto a runner whose slots are taken.
func (s *Scheduler) crowding(e *endpoint) float64 {
	return crowdingCost * float64(len(e.running)) / float64(max(e.spec.Slots, 1))
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
	c := r.adapter.meter.PerSecond(now)
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
	idle := r.running == 0 && !r.pinned && r.foreign == 0
	return r.state == stateResident && idle && !r.protected() && !r.awaited()
}

// awaited reports whether waiting requests may be about to use the replica.
func (r *replica) awaited() bool {
	for i := range r.adapter.queue.All {
		if b := i.Value.bound; b == nil || b == r.endpoint {
			return true
		}
	}
	return false
}
