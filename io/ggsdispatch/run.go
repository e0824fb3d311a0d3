package ggsdispatch

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsowner"
)

const (
	// maxRecordedBytes bounds the body that is stored with an idempotency key.
	maxRecordedBytes = 2048
	claimTimeout     = 2 * time.Second
	finishTimeout    = 30 * time.Second
	claimRetryAfter  = 2 * time.Second
	// claimWaitTimeout bounds how long a request with a claimed key waits for the
	// outcome of the earlier request to be recorded.
	claimWaitTimeout   = 400 * time.Millisecond
	claimRetryInterval = 50 * time.Millisecond
)

// A recorder collects an answer for the claim's result. The body is dropped if it
// exceeds maxRecordedBytes.
type recorder struct {
	result     ggscore.ClaimResult
	overflowed bool
}

func (r *recorder) add(c ggscore.Chunk) {
	if c.Status != 0 {
		r.result.Status = c.Status
		r.result.ContentType = c.ContentType
	}
	r.overflowed = r.overflowed || len(r.result.Body)+len(c.Data) > maxRecordedBytes
	if !r.overflowed {
		r.result.Body = append(r.result.Body, c.Data...)
	}
}

func (r *recorder) claimResult() ggscore.ClaimResult {
	v := r.result
	v.Outcome = ggscore.OutcomeDone
	v.Whole = !r.overflowed
	if r.overflowed {
		v.Body = nil
	}
	return v
}

// dispatch executes an order of the request queue.
func (d *Dispatcher) dispatch(ctx context.Context, o ggscore.Order) {
	j, runCtx, cancel := d.startJob(ctx, o)
	if j == nil {
		return
	}
	defer cancel()
	if o.Kind == ggscore.OrderRefuse {
		d.finishClaim(ctx, j, ggscore.ClaimResult{Outcome: ggscore.OutcomeNotRun})
		d.finishJob(j, ggscore.OutcomeNotRun, o.Failure)
		return
	}
	if j.request.NonIdempotent && j.claim == "" && !d.claim(ctx, j) {
		d.reportEnd(o, ggscore.EndDone)
		return
	}
	if j.claim != "" && !d.parts.Clock().Before(j.claimDeadline) {
		d.failExpiredClaim(ctx, j, o)
		return
	}
	d.run(ctx, runCtx, j, o)
}

// failExpiredClaim ends a request whose claim has reached its deadline. If the process
// was paused between claim and dispatch, the claim may have been discarded since and the
// key may have run again, so a dispatch now could run the key twice.
func (d *Dispatcher) failExpiredClaim(ctx context.Context, j *job, o ggscore.Order) {
	d.finishClaim(ctx, j, ggscore.ClaimResult{Outcome: ggscore.OutcomeNotRun})
	d.finishJob(j, ggscore.OutcomeNotRun, &ggscore.Failure{
		Kind: ggscore.FailureKeyExpired, Outcome: ggscore.OutcomeNotRun, Detail: "the claim of the idempotency key expired before the request was dispatched",
	})
	d.reportEnd(o, ggscore.EndDone)
}

