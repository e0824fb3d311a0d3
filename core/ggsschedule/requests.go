package ggsschedule

import (
	"container/heap"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsqueue"
)

const (
	// maxDispatches bounds the tries of one request.
	maxDispatches = 3
	// failuresToPause is the number of failed runs in a row after which an
	// endpoint gets no work for a while.
	failuresToPause = 3
	// pauseBase and pauseLimit bound that pause.
	pauseBase  = 500 * time.Millisecond
	pauseLimit = 15 * time.Second
	// retryAfterLeast and retryAfterMost bound what refused callers are told.
	retryAfterLeast = 100 * time.Millisecond
	retryAfterMost  = 30 * time.Second
	// runTimeWeight is the weight of a new sample in the mean time of a run.
	runTimeWeight = 16
)

// Cancel ends a request that its caller gave up on. A waiting one is refused
// at once. A running one keeps its slot and its adapter until RequestEnded,
// since the engine may still use both; it is not tried again.
func (s *Scheduler) Cancel(now time.Time, id ggscore.RequestID) []ggscore.Order {
	s.begin(now)
	j := s.jobs[id]
	switch {
	case j == nil:
	case j.endpoint != nil:
		j.cancelled = true
	default:
		s.dequeue(j)
		s.refuse(j, ggscore.FailureCancelled, "cancelled while waiting", 0)
	}
	return s.finish(now)
}

// RequestEnded takes the end of a run.
func (s *Scheduler) RequestEnded(now time.Time, id ggscore.RequestID, k ggscore.EndKind) []ggscore.Order {
	s.begin(now)
	j := s.jobs[id]
	if j == nil || j.endpoint == nil {
		return s.finish(now)
	}
	e, r := j.endpoint, j.replica
	s.release(now, j, k)
	s.judge(now, e, j, k)
	if r != nil && k == ggscore.EndAdapterMissing && r.state == stateResident {
		s.lose(now, r)
	}
	if k == ggscore.EndFailed || k == ggscore.EndAdapterMissing {
		s.again(now, j)
	} else {
		s.forget(j)
	}
	s.drain(now, e)
	return s.finish(now)
}

// Submit takes a request. It is dispatched, put into a queue, or refused. A
// request whose ID is already known is ignored.
func (s *Scheduler) Submit(now time.Time, r *ggscore.Request) []ggscore.Order {
	s.begin(now)
	if s.jobs[r.ID] != nil {
		return s.finish(now)
	}
	v := s.service(r.Service, r.Kind)
	a := v.adapter(now, r.Adapter, s.options.MaxAdapters)
	v.drift.Observe(now, a.rate(now) <= v.evicted)
	a.meter.Add(now, v.drift.Since())
	j := s.admit(now, r, a)
	s.enter(now, j)
	return s.finish(now)
}

// admit makes a job of a request.
func (s *Scheduler) admit(now time.Time, r *ggscore.Request, a *adapter) *job {
	j := s.free
	if j == nil {
		j = &job{}
	} else {
		s.free = j.next
	}
	s.sequence++
	*j = job{
		request:  r,
		adapter:  a,
		queuedAt: now,
		deadline: now.Add(r.Budget),
		due:      now.Add(min(r.Deferrable, r.Budget/2)),
		timer:    -1,
	}
	j.item = ggsqueue.Item[*job]{
		Value:    j,
		Share:    s.clock.Share(r.Market),
		Class:    int(r.Priority),
		Deadline: j.deadline,
		Seq:      s.sequence,
	}
	s.jobs[r.ID] = j
	a.jobs++
	return j
}

// again puts a request whose run provably had no effect back in line.
func (s *Scheduler) again(now time.Time, j *job) {
	switch {
	case j.cancelled:
		s.refuse(j, ggscore.FailureCancelled, "cancelled", 0)
	case j.dispatches >= maxDispatches:
		s.refuse(j, ggscore.FailureEndpoint, "every try failed", s.retryAfter(0))
	default:
		j.queuedAt = now
		s.enter(now, j)
	}
}

// dequeue takes a waiting job out of all queues.
func (s *Scheduler) dequeue(j *job) {
	a := j.adapter
	a.queue.Remove(&j.item)
	a.queuedSum -= j.queuedAt.Sub(s.epoch)
	if j.bound != nil {
		a.countBound(j.bound, -1)
	}
	if !j.gathering {
		a.urgent--
	}
	if j.timer >= 0 {
		heap.Remove(&s.timers, j.timer)
	}
	v := a.service
	v.queued--
	if a.queue.Len() == 0 {
		v.unlist(a)
	}
}

// enqueue makes a job wait.
func (s *Scheduler) enqueue(now time.Time, j *job) {
	a := j.adapter
	j.gathering = now.Before(j.due)
	j.timerAt = j.deadline
	if j.gathering {
		j.timerAt = j.due
	} else {
		a.urgent++
	}
	a.queuedSum += j.queuedAt.Sub(s.epoch)
	if j.bound != nil {
		a.countBound(j.bound, 1)
	}
	a.queue.Push(&s.clock, &j.item)
	heap.Push(&s.timers, j)
	v := a.service
	v.queued++
	if a.waiting < 0 {
		if len(a.replicas) == 0 {
			v.backlog += 1 / s.patience(j).Seconds()
		}
		a.waiting = len(v.waiting)
		v.waiting = append(v.waiting, a)
	}
}

