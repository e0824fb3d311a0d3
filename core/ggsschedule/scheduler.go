package ggsschedule

import (
	"container/heap"
	"math/rand/v2"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsqueue"
)

// A Scheduler decides for the endpoints of one owner.
type Scheduler struct {
	options   Options
	random    *rand.Rand
	epoch     time.Time
	services  map[ggscore.Service]*service
	ordered   []*service
	endpoints map[ggscore.EndpointID]*endpoint
	jobs      map[ggscore.RequestID]*job
	free      *job
	sequence  uint64
	clock     ggsqueue.Clock
	timers    timers
	bucket    bucket
	// wake is when the load pass wants to run again, zero if it doesn't.
	wake time.Time
	// reopen is when the next endpoint that failed is tried again.
	reopen time.Time
	orders []ggscore.Order
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

// NextTick returns when Tick is wanted next, or the zero time.
func (s *Scheduler) NextTick() time.Time {
	t := earliest(s.wake, s.reopen)
	if len(s.timers) > 0 {
		t = earliest(t, s.timers[0].timerAt)
	}
	return t
}

// SetMarkets sets the markets' weights. Markets that it doesn't name have
// weight one.
func (s *Scheduler) SetMarkets(weights map[ggscore.Market]int) { s.clock.SetWeights(weights) }

// SetPolicy takes the document's policy into force. The limits of the weight
// store come by SetLoadShare instead.
func (s *Scheduler) SetPolicy(now time.Time, p ggscore.PolicySpec) []ggscore.Order {
	s.begin(now)
	s.options.StallWeight = min(max(p.StallWeight, 0), 1)
	if p.LoadTime > 0 {
		s.options.LoadTime = p.LoadTime
	}
	return s.finish(now)
}

// Summary describes the endpoints, in the order of their names.
func (s *Scheduler) Summary(now time.Time) []ggscore.RunnerSummary {
	var all []ggscore.RunnerSummary
	for _, v := range s.ordered {
		for _, e := range v.endpoints {
			all = append(all, summarize(now, e))
		}
	}
	return all
}

// Tick refuses requests whose budget ran out and does what else is due.
func (s *Scheduler) Tick(now time.Time) []ggscore.Order {
	s.begin(now)
	for len(s.timers) > 0 && !s.timers[0].timerAt.After(now) {
		s.fire(now, s.timers[0])
	}
	if !s.reopen.IsZero() && !now.Before(s.reopen) {
		s.reopenEndpoints(now)
	}
	return s.finish(now)
}

// begin starts a call.
func (s *Scheduler) begin(now time.Time) {
	if s.epoch.IsZero() {
		s.epoch = now
	}
	s.orders = s.orders[:0]
}

// finish ends a call: it orders the loads that are due.
func (s *Scheduler) finish(now time.Time) []ggscore.Order {
	s.orderLoads(now)
	return s.orders
}

// fire handles the timer of a waiting job: either the wait for a fuller batch
// is over, or the whole budget.
func (s *Scheduler) fire(now time.Time, j *job) {
	if !now.Before(j.deadline) {
		s.refuseQueued(now, j, "budget ran out while waiting")
		return
	}
	j.adapter.queue.Remove(&j.item)
	j.gathering = false
	j.item.Class = min(j.item.Class, int(ggscore.PriorityNormal))
	j.adapter.urgent++
	j.adapter.queue.Push(&s.clock, &j.item)
	j.timerAt = j.deadline
	heap.Fix(&s.timers, j.timer)
}

// reopenEndpoints sends work again to endpoints whose pause is over.
func (s *Scheduler) reopenEndpoints(now time.Time) {
	s.reopen = time.Time{}
	for _, v := range s.ordered {
		for _, e := range v.endpoints {
			if now.Before(e.openUntil) {
				s.reopen = earliest(s.reopen, e.openUntil)
			} else {
				s.drain(now, e)
			}
		}
	}
}

// service returns the entry of a service. It makes one if need be.
func (s *Scheduler) service(n ggscore.Service, k ggscore.ServiceKind) *service {
	if v := s.services[n]; v != nil {
		return v
	}
	v := &service{name: n, kind: k, adapters: make(map[ggscore.AdapterRef]*adapter)}
	s.services[n] = v
	s.ordered = append(s.ordered, v)
	return v
}

// summarize describes one endpoint. Requests whose adapter isn't on any runner
// count in equal parts on all runners of the service.
func summarize(now time.Time, e *endpoint) ggscore.RunnerSummary {
	m := ggscore.RunnerSummary{
		Endpoint:     e.spec.ID,
		Service:      e.spec.Service,
		Mode:         e.mode,
		Leaving:      e.spec.Leaving,
		Slots:        e.spec.Slots,
		Running:      len(e.running) + e.foreign(),
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
	elsewhere := 0
	for _, a := range e.service.waiting {
		n := a.placedOn(now)
		switch {
		case n == 0:
			elsewhere += a.queue.Len()
		case a.anywhere() || e.find(a) != nil:
			m.Queued += a.queue.Len() / n
		}
	}
	m.Queued += elsewhere / len(e.service.endpoints)
	return m
}

// earliest returns the earlier of two times, of which zero means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
