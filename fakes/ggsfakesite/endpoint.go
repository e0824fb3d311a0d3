package ggsfakesite

import (
	"encoding/json"
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
)

// An EndpointOptions sets an Endpoint. Zero fields take their defaults; Now is
// to be set.
type EndpointOptions struct {
	ID      string
	Service string
	// Engine makes it a runner of DefaultModel.
	Engine       bool
	AdapterSlots int
	LoadTime     time.Duration
	// Events is the number of events of a stream, EventTime the time of each.
	Events    int
	EventTime time.Duration
	// Now is the clock that loads go by.
	Now func() time.Time
}

// A Query is a request as faults are decided on.
type Query struct {
	ID     string
	Path   string
	Number int
}

// A Fault is what an endpoint does with a request.
type Fault int

// The faults.
const (
	FaultNone Fault = iota
	// FaultReset runs the request and closes the connection without an answer.
	FaultReset
	// FaultShed doesn't run it and says so.
	FaultShed
	// FaultCut runs it and breaks the answer off.
	FaultCut
	// FaultError runs it and answers 500.
	FaultError
	// FaultHang runs it and answers nothing until the caller leaves.
	FaultHang
	// FaultUnsigned answers 200 without the endpoint's mark.
	FaultUnsigned
)

// An Endpoint is a runner or an instance of a plain service.
type Endpoint struct {
	options EndpointOptions

	mu       sync.Mutex
	sequence uint64
	held     map[string]uint64
	coming   map[string]time.Time
	versions map[string]uint64
	fault    func(Query) Fault
	runs     map[string]int
	bodies   map[string]string
	orders   []Order
	left     int
	number   int
	lastRun  time.Time
	// limit is what answers name as the rate limit, empty for none.
	limit   string
	leaving bool
	// retryAfter is what refusals ask for, zero for nothing.
	retryAfter time.Duration
	arrivals   []Arrival
}

// An Order is one that the endpoint was given.
type Order struct {
	Operation string  `json:"operation"`
	Model     string  `json:"model"`
	Adapter   string  `json:"adapter"`
	Version   uint64  `json:"version"`
	Expected  *uint64 `json:"expected"`
	Holder    string  `json:"holder"`
	Fence     uint64  `json:"fencingToken"`
	// At is when it was accepted.
	At time.Time `json:"-"`
}

// An Arrival is a request that arrived, run or not.
type Arrival struct {
	ID string
	At time.Time
}

// NewEndpoint returns an endpoint that holds its model and no adapters.
func NewEndpoint(o EndpointOptions) *Endpoint {
	if o.AdapterSlots == 0 {
		o.AdapterSlots = 4
	}
	if o.LoadTime == 0 {
		o.LoadTime = DefaultLoadTime
	}
	return &Endpoint{
		options: o, held: map[string]uint64{}, coming: map[string]time.Time{}, versions: map[string]uint64{},
		fault: func(Query) Fault { return FaultNone }, runs: map[string]int{}, bodies: map[string]string{},
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
	return []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"models":%s,"seq":%d,"born":1}`,
		e.options.Service, addr, zone, DefaultSlots, state, e.models(), e.sequence))
}

// SetFault sets what goes wrong.
func (e *Endpoint) SetFault(f func(Query) Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// SetRateLimit has answers name a limit of requests a second, or none for zero.
func (e *Endpoint) SetRateLimit(perSecond float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = ""
	if perSecond > 0 {
		e.limit = strconv.FormatFloat(perSecond, 'f', -1, 64)
	}
}

// SetLeaving sets whether answers say that the endpoint leaves. Its entry in the store is
// another matter.
func (e *Endpoint) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetRetryAfter has requests that FaultShed refuses told when to come back.
func (e *Endpoint) SetRetryAfter(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryAfter = d
}

// Arrivals returns the requests that arrived, those that were refused included.
func (e *Endpoint) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrivals)
}

// SetVersion names an adapter's newest version.
func (e *Endpoint) SetVersion(adapter string, version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions[adapter] = version
}

// Runs returns how often each request was run.
func (e *Endpoint) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := make(map[string]int, len(e.runs))
	for k, v := range e.runs {
		m[k] = v
	}
	return m
}

// Body returns the body that a request came with.
func (e *Endpoint) Body(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bodies[id]
}

// Orders returns the orders that were accepted.
func (e *Endpoint) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// LastRun returns when the last request began to run.
func (e *Endpoint) LastRun() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastRun
}

// Left returns the number of requests whose callers left.
func (e *Endpoint) Left() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.left
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if x := r.Header.Get("Expect-Instance"); x != "" && x != e.options.ID {
		w.Header().Set("Instance-Id", e.options.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/greengageslip/order":
		e.order(w, r)
	case "/greengageslip/report":
		e.report(w)
	default:
		e.run(w, r)
	}
}

func (e *Endpoint) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	o.At = e.options.Now()
	_, holds := e.held[o.Adapter]
	_, coming := e.coming[o.Adapter]
	wanted := max(o.Version, e.versions[o.Adapter], 1)
	switch {
	case coming && o.Operation == "load":
		w.WriteHeader(http.StatusAccepted)
	case o.Expected != nil && *o.Expected != e.sequence:
		w.WriteHeader(http.StatusConflict)
	case o.Operation == "load" && (o.Adapter == "" || holds && e.held[o.Adapter] == wanted),
		o.Operation == "unload" && !holds:
		w.WriteHeader(http.StatusOK)
	case o.Operation == "unload":
		e.sequence++
		e.orders = append(e.orders, o)
		delete(e.held, o.Adapter)
		w.WriteHeader(http.StatusOK)
	default:
		e.sequence++
		e.orders = append(e.orders, o)
		delete(e.held, o.Adapter)
		e.versions[o.Adapter] = wanted
		e.coming[o.Adapter] = e.options.Now().Add(e.options.LoadTime)
		w.WriteHeader(http.StatusAccepted)
	}
}

// settle takes in what has arrived. The lock is held.
func (e *Endpoint) settle() {
	for a, t := range e.coming {
		if !e.options.Now().Before(t) {
			delete(e.coming, a)
			e.held[a] = e.versions[a]
		}
	}
}

// models returns what the endpoint holds, as in its entry. The lock is held.
func (e *Endpoint) models() string {
	if !e.options.Engine {
		return "[]"
	}
	l := []string{}
	for a, v := range e.held {
		l = append(l, fmt.Sprintf("%q", a+"@"+strconv.FormatUint(v, 10)))
	}
	return fmt.Sprintf(`[{"name":%q,"version":1,"adapters":[%s]}]`, DefaultModel, strings.Join(l, ","))
}

func (e *Endpoint) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"stage":"both","models":%s,"busy":false,"seq":%d,"waiting":0,"running":0}`, e.models(), e.sequence)
}

