package ggsfakesite

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Defaults of EndpointOptions.
const (
	DefaultSlots    = 16
	DefaultModel    = "m"
	DefaultLoadTime = 30 * time.Millisecond
	// modelLoadTime is the time to load the model after a restart.
	modelLoadTime = 500 * time.Millisecond
)

// EndpointOptions configure an Endpoint. Zero fields take their defaults, except that
// Now is required.
type EndpointOptions struct {
	ID      string
	Service string
	// Engine makes the endpoint a runner, which holds DefaultModel.
	Engine       bool
	AdapterSlots int
	// Slots is the number of requests that run at once.
	Slots    int
	LoadTime time.Duration
	// Events is the number of events in a stream, EventTime the interval between them.
	Events    int
	EventTime time.Duration
	// Now is the clock that times loads.
	Now func() time.Time
}

// A Query describes a request to the function that chooses its fault. Number counts the
// requests of the endpoint from one on.
type Query struct {
	ID     string
	Path   string
	Number int
}

// A Fault is a failure that an endpoint simulates for a request.
type Fault int

// The faults.
const (
	FaultNone Fault = iota
	// FaultReset runs the request and closes the connection without an answer.
	FaultReset
	// FaultRefuse answers 503 without running the request and marks the answer as not run.
	FaultRefuse
	// FaultTruncate runs the request and truncates the answer.
	FaultTruncate
	// FaultError runs the request and answers 500.
	FaultError
	// FaultHang runs the request and sends no answer until the caller disconnects.
	FaultHang
	// FaultNoStamp runs the request and answers 200 without the Server-Stamp header.
	FaultNoStamp
	// FaultEndInsideEvent runs the request and ends the stream in order inside an event, as its
	// framing has it. A plain answer is truncated.
	FaultEndInsideEvent
	// FaultEndEmpty runs the request and ends the stream in order before its first event. A plain
	// answer is truncated.
	FaultEndEmpty
	// FaultInformational sends an informational answer before the answer.
	FaultInformational
	// FaultPieces sends the answer byte by byte.
	FaultPieces
	// FaultStrayBytes sends bytes that belong to no answer after the answer.
	FaultStrayBytes
	// FaultSecondAnswer sends the answer twice.
	FaultSecondAnswer
	// FaultLateAnswer sends the answer once more where the answer to the connection's next request
	// is expected.
	FaultLateAnswer
	// FaultEncoded sends an answer with a content encoding.
	FaultEncoded
	// FaultNotHTTP runs the request and sends bytes that aren't an answer.
	FaultNotHTTP
)

// An Endpoint simulates a runner or an instance of a plain service.
type Endpoint struct {
	options EndpointOptions

	mu       sync.Mutex
	sequence uint64
	resident map[string]uint64
	loading  map[string]time.Time
	versions map[string]uint64
	fault    func(Query) Fault
	runs     map[string]int
	bodies   map[string]string
	orders   []Order
	// endless is sent in answer to each request, unless it is nil.
	endless *Endless
	// scripts chooses the script of each request, nil for none. scriptCount counts the requests.
	scripts     func(Query) *Script
	scriptCount int
	// misdirected is sent in answer to requests for another process, unless it is nil.
	misdirected *Script
	// holdLoads is the number of loads to leave unanswered, and heldLoads are those that were.
	holdLoads int
	heldLoads []Order
	// overfull is set once more adapters were loaded than there are slots.
	overfull     bool
	callersLeft  int
	requestCount int
	lastRun      time.Time
	// rateLimit is the Server-Limit header of answers in requests per second, empty for none.
	rateLimit string
	leaving   bool
	// retryAfter is the Retry-After header of requests refused by FaultRefuse, zero for none.
	retryAfter time.Duration
	arrivals   []Arrival
	brittle    brittleState
	// longPath is the path prefix of streams with longEvents events, empty for none.
	longPath   string
	longEvents int
	// workTime is the time that each plain request takes at an endpoint that isn't brittle.
	workTime time.Duration
	// framing and lineEnd are those of answers.
	framing Framing
	lineEnd string
	// software is the version of the endpoint's software.
	software string
	// runSoftware has the version that ran each request, by request ID.
	runSoftware map[string]string
	// model is the model that a runner holds or loads. unloaded is set while it isn't resident. loadedAt is when a load of it ends.
	model    string
	unloaded bool
	loadedAt time.Time
	// crashingPart is the part of a prompt that crashes the endpoint, which is then down for downTime.
	crashingPart     string
	downTime         time.Duration
	crashes          []time.Time
	partCrashes      []time.Time
	crashingArrivals []time.Time
	// crashingPath is the path prefix of requests that crash the endpoint, streams after crashingEvents
	// events.
	crashingPath   string
	crashingEvents int
	pathCrashes    map[string][]time.Time
	pathArrivals   map[string][]time.Time
	crashed        chan struct{}
	// starts counts the endpoint's processes, and is its entry's time of start. startedAt is when the last one started.
	starts    int
	startedAt time.Time
	// sameID counts the processes that kept the ID of the one before. bornAt is the start of such a process
	// in Unix milliseconds.
	sameID int
	bornAt int64
	// dark is set if the endpoint falls silent at a crash.
	dark bool
	// keepsID is set if the process after a crash keeps the ID.
	keepsID bool
	// silentUntil is the time until which the endpoint neither answers nor sends events.
	silentUntil time.Time
}

