package ggsschedule

import (
	"container/heap"
	"math/rand/v2"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsqueue"
)

// A Scheduler schedules requests and adapters on the endpoints of one owner.
type Scheduler struct {
	options Options
	random  *rand.Rand
	// origin is the time of the first call. adapter.queuedSum adds up times as offsets from it.
	origin    time.Time
	services  map[ggscore.Service]*service
	ordered   []*service
	endpoints map[ggscore.EndpointID]*endpoint
	jobs      map[ggscore.RequestID]*job
	freeJobs  *job
	sequence  uint64
	clock     ggsqueue.Clock
	timers    timers
	bucket    bucket
	// nextLoadPass is when orderLoads must run again, or zero.
	nextLoadPass time.Time
	// resumeAt is when the next paused endpoint accepts requests again, or zero.
	resumeAt time.Time
	orders   []ggscore.Order
}

var _ ggscore.Scheduler = (*Scheduler)(nil)

// New returns a Scheduler without endpoints.
func New(o Options) *Scheduler {
	return &Scheduler{
		options:   o.withDefaults(),
		random:    rand.New(rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15)),
		services:  make(map[ggscore.Service]*service),
		endpoints: make(map[ggscore.EndpointID]*endpoint),
		jobs:      make(map[ggscore.RequestID]*job),
	}
}

// NextTick returns the latest time for the next call of Tick, or zero if none is
// needed.
func (s *Scheduler) NextTick() time.Time {
	t := earliest(s.nextLoadPass, s.resumeAt)
	if len(s.timers) > 0 {
		t = earliest(t, s.timers[0].timerAt)
	}
	return t
}

// SetMarkets sets the weights of markets. Markets without an entry have weight one.
func (s *Scheduler) SetMarkets(weights map[ggscore.Market]int) { s.clock.SetWeights(weights) }

// SetPolicy applies the document's policy. The limits of the weight store are set by
// SetLoadShare instead.
func (s *Scheduler) SetPolicy(now time.Time, p ggscore.PolicySpec) []ggscore.Order {
	s.begin(now)
	s.options.StallWeight = min(max(p.StallWeight, 0), 1)
	if p.LoadTime > 0 {
		s.options.LoadTime = p.LoadTime
	}
	return s.finish(now)
}

// Summary describes the endpoints, grouped by service and ordered by ID within a service.
func (s *Scheduler) Summary(now time.Time) []ggscore.RunnerSummary {
	var all []ggscore.RunnerSummary
	for _, v := range s.ordered {
		for _, e := range v.endpoints {
			all = append(all, summarize(now, e))
		}
	}
	return all
}

// Tick refuses requests whose budget ran out, ends waits for fuller batches, and
// resumes paused endpoints.
func (s *Scheduler) Tick(now time.Time) []ggscore.Order {
	s.begin(now)
	for len(s.timers) > 0 && !s.timers[0].timerAt.After(now) {
		s.fireTimer(now, s.timers[0])
	}
	if !s.resumeAt.IsZero() && !now.Before(s.resumeAt) {
		s.resumeEndpoints(now)
	}
	return s.finish(now)
}

// begin clears the orders of the previous call and sets origin on the first call.
func (s *Scheduler) begin(now time.Time) {
	if s.origin.IsZero() {
		s.origin = now
	}
	s.orders = s.orders[:0]
}

// finish ends a call: it orders the loads that are due and returns all orders.
func (s *Scheduler) finish(now time.Time) []ggscore.Order {
	s.orderLoads(now)
	return s.orders
}

// fireTimer handles the timer of a queued job. The timer marks the end of either the
// wait for a fuller batch or the whole budget.
func (s *Scheduler) fireTimer(now time.Time, j *job) {
	if !now.Before(j.deadline) {
		s.refuseQueued(now, j, "request budget ran out in the queue")
		return
	}
	j.adapter.queue.Remove(&j.item)
	j.batching = false
	j.item.Class = min(j.item.Class, int(ggscore.PriorityNormal))
	j.adapter.urgent++
	j.adapter.queue.Push(&s.clock, &j.item)
	j.timerAt = j.deadline
	heap.Fix(&s.timers, j.timer)
}

// resumeEndpoints dispatches requests to endpoints whose pause is over.
func (s *Scheduler) resumeEndpoints(now time.Time) {
	s.resumeAt = time.Time{}
	for _, v := range s.ordered {
		for _, e := range v.endpoints {
			if now.Before(e.pausedUntil) {
				s.resumeAt = earliest(s.resumeAt, e.pausedUntil)
			} else {
				s.drain(now, e)
			}
		}
	}
}

// service returns the entry of a service and creates it if needed.
func (s *Scheduler) service(n ggscore.Service, k ggscore.ServiceKind) *service {
	if v := s.services[n]; v != nil {
		return v
	}
	v := &service{name: n, kind: k, adapters: make(map[ggscore.AdapterRef]*adapter)}
	s.services[n] = v
	s.ordered = append(s.ordered, v)
	return v
}

// summarize describes one endpoint. Requests whose adapter is on no runner are divided
// equally among all runners of the service.
func summarize(now time.Time, e *endpoint) ggscore.RunnerSummary {
	m := ggscore.RunnerSummary{
		Endpoint:     e.spec.ID,
		Service:      e.spec.Service,
		Mode:         e.mode,
		Leaving:      e.spec.Leaving,
		Slots:        e.spec.Slots,
		Running:      len(e.running) + e.foreignRuns(),
		AdapterSlots: e.spec.AdapterSlots,
	}
	for _, r := range e.replicas {
		switch r.state {
		case stateResident:
			m.Resident = append(m.Resident, r.adapter.ref)
		case stateLoading, stateReserved:
			m.Loading = append(m.Loading, r.adapter.ref)
		case stateGone, stateUnloading, stateLoadUncertain, stateUnloadUncertain:
		}
	}
	unplaced := 0
	for _, a := range e.service.waiting {
		n := a.placementCount(now)
		switch {
		case n == 0:
			unplaced += a.queue.Len()
		case a.needsNoReplica() || e.find(a) != nil:
			m.Queued += a.queue.Len() / n
		}
	}
	m.Queued += unplaced / len(e.service.endpoints)
	return m
}

// earliest returns the earlier of two times, where zero means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
