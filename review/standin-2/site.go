package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"greengageslip/fakes/ggsfakesite"
)

// hostName is the host of all routes.
const hostName = "site.example"

// modelName is the base model that all model runners hold.
const modelName = "m"

// heartbeat is the interval at which runners write their entries (heartbeatMs).
const heartbeat = 1200 * time.Millisecond

// plainWriter removes a header of the store that the pages don't describe.
type plainWriter struct{ http.ResponseWriter }

func (w plainWriter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

func (w plainWriter) Write(b []byte) (int, error) {
	w.Header().Del("Store-Era")
	return w.ResponseWriter.Write(b)
}

// storeHandler serves the platform's store as the pages describe it.
func storeHandler(s *ggsfakesite.Store) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.ServeHTTP(plainWriter{w}, r) })
}

// A run is a request that a runner has run.
type run struct {
	id, runner string
	at         time.Time
	events     int
	complete   bool
}

// A runner is a sound runner. The length of its streams is the second number of Token-Count, five tokens an event.
type runner struct {
	id, service, addr, zone string
	model                   bool
	eventTime               time.Duration
	born                    time.Time
	log                     *record

	// advertised is the address in the runner's entry, if it is another one than addr.
	advertised string

	mu     sync.Mutex
	server *http.Server
	// down is set while the runner is down, and crashed once it has crashed.
	down, crashed bool
	engine        engine
	runs          []*run
}

func (n *runner) entry(state string) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := map[string]any{
		"service": n.service, "address": cmp.Or(n.advertised, n.addr), "zone": n.zone, "version": "v1", "slots": 64, "state": state,
		"coldRemainingMs": 0, "seq": n.engine.seq, "born": n.born.UnixMilli(),
	}
	if n.model {
		e["stage"] = "both"
		e["models"] = n.models()
	}
	b, _ := json.Marshal(e)
	return b
}

// models lists the one model that the runner holds always, with its adapters. The lock is held.
func (n *runner) models() []map[string]any {
	n.engine.settle(time.Now())
	if n.engine.model.name == "" {
		return []map[string]any{}
	}
	resident, _ := n.engine.adapters(time.Now())
	return []map[string]any{{"name": n.engine.model.name, "version": 1, "adapters": resident}}
}

func (n *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if x := r.Header.Get("Expect-Instance"); x != "" && x != n.id {
		w.Header().Set("Instance-Id", n.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Instance-Id", n.id)
		return
	case "/greengageslip/report":
		n.mu.Lock()
		defer n.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, coming := n.engine.adapters(time.Now())
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "both", "models": n.models(), "coming": coming, "busy": false, "seq": n.engine.seq, "waiting": 0, "running": 0, "kvUsed": 0,
			"kvTotal": 250000, "handles": 0, "born": n.born.UnixMilli(),
		})
		return
	case "/greengageslip/order":
		n.order(w, r)
		return
	}
	n.serve(w, r)
}

func (n *runner) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	n.mu.Lock()
	held := n.engine.holds(time.Now(), r.Header.Get("Model"))
	n.mu.Unlock()
	if !held {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Instance-Id", n.id)
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x := &run{id: r.Header.Get("Request-Id"), runner: n.id, at: time.Now()}
	n.mu.Lock()
	n.runs = append(n.runs, x)
	n.mu.Unlock()
	n.log.line("run %s at %s, deadline %s ms", x.id, n.id, r.Header.Get("Deadline-Ms"))
	w.Header().Set("Request-Id", x.id)
	w.Header().Set("Server-Stamp", "stamp-"+n.id)
	_, out, stream := strings.Cut(r.Header.Get("Token-Count"), ",")
	if !stream {
		_, _ = io.WriteString(w, "done "+x.id)
		x.complete = true
		return
	}
	tokens, _ := strconv.Atoi(out)
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	for k := range max(tokens/5, 1) {
		select {
		case <-time.After(n.eventTime):
		case <-r.Context().Done():
			n.log.line("run %s at %s broken off after %d events: its connection has ended", x.id, n.id, k)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", k+1, k+1, x.id)
		_ = c.Flush()
		x.events++
	}
	x.complete = true
	n.log.line("run %s at %s complete, %d events", x.id, n.id, x.events)
}

// A site is a store with runners.
type site struct {
	store   *ggsfakesite.Store
	addr    string
	runners []*runner
	log     *record
	stop    chan struct{}
}

func (s *site) add(n *runner) {
	n.born, n.log, n.engine.ready = time.Now(), s.log, map[string]time.Time{}
	if n.engine.model.name == "" {
		n.engine.model = usual
	}
	s.runners = append(s.runners, n)
}

func (s *site) start() error {
	s.stop = make(chan struct{})
	if err := serve(s.addr, storeHandler(s.store)); err != nil {
		return err
	}
	for _, n := range s.runners {
		if err := n.listen(); err != nil {
			return err
		}
	}
	s.beat()
	go func() {
		t := time.NewTicker(heartbeat)
		for range t.C {
			s.beat()
		}
	}()
	return nil
}

func (s *site) beat() {
	for _, n := range s.runners {
		n.mu.Lock()
		down := n.down
		n.mu.Unlock()
		if !down {
			s.store.Put("servers/"+n.id, n.entry("ready"))
		}
	}
}

func (n *runner) listen() error {
	l, err := net.Listen("tcp", n.addr)
	if err != nil {
		return err
	}
	v := &http.Server{Handler: n}
	n.mu.Lock()
	n.server = v
	n.mu.Unlock()
	go func() { _ = v.Serve(l) }()
	return nil
}

// crash ends the runner's process. Its next one starts empty after a time, under the same id or a new one. The lock is held.
func (n *runner) crash(down time.Duration, newID string) {
	n.down, n.crashed = true, true
	_ = n.server.Close()
	time.AfterFunc(down, func() {
		n.mu.Lock()
		orders, sizes := n.engine.orders, n.engine.sizes
		n.engine = engine{orders: orders, sizes: sizes, ready: map[string]time.Time{}}
		n.id, n.born, n.down = cmp.Or(newID, n.id), time.Now(), false
		n.mu.Unlock()
		if err := n.listen(); err != nil {
			n.log.line("%s doesn't start again: %v", n.id, err)
			return
		}
		n.log.line("%s is up, empty", n.id)
	})
}

func serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return nil
}