// missing reports whether the request needs an adapter that isn't there.
func (e *Endpoint) missing(r *http.Request) bool {
	_, a, _ := strings.Cut(r.Header.Get("Model"), "/")
	if !e.options.Engine || a == "" {
		return false
	}
	e.settle()
	v, ok := e.held[a]
	want := r.Header.Get("Expect-Version")
	return !ok || want != "" && want != strconv.FormatUint(v, 10)
}

func (e *Endpoint) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.number++
	e.arrivals = append(e.arrivals, Arrival{ID: id, At: e.options.Now()})
	f := e.fault(Query{ID: id, Path: r.URL.Path, Number: e.number})
	missing := e.missing(r)
	if f != FaultShed && !missing {
		e.runs[id]++
		e.lastRun = e.options.Now()
		e.bodies[id] = string(b)
	}
	e.describe(w.Header(), f)
	e.mu.Unlock()
	h := w.Header()
	h.Set("Request-Id", id)
	switch {
	case missing:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case f == FaultShed:
		h.Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case f == FaultReset:
		panic(http.ErrAbortHandler)
	case f == FaultHang:
		<-r.Context().Done()
		e.leave()
		panic(http.ErrAbortHandler)
	}
	if f != FaultUnsigned {
		h.Set("Server-Stamp", "stamp-of-"+e.options.ID)
	}
	if f == FaultError {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed\n")
		return
	}
	e.answer(w, r, id, f)
}

// describe sets what answers say of the endpoint. The lock is held.
func (e *Endpoint) describe(h http.Header, f Fault) {
	if e.limit != "" {
		h.Set("Server-Limit", e.limit)
	}
	if e.leaving {
		h.Set("Server-Leaving", "1")
	}
	if f == FaultShed && e.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.retryAfter.Seconds(), 'f', -1, 64))
	}
}

func (e *Endpoint) answer(w http.ResponseWriter, r *http.Request, id string, f Fault) {
	if !e.options.Engine {
		text := "answer to " + id + " by " + e.options.ID + "\n"
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		if f == FaultCut {
			text = text[:5]
		}
		_, _ = io.WriteString(w, text)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	for n := range e.options.Events {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s by %s\n\n", n+1, id, e.options.ID)
		_ = c.Flush()
		if f == FaultCut && n == e.options.Events/2 {
			panic(http.ErrAbortHandler)
		}
		t := time.NewTimer(e.options.EventTime)
		select {
		case <-t.C:
		case <-r.Context().Done():
			t.Stop()
			e.leave()
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *Endpoint) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.left++
}
