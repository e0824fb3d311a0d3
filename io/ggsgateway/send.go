package ggsgateway

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsretry"
	"greengageslip/core/ggsroute"
	"greengageslip/io/ggsrpc"
	"greengageslip/io/ggsstop"
	"greengageslip/io/ggswire"
)

const (
	nextWait       = 5 * time.Second
	nextMargin     = 2 * time.Second
	resumeInterval = 50 * time.Millisecond
	// handoverInterval is the time between two attempts to route a request while its
	// runners have no owner.
	handoverInterval = 25 * time.Millisecond
	withdrawTimeout  = 2 * time.Second
	// maxWithdrawAge is well below the time for which dispatchers retain request ids.
	maxWithdrawAge        = time.Minute
	unavailableRetryAfter = time.Second
)

// An attempt is one submission of a request to one dispatcher.
type attempt struct {
	request *ggscore.Request
	answer  *answer
	choice  ggsroute.Choice
	addr    netip.AddrPort
	// incarnation is the dispatcher's incarnation when the attempt was routed.
	incarnation string
	sent        time.Time
	// number is the attempt's number, counted from one.
	number int
	// unreachable is set if calls to the dispatcher failed.
	unreachable bool
}

// An attemptHistory records the failed attempts of one request.
type attemptHistory struct {
	// tried are the dispatchers of all failed attempts. They are excluded from routing, except
	// while the request waits for a handover. stopped are those of them that were stopping,
	// which are always excluded.
	tried   []ggscore.VMID
	stopped []ggscore.VMID
	// number counts the attempts whose failure was not due to a handover.
	number int
	last   *ggscore.Failure
	// handoverStart is when an attempt first failed because of a handover.
	handoverStart time.Time
}

// inHandover reports whether the last attempt failed only because the ownership of
// the runners is changing.
func (t *attemptHistory) inHandover() bool {
	return t.last != nil && (t.last.Kind == ggscore.FailureStopping || t.last.Kind == ggscore.FailureNotOwner)
}

// addFailure records a failed attempt.
func (t *attemptHistory) addFailure(now time.Time, vm ggscore.VMID, f *ggscore.Failure) {
	t.last = f
	t.tried = append(t.tried, vm)
	switch {
	case !t.inHandover():
		t.number++
	case t.handoverStart.IsZero():
		t.handoverStart = now
	}
	if f.Kind == ggscore.FailureStopping {
		t.stopped = append(t.stopped, vm)
	}
}

// send submits a request to one dispatcher after the other until one answers. Only a
// request that is known not to have run is submitted again.
func (g *Gateway) send(ctx context.Context, r *ggscore.Request, a *answer) *ggscore.Failure {
	t := &attemptHistory{}
	for {
		o, f := g.routeOrWait(ctx, r, a, t)
		if f != nil {
			return f
		}
		r.Attempt++
		o.number = r.Attempt
		f = g.try(ctx, o)
		if f == nil || a.next > 0 || ctx.Err() != nil || g.remaining(r) <= 0 {
			return f
		}
		t.addFailure(g.parts.Clock(), o.choice.VM, f)
		wait, again := g.retry(r, t)
		if !again {
			return f
		}
		g.stats.Retries.Add(1)
		_ = level.Info(g.parts.Log).Log("event", "requestRerouted", "request", r.ID, "from", o.choice.VM, "kind", f.Kind)
		g.pause(ctx, wait)
	}
}

// retry decides whether a request is submitted again after a failed attempt, and
// returns the delay before the next attempt. An attempt that failed because of a
// handover takes nothing from the retry budget, since its dispatcher is healthy and
// merely not the owner any more. HandoverTimeout bounds these attempts instead.
func (g *Gateway) retry(r *ggscore.Request, t *attemptHistory) (time.Duration, bool) {
	if t.last.Outcome != ggscore.OutcomeNotRun {
		return 0, false
	}
	if t.inHandover() {
		return 0, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	f := *t.last
	if f.Kind == ggscore.FailureNoCapacity {
		// RetryAfter applies to the dispatcher that refused the request. Another
		// dispatcher may have capacity.
		f.RetryAfter = 0
	}
	wait, err := g.retries.Retry(g.parts.Clock(), ggsretry.Attempt{
		Market: r.Market, Number: t.number, Failure: &f, Left: g.remaining(r),
	})
	return wait, err == nil
}

// routeOrWait routes a request, or returns why the request can't be routed.
//
// A dispatcher that stops returns its queued requests before the next owner has taken
// its runners over, so for a short time the runners have no owner. If requests were
// refused during that time, every planned stop would fail both these requests and new
// ones. Routing is therefore repeated until it succeeds, or until HandoverTimeout has
// passed since the handover started (for a first attempt: since a request to the
// service was last routed).
func (g *Gateway) routeOrWait(ctx context.Context, r *ggscore.Request, a *answer, t *attemptHistory) (*attempt, *ggscore.Failure) {
	o, f := g.route(r, a, t.tried)
	if f == nil {
		return o, nil
	}
	since := t.handoverStart
	if t.last == nil {
		since = g.lastRoutedAt(r.Service)
	} else if !t.inHandover() {
		return nil, t.last
	}
	until := since.Add(g.options.HandoverTimeout)
	for f != nil && ctx.Err() == nil && g.remaining(r) > 0 && g.parts.Clock().Before(until) {
		g.pause(ctx, handoverInterval)
		o, f = g.route(r, a, t.stopped)
	}
	if f != nil && t.last != nil {
		return nil, t.last
	}
	return o, f
}

// lastRoutedAt returns when a request to the service was last routed.
func (g *Gateway) lastRoutedAt(s ggscore.Service) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.routedAt[s]
}

