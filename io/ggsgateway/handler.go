package ggsgateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggslimit"
	"greengageslip/core/ggsroute"
	"greengageslip/io/ggsconn"
	"greengageslip/io/ggsstop"
)

// Handler returns the HTTP handler for callers and for the load balancer's health check.
func (g *Gateway) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.POST("/v1/chat/completions", g.serve(g.admitChat))
	e.POST("/v1/services/:service/:operation", g.serve(g.admitCall))
	e.GET("/healthz", g.health)
	e.NoRoute(func(c *gin.Context) {
		c.Set(headerRequestID, newRequestID())
		writeFailure(c, &ggscore.Failure{Kind: ggscore.FailureUnknownService, Outcome: ggscore.OutcomeNotRun, Detail: "no such path"})
	})
	return ggsconn.ResetOnAbort(e)
}

// RefuseFull refuses a request for which there is no place in flight, or no memory.
func (g *Gateway) RefuseFull(w http.ResponseWriter, _ *http.Request, err error) {
	g.stats.Requests.Add(1)
	f, id := fullFailure(err), newRequestID()
	g.countOutcome(f)
	_ = level.Info(g.parts.Log).Log("event", "requestFailed", "request", id, "kind", f.Kind, "outcome", f.Outcome, "detail", f.Detail)
	h := w.Header()
	h.Set(headerRequestID, id)
	h.Set("Content-Type", "application/json; charset=utf-8")
	h.Set("Retry-After", retryAfter(f))
	w.WriteHeader(statusOf(f))
	// A write error means that the caller has left.
	_ = json.NewEncoder(w).Encode(bodyOf(id, f))
}

// fullFailure returns the failure of a request for which there is no place in flight, or no memory.
func fullFailure(err error) *ggscore.Failure {
	return &ggscore.Failure{Kind: ggscore.FailureOverLimit, Outcome: ggscore.OutcomeNotRun, Detail: err.Error(), RetryAfter: fullRetryAfter}
}

// An admitFunc reads a request and resolves it with the document.
type admitFunc func(*gin.Context, *ggscore.Document) (*ggscore.Request, *ggscore.Failure)

// health answers the load balancer's health check: 200 if the gateway is ready, else 503.
func (g *Gateway) health(c *gin.Context) {
	if err := g.Ready(); err != nil {
		c.String(http.StatusServiceUnavailable, "%s\n", err.Error())
		return
	}
	c.String(http.StatusOK, "ok\n")
}

// serve returns the handler of the requests that admit reads.
func (g *Gateway) serve(admit admitFunc) gin.HandlerFunc {
	return func(c *gin.Context) {
		g.inFlight.Add(1)
		defer g.inFlight.Add(-1)
		g.stats.Requests.Add(1)
		id := newRequestID()
		c.Set(headerRequestID, id)
		c.Header(headerRequestID, id)
		a := &answer{c: c, id: id}
		f := g.answer(c, admit, a)
		g.countOutcome(f)
		if f == nil {
			return
		}
		_ = level.Info(g.parts.Log).Log("event", "requestFailed", "request", id, "kind", f.Kind, "outcome", f.Outcome, "detail", f.Detail)
		a.fail(f)
	}
}

// answer serves one request. It returns a failure if the answer is incomplete.
func (g *Gateway) answer(c *gin.Context, admit admitFunc, a *answer) *ggscore.Failure {
	if g.stop.Draining() {
		c.Header("Connection", "close")
		return stoppingFailure(ggscore.OutcomeNotRun)
	}
	d := g.parts.Document()
	if d == nil {
		return &ggscore.Failure{
			Kind: ggscore.FailureNoDocument, Outcome: ggscore.OutcomeNotRun,
			Detail: "the gateway has not received a document yet", RetryAfter: time.Second,
		}
	}
	ctx, s := g.stop.Begin(c.Request.Context(), ggsstop.Work{Deadline: g.parts.Clock().Add(defaultDeadline)})
	defer s.End()
	c.Request = c.Request.WithContext(ctx)
	r, f := admit(c, d)
	if f != nil {
		return f
	}
	if f := g.checkLimits(r, d); f != nil {
		return f
	}
	defer g.endRequest(r)
	a.stream = r.Stream
	if err := s.Send(ctx); err != nil {
		return g.unsent(ctx, c)
	}
	f = g.send(ctx, r, a)
	switch {
	case f == nil:
		s.Whole()
		return nil
	case ggsstop.Stopped(ctx):
		return f
	}
	return callerFailure(r, f)
}

// unsent returns the failure of a request that isn't submitted, because the gateway stops or the caller has left.
func (g *Gateway) unsent(ctx context.Context, c *gin.Context) *ggscore.Failure {
	if !ggsstop.Stopped(ctx) {
		return &ggscore.Failure{Kind: ggscore.FailureCancelled, Outcome: ggscore.OutcomeNotRun, Detail: "the caller disconnected"}
	}
	c.Header("Connection", "close")
	return stoppingFailure(ggscore.OutcomeNotRun)
}

// stoppingFailure returns the failure of a request that a planned stop has refused or ended.
func stoppingFailure(o ggscore.Outcome) *ggscore.Failure {
	return &ggscore.Failure{Kind: ggscore.FailureStopping, Outcome: o, Detail: "the gateway is stopping", RetryAfter: time.Second}
}

// callerFailure replaces failures that concern only the gateway and the dispatchers
// (lost ownership, a stopping dispatcher) by the failure that no dispatcher is available.
func callerFailure(r *ggscore.Request, f *ggscore.Failure) *ggscore.Failure {
	if f == nil || (f.Kind != ggscore.FailureNotOwner && f.Kind != ggscore.FailureStopping) {
		return f
	}
	e := &ggsroute.NoDispatcherError{Service: r.Service, Cause: ggsroute.CauseUnavailable, RetryAfter: max(f.RetryAfter, unavailableRetryAfter)}
	n := e.Failure()
	n.Outcome = f.Outcome
	return n
}

// checkLimits applies the current document and admits the request to its market, or
// returns the failure if the market is over its limit.
func (g *Gateway) checkLimits(r *ggscore.Request, d *ggscore.Document) *ggscore.Failure {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyDocument(r.Arrived, d)
	g.retries.Request(r.Arrived, r.Market)
	err := g.limiter.Admit(r.Arrived, r.Market)
	if l := (*ggslimit.OverLimitError)(nil); errors.As(err, &l) {
		return l.Failure()
	}
	return nil
}

func (g *Gateway) endRequest(r *ggscore.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Ended(r.Market, g.parts.Clock().Sub(r.Arrived))
}

func (g *Gateway) countOutcome(f *ggscore.Failure) {
	switch {
	case f == nil || f.Outcome == ggscore.OutcomeDone:
		g.stats.Done.Add(1)
	case f.Outcome == ggscore.OutcomeNotRun:
		g.stats.NotRun.Add(1)
	default:
		g.stats.Unknown.Add(1)
	}
}