// An Arrival records a received request, whether or not the request was run.
type Arrival struct {
	ID string
	At time.Time
}

// NewEndpoint returns an endpoint with its model loaded and without adapters.
func NewEndpoint(o EndpointOptions) *Endpoint {
	if o.AdapterSlots == 0 {
		o.AdapterSlots = 4
	}
	if o.Slots == 0 {
		o.Slots = DefaultSlots
	}
	if o.LoadTime == 0 {
		o.LoadTime = DefaultLoadTime
	}
	return &Endpoint{
		options: o, model: DefaultModel, resident: map[string]uint64{}, loading: map[string]time.Time{}, versions: map[string]uint64{},
		fault: func(Query) Fault { return FaultNone }, scripts: func(Query) *Script { return nil }, runs: map[string]int{}, bodies: map[string]string{}, lineEnd: "\n",
		software: DefaultSoftware, runSoftware: map[string]string{}, pathCrashes: map[string][]time.Time{}, pathArrivals: map[string][]time.Time{}, crashed: make(chan struct{}, 1), starts: 1,
	}
}

// Entry returns the endpoint's entry in the store.
func (e *Endpoint) Entry(addr, zone string, draining bool) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "ready"
	if draining {
		state = "draining"
	}
	return []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":%q,"models":%s,"seq":%d,"born":%d}`,
		e.options.Service, addr, zone, e.software, e.options.Slots, state, e.models(), e.sequence, e.born()))
}

// SetFault sets the function that chooses the fault of each request.
func (e *Endpoint) SetFault(f func(Query) Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// SetRateLimit sets the requests per second that answers give as the rate limit. Zero
// removes the limit.
func (e *Endpoint) SetRateLimit(perSecond float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rateLimit = ""
	if perSecond > 0 {
		e.rateLimit = strconv.FormatFloat(perSecond, 'f', -1, 64)
	}
}

// SetLeaving sets whether answers carry the Server-Leaving header. The endpoint's entry in
// the store doesn't change.
func (e *Endpoint) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetRetryAfter sets the Retry-After header of requests that FaultRefuse refuses.
func (e *Endpoint) SetRetryAfter(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryAfter = d
}

// SetSilent makes the endpoint fall silent for a time and then go on.
func (e *Endpoint) SetSilent(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentUntil = e.options.Now().Add(d)
}

// waitSilence waits until the endpoint isn't silent.
func (e *Endpoint) waitSilence() {
	e.mu.Lock()
	wait := e.silentUntil.Sub(e.options.Now())
	e.mu.Unlock()
	if wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	<-t.C
}

// Arrivals returns the received requests, refused ones included.
func (e *Endpoint) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrivals)
}

