package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"greengageslip/fakes/ggsfakesite"
)

const (
	model        = "daka510000"
	service      = "assist-llm"
	adapterSlots = 16
	// heartbeat is heartbeatMs of the settings. An entry is removed after three of them without a write.
	heartbeat = 1200 * time.Millisecond
	// adapterLoad and diskLoad are the load times of an adapter and of a model that the runner held before.
	adapterLoad = 250 * time.Millisecond
	diskLoad    = 760 * time.Millisecond
	// maxComing is the number of adapters that may be in transit to a runner.
	maxComing = 4
	// events is the number of events of a stream, and shortEventTime the time of each unless a case needs longer ones.
	events         = 14
	shortEventTime = 5 * time.Millisecond
)

// An order is the body of an order.
type order struct {
	Operation string  `json:"operation"`
	Model     string  `json:"model"`
	Adapter   string  `json:"adapter"`
	Version   uint64  `json:"version"`
	Expected  *uint64 `json:"expected"`
	Holder    string  `json:"holder"`
	Fence     uint64  `json:"fencingToken"`
}

func (o *order) String() string {
	n := "-"
	if o.Expected != nil {
		n = strconv.FormatUint(*o.Expected, 10)
	}
	return fmt.Sprintf("%s %s/%s expected=%s holder=%s fencingToken=%d", o.Operation, o.Model, o.Adapter, n, o.Holder, o.Fence)
}

// A lateness is what a runner does with orders while applied_late lasts: it leaves each order number n with
// n modulo oneIn equal to 2 unanswered, and carries it out after delay.
type lateness struct {
	oneIn int
	delay time.Duration
}

// A runner is the stand-in of a model runner. Its model is loaded at first; after a crash it is empty.
type runner struct {
	j    *journal
	s    *ggsfakesite.Store
	addr string
	zone string
	// eventTime is the time of each event of a stream, and firstTime the time until the first one.
	eventTime time.Duration
	firstTime time.Duration

	mu       sync.Mutex
	id       string
	up       bool
	process  int
	born     int64
	seq      uint64
	hasModel bool
	modelAt  time.Time // when the model's load ends, zero for none
	held     map[string]bool
	coming   map[string]time.Time
	leaving  map[string]bool // unloads that wait for their runs
	active   map[string]int
	owner    string // the holder of the last order
	entry    string // the entry that was last written, without seq
	late     *lateness
	orders   int // orders while late, and those left unanswered
	unheard  int
	broken   bool // more was ordered than the runner holds
	// version is the version of the model's weights that the runner has or loads, and newest the one that was
	// named last.
	version int
	newest  int
	server  *http.Server
}

func newRunner(j *journal, s *ggsfakesite.Store, id, addr, zone string) *runner {
	r := &runner{j: j, s: s, id: id, addr: addr, zone: zone, eventTime: shortEventTime, newest: 1}
	r.reset()
	r.hasModel = true
	return r
}

func (r *runner) reset() {
	r.process++
	r.born = time.Now().UnixMilli()
	r.seq, r.hasModel, r.modelAt, r.entry, r.version = 0, false, time.Time{}, "", r.newest
	r.held, r.coming, r.leaving, r.active = map[string]bool{}, map[string]time.Time{}, map[string]bool{}, map[string]int{}
}

// start begins to listen and writes the runner's entry.
func (r *runner) start() error {
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	v := &http.Server{Handler: r}
	r.mu.Lock()
	r.up, r.server = true, v
	r.mu.Unlock()
	go func() { _ = v.Serve(l) }()
	r.writeEntry()
	return nil
}

// crash ends the process: its connections close, and it forgets everything. The next process has the
// given id. The entry stays until three heartbeats are missed.
func (r *runner) crash(next string) {
	r.mu.Lock()
	v, last := r.server, r.id
	r.up = false
	r.reset()
	r.id = next
	r.mu.Unlock()
	_ = v.Close()
	time.AfterFunc(3*heartbeat, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.up || r.id != last {
			r.s.Delete("servers/" + last)
		}
	})
}

// advance ends the loads and unloads that are due. The lock is held.
func (r *runner) advance() {
	now := time.Now()
	if !r.modelAt.IsZero() && !now.Before(r.modelAt) {
		r.hasModel, r.modelAt = true, time.Time{}
		r.j.log("runner %s: its model is loaded", r.id)
	}
	for a, at := range r.coming {
		if !now.Before(at) {
			delete(r.coming, a)
			r.held[a] = true
		}
	}
	for a := range r.leaving {
		if r.active[a] == 0 {
			delete(r.leaving, a)
			delete(r.held, a)
		}
	}
}

type modelEntry struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

func (r *runner) models() []modelEntry {
	if !r.hasModel {
		return []modelEntry{}
	}
	m := modelEntry{Name: model, Version: r.version, Adapters: []string{}}
	for a := range r.held {
		m.Adapters = append(m.Adapters, a+"@1")
	}
	slices.Sort(m.Adapters)
	return []modelEntry{m}
}

