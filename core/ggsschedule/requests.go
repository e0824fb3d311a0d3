package ggsschedule

import (
	"container/heap"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsqueue"
)

const (
	// maxDispatches bounds the dispatch attempts of one request.
	maxDispatches = 3
	// failuresToPause is the number of consecutive failed runs after which an endpoint is
	// paused.
	failuresToPause = 3
	// pauseBase and pauseLimit bound the backoff of a paused endpoint.
	pauseBase  = 500 * time.Millisecond
	pauseLimit = 15 * time.Second
	// minRetryAfter and maxRetryAfter bound the RetryAfter of refusals.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// runTimeSmoothing is the inverse weight of a new sample in the mean time of a run.
	runTimeSmoothing = 16
)

// Cancel cancels a request at the caller's demand. A queued request is refused at once.
// A running request keeps its slot and its adapter until RequestEnded, since the engine
// may still use both; it is not retried.
func (s *Scheduler) Cancel(now time.Time, id ggscore.RequestID) []ggscore.Order {
	s.begin(now)
	j := s.jobs[id]
	switch {
	case j == nil:
	case j.endpoint != nil:
		j.cancelled = true
	default:
		s.dequeue(j)
		s.refuse(j, ggscore.FailureCancelled, "request cancelled while queued", 0)
	}
	return s.finish(now)
}

// RequestEnded reports the end of a run.
func (s *Scheduler) RequestEnded(now time.Time, id ggscore.RequestID, k ggscore.EndKind) []ggscore.Order {
	s.begin(now)
	j := s.jobs[id]
	if j == nil || j.endpoint == nil {
		return s.finish(now)
	}
	e, r := j.endpoint, j.replica
	s.release(now, j, k)
	s.updateHealth(now, e, j, k)
	if r != nil && k == ggscore.EndAdapterMissing && r.state == stateResident {
		s.markMissing(now, r)
	}
	if k == ggscore.EndFailed || k == ggscore.EndAdapterMissing {
		s.retry(now, j)
	} else {
		s.removeJob(j)
	}
	s.drain(now, e)
	return s.finish(now)
}

// Submit adds a request and dispatches, queues or refuses it. A request whose ID is
// already known is ignored.
func (s *Scheduler) Submit(now time.Time, r *ggscore.Request) []ggscore.Order {
	s.begin(now)
	if s.jobs[r.ID] != nil {
		return s.finish(now)
	}
	v := s.service(r.Service, r.Kind)
	a := v.adapter(now, r.Adapter, s.options.MaxAdapters)
	v.drift.Observe(now, a.rate(now) <= v.evicted)
	a.meter.Add(now, v.drift.Since())
	j := s.newJob(now, r, a)
	s.schedule(now, j)
	return s.finish(now)
}