// SetVersion sets the newest version of an adapter.
func (e *Endpoint) SetVersion(adapter string, version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions[adapter] = version
}

// Runs returns the number of runs by request ID.
func (e *Endpoint) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := make(map[string]int, len(e.runs))
	for k, v := range e.runs {
		m[k] = v
	}
	return m
}

// Body returns the body of the request with the given ID.
func (e *Endpoint) Body(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bodies[id]
}

// LastRun returns the time at which the last request began to run.
func (e *Endpoint) LastRun() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastRun
}

// CallersLeft returns the number of requests whose callers disconnected before the answer ended.
func (e *Endpoint) CallersLeft() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.callersLeft
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if x := r.Header.Get("Expect-Instance"); x != "" && x != e.ID() {
		e.refuseForAnother(w, r)
		return
	}
	switch r.URL.Path {
	case "/greengageslip/order":
		e.order(w, r)
	case "/greengageslip/report":
		e.report(w)
	default:
		x := e.script(r)
		if x != nil && x.BeforeBody {
			e.answerEarly(w, r, x)
			return
		}
		e.run(w, r, x)
	}
}

// refuseForAnother answers a request that names another process.
func (e *Endpoint) refuseForAnother(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	e.mu.Lock()
	x := e.misdirected
	e.mu.Unlock()
	if x == nil || id == "" {
		w.Header().Set("Instance-Id", e.ID())
		refuseMisdirected(w, id)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err == nil {
		e.answerScript(w, id, x)
	}
}

// refuseMisdirected answers a request that another process, model or adapter is wanted for.
func refuseMisdirected(w http.ResponseWriter, id string) {
	h := w.Header()
	if id != "" {
		h.Set("Request-Id", id)
	}
	h.Set("Not-Run", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func (e *Endpoint) run(w http.ResponseWriter, r *http.Request, script *Script) {
	id := r.Header.Get("Request-Id")
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.waitSilence()
	w.Header().Set("Request-Id", id)
	slot := e.enterBrittle(w)
	if slot == nil {
		return
	}
	defer slot.free()
	e.mu.Lock()
	e.requestCount++
	e.arrivals = append(e.arrivals, Arrival{ID: id, At: e.options.Now()})
	f := e.fault(Query{ID: id, Path: r.URL.Path, Number: e.requestCount})
	crashes := e.hasCrashingPart(r)
	crashesLater := e.hasCrashingPath(r)
	missing := e.missing(r)
	endless := e.endless
	if f != FaultRefuse && !missing && !endless.notRun() && !script.notRun() {
		e.runs[id]++
		e.runSoftware[id] = e.software
		e.lastRun = e.options.Now()
		e.bodies[id] = string(b)
	}
	e.setStatusHeaders(w.Header(), f)
	e.mu.Unlock()
	if missing {
		refuseMisdirected(w, id)
		return
	}
	if endless != nil {
		e.answerEndless(w, id, endless)
		return
	}
	if script != nil {
		e.answerScript(w, id, script)
		return
	}
	if crashes {
		e.crashUnderPart()
	}
	if crashesLater && !e.options.Engine {
		e.crashUnder(r.URL.Path)
	}
	slot.work()
	e.respond(w, r, id, f, crashesLater)
}

// respond answers a request with a fault, or as an endpoint that works does. A stream may crash the endpoint.
func (e *Endpoint) respond(w http.ResponseWriter, r *http.Request, id string, f Fault, crashes bool) {
	h := w.Header()
	switch f {
	case FaultRefuse:
		h.Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultHang:
		<-r.Context().Done()
		e.recordCallerLeft()
		panic(http.ErrAbortHandler)
	case FaultNone, FaultTruncate, FaultError, FaultNoStamp, FaultEndInsideEvent, FaultEndEmpty:
	default:
		e.answerRaw(w, id, lastEvent(r), f)
		return
	}
	if f != FaultNoStamp {
		h.Set("Server-Stamp", "stamp-of-"+e.options.ID)
	}
	e.mu.Lock()
	framing, lineEnd := e.framing, e.lineEnd
	e.mu.Unlock()
	switch {
	case f == FaultError:
		const text = "failed\n"
		b := newBody(w, r, framing, http.StatusInternalServerError, len(text))
		defer b.end()
		b.write(text)
	case e.options.Engine:
		h.Set("Content-Type", "text/event-stream")
		s := stream{id: id, lineEnd: lineEnd, first: lastEvent(r), events: e.eventsOf(r.URL.Path), fault: f, crash: func() {}}
		if crashes {
			s.crash = func() { e.crashUnder(r.URL.Path) }
		}
		e.sendStream(newBody(w, r, framing, http.StatusOK, e.streamLength(s)), s)
	default:
		e.answer(w, r, framing, id, f)
	}
}

// setStatusHeaders sets the headers that describe the endpoint. The lock is held.
func (e *Endpoint) setStatusHeaders(h http.Header, f Fault) {
	if e.rateLimit != "" {
		h.Set("Server-Limit", e.rateLimit)
	}
	if e.leaving {
		h.Set("Server-Leaving", "1")
	}
	if f == FaultRefuse && e.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.retryAfter.Seconds(), 'f', -1, 64))
	}
}

