package ggsedge

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsplace"
	"greengageslip/core/ggsquarantine"
	"greengageslip/core/ggsretry"
	"greengageslip/io/ggsexchange"
	"greengageslip/io/ggslog"
	"greengageslip/io/ggsstop"
)

const (
	// maxSends bounds the number of endpoints that a request is sent to, including those that
	// refused it.
	maxSends = 4
	// retryBase and retryMaxWait bound the backoff before a retry. A retry goes to another
	// endpoint, so the backoff only has to spread simultaneous retries.
	retryBase    = time.Millisecond
	retryMaxWait = 20 * time.Millisecond
	// crashRetryWait is the least backoff after an endpoint's crash. It covers a trip between regions, so that
	// VMs whose copies of a request have crashed endpoints at the same time hear of each other's crashes first.
	crashRetryWait = 20 * time.Millisecond
	// undecidedWait is how long a request waits for the withdrawal of crashes that speak against it, and
	// undecidedInterval the time between checks. Endpoints are asked at once whether their processes live on.
	undecidedWait     = 150 * time.Millisecond
	undecidedInterval = 15 * time.Millisecond
	// giveUpShare is the share of a request's timeout after which a failed load isn't followed by
	// an attempt at another endpoint. The rest of the time is better used by the caller's retry.
	giveUpShare = 0.35
	// minTimeLeft is the time before the deadline below which a request isn't sent.
	minTimeLeft = 5 * time.Millisecond
	// lingerTime is how long an exchange goes on after its caller has left or its time limit has passed, to learn
	// whether the endpoint crashes under the request, and suspectLingerTime that for a request under which one has
	// crashed before. Endpoints that work for nobody waste capacity.
	lingerTime        = 50 * time.Millisecond
	suspectLingerTime = 300 * time.Millisecond
	// maxConnShare is the share of an endpoint's connections that this VM uses at most. Callers
	// are distributed unevenly over the VMs.
	maxConnShare = 0.25
)

// run sends the request to one endpoint after another until one answers or no retry is allowed.
func (e *Edge) run(ctx context.Context, j *job) {
	var noPermit error
	for {
		if err := e.checkCrashes(ctx, j); err != nil {
			e.giveUp(ctx, j, err)
			return
		}
		choice, err := e.chooseSoftware(j)
		if err != nil {
			e.giveUp(ctx, j, cmp.Or(noPermit, err))
			return
		}
		j.choice, j.chosenAt = choice, e.Now()
		id := choice.Instance.ID
		j.tried = append(j.tried, id)
		if !choice.Resident {
			if err := e.ensureLoaded(ctx, choice.Instance, j); err != nil {
				_ = level.Info(e.Log).Log("event", ggslog.EventLoadFailed, "request", j.meta.ID, "endpoint", id,
					"adapter", j.meta.Model, "err", err)
				if ctx.Err() != nil || len(j.tried) >= maxSends || e.since(j.arrived) > time.Duration(giveUpShare*float64(j.timeout)) {
					e.giveUp(ctx, j, err)
					return
				}
				continue
			}
		}
		if noPermit = e.acquirePermit(ctx, j, choice.Instance); noPermit != nil {
			if ctx.Err() != nil || j.permitAsks >= maxPermitAsks {
				e.giveUp(ctx, j, noPermit)
				return
			}
			continue
		}
		if !e.takeLimit(id) {
			e.endRequest(j, id)
			continue
		}
		failure := e.send(ctx, j, choice)
		if failure == nil {
			return
		}
		if j.retryGranted && ctx.Err() == nil {
			j.retryGranted = false
			continue
		}
		if !e.retry(ctx, j, failure) {
			e.giveUp(ctx, j, failure)
			return
		}
	}
}

// checkCrashes returns a *ggsquarantine.QuarantinedError if the request must be kept from endpoints. It waits until that is
// decided, but no longer than undecidedWait.
func (e *Edge) checkCrashes(ctx context.Context, j *job) error {
	for begun := e.Monotonic(); ; {
		err := e.crashes.Check(j.unclaimed(), false)
		var q *ggsquarantine.QuarantinedError
		if errors.As(err, &q) && q.HalfOpen && j.claimed == "" && e.severalServe(j.service) && e.crashes.Claim(ctx, q.Suspect) {
			j.claimed = q.Suspect
			continue
		}
		if !errors.As(err, &q) || !q.Undecided || e.since(begun) >= undecidedWait || !pause(ctx, undecidedInterval) {
			return err
		}
	}
}