// writeEntry writes the runner's entry, if more than seq has changed.
func (r *runner) writeEntry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	r.advance()
	e := map[string]any{
		"service": service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": 64, "state": "ready",
		"coldRemainingMs": 0, "stage": "both", "models": r.models(), "born": r.born,
	}
	b, _ := json.Marshal(e)
	if string(b) == r.entry {
		return
	}
	r.entry = string(b)
	e["seq"] = r.seq
	b, _ = json.Marshal(e)
	r.s.Put("servers/"+r.id, b)
}

// beat writes the entry every heartbeat.
func (r *runner) beat(ctx context.Context) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.writeEntry()
		}
	}
}

func (r *runner) identity() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if x, id := q.Header.Get("Expect-Instance"), r.identity(); x != "" && x != id {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/greengageslip/order":
		r.takeOrder(w, q)
	case "/greengageslip/report":
		r.report(w)
	default:
		r.run(w, q)
	}
}

func (r *runner) report(w http.ResponseWriter) {
	r.mu.Lock()
	r.advance()
	coming := []string{}
	for a := range r.coming {
		coming = append(coming, model+"/"+a+"@1")
	}
	b, _ := json.Marshal(map[string]any{
		"stage": "both", "models": r.models(), "busy": !r.modelAt.IsZero() || len(r.leaving) > 0, "seq": r.seq, "waiting": 0, "running": 0,
		"kvUsed": 0, "kvTotal": 250875, "handles": 0, "coming": coming, "born": r.born,
	})
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

// run answers a client's request with a stream.
func (r *runner) run(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	_, a, _ := strings.Cut(q.Header.Get("Model"), "/")
	r.mu.Lock()
	r.advance()
	missing := a != "" && (!r.held[a] || r.leaving[a])
	if want := q.Header.Get("Expect-Version"); a == "" && want != "" && want != strconv.Itoa(r.version) {
		missing = true
	}
	if !r.hasModel || missing {
		r.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	process := r.process
	r.active[a]++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.process == process {
			r.active[a]--
			r.advance()
		}
	}()
	w.Header().Set("Server-Stamp", "3e1b.07."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(r.firstTime)
	for n := range events {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, id)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(r.eventTime)
	}
}

// takeOrder answers an order, or leaves it unanswered and carries it out late.
func (r *runner) takeOrder(w http.ResponseWriter, q *http.Request) {
	var o order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	r.owner = o.Holder
	if l := r.late; l != nil {
		r.orders++
		if r.orders%l.oneIn == 2 {
			r.unheard++
			seq := r.seq
			r.mu.Unlock()
			r.j.log("runner %s: order left unanswered at seq=%d: %v", r.id, seq, &o)
			time.AfterFunc(l.delay, func() { r.carryOutLate(o) })
			<-q.Context().Done()
			return
		}
	}
	status := r.carryOut(o)
	id, seq, process := r.id, r.seq, r.process
	r.mu.Unlock()
	r.j.log("runner %s: order answered %d: %v (process %d, seq=%d after it)", id, status, &o, process, seq)
	w.WriteHeader(status)
	r.endIfBroken()
}

func (r *runner) carryOutLate(o order) {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	before, process := r.seq, r.process
	status := r.carryOut(o)
	r.mu.Unlock()
	r.j.log("runner %s: late order reaches process %d at seq=%d, answer %d: %v", r.id, process, before, status, &o)
	r.endIfBroken()
}

// carryOut carries an order out, if it can be, and returns the answer's status. The lock is held.
func (r *runner) carryOut(o order) int {
	r.advance()
	_, coming := r.coming[o.Adapter]
	load, base := o.Operation == "load", o.Adapter == ""
	switch {
	case load && base && !r.modelAt.IsZero(), load && !base && coming, !load && r.leaving[o.Adapter]:
		return http.StatusAccepted // it is in progress
	case load && base && r.hasModel && r.version == r.newest, load && !base && r.held[o.Adapter] && !r.leaving[o.Adapter], !load && !r.held[o.Adapter]:
		return http.StatusOK // it holds already
	case o.Expected != nil && *o.Expected != r.seq, !r.modelAt.IsZero(), len(r.leaving) > 0:
		return http.StatusConflict
	case !load:
		r.seq++
		if r.active[o.Adapter] == 0 {
			delete(r.held, o.Adapter)
			return http.StatusOK
		}
		r.leaving[o.Adapter] = true
		return http.StatusAccepted
	case base:
		r.seq++
		// A load fetches the newest version.
		r.version, r.modelAt = r.newest, time.Now().Add(diskLoad)
		return http.StatusAccepted
	case !r.hasModel:
		return http.StatusBadRequest
	case len(r.coming) >= maxComing:
		return http.StatusConflict
	}
	r.seq++
	r.coming[o.Adapter] = time.Now().Add(adapterLoad)
	if n := len(r.held) + len(r.coming); n > adapterSlots {
		r.broken = true
		r.j.log("runner %s: LIMIT: it is to load adapter number %d, and has %d places: %v", r.id, n, adapterSlots, &o)
	}
	return http.StatusAccepted
}

// endIfBroken crashes a runner that was ordered to load more than it holds.
func (r *runner) endIfBroken() {
	r.mu.Lock()
	ends, id := r.broken && r.up, r.id
	r.mu.Unlock()
	if ends {
		r.crash(id)
	}
}
