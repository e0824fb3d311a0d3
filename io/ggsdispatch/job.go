package ggsdispatch

import (
	"context"
	"time"

	ggscore "greengageslip/core"
)

type jobState int

const (
	jobQueued jobState = iota
	jobRunning
	jobEnded
)

// A jobKey names one offer of a request. A request that was given back may be
// offered again to the same dispatcher, where the answer to its first offer, or
// that one's late withdrawal, must not be taken for the second's.
type jobKey struct {
	id      ggscore.RequestID
	attempt int
}

func keyOf(r *ggscore.Request) jobKey { return jobKey{id: r.ID, attempt: r.Attempt} }

// A job is a request from its submission until its id is forgotten.
type job struct {
	request *ggscore.Request
	stream  *stream
	state   jobState
	// endpoint is where it runs or ran last.
	endpoint ggscore.EndpointID
	outcome  ggscore.Outcome
	// abandoned says that no gateway will read the answer.
	abandoned bool
	cancel    context.CancelFunc
	submitted time.Time
	ended     time.Time
	// stall is how long the request waited for its adapter to arrive.
	stall time.Duration
	// claim is held from the first dispatch until the request has ended, so
	// that a dispatch that is proved not run may be repeated under it.
	claim ggscore.ClaimID
	// claimBefore is when the claim may no longer be used.
	claimBefore time.Time
}

// Next returns pieces of an answer from a number on, waiting for the first
// until the context ends. lost is set where the request isn't known or the
// piece is no longer held.
func (d *Dispatcher) Next(ctx context.Context, k jobKey, from int) (chunks []ggscore.Chunk, stall time.Duration, lost bool) {
	d.mu.Lock()
	j := d.jobs[k]
	d.mu.Unlock()
	if j == nil || j.stream == nil {
		return nil, 0, true
	}
	chunks, lost = j.stream.next(ctx, d.parts.Clock, from)
	d.mu.Lock()
	defer d.mu.Unlock()
	return chunks, j.stall, lost
}

// Submit takes a request. A second submission of an id is the first one.
func (d *Dispatcher) Submit(r *ggscore.Request) *ggscore.Failure {
	d.mu.Lock()
	defer d.mu.Unlock()
	if j := d.jobs[keyOf(r)]; j != nil {
		if j.stream == nil {
			return withdrawn()
		}
		return nil
	}
	if d.draining {
		return stopping()
	}
	now := d.parts.Clock()
	j := &job{request: r, stream: newStream(now), submitted: now}
	d.jobs[keyOf(r)] = j
	d.stats.Submitted.Add(1)
	d.apply(d.parts.Scheduler.Submit(now, r))
	return nil
}

// Withdraw takes a request back and returns its outcome so far. An id that
// isn't known is remembered.
//
// A submission whose answer was lost may still stand in a socket's buffer.
// If it were taken after the gateway was told notRun, the request would run
// all the same. The remembered id makes such a late copy a refusal.
func (d *Dispatcher) Withdraw(k jobKey) ggscore.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.parts.Clock()
	j := d.jobs[k]
	if j == nil {
		d.jobs[k] = &job{state: jobEnded, outcome: ggscore.OutcomeNotRun, ended: now, abandoned: true}
		return ggscore.OutcomeNotRun
	}
	j.abandoned = true
	switch j.state {
	case jobQueued:
		d.takeBack(now, j, withdrawn())
	case jobRunning:
		if !j.request.NonIdempotent && j.cancel != nil {
			j.cancel()
		}
	case jobEnded:
	}
	return j.outcome
}

// endJob needs d.mu. It is the one place where a job ends.
func (d *Dispatcher) endJob(j *job, o ggscore.Outcome, f *ggscore.Failure) {
	if j.state == jobEnded {
		return
	}
	j.state = jobEnded
	j.outcome = o
	j.ended = d.parts.Clock()
	j.stream.end(f)
	d.stats.count(o)
}

// refuse needs d.mu.
func (d *Dispatcher) refuse(o ggscore.Order) {
	j := d.jobs[keyOf(o.Request)]
	if j == nil {
		return
	}
	if j.claim != "" {
		// The claim is released first; the worker that does so ends the job.
		d.requests.add(o)
		return
	}
	d.endJob(j, ggscore.OutcomeNotRun, o.Failure)
}

// sweep ends answers that nobody reads and forgets old jobs.
func (d *Dispatcher) sweep(ctx context.Context) error {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			d.sweepAt(d.parts.Clock())
		}
	}
}

func (d *Dispatcher) sweepAt(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, j := range d.jobs {
		if j.state == jobEnded {
			if now.Sub(j.ended) > d.options.JobRetention {
				delete(d.jobs, k)
			} else if j.stream != nil && j.abandonedAt(now, d.options.ReaderTimeout) {
				j.abandoned = true
			}
			continue
		}
		if j.abandonedAt(now, d.options.ReaderTimeout) {
			d.abandon(now, j)
		}
	}
	for p, at := range d.loaded {
		// No request waits this long, so the arrival is no stall any more.
		if now.Sub(at) > d.options.JobRetention {
			delete(d.loaded, p)
		}
	}
}

// abandon needs d.mu. A gateway that died leaves its requests unread; they
// would hold slots to their ends. A non-idempotent run goes on, since only
// its end tells the outcome that a repeat of its key is to get.
func (d *Dispatcher) abandon(now time.Time, j *job) {
	j.abandoned = true
	switch {
	case j.state == jobQueued:
		d.takeBack(now, j, withdrawn())
	case !j.request.NonIdempotent && j.cancel != nil:
		j.cancel()
	}
}

// takeBack needs d.mu. It ends a queued request with a failure of our own; the
// scheduler's refusal, which follows, finds it ended.
func (d *Dispatcher) takeBack(now time.Time, j *job, f *ggscore.Failure) {
	d.endJob(j, ggscore.OutcomeNotRun, f)
	d.apply(d.parts.Scheduler.Cancel(now, j.request.ID))
}

func (j *job) abandonedAt(now time.Time, timeout time.Duration) bool {
	read, _ := j.stream.idleSince()
	return now.Sub(read) > timeout
}

func withdrawn() *ggscore.Failure {
	return &ggscore.Failure{
		Kind: ggscore.FailureCancelled, Outcome: ggscore.OutcomeNotRun,
		Detail: "the request was withdrawn",
	}
}
