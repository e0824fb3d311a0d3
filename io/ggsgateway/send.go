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
	"greengageslip/io/ggswire"
)

const (
	nextWait       = 5 * time.Second
	nextMargin     = 2 * time.Second
	resumeInterval = 50 * time.Millisecond
	// handOverInterval is the time between two looks for the next owner.
	handOverInterval = 25 * time.Millisecond
	withdrawTimeout  = 2 * time.Second
	// maxSettleAge is well below the time for which dispatchers know ids.
	maxSettleAge   = time.Minute
	awayRetryAfter = time.Second
)

// An attempt is one offer of a request to one dispatcher.
type attempt struct {
	request *ggscore.Request
	answer  *answer
	choice  ggsroute.Choice
	addr    netip.AddrPort
	// life is the dispatcher's incarnation, sent when it was handed over.
	life string
	sent time.Time
	// number is the request's attempt.
	number int
	// unreachable says that the dispatcher didn't answer.
	unreachable bool
}

// A trail is what became of the offers of one request so far.
type trail struct {
	// tried are not asked again; stopped are never, whatever happens.
	tried   []ggscore.VMID
	stopped []ggscore.VMID
	// number counts the offers that spoke against their dispatcher.
	number int
	last   *ggscore.Failure
	// since is when the first offer came back for a hand-over.
	since time.Time
}

// handOver reports whether the last offer failed only because the runners
// change their owner.
func (t *trail) handOver() bool {
	return t.last != nil && (t.last.Kind == ggscore.FailureStopping || t.last.Kind == ggscore.FailureNotOwner)
}

// note adds an offer that failed.
func (t *trail) note(now time.Time, vm ggscore.VMID, f *ggscore.Failure) {
	t.last = f
	t.tried = append(t.tried, vm)
	switch {
	case !t.handOver():
		t.number++
	case t.since.IsZero():
		t.since = now
	}
	if f.Kind == ggscore.FailureStopping {
		t.stopped = append(t.stopped, vm)
	}
}

// send offers a request to one dispatcher after the other until one answers.
// Only a request that is proved not to have run is offered again.
func (g *Gateway) send(ctx context.Context, r *ggscore.Request, a *answer) *ggscore.Failure {
	t := &trail{}
	for {
		o, f := g.routeOn(ctx, r, a, t)
		if f != nil {
			return f
		}
		r.Attempt++
		o.number = r.Attempt
		f = g.try(ctx, o)
		if f == nil || a.next > 0 || ctx.Err() != nil || g.left(r) <= 0 {
			return f
		}
		t.note(g.parts.Clock(), o.choice.VM, f)
		wait, again := g.retry(r, t)
		if !again {
			return f
		}
		g.stats.Retries.Add(1)
		_ = level.Info(g.parts.Log).Log("event", "requestRerouted", "request", r.ID, "from", o.choice.VM, "kind", f.Kind)
		g.pause(ctx, wait)
	}
}

// retry decides whether a request whose offer failed is offered again. Offers
// that fail for a hand-over are bounded by its time and cost no budget: they
// came to a healthy dispatcher that merely isn't the owner any more.
func (g *Gateway) retry(r *ggscore.Request, t *trail) (time.Duration, bool) {
	if t.last.Outcome != ggscore.OutcomeNotRun {
		return 0, false
	}
	if t.handOver() {
		return 0, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	f := *t.last
	if f.Kind == ggscore.FailureNoCapacity {
		// Its wait is for the dispatcher that refused; another may have room.
		f.RetryAfter = 0
	}
	wait, err := g.retries.Retry(g.parts.Clock(), ggsretry.Attempt{
		Market: r.Market, Number: t.number, Failure: &f, Left: g.left(r),
	})
	return wait, err == nil
}

// routeOn routes a request, or says why it can't be sent on.
//
// A dispatcher that stops hands its queue back while the next owner of its
// runners is only taking over, so that for a moment nobody owns them. Refusing
// then would cut off requests in progress by a planned stop, and refuse new
// ones; the route is looked for again until the next owner is there or
// HandOverTimeout has passed since there was an owner.
func (g *Gateway) routeOn(ctx context.Context, r *ggscore.Request, a *answer, t *trail) (*attempt, *ggscore.Failure) {
	o, f := g.route(r, a, t.tried)
	if f == nil {
		return o, nil
	}
	since := t.since
	if t.last == nil {
		since = g.lastRouted(r.Service)
	} else if !t.handOver() {
		return nil, t.last
	}
	until := since.Add(g.options.HandOverTimeout)
	for f != nil && ctx.Err() == nil && g.left(r) > 0 && g.parts.Clock().Before(until) {
		g.pause(ctx, handOverInterval)
		o, f = g.route(r, a, t.stopped)
	}
	if f != nil && t.last != nil {
		return nil, t.last
	}
	return o, f
}

// lastRouted returns when a request of the service found a dispatcher last.
func (g *Gateway) lastRouted(s ggscore.Service) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.routed[s]
}

func (g *Gateway) left(r *ggscore.Request) time.Duration {
	return r.Budget - g.parts.Clock().Sub(r.Arrived)
}

func (g *Gateway) route(r *ggscore.Request, a *answer, tried []ggscore.VMID) (*attempt, *ggscore.Failure) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.parts.Clock()
	// Exclude works on its own copy: tried is the request's, and what breakers
	// leave out now may be asked later.
	c, err := g.router.Route(now, r, g.breakers.Exclude(now, slices.Clone(tried)))
	if n := (*ggsroute.NoDispatcherError)(nil); errors.As(err, &n) {
		return nil, n.Failure()
	}
	g.routed[r.Service] = now
	g.router.Sent(now, c)
	g.breakers.Started(now, c.VM)
	return &attempt{request: r, answer: a, choice: c, addr: g.peers[c.VM].addr, life: g.peers[c.VM].summary.Incarnation, sent: now}, nil
}

