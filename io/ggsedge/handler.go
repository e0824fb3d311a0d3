package ggsedge

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsbudget"
	"greengageslip/core/ggsevent"
	"greengageslip/core/ggsgrace"
	"greengageslip/core/ggspath"
	"greengageslip/core/ggsplace"
	"greengageslip/io/ggsconn"
	"greengageslip/io/ggsintake"
	"greengageslip/io/ggslog"
	"greengageslip/io/ggsstop"
)

// Retry-After values of the edge's own answers.
const (
	// startRetryAfter is sent while the edge has no configuration. A start takes about a second.
	startRetryAfter = 500 * time.Millisecond
	// unavailableRetryAfter is sent while the store is unreachable and the edge has no
	// configuration. Outages of the store last seconds, and with a shorter value callers used
	// up their retries before the end of the outage.
	unavailableRetryAfter = 2 * time.Second
	// fullRetryAfter is sent when this VM is at its limit of requests. Other VMs may have
	// capacity.
	fullRetryAfter = 300 * time.Millisecond
	// minRetryAfter prevents immediate retries.
	minRetryAfter = 50 * time.Millisecond
)

// maxModelBytes bounds the name of a model and its adapter. VMs keep the names and send them to each other.
const maxModelBytes = 256

// Defaults for the limits of the configuration, in bytes.
const (
	defaultHeaderBytes = 32 << 10
	defaultBodyBytes   = 4 << 20
)

// A job is one request of a caller, from its arrival to the end of its answer.
type job struct {
	w       http.ResponseWriter
	r       *http.Request
	meta    ggscore.RequestMeta
	route   *ggscore.Route
	service ggscore.Service
	spec    ggscore.BackendSpec
	uri     string
	maxBody int64
	body    []byte
	arrived time.Time
	// deadline is arrived plus timeout.
	deadline time.Time
	timeout  time.Duration
	// stop is the request for a planned stop.
	stop *ggsstop.Request
	// version is the adapter version that has to answer, zero for any.
	version uint64
	// software is the version of the endpoint's software that has to answer, empty for any.
	software ggscore.SoftwareVersion
	tried    []ggscore.EndpointID
	// choice is the last endpoint chosen, and what was known of it at chosenAt.
	choice   ggsplace.Choice
	chosenAt time.Time
	// permit identifies the request at the last endpoint, and rejected is set if the endpoint refused it
	// for lack of capacity. permitAsks counts the endpoints for which a permit was asked, and permitWait is
	// how long the request waited for permits that were granted.
	permit     ggscore.PermitID
	rejected   bool
	permitAsks int
	permitWait time.Duration
	// sends counts the endpoints that the request was sent to, and runs those on which it may
	// have run.
	sends int
	runs  int
	// counted is set if the request was added to the retry budget.
	counted bool
	// retryGranted is set if the next send was already granted by the retry budget, or needs none.
	retryGranted bool
	// fallback is an endpoint's failure to forward if no other endpoint gives a better answer.
	fallback *keptFailure
	// turn is the time slot for the request's prompt at the last endpoint, and sentAt is when the
	// request was sent there.
	turn   ggscore.PromptTurn
	sentAt time.Time
	// turnWait is how long the request waited until its prompt could be sent.
	turnWait time.Duration
	// lastChunkAt is when the last chunk of the answer arrived.
	lastChunkAt time.Time
	// maxGap is the longest gap between two chunks of the answer.
	maxGap time.Duration
	// degraded is set if the gap between two chunks exceeded the route's target because of other
	// requests' prompts, or if the first chunk missed its target only because of turnWait.
	degraded bool
	// firstChunkAfter is the time from the request's arrival to the answer's first chunk.
	firstChunkAfter time.Duration
	// events is set if the answer is a stream of events, and position is the position in it.
	events   bool
	position ggsevent.Position
	// unconfirmed is set if another process than the listed one may have begun the stream.
	unconfirmed bool
	// answeredParts is set if the answer was recorded for the parts of the request's prompt.
	answeredParts bool
	// suspects are what endpoints may crash under: the parts of the prompt, and last the request itself.
	suspects []ggscore.SuspectID
	// claimed is the suspect in quarantine whose half-open try the request is, empty for none.
	claimed ggscore.SuspectID
	// fingerprint identifies the request in all its tries.
	fingerprint ggscore.Fingerprint
	// crashed is set if the last endpoint crashed under the request.
	crashed bool
	// ended is set if the end of the last try at an endpoint is recorded already, or by the exchange, which goes on after the
	// request's time limit.
	ended bool
	// callerLeft is set if the caller left before its answer was written.
	callerLeft bool
	// committed is set if the answer's head has been sent to the caller.
	committed bool
}

