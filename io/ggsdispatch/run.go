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
	// maxRecordedBytes bounds the answer that is kept with an idempotency key.
	maxRecordedBytes = 2048
	claimTimeout     = 2 * time.Second
	finishTimeout    = 30 * time.Second
	claimRetryAfter  = 2 * time.Second
	// claimPatience is how long a repeat waits for an outcome to be recorded.
	claimPatience = 400 * time.Millisecond
	claimInterval = 50 * time.Millisecond
)

// A recorder keeps the first bytes of an answer for the claim's result.
type recorder struct {
	result ggscore.ClaimResult
	over   bool
}

func (r *recorder) add(c ggscore.Chunk) {
	if c.Status != 0 {
		r.result.Status = c.Status
		r.result.ContentType = c.ContentType
	}
	r.over = r.over || len(r.result.Body)+len(c.Data) > maxRecordedBytes
	if !r.over {
		r.result.Body = append(r.result.Body, c.Data...)
	}
}

func (r *recorder) done() ggscore.ClaimResult {
	v := r.result
	v.Outcome = ggscore.OutcomeDone
	v.Whole = !r.over
	if r.over {
		v.Body = nil
	}
	return v
}

// dispatch carries out an order of the requests' pool.
func (d *Dispatcher) dispatch(ctx context.Context, o ggscore.Order) {
	j, runCtx, cancel := d.begin(ctx, o)
	if j == nil {
		return
	}
	defer cancel()
	if o.Kind == ggscore.OrderRefuse {
		d.finishClaim(ctx, j, ggscore.ClaimResult{Outcome: ggscore.OutcomeNotRun})
		d.end(j, ggscore.OutcomeNotRun, o.Failure)
		return
	}
	if j.request.NonIdempotent && j.claim == "" && !d.claim(ctx, j) {
		d.ended(o, ggscore.EndDone)
		return
	}
	if j.claim != "" && !d.parts.Clock().Before(j.claimBefore) {
		d.lateClaim(ctx, j, o)
		return
	}
	d.run(ctx, runCtx, j, o)
}

// lateClaim ends a request whose claim may no longer be used. A process that
// was paused between claim and dispatch would run a key that others have
// forgotten by now, and that may have run again since.
func (d *Dispatcher) lateClaim(ctx context.Context, j *job, o ggscore.Order) {
	d.finishClaim(ctx, j, ggscore.ClaimResult{Outcome: ggscore.OutcomeNotRun})
	d.end(j, ggscore.OutcomeNotRun, &ggscore.Failure{
		Kind: ggscore.FailureKeyExpired, Outcome: ggscore.OutcomeNotRun, Detail: "the claim of the key came too late",
	})
	d.ended(o, ggscore.EndDone)
}

// begin makes a request's context. It returns nil where there is nothing to
// run, since the request was withdrawn before any of it was sent.
func (d *Dispatcher) begin(ctx context.Context, o ggscore.Order) (*job, context.Context, context.CancelFunc) {
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
		d.endJob(j, ggscore.OutcomeNotRun, withdrawn())
		d.apply(d.parts.Scheduler.RequestEnded(d.parts.Clock(), o.Request.ID, ggscore.EndDone))
		return nil, nil, nil
	}
	j.cancel = cancel
	return j, runCtx, cancel
}

// claim records the claim of the request's key, which goes before its one
// dispatch. It answers the request itself where the claim isn't granted.
func (d *Dispatcher) claim(ctx context.Context, j *job) bool {
	r := j.request
	c, err := d.beginClaim(ctx, r)
	if err != nil {
		_ = level.Warn(d.parts.Log).Log("event", "claimFailed", "request", r.ID, "err", err)
		f := &ggscore.Failure{
			Kind: ggscore.FailurePlatformUnavailable, Outcome: ggscore.OutcomeUnknown, Detail: "the claim of the idempotency key could not be recorded",
			RetryAfter: claimRetryAfter,
		}
		// The claimer says unknown where an earlier sending of the key may have
		// run: notRun of this sending would lead its caller to a new key.
		_ = errors.As(err, &f)
		d.end(j, f.Outcome, f)
		return false
	}
	if c.Answer == ggscore.ClaimGranted {
		d.mu.Lock()
		j.claim, j.claimBefore = c.ID, c.Before
		d.mu.Unlock()
		return true
	}
	d.answerClaim(j, c)
	return false
}

