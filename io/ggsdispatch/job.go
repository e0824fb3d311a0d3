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

const (
	// jobBytes is the memory of a job beside its body and answer.
	jobBytes = 1 << 10
	// fullRetryAfter is sent when there is no memory for a job.
	fullRetryAfter = time.Second
)

// A jobKey identifies one attempt of a request. A request that was returned as not run
// may be submitted to the same dispatcher again. The answer to the first attempt, or a
// late withdrawal of the first attempt, must not be applied to the second.
type jobKey struct {
	id      ggscore.RequestID
	attempt int
}

func keyOf(r *ggscore.Request) jobKey { return jobKey{id: r.ID, attempt: r.Attempt} }

// A job is one attempt of a request, from its submission until its id is discarded.
type job struct {
	request *ggscore.Request
	stream  *stream
	state   jobState
	// endpoint is the endpoint of the latest dispatch.
	endpoint ggscore.EndpointID
	outcome  ggscore.Outcome
	// abandoned is set if no gateway is going to read the answer.
	abandoned   bool
	cancel      context.CancelFunc
	submittedAt time.Time
	endedAt     time.Time
	// stall is how long the request waited for its adapter to be loaded.
	stall time.Duration
	// claim is held from the first dispatch until the request has ended. A
	// dispatch that is known not to have run is repeated under the same claim.
	claim ggscore.ClaimID
	// claimDeadline is the time from which the claim must not be used.
	claimDeadline time.Time
	// release gives back the memory of the request's body, or of the record of a request that was withdrawn before it was submitted.
	release func()
}

// Next returns the chunks of an answer from a sequence number on. It waits for the
// first of these chunks until the context ends. lost is set if the request is unknown or
// the chunk with the number from is no longer held.
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

// Submit accepts a request. It is idempotent for the same id and attempt.
func (d *Dispatcher) Submit(r *ggscore.Request) *ggscore.Failure {
	release, full := d.draw(int64(len(r.Body)) + jobBytes)
	d.mu.Lock()
	defer d.mu.Unlock()
	if j := d.jobs[keyOf(r)]; j != nil {
		release()
		if j.stream == nil {
			return withdrawnFailure()
		}
		return nil
	}
	now := d.parts.Clock()
	if f := d.refusal(now, r, full); f != nil {
		release()
		return f
	}
	j := &job{request: r, stream: newStream(now), submittedAt: now, release: release}
	d.jobs[keyOf(r)] = j
	d.stats.Submitted.Add(1)
	d.apply(d.parts.Scheduler.Submit(now, r))
	return nil
}

// refusal returns the failure of a request that isn't accepted, nil for one that is. full is that for lack of memory. The caller holds
// d.mu.
func (d *Dispatcher) refusal(now time.Time, r *ggscore.Request, full *ggscore.Failure) *ggscore.Failure {
	if d.draining {
		return stoppingFailure()
	}
	if f := d.quarantined(now, r); f != nil {
		return f
	}
	return full
}

// Withdraw cancels a request and returns its outcome so far. A running request is
// cancelled only if it is idempotent. An unknown id is recorded as withdrawn.
//
// A submission whose reply was lost may still be in a socket's buffer. If it were
// accepted after the gateway had received notRun, the request would run nevertheless.
// Because the id is recorded, such a late submission is refused.
func (d *Dispatcher) Withdraw(k jobKey) ggscore.Outcome {
	release, full := d.draw(jobBytes)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.parts.Clock()
	j := d.jobs[k]
	if j == nil {
		if full != nil {
			// Without the record, a late submission would be accepted.
			return ggscore.OutcomeUnknown
		}
		d.jobs[k] = &job{state: jobEnded, outcome: ggscore.OutcomeNotRun, endedAt: now, abandoned: true, release: release}
		return ggscore.OutcomeNotRun
	}
	release()
	j.abandoned = true
	switch j.state {
	case jobQueued:
		d.cancelQueued(now, j, withdrawnFailure())
	case jobRunning:
		j.cancelRun()
	case jobEnded:
	}
	return j.outcome
}