func (g *Gateway) remaining(r *ggscore.Request) time.Duration {
	return r.Budget - g.parts.Clock().Sub(r.Arrived)
}

func (g *Gateway) route(r *ggscore.Request, a *answer, tried []ggscore.VMID) (*attempt, *ggscore.Failure) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.parts.Clock()
	// Exclude appends to its argument. It gets a copy, since a dispatcher that a
	// breaker excludes now may be used for a later attempt of the request.
	c, err := g.router.Route(now, r, g.breakers.Exclude(now, slices.Clone(tried)))
	if n := (*ggsroute.NoDispatcherError)(nil); errors.As(err, &n) {
		return nil, n.Failure()
	}
	g.routedAt[r.Service] = now
	g.router.Sent(now, c)
	g.breakers.Started(now, c.VM)
	return &attempt{request: r, answer: a, choice: c, addr: g.dispatchers[c.VM].addr, incarnation: g.dispatchers[c.VM].summary.Incarnation, sent: now}, nil
}

// try makes one attempt and reports its end to the router and the breakers.
func (g *Gateway) try(ctx context.Context, t *attempt) *ggscore.Failure {
	sent := g.parts.Clock()
	f := g.submitAndRelay(ctx, t)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.parts.Clock()
	g.router.Ended(now, t.choice, ggsroute.End{Held: now.Sub(sent), Stall: t.answer.stall, AnswerBytes: t.answer.bytes})
	g.breakers.Ended(now, t.choice.VM, resultOf(t, f))
	return f
}

// resultOf returns the result of an attempt for the dispatcher's circuit breaker. Only
// an unreachable dispatcher counts as failed: a refusal for lack of capacity or an
// endpoint's failure is an answer of a healthy dispatcher.
func resultOf(t *attempt, f *ggscore.Failure) ggsretry.Result {
	switch {
	case t.unreachable:
		return ggsretry.ResultFailed
	case f == nil:
		return ggsretry.ResultOK
	default:
		return ggsretry.ResultNeutral
	}
}

func (g *Gateway) submitAndRelay(ctx context.Context, t *attempt) *ggscore.Failure {
	if f := g.submit(ctx, t); f != nil {
		return f
	}
	f := g.relay(ctx, t)
	// After the withdrawal the dispatcher no longer waits for a reader of the answer,
	// and it cancels an idempotent request whose caller has disconnected.
	g.withdrawLater(ctx, t)
	return f
}

// submit sends the request to the dispatcher. It returns nil if the dispatcher accepted
// the request.
func (g *Gateway) submit(ctx context.Context, t *attempt) *ggscore.Failure {
	sub, cancel := context.WithTimeout(ctx, g.options.SubmitTimeout)
	defer cancel()
	args := ggswire.SubmitArgs{Incarnation: t.incarnation, Request: ggswire.FromRequest(t.request, max(g.remaining(t.request), time.Millisecond))}
	var reply ggswire.SubmitReply
	err := g.parts.Caller.Call(sub, t.addr, ggswire.MethodSubmit, &args, &reply)
	if err == nil {
		return reply.Failure.Failure()
	}
	t.unreachable = ctx.Err() == nil
	if d := (*ggsrpc.DialError)(nil); errors.As(err, &d) {
		return unreachableFailure(err)
	}
	// The dispatcher may have accepted the request although its reply was lost. The
	// withdrawal resolves this: if the dispatcher answers notRun, it also refuses a
	// submission that arrives later. Any other answer leaves the outcome unknown.
	if g.withdraw(ctx, t) == ggscore.OutcomeNotRun {
		return unreachableFailure(err)
	}
	return &ggscore.Failure{
		Kind: ggscore.FailureBroken, Outcome: ggscore.OutcomeUnknown,
		Detail: "the dispatcher did not confirm whether it accepted the request",
	}
}