// try hands a request to one dispatcher and relays its answer.
func (g *Gateway) try(ctx context.Context, t *attempt) *ggscore.Failure {
	sent := g.parts.Clock()
	f := g.offer(ctx, t)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.parts.Clock()
	g.router.Ended(now, t.choice, ggsroute.End{Held: now.Sub(sent), Stall: t.answer.stall, AnswerBytes: t.answer.bytes})
	g.breakers.Ended(now, t.choice.VM, resultOf(t, f))
	return f
}

// resultOf says whether an offer's end speaks against its dispatcher. Only what
// the dispatcher itself failed at does: a refusal for want of room and an
// endpoint's failure are answers of a healthy one.
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

func (g *Gateway) offer(ctx context.Context, t *attempt) *ggscore.Failure {
	if f := g.submit(ctx, t); f != nil {
		return f
	}
	f := g.relay(ctx, t)
	// The dispatcher stops waiting for a request that is read to its end, and
	// stops one whose caller has gone.
	g.withdrawLater(ctx, t)
	return f
}

// submit hands the request over.
func (g *Gateway) submit(ctx context.Context, t *attempt) *ggscore.Failure {
	sub, cancel := context.WithTimeout(ctx, g.options.SubmitTimeout)
	defer cancel()
	args := ggswire.SubmitArgs{Incarnation: t.life, Request: ggswire.FromRequest(t.request, max(g.left(t.request), time.Millisecond))}
	var reply ggswire.SubmitReply
	err := g.parts.Caller.Call(sub, t.addr, ggswire.MethodSubmit, &args, &reply)
	if err == nil {
		return reply.Failure.Failure()
	}
	t.unreachable = ctx.Err() == nil
	if d := (*ggsrpc.DialError)(nil); errors.As(err, &d) {
		return notReached(err)
	}
	// The request may have been taken although its answer is lost. Withdrawing
	// it settles that: the dispatcher either says that it never started and
	// remembers so, or the outcome stays unknown.
	if g.withdraw(ctx, t) == ggscore.OutcomeNotRun {
		return notReached(err)
	}
	return &ggscore.Failure{
		Kind: ggscore.FailureBroken, Outcome: ggscore.OutcomeUnknown,
		Detail: "the dispatcher did not say whether it took the request",
	}
}

func notReached(err error) *ggscore.Failure {
	return &ggscore.Failure{
		Kind: ggscore.FailureNotOwner, Outcome: ggscore.OutcomeNotRun,
		Detail: err.Error(), RetryAfter: awayRetryAfter,
	}
}

// relay pulls the answer's pieces by number and passes them on. After a broken
// connection it asks again from the number that it needs.
func (g *Gateway) relay(ctx context.Context, t *attempt) *ggscore.Failure {
	var brokenSince time.Time
	for {
		reply, err := g.next(ctx, t)
		switch {
		case ctx.Err() != nil:
			return &ggscore.Failure{Kind: ggscore.FailureCancelled, Outcome: ggscore.OutcomeUnknown, Detail: "the caller has gone"}
		case err != nil:
			now := g.parts.Clock()
			if brokenSince.IsZero() {
				brokenSince = now
			}
			if now.Sub(brokenSince) > g.options.ResumeTimeout {
				t.unreachable = true
				return broken("the dispatcher can't be reached any more")
			}
			g.stats.Resumed.Add(1)
			g.pause(ctx, resumeInterval)
			continue
		case reply.Lost:
			return broken("the dispatcher no longer knows the request")
		}
		brokenSince = time.Time{}
		if done, f := g.pass(t, reply); done {
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

// pass passes pieces on; done says that the answer has ended.
func (g *Gateway) pass(t *attempt, reply *ggswire.NextReply) (done bool, f *ggscore.Failure) {
	for i := range reply.Chunks {
		k := reply.Chunks[i].Chunk()
		if k.Failure != nil {
			return true, k.Failure
		}
		if err := t.answer.add(k, reply.Stall); err != nil {
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

// withdraw takes a request back, even where the caller has gone.
//
// A gateway that was paused may ask so late that the dispatcher has forgotten
// a request that ended; its notRun would then be wrong, so that it counts for
// less than that time only.
func (g *Gateway) withdraw(ctx context.Context, t *attempt) ggscore.Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), withdrawTimeout)
	defer cancel()
	var reply ggswire.WithdrawReply
	args := ggswire.WithdrawArgs{Incarnation: t.life, ID: string(t.request.ID), Attempt: t.number}
	if err := g.parts.Caller.Call(ctx, t.addr, ggswire.MethodWithdraw, &args, &reply); err != nil {
		return ggscore.OutcomeUnknown
	}
	if g.parts.Clock().Sub(t.sent) > maxSettleAge {
		return ggscore.OutcomeUnknown
	}
	return ggscore.Outcome(reply.Outcome)
}

func (g *Gateway) withdrawLater(ctx context.Context, t *attempt) {
	g.closing.Go(func() { g.withdraw(ctx, t) })
}

func broken(detail string) *ggscore.Failure {
	return &ggscore.Failure{Kind: ggscore.FailureBroken, Outcome: ggscore.OutcomeUnknown, Detail: detail}
}