// startJob returns the job of an order and a cancellable context for its run. The job
// is nil if there is nothing to run, because the request was withdrawn before it was
// sent.
func (d *Dispatcher) startJob(ctx context.Context, o ggscore.Order) (*job, context.Context, context.CancelFunc) {
	runCtx, cancel := context.WithCancel(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	j := d.jobs[keyOf(o.Request)]
	if j == nil {
		cancel()
		return nil, nil, nil
	}
	if o.Kind == ggscore.OrderDispatch && j.abandoned && j.claim == "" {
		cancel()
		d.endJob(j, ggscore.OutcomeNotRun, withdrawnFailure())
		d.apply(d.parts.Scheduler.RequestEnded(d.parts.Clock(), o.Request.ID, ggscore.EndDone))
		return nil, nil, nil
	}
	j.cancel = cancel
	return j, runCtx, cancel
}

// claim claims the request's idempotency key and reports whether the claim was granted,
// which is required before the dispatch. If the claim isn't granted, the request is
// answered here.
func (d *Dispatcher) claim(ctx context.Context, j *job) bool {
	r := j.request
	c, err := d.beginClaim(ctx, r)
	if err != nil {
		_ = level.Warn(d.parts.Log).Log("event", "claimFailed", "request", r.ID, "err", err)
		f := &ggscore.Failure{
			Kind: ggscore.FailurePlatformUnavailable, Outcome: ggscore.OutcomeUnknown, Detail: "the claim of the idempotency key could not be recorded",
			RetryAfter: claimRetryAfter,
		}
		// The claimer returns the outcome unknown if an earlier request with the key
		// may have run. With notRun, the caller would repeat the call under a new key.
		_ = errors.As(err, &f)
		d.finishJob(j, f.Outcome, f)
		return false
	}
	if c.Answer == ggscore.ClaimGranted {
		d.mu.Lock()
		j.claim, j.claimDeadline = c.ID, c.Before
		d.mu.Unlock()
		return true
	}
	d.answerClaim(j, c)
	return false
}

// beginClaim requests the claim. While an earlier request with the key is in progress,
// the claim is retried for claimWaitTimeout: a repeat that follows the first answer
// closely may arrive before the first outcome is recorded.
func (d *Dispatcher) beginClaim(ctx context.Context, r *ggscore.Request) (ggscore.ClaimDecision, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	q := ggscore.ClaimRequest{Market: r.Market, Key: r.Key, Body: bodyDigest(r), FirstSend: r.FirstSend}
	until := d.parts.Clock().Add(claimWaitTimeout)
	for {
		c, err := d.parts.Claims.Begin(ctx, q)
		if err != nil || c.Answer != ggscore.ClaimInProgress || !d.parts.Clock().Before(until) {
			return c, err
		}
		t := time.NewTimer(claimRetryInterval)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// answerClaim ends a request whose key can't be claimed.
func (d *Dispatcher) answerClaim(j *job, c ggscore.ClaimDecision) {
	f := &ggscore.Failure{Outcome: ggscore.OutcomeUnknown}
	switch c.Answer {
	case ggscore.ClaimReplay:
		if c.Result.Outcome == ggscore.OutcomeDone && c.Result.Whole {
			d.replay(j, c.Result)
			return
		}
		f.Kind, f.Outcome = ggscore.FailureKeyInUse, c.Result.Outcome
		f.Detail = "the request with this key has ended and its answer is not stored"
	case ggscore.ClaimReused:
		f.Kind, f.Outcome = ggscore.FailureKeyReused, ggscore.OutcomeNotRun
		f.Detail = "the key came with another request before; this one did not run"
	case ggscore.ClaimExpired:
		f.Kind, f.Detail = ggscore.FailureKeyExpired, "the key is older than the retention time of keys"
	case ggscore.ClaimInProgress, ggscore.ClaimGranted:
		f.Kind, f.RetryAfter = ggscore.FailureKeyInUse, claimRetryAfter
		f.Detail = "a request with this key is in progress"
	}
	d.finishJob(j, f.Outcome, f)
}

// replay answers with the result that is recorded for the key.
func (d *Dispatcher) replay(j *job, r ggscore.ClaimResult) {
	j.stream.mu.Lock()
	if !j.stream.final {
		j.stream.add(ggscore.Chunk{
			Data: r.Body, Status: r.Status, ContentType: r.ContentType, Final: true,
		})
	}
	j.stream.mu.Unlock()
	d.finishJob(j, ggscore.OutcomeDone, nil)
}

// run sends a request to its endpoint and relays the answer.
func (d *Dispatcher) run(ctx, runCtx context.Context, j *job, o ggscore.Order) {
	r := &recorder{}
	sentAt := d.parts.Clock()
	d.recordSent(j.request)
	err := d.send(runCtx, j, o, r)
	d.recordEnd(j.request, o.Endpoint, sentAt, err)
	var c *ggscore.CallError
	switch {
	case err == nil:
		d.finishClaim(ctx, j, r.claimResult())
		d.finishJob(j, ggscore.OutcomeDone, nil)
		d.reportEnd(o, ggscore.EndDone)
	case errors.As(err, &c) && c.NotSent && c.Kind == ggscore.FailureAdapterMissing:
		d.requeue(o, ggscore.EndAdapterMissing, err)
	case errors.As(err, &c) && c.NotSent:
		d.requeue(o, ggscore.EndFailed, err)
	default:
		d.failBroken(ctx, j, o, err)
	}
}

// send checks the ownership with the guard and calls the endpoint.
func (d *Dispatcher) send(ctx context.Context, j *job, o ggscore.Order, r *recorder) error {
	addr, ok := d.addr(o.Endpoint)
	if !ok {
		return &ggscore.CallError{NotSent: true, Kind: ggscore.FailureNotOwner, Cause: &NotOwnerError{Endpoint: o.Endpoint}}
	}
	sink := func(c ggscore.Chunk) error {
		if c.Status == http.StatusOK && j.request.Kind == ggscore.KindModel && c.Served != j.request.Adapter {
			return &WrongAdapterError{Requested: j.request.Adapter, Served: c.Served}
		}
		r.add(c)
		return j.stream.append(ctx, c)
	}
	// A dispatcher that was paused beyond the end of its lease must not use a
	// runner: the runner's new owner may evict any adapter, and requests that use
	// it would fail. The guard compares the monotonic clock with the lease's end,
	// less a margin. The check is made in the goroutine that writes the request, so
	// that only a pause within the call below can come between check and write.
	if _, err := d.parts.Guard.Check(d.parts.Clock(), o.Endpoint, j.request.Adapter, ggscore.OrderDispatch); err != nil {
		return &ggscore.CallError{Addr: addr, NotSent: true, Kind: guardKind(err), Cause: err}
	}
	if j.request.Kind == ggscore.KindPlain {
		return d.parts.Plain.Call(ctx, addr, j.request, sink)
	}
	return d.parts.Engine.Run(ctx, addr, j.request, sink)
}

// guardKind returns the failure kind for an error of the guard. If an adapter isn't
// protected, only that adapter can't be used on the endpoint.
func guardKind(err error) ggscore.FailureKind {
	if p := (*ggsowner.NotProtectedError)(nil); errors.As(err, &p) {
		return ggscore.FailureAdapterMissing
	}
	return ggscore.FailureNotOwner
}

// requeue reports a dispatch that is known not to have run. The scheduler dispatches
// the request again or refuses it.
func (d *Dispatcher) requeue(o ggscore.Order, e ggscore.EndKind, err error) {
	_ = level.Info(d.parts.Log).Log("event", "dispatchRefused", "request", o.Request.ID, "endpoint", o.Endpoint, "err", err)
	d.mu.Lock()
	defer d.mu.Unlock()
	j := d.jobs[keyOf(o.Request)]
	if j != nil && j.state == jobRunning {
		j.state = jobQueued
		j.cancel = nil
	}
	d.apply(d.parts.Scheduler.RequestEnded(d.parts.Clock(), o.Request.ID, e))
	if j != nil && j.abandoned && j.state == jobQueued && j.claim == "" {
		d.cancelQueued(d.parts.Clock(), j, withdrawnFailure())
	}
}

// failBroken ends a request of which some bytes may have reached the endpoint. The
// request is never sent again.
func (d *Dispatcher) failBroken(ctx context.Context, j *job, o ggscore.Order, err error) {
	f := &ggscore.Failure{Kind: ggscore.FailureBroken, Outcome: ggscore.OutcomeUnknown, Detail: "the answer broke off"}
	if w := (*WrongAdapterError)(nil); errors.As(err, &w) {
		d.stats.WrongAdapter.Add(1)
		f.Kind, f.Detail = ggscore.FailureWrongAdapter, w.Error()
	}
	_ = level.Warn(d.parts.Log).Log("event", "answerBroke", "request", j.request.ID, "endpoint", o.Endpoint, "err", err)
	d.finishClaim(ctx, j, ggscore.ClaimResult{Outcome: ggscore.OutcomeUnknown})
	d.finishJob(j, ggscore.OutcomeUnknown, f)
	d.reportEnd(o, ggscore.EndUnknown)
}

// finishJob is endJob with d.mu locked.
func (d *Dispatcher) finishJob(j *job, o ggscore.Outcome, f *ggscore.Failure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endJob(j, o, f)
}

// reportEnd reports the end of a run to the scheduler.
func (d *Dispatcher) reportEnd(o ggscore.Order, e ggscore.EndKind) {
	d.Schedule(func(s ggscore.Scheduler, now time.Time) []ggscore.Order {
		return s.RequestEnded(now, o.Request.ID, e)
	})
}

func (d *Dispatcher) finishClaim(ctx context.Context, j *job, r ggscore.ClaimResult) {
	if j.claim == "" {
		return
	}
	// The outcome is recorded even while the process stops. Otherwise a repeat of
	// the key would get the outcome unknown for a request that ran.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	if err := d.parts.Claims.Finish(ctx, j.claim, r); err != nil {
		_ = level.Warn(d.parts.Log).Log("event", "outcomeNotRecorded", "request", j.request.ID, "outcome", r.Outcome, "err", err)
	}
}

// bodyDigest returns the digest of everything that must be equal in requests with the
// same key: operation, adapter and body.
func bodyDigest(r *ggscore.Request) ggscore.Digest {
	h := sha256.New()
	h.Write([]byte(r.Operation.Method + " " + r.Operation.Path + " " + r.Adapter.String() + "\n"))
	h.Write(r.Body)
	return ggscore.Digest(h.Sum(nil))
}