// newJob creates the job of a request.
func (s *Scheduler) newJob(now time.Time, r *ggscore.Request, a *adapter) *job {
	j := s.freeJobs
	if j == nil {
		j = &job{}
	} else {
		s.freeJobs = j.next
	}
	s.sequence++
	*j = job{
		request:    r,
		adapter:    a,
		queuedAt:   now,
		deadline:   now.Add(r.Budget),
		batchUntil: now.Add(min(r.Deferrable, r.Budget/2)),
		timer:      -1,
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

// retry schedules again a request whose run provably had no effect.
func (s *Scheduler) retry(now time.Time, j *job) {
	switch {
	case j.cancelled:
		s.refuse(j, ggscore.FailureCancelled, "request cancelled: not retried after a failed run", 0)
	case j.dispatches >= maxDispatches:
		s.refuse(j, ggscore.FailureEndpoint, "request failed on every dispatch attempt", s.retryAfter(0))
	default:
		j.queuedAt = now
		s.schedule(now, j)
	}
}

// dequeue removes a queued job from all queues.
func (s *Scheduler) dequeue(j *job) {
	a := j.adapter
	a.queue.Remove(&j.item)
	a.queuedSum -= j.queuedAt.Sub(s.origin)
	if j.bound != nil {
		a.countBound(j.bound, -1)
	}
	if !j.batching {
		a.urgent--
	}
	if j.timer >= 0 {
		heap.Remove(&s.timers, j.timer)
	}
	v := a.service
	v.queued--
	if a.queue.Len() == 0 {
		v.removeWaiting(a)
	}
}

// enqueue adds a job to its adapter's queue.
func (s *Scheduler) enqueue(now time.Time, j *job) {
	a := j.adapter
	j.batching = now.Before(j.batchUntil)
	j.timerAt = j.deadline
	if j.batching {
		j.timerAt = j.batchUntil
	} else {
		a.urgent++
	}
	a.queuedSum += j.queuedAt.Sub(s.origin)
	if j.bound != nil {
		a.countBound(j.bound, 1)
	}
	a.queue.Push(&s.clock, &j.item)
	heap.Push(&s.timers, j)
	v := a.service
	v.queued++
	if a.waiting < 0 {
		if len(a.replicas) == 0 {
			v.backlog += 1 / s.waitTarget(j).Seconds()
		}
		a.waiting = len(v.waiting)
		v.waiting = append(v.waiting, a)
	}
}

// schedule dispatches, queues or refuses a job.
func (s *Scheduler) schedule(now time.Time, j *job) {
	s.bind(now, j)
	if e, r := s.route(now, j); e != nil {
		s.dispatch(now, j, e, r)
		return
	}
	if !j.adapter.servable() {
		s.refuse(j, ggscore.FailureNoCapacity, "no endpoint can serve the request now", s.retryAfter(0))
		return
	}
	if j.adapter.service.queued >= s.options.MaxQueued {
		s.refuse(j, ggscore.FailureNoCapacity, "not queued: the queue of the service is full", s.retryAfter(s.predictWait(now, j)))
		return
	}
	w := s.predictWait(now, j)
	if w >= j.deadline.Sub(now) {
		s.refuse(j, ggscore.FailureNoCapacity, "not queued: predicted wait exceeds the request budget", s.retryAfter(w))
		return
	}
	if s.awaitsFirstLoad(now, j.adapter) && s.standingQueue(now, j.adapter.service) {
		s.refuse(j, ggscore.FailureNoCapacity, "not queued: the queue for adapter loads is overloaded", s.retryAfter(w))
		return
	}
	s.enqueue(now, j)
}

// removeJob removes a job that has ended.
func (s *Scheduler) removeJob(j *job) {
	delete(s.jobs, j.request.ID)
	j.adapter.jobs--
	*j = job{next: s.freeJobs, timer: -1}
	s.freeJobs = j
}

// updateHealth updates the health of an endpoint with the end of a run. An endpoint
// that fails every run at once always has free slots and would attract all requests,
// and callers would see a burst of failures. After failuresToPause consecutive failures
// the endpoint is paused with exponential backoff.
func (s *Scheduler) updateHealth(now time.Time, e *endpoint, j *job, k ggscore.EndKind) {
	v := j.adapter.service
	switch k {
	case ggscore.EndDone:
		e.failures = 0
		d := now.Sub(j.startedAt)
		if v.runTime == 0 {
			v.runTime = d
		}
		v.runTime += (d - v.runTime) / runTimeSmoothing
	case ggscore.EndFailed, ggscore.EndUnknown:
		e.failures++
		if e.failures >= failuresToPause && !j.cancelled {
			e.pausedUntil = now.Add(s.backoff(e.failures-failuresToPause, pauseBase, pauseLimit))
			s.resumeAt = earliest(s.resumeAt, e.pausedUntil)
		}
	case ggscore.EndAdapterMissing:
	}
}

// refuse refuses a job that isn't in a queue and removes it.
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
	s.removeJob(j)
}

// refuseQueued refuses a queued job.
func (s *Scheduler) refuseQueued(now time.Time, j *job, detail string) {
	w := s.predictWait(now, j)
	s.dequeue(j)
	s.refuse(j, ggscore.FailureNoCapacity, detail, s.retryAfter(w))
}

// release frees the slot of a run and its count on the replica.
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
			r.pinUntilReported(now)
		}
	}
	j.endpoint = nil
	j.replica = nil
}

// retryAfter limits a predicted wait to the range that is returned to callers.
func (s *Scheduler) retryAfter(w time.Duration) time.Duration {
	return min(max(w, minRetryAfter), maxRetryAfter)
}

// pinUntilReported pins a replica after a run whose end is unknown. The engine may
// continue the run after the connection broke: the request slot isn't free, and an
// eviction would break the run. Only a newer report ends the pin.
func (r *replica) pinUntilReported(now time.Time) {
	r.pinned = true
	r.pinnedAt = now
	r.foreignRuns++
}

// countBound adds n to the number of queued jobs that are bound to an endpoint.
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

// awaitsFirstLoad reports whether an adapter's requests must wait for its first load
// under PolicyCost, the only policy that shortens standing queues.
func (s *Scheduler) awaitsFirstLoad(now time.Time, a *adapter) bool {
	if a.needsNoReplica() || s.options.Policy != PolicyCost {
		return false
	}
	pending, resident := a.countReplicas(now)
	return pending+resident == 0
}

// removeWaiting removes an adapter without queued requests from the list.
func (v *service) removeWaiting(a *adapter) {
	last := v.waiting[len(v.waiting)-1]
	v.waiting[a.waiting] = last
	last.waiting = a.waiting
	v.waiting[len(v.waiting)-1] = nil
	v.waiting = v.waiting[:len(v.waiting)-1]
	a.waiting = -1
}