// beginClaim asks for the claim. A repeat that comes right behind the first
// answer, whose outcome is still being written, is given a moment to meet it.
func (d *Dispatcher) beginClaim(ctx context.Context, r *ggscore.Request) (ggscore.ClaimDecision, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	q := ggscore.ClaimRequest{Market: r.Market, Key: r.Key, Body: bodyDigest(r), FirstSend: r.FirstSend}
	until := d.parts.Clock().Add(claimPatience)
	for {
		c, err := d.parts.Claims.Begin(ctx, q)
		if err != nil || c.Answer != ggscore.ClaimInProgress || !d.parts.Clock().Before(until) {
			return c, err
		}
		t := time.NewTimer(claimInterval)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// answerClaim ends a request whose key was claimed before.
func (d *Dispatcher) answerClaim(j *job, c ggscore.ClaimDecision) {
	f := &ggscore.Failure{Outcome: ggscore.OutcomeUnknown}
	switch c.Answer {
	case ggscore.ClaimReplay:
		if c.Result.Outcome == ggscore.OutcomeDone && c.Result.Whole {
			d.replay(j, c.Result)
			return
		}
		f.Kind, f.Outcome = ggscore.FailureKeyInUse, c.Result.Outcome
		f.Detail = "the key's request has ended and its answer is not kept"
	case ggscore.ClaimReused:
		f.Kind, f.Outcome = ggscore.FailureKeyReused, ggscore.OutcomeNotRun
		f.Detail = "the key came with another request before; this one did not run"
	case ggscore.ClaimExpired:
		f.Kind, f.Detail = ggscore.FailureKeyExpired, "the key is older than keys are kept"
	case ggscore.ClaimInProgress, ggscore.ClaimGranted:
		f.Kind, f.RetryAfter = ggscore.FailureKeyInUse, claimRetryAfter
		f.Detail = "a request with this key is in progress"
	}
	d.end(j, f.Outcome, f)
}

// replay answers with the result that was recorded for the key.
func (d *Dispatcher) replay(j *job, r ggscore.ClaimResult) {
	j.stream.mu.Lock()
	if !j.stream.final {
		j.stream.add(ggscore.Chunk{
			Data: r.Body, Status: r.Status, ContentType: r.ContentType, Final: true,
		})
	}
	j.stream.mu.Unlock()
	d.end(j, ggscore.OutcomeDone, nil)
}

// run sends a request to its endpoint and relays the answer.
func (d *Dispatcher) run(ctx, runCtx context.Context, j *job, o ggscore.Order) {
	r := &recorder{}
	err := d.send(runCtx, j, o, r)
	var c *ggscore.CallError
	switch {
	case err == nil:
		d.finishClaim(ctx, j, r.done())
		d.end(j, ggscore.OutcomeDone, nil)
		d.ended(o, ggscore.EndDone)
	case errors.As(err, &c) && c.NotSent && c.Kind == ggscore.FailureAdapterMissing:
		d.requeue(o, ggscore.EndAdapterMissing, err)
	case errors.As(err, &c) && c.NotSent:
		d.requeue(o, ggscore.EndFailed, err)
	default:
		d.broke(ctx, j, o, err)
	}
}

// send checks the ownership and makes the call.
func (d *Dispatcher) send(ctx context.Context, j *job, o ggscore.Order, r *recorder) error {
	addr, ok := d.addr(o.Endpoint)
	if !ok {
		return &ggscore.CallError{NotSent: true, Kind: ggscore.FailureNotOwner, Cause: &NotOwnerError{Endpoint: o.Endpoint}}
	}
	sink := func(c ggscore.Chunk) error {
		if c.Status == http.StatusOK && j.request.Kind == ggscore.KindModel && c.Served != j.request.Adapter {
			return &WrongAdapterError{Asked: j.request.Adapter, Served: c.Served}
		}
		r.add(c)
		return j.stream.append(ctx, c)
	}
	// A dispatcher that was paused past its lease would go on to use a runner
	// whose new owner evicts adapters at will; its requests would break there.
	// The guard compares the lease's end, less a margin, on the monotonic clock
	// here, in the goroutine that writes, so that only a pause within the call
	// below could fall between check and write.
	if _, err := d.parts.Guard.Check(d.parts.Clock(), o.Endpoint, j.request.Adapter, ggscore.OrderDispatch); err != nil {
		return &ggscore.CallError{Addr: addr, NotSent: true, Kind: guardKind(err), Cause: err}
	}
	if j.request.Kind == ggscore.KindPlain {
		return d.parts.Plain.Call(ctx, addr, j.request, sink)
	}
	return d.parts.Engine.Run(ctx, addr, j.request, sink)
}

// guardKind classifies a refusal of the guard. An adapter that isn't protected
// can't be used on that endpoint, others there can.
func guardKind(err error) ggscore.FailureKind {
	if p := (*ggsowner.NotProtectedError)(nil); errors.As(err, &p) {
		return ggscore.FailureAdapterMissing
	}
	return ggscore.FailureNotOwner
}

// requeue reports a run that is proved not to have happened. The scheduler
// dispatches the request anew or refuses it.
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
		d.takeBack(d.parts.Clock(), j, withdrawn())
	}
}