func unreachableFailure(err error) *ggscore.Failure {
	return &ggscore.Failure{
		Kind: ggscore.FailureNotOwner, Outcome: ggscore.OutcomeNotRun,
		Detail: err.Error(), RetryAfter: unavailableRetryAfter,
	}
}

// relay pulls the answer's chunks by sequence number and forwards them to the caller.
// After a failed call it requests the chunks again from the first missing number.
func (g *Gateway) relay(ctx context.Context, t *attempt) *ggscore.Failure {
	var brokenSince time.Time
	for {
		reply, err := g.next(ctx, t)
		switch {
		case ggsstop.Stopped(ctx) && t.answer.next == 0:
			return stoppingFailure(g.withdraw(ctx, t))
		case ctx.Err() != nil:
			return &ggscore.Failure{Kind: ggscore.FailureCancelled, Outcome: ggscore.OutcomeUnknown, Detail: "the caller disconnected"}
		case err != nil:
			now := g.parts.Clock()
			if brokenSince.IsZero() {
				brokenSince = now
			}
			if now.Sub(brokenSince) > g.options.ResumeTimeout {
				t.unreachable = true
				return brokenFailure("the dispatcher became unreachable before the answer was complete")
			}
			g.stats.Resumed.Add(1)
			g.pause(ctx, resumeInterval)
			continue
		case reply.Lost:
			return brokenFailure("the dispatcher no longer holds the request or its next chunk")
		}
		brokenSince = time.Time{}
		if done, f := g.forward(t, reply); done {
			return f
		}
	}
}

func (g *Gateway) next(ctx context.Context, t *attempt) (*ggswire.NextReply, error) {
	ctx, cancel := context.WithTimeout(ctx, nextWait+nextMargin)
	defer cancel()
	args := ggswire.NextArgs{ID: string(t.request.ID), Attempt: t.number, From: t.answer.next, Wait: nextWait}
	reply := &ggswire.NextReply{}
	if err := g.parts.Caller.Call(ctx, t.addr, ggswire.MethodNext, &args, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// forward writes the chunks of a reply to the caller. done is set if the answer has ended.
func (g *Gateway) forward(t *attempt, reply *ggswire.NextReply) (done bool, f *ggscore.Failure) {
	for i := range reply.Chunks {
		k := reply.Chunks[i].Chunk()
		if k.Failure != nil {
			return true, k.Failure
		}
		err := t.answer.add(k, reply.Stall)
		if invalid := (*ChunkStatusError)(nil); errors.As(err, &invalid) {
			return true, brokenFailure(err.Error())
		}
		if err != nil {
			return true, &ggscore.Failure{Kind: ggscore.FailureCancelled, Outcome: ggscore.OutcomeUnknown, Detail: err.Error()}
		}
		if k.Final {
			return true, nil
		}
	}
	return false, nil
}

func (g *Gateway) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// withdraw cancels the request at the dispatcher, also after the caller has
// disconnected, and returns the request's outcome.
//
// A gateway whose process was paused may withdraw a request so late that the
// dispatcher has already discarded the id of the ended request. The dispatcher would
// then wrongly answer notRun, so answers later than maxWithdrawAge count as unknown.
func (g *Gateway) withdraw(ctx context.Context, t *attempt) ggscore.Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), withdrawTimeout)
	defer cancel()
	var reply ggswire.WithdrawReply
	args := ggswire.WithdrawArgs{Incarnation: t.incarnation, ID: string(t.request.ID), Attempt: t.number}
	if err := g.parts.Caller.Call(ctx, t.addr, ggswire.MethodWithdraw, &args, &reply); err != nil {
		return ggscore.OutcomeUnknown
	}
	if g.parts.Clock().Sub(t.sent) > maxWithdrawAge {
		return ggscore.OutcomeUnknown
	}
	return ggscore.Outcome(reply.Outcome)
}

// withdrawLater withdraws the request in the background.
func (g *Gateway) withdrawLater(ctx context.Context, t *attempt) {
	g.withdrawals.Go(func() { g.withdraw(ctx, t) })
}

func brokenFailure(detail string) *ggscore.Failure {
	return &ggscore.Failure{Kind: ggscore.FailureBroken, Outcome: ggscore.OutcomeUnknown, Detail: detail}
}