// answer sends the answer of a plain service.
func (e *Endpoint) answer(w http.ResponseWriter, r *http.Request, framing Framing, id string, f Fault) {
	text := "answer to " + id + " by " + e.options.ID + "\n"
	b := newBody(w, r, framing, http.StatusOK, len(text))
	if f == FaultTruncate || f == FaultEndInsideEvent || f == FaultEndEmpty {
		b.write(text[:5])
		b.abort()
	}
	defer b.end()
	b.write(text)
}

// event returns an event of a stream.
func (e *Endpoint) event(n int, id, lineEnd string) string {
	return fmt.Sprintf("id: %[1]d%[4]sdata: %[2]s by %[3]s%[4]s%[4]s", n+1, id, e.options.ID, lineEnd)
}

// A stream is the rest of a stream, from the event with index first on.
type stream struct {
	id      string
	lineEnd string
	first   int
	// events is the number of events in the whole stream.
	events int
	fault  Fault
	// crash is called when the stream's crashing event is due.
	crash func()
}

// SetLongPath sets the path prefix of streams that have another number of events.
func (e *Endpoint) SetLongPath(prefix string, events int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.longPath, e.longEvents = prefix, events
}

// eventsOf returns the number of events of a path's streams.
func (e *Endpoint) eventsOf(path string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.longPath != "" && strings.HasPrefix(path, e.longPath) {
		return e.longEvents
	}
	return e.options.Events
}

// streamLength returns the length of a stream.
func (e *Endpoint) streamLength(s stream) int {
	length := 0
	for n := s.first; n < s.events; n++ {
		length += len(e.event(n, s.id, s.lineEnd))
		if s.fault == FaultEndInsideEvent && n == s.events/2 {
			return length - len(s.lineEnd)
		}
	}
	return length
}

// sendStream sends the events of a stream.
func (e *Endpoint) sendStream(b *body, s stream) {
	defer b.end()
	if s.fault == FaultEndEmpty {
		return
	}
	process := e.started()
	crashing := min(s.first+e.crashAfter(), s.events-1)
	for n := s.first; n < s.events; n++ {
		e.waitSilence()
		if n == crashing {
			s.crash()
		}
		if e.started() != process {
			b.abort()
		}
		event := e.event(n, s.id, s.lineEnd)
		middle := n == s.events/2
		if s.fault == FaultEndInsideEvent && middle {
			b.write(strings.TrimSuffix(event, s.lineEnd))
			return
		}
		b.write(event)
		if s.fault == FaultTruncate && middle {
			b.abort()
		}
		t := time.NewTimer(e.options.EventTime)
		select {
		case <-t.C:
		case <-b.left:
			t.Stop()
			e.recordCallerLeft()
			b.abort()
		}
	}
}

func (e *Endpoint) recordCallerLeft() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.callersLeft++
}