// resumes returns the request that began the stream which the caller resumes, empty for a new stream.
func (j *job) resumes() ggscore.RequestID {
	if j.meta.Resumption == nil {
		return ""
	}
	return j.meta.Resumption.Origin
}

// unclaimed returns the request's suspects but the one whose half-open try it is.
func (j *job) unclaimed() []ggscore.SuspectID {
	if j.claimed == "" {
		return j.suspects
	}
	return slices.DeleteFunc(slices.Clone(j.suspects), func(id ggscore.SuspectID) bool { return id == j.claimed })
}

// sharedParts returns the shared parts of the request's prompt for a log line.
func (j *job) sharedParts() string {
	var b strings.Builder
	for n, p := range j.meta.SharedParts {
		if n > 0 {
			b.WriteByte(',')
		}
		b.WriteString(string(p))
	}
	return b.String()
}

// ServeHTTP implements http.Handler.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.stats.Requests.Add(1)
	e.stats.InFlight.Add(1)
	defer e.stats.InFlight.Add(-1)
	j := &job{w: w, r: r, arrived: e.Monotonic()}
	if !e.admit(j) {
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), j.deadline, &DeadlineError{Limit: j.timeout})
	defer cancel()
	ctx, j.stop = e.stop.Begin(ctx, ggsstop.Work{
		Class: ggsgrace.Class{Service: j.service, Kind: j.route.Kind}, Deadline: j.deadline, OutputTokens: j.meta.OutputTokens,
	})
	defer j.stop.End()
	if j.stop.Late() {
		e.refuseStopping(j)
		return
	}
	if !e.readBody(ctx, j) {
		return
	}
	j.identify()
	e.crashes.AwaitStart(ctx)
	if e.resolveOrigin(ctx, j) {
		e.run(ctx, j)
	}
}

// RefuseFull refuses a request for which there is no place in flight, or no memory. A burst beyond the limits would end the process,
// and with it all requests in flight.
func (e *Edge) RefuseFull(w http.ResponseWriter, r *http.Request, err error) {
	e.stats.Requests.Add(1)
	e.refuse(&job{w: w, r: r, arrived: e.Monotonic()}, fullRetryAfter, err.Error())
}