// chooseSoftware chooses an endpoint of the software version at which the request's stream has to begin or go on. A new
// stream for which that has no endpoint may begin anywhere.
func (e *Edge) chooseSoftware(j *job) (ggsplace.Choice, error) {
	if j.software != "" {
		return e.choose(j, j.software)
	}
	if v := e.origins.Begin(j.route, j.service); v != "" {
		if c, err := e.choose(j, v); err == nil {
			return c, nil
		}
	}
	return e.choose(j, "")
}

func (e *Edge) choose(j *job, software ggscore.SoftwareVersion) (ggsplace.Choice, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.version = e.requiredVersion(j.meta.Model)
	return e.table.Choose(e.Now(), ggsplace.Query{
		Service: j.service, Engine: j.spec.Engine, Target: j.meta.Model, Version: j.version, Software: software, PromptTokens: j.meta.PromptTokens, Tried: j.tried,
	})
}

// requiredVersion returns the version that has to answer requests, zero for any. Weights of a base model that were
// named aren't loaded in place of others, so that requests for them would be refused everywhere. Edge.mu is held.
func (e *Edge) requiredVersion(t ggscore.ModelAdapter) uint64 {
	if t.Adapter == "" {
		return 0
	}
	return e.versions[t]
}

// retry reports whether a failed request is sent to another endpoint, and waits for the
// backoff. A request that may have run is sent again only if the route is idempotent, and
// each run counts against the route's attempts. All retries count against the budget that the
// VMs share.
func (e *Edge) retry(ctx context.Context, j *job, f *ggscore.Failure) bool {
	if j.committed || ctx.Err() != nil {
		return false
	}
	if f.Outcome != ggscore.OutcomeNotRun {
		if j.claimed != "" || e.crashes.Suspected(j.suspects) {
			return false
		}
		if !j.route.Idempotent() || j.runs >= j.route.MaxAttempts {
			return false
		}
		// The policy retries only requests that have not run. An idempotent request that may have
		// run is passed to the policy as not run.
		g := *f
		g.Outcome = ggscore.OutcomeNotRun
		f = &g
	}
	e.mu.Lock()
	wait, err := e.retries.Retry(e.Now(), ggsretry.Attempt{
		Market: ggscore.Market(j.service), Number: j.sends, Failure: f, Left: j.deadline.Sub(e.Monotonic()) - minTimeLeft,
	})
	e.mu.Unlock()
	if err != nil {
		return false
	}
	if j.crashed {
		wait = max(wait, crashRetryWait)
	}
	if !pause(ctx, wait) || j.crashed && e.crashes.Suspected(j.suspects) {
		return false
	}
	e.stats.Retries.Add(1)
	return true
}

// giveUp answers a request that isn't sent again.
func (e *Edge) giveUp(ctx context.Context, j *job, err error) {
	var exceeded *DeadlineError
	late := errors.As(context.Cause(ctx), &exceeded)
	stops := ggsstop.Stopped(ctx)
	if ctx.Err() != nil && !late && !stops {
		e.abort(j)
	}
	if j.committed {
		e.stats.Failed.Add(1)
		// The answer has begun. Only an aborted connection shows the caller that the answer is
		// truncated.
		panic(http.ErrAbortHandler)
	}
	if j.fallback != nil {
		e.forwardKept(j)
		return
	}
	var quarantined *ggsquarantine.QuarantinedError
	var refused *ggsplace.RefusedError
	var failure *ggscore.Failure
	var permit *PermitError
	switch {
	case j.runs > 0 && late:
		e.fail(j, http.StatusGatewayTimeout, "request deadline exceeded; the request may have run")
	case j.runs > 0:
		e.fail(j, http.StatusBadGateway, "answer lost; the request may have run: "+err.Error())
	case late:
		e.refuse(j, timeoutRetryAfter, "request deadline exceeded; the request has not run")
	case stops:
		e.refuseStopping(j)
	case errors.As(err, &quarantined):
		e.refuse(j, quarantined.RetryAfter, err.Error())
	case errors.As(err, &refused):
		e.refuse(j, refused.RetryAfter, err.Error())
	case errors.As(err, &permit):
		e.refuse(j, permit.RetryAfter, err.Error())
	case errors.As(err, &failure):
		e.refuse(j, max(failure.RetryAfter, refusedRetryAfter), err.Error())
	default:
		e.refuse(j, refusedRetryAfter, err.Error())
	}
}

// abort ends a request whose caller has left.
func (e *Edge) abort(j *job) {
	e.stats.CallersLeft.Add(1)
	_ = level.Info(e.Log).Log("event", ggslog.EventCallerLeft, "request", j.meta.ID, "sends", j.sends, "took", e.since(j.arrived))
	panic(http.ErrAbortHandler)
}

