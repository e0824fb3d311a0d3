package ggsedge

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggspath"
	"greengageslip/io/ggslog"
)

// Waits that callers are told.
const (
	// startWait is told while the edge has no configuration: a start takes
	// about a second.
	startWait = 500 * time.Millisecond
	// awayWait is told while the store doesn't give it one: outages of the
	// store last seconds, and callers that were sent away for less spent their
	// tries before its end.
	awayWait = 2 * time.Second
	// fullWait is told where this VM has all the requests that it can hold; others
	// may have room.
	fullWait = 300 * time.Millisecond
	// minWait keeps callers from coming back at once.
	minWait = 50 * time.Millisecond
)

// Limits of what callers send, where the configuration sets none.
const (
	defaultHeaderBytes = 32 << 10
	defaultBodyBytes   = 4 << 20
)

// A job is one request on its way.
type job struct {
	w       http.ResponseWriter
	r       *http.Request
	meta    ggscore.RequestMeta
	route   *ggscore.Route
	service ggscore.Service
	spec    ggscore.BackendSpec
	uri     string
	body    []byte
	arrived time.Time
	// until is when its time is over.
	until time.Time
	limit time.Duration
	// version is the adapter's version that has to answer, zero for any.
	version uint64
	tried   []ggscore.EndpointID
	// sends counts the endpoints that it was sent to, runs those on which it
	// may have run.
	sends int
	runs  int
	// counted says that the retry budget counts it.
	counted bool
	// granted says that another send is granted already.
	granted bool
	// kept is an endpoint's failure, while another endpoint is tried.
	kept *keptAnswer
	// turn is its turn at the endpoint that it was sent to last, sentAt when it was.
	turn   ggscore.PromptTurn
	sentAt time.Time
	// turnWait is how long it waited for its turn.
	turnWait time.Duration
	// pieceAt is when the last piece of its answer came.
	pieceAt time.Time
	// gap is the longest pause between two pieces of its answer.
	gap time.Duration
	// hurt says that prompts of others made its answer pause for longer than callers
	// of the route want, or that it was late for its turn.
	hurt bool
	// first is the time from its arrival to the first piece of its answer.
	first time.Duration
	// committed says that an answer has begun.
	committed bool
}

// ServeHTTP implements http.Handler.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.stats.Requests.Add(1)
	e.stats.Active.Add(1)
	defer e.stats.Active.Add(-1)
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	j := &job{w: w, r: r, arrived: e.Steady()}
	// A burst beyond what the process's memory and descriptors can hold would end
	// it, and with it all that it serves.
	if e.stats.Active.Load() > e.options.MaxActive {
		e.refuse(j, fullWait, "too many requests are under way here")
		return
	}
	if !e.admit(j) {
		return
	}
	defer e.stats.Bodies.Add(-int64(len(j.body)))
	ctx, cancel := context.WithDeadlineCause(r.Context(), j.until, &DeadlineError{Limit: j.limit})
	defer cancel()
	e.run(ctx, j)
}

// admit finds the request's route and reads it. It answers and returns false
// where the request can't be served.
func (e *Edge) admit(j *job) bool {
	t := e.paths.Load()
	if t == nil {
		wait := startWait
		if e.storeAway.Load() {
			wait = awayWait
		}
		e.refuse(j, wait, "no configuration yet")
		return false
	}
	j.uri = j.r.RequestURI
	if !strings.HasPrefix(j.uri, "/") {
		// The absolute form names the host once more; endpoints get the other.
		j.uri = j.r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(j.uri, "?")
	j.route = t.Find(j.r.Host, path)
	if j.route == nil {
		e.reject(j, http.StatusNotFound, "no route matches")
		return false
	}
	if headBytes(j.r.Header) > cmp.Or(t.Config.Limits.MaxHeaderBytes, defaultHeaderBytes) {
		e.reject(j, http.StatusRequestHeaderFieldsTooLarge, "the head is too long")
		return false
	}
	j.meta = e.Dialect.Request(j.r.Header)
	if j.meta.ID == "" {
		e.reject(j, http.StatusBadRequest, "the request has no identity")
		return false
	}
	j.service = ggspath.Pick(j.route, rand.Float64())
	j.spec = t.Config.Services[j.service]
	j.limit = j.route.Timeout
	if d := j.meta.Deadline; d > 0 && d < j.limit {
		j.limit = d
	}
	j.until = j.arrived.Add(j.limit)
	return e.read(j, cmp.Or(t.Config.Limits.MaxBodyBytes, defaultBodyBytes))
}

// headBytes returns the size of a request's headers as they were sent, about.
func headBytes(h http.Header) int {
	n := 0
	for k, vs := range h {
		for _, v := range vs {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return n
}

// read reads the request's body. It is read whole, so that a request that a
// slow caller hasn't finished takes no endpoint's place, and so that it can be
// offered to another endpoint.
func (e *Edge) read(j *job, limit int64) bool {
	if j.r.ContentLength > limit {
		e.reject(j, http.StatusRequestEntityTooLarge, "the body is too long")
		return false
	}
	if j.r.ContentLength == 0 {
		return true
	}
	b, err := io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, limit))
	if err == nil {
		j.body = b
		if e.stats.Bodies.Add(int64(len(b))) > e.options.MaxBodies {
			e.stats.Bodies.Add(-int64(len(b)))
			j.body = nil
			e.refuse(j, fullWait, "the bodies of requests under way take all memory here")
			return false
		}
		return true
	}
	var long *http.MaxBytesError
	if errors.As(err, &long) {
		e.reject(j, http.StatusRequestEntityTooLarge, "the body is too long")
		return false
	}
	e.reject(j, http.StatusBadRequest, "the body can't be read")
	return false
}

// refuse answers that the request has not run, and when to come back.
func (e *Edge) refuse(j *job, wait time.Duration, why string) {
	e.stats.Refused.Add(1)
	wait = max(wait, minWait)
	j.w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	e.answer(j, http.StatusServiceUnavailable, why)
}

// reject answers that the request isn't one to serve.
func (e *Edge) reject(j *job, status int, why string) {
	e.answer(j, status, why)
}

// fail answers that the request may have run.
func (e *Edge) fail(j *job, status int, why string) {
	e.stats.Failed.Add(1)
	e.answer(j, status, why)
}

// answer writes an answer of the edge's own.
func (e *Edge) answer(j *job, status int, why string) {
	_ = level.Info(e.Log).Log("event", ggslog.EventRequestEnded, "request", j.meta.ID, "status", status, "why", why,
		"sends", j.sends, "runs", j.runs, "took", e.since(j.arrived))
	h := j.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(why)+1))
	if j.meta.ID != "" {
		h.Set(e.options.IDHeader, string(j.meta.ID))
	}
	j.w.WriteHeader(status)
	// A caller that has gone away gets nothing, and nothing is to be done.
	_, _ = io.WriteString(j.w, why+"\n")
}