// admit finds the request's route and its limits. If the request can't be served, it sends the answer and returns false.
func (e *Edge) admit(j *job) bool {
	t := e.paths.Load()
	if t == nil {
		wait := startRetryAfter
		if e.storeUnavailable.Load() {
			wait = unavailableRetryAfter
		}
		e.refuse(j, wait, "no configuration read from the store yet")
		return false
	}
	j.uri = j.r.RequestURI
	if !strings.HasPrefix(j.uri, "/") {
		// The absolute form includes the host. Endpoints get the origin form.
		j.uri = j.r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(j.uri, "?")
	j.route = t.Find(j.r.Host, path)
	if j.route == nil {
		e.reject(j, http.StatusNotFound, "no route matches")
		return false
	}
	if headerBytes(j.r.Header) > cmp.Or(t.Config.Limits.MaxHeaderBytes, defaultHeaderBytes) {
		e.reject(j, http.StatusRequestHeaderFieldsTooLarge, "request header too long")
		return false
	}
	j.meta = e.Dialect.Request(j.r.Header)
	if j.meta.ID == "" {
		e.reject(j, http.StatusBadRequest, "request ID missing")
		return false
	}
	if len(j.meta.Model.Model)+len(j.meta.Model.Adapter) > maxModelBytes {
		e.reject(j, http.StatusBadRequest, "name of model and adapter too long")
		return false
	}
	j.service = ggspath.Pick(j.route, rand.Float64())
	j.spec = t.Config.Services[j.service]
	j.timeout = j.route.Timeout
	if d := j.meta.Deadline; d > 0 && d < j.timeout {
		j.timeout = d
	}
	j.deadline = j.arrived.Add(j.timeout)
	j.maxBody = cmp.Or(t.Config.Limits.MaxBodyBytes, defaultBodyBytes)
	return true
}

// headerBytes returns the least size of a request's headers as they may have been sent.
func headerBytes(h http.Header) int {
	n := 0
	for k, vs := range h {
		for _, v := range vs {
			n += len(k) + len(v) + len(":\r\n")
		}
	}
	return n
}

// readBody reads the request's whole body before the request is sent to an endpoint. A slow
// caller then occupies no slot of an endpoint, and the request can be sent to another endpoint
// again. If the body can't be read in time, it sends the answer and returns false.
func (e *Edge) readBody(ctx context.Context, j *job) bool {
	if j.r.ContentLength > j.maxBody {
		e.reject(j, http.StatusRequestEntityTooLarge, "request body too long")
		return false
	}
	if j.r.ContentLength == 0 {
		return true
	}
	stop := ggsconn.InterruptReads(ctx, j.w)
	b, err := ggsintake.ReadAll(ctx, http.MaxBytesReader(j.w, j.r.Body, j.maxBody), j.r.ContentLength)
	stop()
	if err == nil {
		j.body = b
		return true
	}
	var long *http.MaxBytesError
	var full *ggsbudget.FullError
	var interrupted *ggsintake.InterruptedError
	var late *DeadlineError
	switch {
	case errors.As(err, &full), errors.As(err, &interrupted):
		j.w.Header().Set("Connection", "close")
		e.refuse(j, fullRetryAfter, err.Error())
	case errors.As(err, &long):
		e.reject(j, http.StatusRequestEntityTooLarge, "request body too long")
	case ggsstop.Stopped(ctx):
		e.refuseStopping(j)
	case errors.As(context.Cause(ctx), &late):
		// The rest of the body would be read as the connection's next request.
		j.w.Header().Set("Connection", "close")
		e.refuse(j, timeoutRetryAfter, "request deadline exceeded before the whole body arrived; the request has not run")
	default:
		e.reject(j, http.StatusBadRequest, "reading the request body failed")
	}
	return false
}

// refuseStopping refuses a request because the VM stops. Other VMs can serve it at once.
func (e *Edge) refuseStopping(j *job) {
	e.refuse(j, minRetryAfter, "this VM is stopping, and the request may not end in time")
}

// refuse answers that the request has not run, with a Retry-After value.
func (e *Edge) refuse(j *job, wait time.Duration, reason string) {
	e.stats.Refused.Add(1)
	wait = max(wait, minRetryAfter)
	j.w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	e.respond(j, http.StatusServiceUnavailable, reason)
}

// reject answers that the request is invalid.
func (e *Edge) reject(j *job, status int, reason string) {
	e.respond(j, status, reason)
}

// fail answers that the request may have run.
func (e *Edge) fail(j *job, status int, reason string) {
	e.stats.Failed.Add(1)
	e.respond(j, status, reason)
}

// writeStatus sends the head of an answer. During a planned stop it announces that the connection is closed after the answer.
func (e *Edge) writeStatus(j *job, status int) {
	if e.stop.Draining() {
		j.w.Header().Set("Connection", "close")
	}
	j.w.WriteHeader(status)
}

// respond writes an answer of the edge's own.
func (e *Edge) respond(j *job, status int, reason string) {
	_ = level.Info(e.Log).Log("event", ggslog.EventRequestEnded, "request", j.meta.ID, "status", status, "why", reason,
		"sends", j.sends, "runs", j.runs, "took", e.since(j.arrived))
	h := j.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	if j.meta.ID != "" {
		h.Set(e.options.IDHeader, string(j.meta.ID))
	}
	e.writeStatus(j, status)
	// A write error means that the caller has left; nothing remains to be done.
	_, _ = io.WriteString(j.w, reason+"\n")
}