// endJob sets the state of an ended job. All jobs with a stream end here. The caller
// holds d.mu.
func (d *Dispatcher) endJob(j *job, o ggscore.Outcome, f *ggscore.Failure) {
	if j.state == jobEnded {
		return
	}
	j.state = jobEnded
	j.outcome = o
	j.endedAt = d.parts.Clock()
	j.stream.end(f)
	d.stats.count(o)
	// The job is kept for its ID and answer.
	withoutBody := *j.request
	withoutBody.Body = nil
	j.request = &withoutBody
	j.release()
}

// draw takes memory for a job, and returns the failure of its request if there is none. It may close connections, so that the caller
// must not hold d.mu.
func (d *Dispatcher) draw(bytes int64) (release func(), f *ggscore.Failure) {
	if d.parts.Memory == nil {
		return func() {}, nil
	}
	release, err := d.parts.Memory.Draw(bytes)
	if err != nil {
		return func() {}, &ggscore.Failure{
			Kind: ggscore.FailureNoCapacity, Outcome: ggscore.OutcomeNotRun, Detail: err.Error(), RetryAfter: fullRetryAfter,
		}
	}
	return release, nil
}

// refuse executes a refusal by the scheduler. The caller holds d.mu.
func (d *Dispatcher) refuse(o ggscore.Order) {
	j := d.jobs[keyOf(o.Request)]
	if j == nil {
		return
	}
	if j.claim != "" {
		// The claim must be finished first, which does I/O. The worker that
		// finishes the claim also ends the job.
		d.requests.add(o)
		return
	}
	d.endJob(j, ggscore.OutcomeNotRun, o.Failure)
}

// sweep abandons requests whose answers are not read and discards old jobs.
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
			if now.Sub(j.endedAt) > d.options.JobRetention {
				delete(d.jobs, k)
				j.release()
			} else if j.stream != nil && j.readTimedOut(now, d.options.ReaderTimeout) {
				j.abandoned = true
			}
			continue
		}
		if j.readTimedOut(now, d.options.ReaderTimeout) {
			d.abandon(now, j)
		}
	}
	for p, at := range d.loadedAt {
		// No queued request was submitted this long ago, so the load can't have
		// stalled any.
		if now.Sub(at) > d.options.JobRetention {
			delete(d.loadedAt, p)
		}
	}
}

// abandon cancels a request whose answer is not read, for example after its gateway
// crashed. Otherwise the request would hold a slot until its end. A running
// non-idempotent request continues, because its outcome must be recorded for repeats of
// its key. The caller holds d.mu.
func (d *Dispatcher) abandon(now time.Time, j *job) {
	j.abandoned = true
	if j.state == jobQueued {
		d.cancelQueued(now, j, withdrawnFailure())
		return
	}
	j.cancelRun()
}

// lingerTime is how long a run goes on that nobody waits for any more, to learn whether its endpoint crashes
// under the request.
const lingerTime = 50 * time.Millisecond

// cancelRun cancels a run after lingerTime, unless it isn't idempotent.
func (j *job) cancelRun() {
	if !j.request.NonIdempotent && j.cancel != nil {
		time.AfterFunc(lingerTime, j.cancel)
	}
}

// cancelQueued ends a queued request with the failure f and cancels it in the scheduler.
// The scheduler's refusal that follows is ignored, since the job has ended by then. The
// caller holds d.mu.
func (d *Dispatcher) cancelQueued(now time.Time, j *job, f *ggscore.Failure) {
	d.endJob(j, ggscore.OutcomeNotRun, f)
	d.apply(d.parts.Scheduler.Cancel(now, j.request.ID))
}

func (j *job) readTimedOut(now time.Time, timeout time.Duration) bool {
	lastRead, _ := j.stream.readState()
	return now.Sub(lastRead) > timeout
}

func withdrawnFailure() *ggscore.Failure {
	return &ggscore.Failure{
		Kind: ggscore.FailureCancelled, Outcome: ggscore.OutcomeNotRun,
		Detail: "the request was withdrawn",
	}
}