// broke ends a request of which a byte may have reached the endpoint. It is
// never sent again.
func (d *Dispatcher) broke(ctx context.Context, j *job, o ggscore.Order, err error) {
	f := &ggscore.Failure{Kind: ggscore.FailureBroken, Outcome: ggscore.OutcomeUnknown, Detail: "the answer broke off"}
	if w := (*WrongAdapterError)(nil); errors.As(err, &w) {
		d.stats.WrongAdapter.Add(1)
		f.Kind, f.Detail = ggscore.FailureWrongAdapter, w.Error()
	}
	_ = level.Warn(d.parts.Log).Log("event", "answerBroke", "request", j.request.ID, "endpoint", o.Endpoint, "err", err)
	d.finishClaim(ctx, j, ggscore.ClaimResult{Outcome: ggscore.OutcomeUnknown})
	d.end(j, ggscore.OutcomeUnknown, f)
	d.ended(o, ggscore.EndUnknown)
}

func (d *Dispatcher) end(j *job, o ggscore.Outcome, f *ggscore.Failure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endJob(j, o, f)
}

func (d *Dispatcher) ended(o ggscore.Order, e ggscore.EndKind) {
	d.Schedule(func(s ggscore.Scheduler, now time.Time) []ggscore.Order {
		return s.RequestEnded(now, o.Request.ID, e)
	})
}

func (d *Dispatcher) finishClaim(ctx context.Context, j *job, r ggscore.ClaimResult) {
	if j.claim == "" {
		return
	}
	// The outcome of a run is recorded even when the process is stopping: a
	// repeat of the key would otherwise be told unknown of a request that ran.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	if err := d.parts.Claims.Finish(ctx, j.claim, r); err != nil {
		_ = level.Warn(d.parts.Log).Log("event", "outcomeNotRecorded", "request", j.request.ID, "outcome", r.Outcome, "err", err)
	}
}

func bodyDigest(r *ggscore.Request) ggscore.Digest {
	h := sha256.New()
	h.Write([]byte(r.Operation.Method + " " + r.Operation.Path + " " + r.Adapter.String() + "\n"))
	h.Write(r.Body)
	return ggscore.Digest(h.Sum(nil))
}