const (
	// timeoutRetryAfter is sent when the request's deadline has passed before it ran.
	timeoutRetryAfter = time.Second
	// refusedRetryAfter is sent when endpoints refused the request. Their queues empty within
	// tenths of a second.
	refusedRetryAfter = 300 * time.Millisecond
)

// send sends the request once. It returns nil if the caller has received the answer.
func (e *Edge) send(ctx context.Context, j *job, c ggsplace.Choice) *ggscore.Failure {
	i := c.Instance
	left := j.deadline.Sub(e.Monotonic())
	if left < minTimeLeft {
		e.endRequest(j, i.ID)
		return &ggscore.Failure{Kind: ggscore.FailureCancelled, Outcome: ggscore.OutcomeNotRun, Detail: "not sent: too little time left before the request deadline"}
	}
	e.beginSend(j, i.ID)
	if !e.takeTurn(ctx, j, i) {
		e.endSend(j, i.ID, ggsretry.ResultNeutral)
		return &ggscore.Failure{Kind: ggscore.FailureCancelled, Outcome: ggscore.OutcomeNotRun, Detail: "not sent: deadline exceeded or caller left before the prompt's turn"}
	}
	if reason := e.mayNotSend(ctx, j, i); reason != "" {
		return e.notSent(j, i, reason)
	}
	defer j.stop.Waits()
	if v := e.origins.Announce(j.route, i, j.meta.ID); v != "" {
		j.software = v
	}
	left = j.deadline.Sub(e.Monotonic())
	j.sends++
	j.crashed = false
	j.sentAt = e.Now()
	_ = level.Info(e.Log).Log("event", ggslog.EventRequestSent, "request", j.meta.ID, "endpoint", i.ID, "route", j.route.Name,
		"software", i.Software, "resumes", j.resumes(), "adapter", j.meta.Model, "version", j.version, "resident", c.Resident, "inFlight", c.InFlight,
		"tokens", j.turn.Tokens, "permitWait", j.permitWait, "turnWait", j.turnWait, "waited", e.since(j.arrived), "left", left)
	a, err := e.Pool.Do(ctx, ggsexchange.Request{
		Addr: i.Addr, Method: j.r.Method, URI: j.uri, Host: j.r.Host, Body: j.body,
		Header:   e.Dialect.Forward(j.r.Header, ggscore.ForwardMeta{Endpoint: i.ID, Left: left, Version: j.version, Priority: j.route.Priority}),
		ID:       j.meta.ID,
		IDHeader: e.options.IDHeader,
		MaxConns: connLimit(j.spec.MaxConns),
		Opened:   func() { e.crashes.EndpointAccepted(i.ID, j.sentAt) },
		Linger:   e.linger(ctx, j), Abandoned: e.abandoned(j, i),
	})
	if err != nil {
		return e.unanswered(ctx, j, i, err)
	}
	defer a.Close()
	stop := context.AfterFunc(ctx, func() {
		// The caller waits for the end of its answer, which has begun.
		if !callerLeft(ctx) {
			a.Abort()
		}
	})
	defer stop()
	f, r := e.forwardAnswer(ctx, j, i, a)
	if f != nil && !j.committed {
		e.dropTurn(j)
	}
	e.endSend(j, i.ID, r)
	if f == nil && j.callerLeft {
		e.abort(j)
	}
	return f
}

// mayNotSend returns why a request may not be sent to the endpoint that was chosen before it waited, empty if it may.
func (e *Edge) mayNotSend(ctx context.Context, j *job, i ggscore.Instance) (reason string) {
	if !e.accepts(i.ID) {
		// The endpoint announced while the request waited that it leaves.
		return string(i.ID) + " accepts no more requests"
	}
	if err := e.crashes.Check(j.unclaimed(), true); err != nil {
		return err.Error()
	}
	if !e.confirmProcess(ctx, j, i) {
		return (&ProcessError{Endpoint: i.ID}).Error()
	}
	if err := j.stop.Send(ctx); err != nil {
		return err.Error()
	}
	return ""
}

// notSent returns the failure of a request that wasn't sent to its endpoint. The next endpoint is tried
// without a retry from the budget.
func (e *Edge) notSent(j *job, i ggscore.Instance, reason string) *ggscore.Failure {
	e.endSend(j, i.ID, ggsretry.ResultNeutral)
	e.dropTurn(j)
	j.retryGranted = true
	return &ggscore.Failure{Kind: ggscore.FailureNoCapacity, Outcome: ggscore.OutcomeNotRun, Detail: "not sent: " + reason}
}

func connLimit(conns int) int {
	if conns == 0 {
		return 0
	}
	return max(int(maxConnShare*float64(conns)), 2)
}