// enter dispatches a job, makes it wait, or refuses it.
func (s *Scheduler) enter(now time.Time, j *job) {
	s.bind(now, j)
	if e, r := s.route(now, j); e != nil {
		s.dispatch(now, j, e, r)
		return
	}
	if !j.adapter.servable() {
		s.refuse(j, ggscore.FailureNoCapacity, "no endpoint can serve it now", s.retryAfter(0))
		return
	}
	if j.adapter.service.queued >= s.options.MaxQueued {
		s.refuse(j, ggscore.FailureNoCapacity, "queue is full", s.retryAfter(s.predictWait(now, j)))
		return
	}
	w := s.predictWait(now, j)
	if w >= j.deadline.Sub(now) {
		s.refuse(j, ggscore.FailureNoCapacity, "wait would exceed the budget", s.retryAfter(w))
		return
	}
	if s.unplaced(now, j.adapter) && s.standing(now, j.adapter.service) {
		s.refuse(j, ggscore.FailureNoCapacity, "queue for loads is long", s.retryAfter(w))
		return
	}
	s.enqueue(now, j)
}

// forget drops a job that has ended.
func (s *Scheduler) forget(j *job) {
	delete(s.jobs, j.request.ID)
	j.adapter.jobs--
	*j = job{next: s.free, timer: -1}
	s.free = j
}

// judge learns from the end of a run how healthy its endpoint is. An endpoint
// that fails every run at once would draw all requests to itself, since its
// slots are always free; callers would see a burst of failures. After a few
// failures in a row it gets no work for a growing while.
func (s *Scheduler) judge(now time.Time, e *endpoint, j *job, k ggscore.EndKind) {
	v := j.adapter.service
	switch k {
	case ggscore.EndDone:
		e.failures = 0
		d := now.Sub(j.startedAt)
		if v.runTime == 0 {
			v.runTime = d
		}
		v.runTime += (d - v.runTime) / runTimeWeight
	case ggscore.EndFailed, ggscore.EndUnknown:
		e.failures++
		if e.failures >= failuresToPause && !j.cancelled {
			e.openUntil = now.Add(s.backoff(e.failures-failuresToPause, pauseBase, pauseLimit))
			s.reopen = earliest(s.reopen, e.openUntil)
		}
	case ggscore.EndAdapterMissing:
	}
}

// refuse answers a job that isn't in a queue, and forgets it.
func (s *Scheduler) refuse(j *job, k ggscore.FailureKind, detail string, after time.Duration) {
	s.orders = append(s.orders, ggscore.Order{
		Kind:    ggscore.OrderRefuse,
		Adapter: j.adapter.ref,
		Request: j.request,
		Failure: &ggscore.Failure{
			Kind:       k,
			Outcome:    ggscore.OutcomeNotRun,
			Detail:     detail,
			RetryAfter: after,
		},
	})
	s.forget(j)
}

// refuseQueued answers a waiting job.
func (s *Scheduler) refuseQueued(now time.Time, j *job, detail string) {
	w := s.predictWait(now, j)
	s.dequeue(j)
	s.refuse(j, ggscore.FailureNoCapacity, detail, s.retryAfter(w))
}

// release frees the slot and the pin of a run.
func (s *Scheduler) release(now time.Time, j *job, k ggscore.EndKind) {
	e, r := j.endpoint, j.replica
	last := e.running[len(e.running)-1]
	e.running[j.position] = last
	last.position = j.position
	e.running[len(e.running)-1] = nil
	e.running = e.running[:len(e.running)-1]
	if r != nil {
		r.running--
		if k == ggscore.EndUnknown && r.state != stateGone {
			r.doubt(now)
		}
	}
	j.endpoint = nil
	j.replica = nil
}

// retryAfter bounds a predicted wait to what callers are told.
func (s *Scheduler) retryAfter(w time.Duration) time.Duration {
	return min(max(w, retryAfterLeast), retryAfterMost)
}

// doubt pins a replica after a run whose end is unknown. The engine may go on
// with the run after our connection broke: an eviction then would pull the
// adapter from under it, and its slot isn't free. A newer report settles it.
func (r *replica) doubt(now time.Time) {
	r.pinned = true
	r.pinnedAt = now
	r.foreign++
}

// countBound counts waiting jobs that are bound to an endpoint.
func (a *adapter) countBound(e *endpoint, n int) {
	if a.bound == nil {
		a.bound = make(map[*endpoint]int)
	}
	a.bound[e] += n
	if a.bound[e] == 0 {
		delete(a.bound, e)
	}
	a.boundCount += n
	e.bound += n
}

// unplaced reports whether an adapter's requests have to wait for its first
// load, under the policy that cuts standing queues.
func (s *Scheduler) unplaced(now time.Time, a *adapter) bool {
	if a.anywhere() || s.options.Policy != PolicyCost {
		return false
	}
	coming, there := a.supply(now)
	return coming+there == 0
}

// unlist takes an adapter without waiting requests from the list.
func (v *service) unlist(a *adapter) {
	last := v.waiting[len(v.waiting)-1]
	v.waiting[a.waiting] = last
	last.waiting = a.waiting
	v.waiting[len(v.waiting)-1] = nil
	v.waiting = v.waiting[:len(v.waiting)-1]
	a.waiting = -1
}