// unanswered returns the failure of an exchange without an answer.
func (e *Edge) unanswered(ctx context.Context, j *job, i ggscore.Instance, err error) *ggscore.Failure {
	f := &ggscore.Failure{Kind: ggscore.FailureBroken, Detail: err.Error()}
	result := ggsretry.ResultFailed
	var call *ggscore.CallError
	if errors.As(err, &call) {
		f.Kind, f.Outcome = call.Kind, call.Outcome()
	}
	var limit *ggsexchange.ConnLimitError
	if errors.As(err, &limit) {
		result, f.Kind = ggsretry.ResultNeutral, ggscore.FailureNoCapacity
	}
	if callerLeft(ctx) && !connectionBroke(err) {
		result = ggsretry.ResultNeutral
	}
	var abandoned *ggsexchange.AbandonedError
	j.ended = errors.As(err, &abandoned)
	var unreachable *ggscore.UnreachableError
	down := errors.As(err, &unreachable) && unreachable.Confirmed
	if e.Paths.Blocked(i.Addr) && !down {
		result = ggsretry.ResultNeutral
	}
	if down {
		e.crashes.EndpointDown(i.ID)
	}
	if f.Outcome != ggscore.OutcomeNotRun {
		j.runs++
		if !j.ended {
			e.recordCrash(j, &i, err)
		}
	}
	e.endSend(j, i.ID, result)
	e.dropTurn(j)
	_ = level.Info(e.Log).Log("event", ggslog.EventAttemptFailed, "request", j.meta.ID, "endpoint", i.ID, "outcome", f.Outcome,
		"fingerprint", j.fingerprint, "sharedParts", j.sharedParts(), "callerLeft", callerLeft(ctx), "err", err)
	return f
}

// callerLeft reports whether the caller of a request has left.
func callerLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !ggsstop.Stopped(ctx)
}

// abandoned returns the function for the end of an exchange whose time limit passed before its answer began.
func (e *Edge) abandoned(j *job, i ggscore.Instance) func(error) {
	b := ggsquarantine.BrokenRequest{Endpoint: i.ID, StartedAt: i.StartedAt, Suspects: j.suspects}
	id, fingerprint, sentAt := j.meta.ID, j.fingerprint, j.sentAt
	return func(err error) {
		if err == nil || !connectionBroke(err) {
			e.crashes.Ended(b.Suspects)
		}
		if err == nil {
			return
		}
		if !connectionBroke(err) {
			e.crashes.Abandoned(sentAt, b)
			return
		}
		_ = level.Info(e.Log).Log("event", ggslog.EventAbandonedBroken, "request", id, "endpoint", i.ID, "fingerprint", fingerprint, "err", err)
		e.crashes.Crashed(b, b.Suspects...)
	}
}

// linger returns the function that tells how long the request's exchange goes on after its caller has left. An endpoint
// may crash under another try meanwhile.
func (e *Edge) linger(ctx context.Context, j *job) func() time.Duration {
	ids := j.suspects
	return func() time.Duration {
		if ggsstop.Stopped(ctx) {
			return 0
		}
		if e.crashes.CrashedUnder(ids) {
			return suspectLingerTime
		}
		return lingerTime
	}
}

// beginSend records that a request is being sent to an endpoint.
func (e *Edge) beginSend(j *job, id ggscore.EndpointID) {
	e.crashes.Sent(j.suspects)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	e.table.Sent(now, id)
	e.holder.Sent(now, j.permit)
	if !j.counted {
		j.counted = true
		e.retries.Request(now, ggscore.Market(j.service))
	}
	if j.meta.Model.Adapter != "" {
		u := use{endpoint: id, target: j.meta.Model}
		if e.uses[u] == nil {
			e.uses[u] = &usage{}
		}
		e.table.RecordRequests(now, j.meta.Model, 1)
		e.uses[u].sent++
		e.uses[u].active++
		if w := e.workers[id]; w != nil {
			w.ledger.Use(now, j.meta.Model, e.options.VM, true)
		}
	}
}

// endSend records the end of a request that beginSend recorded.
func (e *Edge) endSend(j *job, id ggscore.EndpointID, r ggsretry.Result) {
	e.endRequest(j, id)
	if !j.ended {
		e.crashes.Ended(j.suspects)
	}
	j.ended = false
	e.mu.Lock()
	defer e.mu.Unlock()
	if u := e.uses[use{endpoint: id, target: j.meta.Model}]; u != nil {
		u.active--
		if w := e.workers[id]; w != nil {
			w.ledger.Use(e.Now(), j.meta.Model, e.options.VM, u.active > 0)
			w.wake()
		}
	}
	e.table.Ended(e.Now(), id, r)
}
