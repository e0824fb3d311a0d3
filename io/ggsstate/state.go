// Package ggsstate serves a process's diagnostics to operators over HTTP: a dump of
// its state, its counters and its health.
//
// # Usage
//
//	s := ggsstate.New("ggsgateway", vm, clock)
//	s.AddPart("router", func() any { return routerState() })
//	s.AddCounter("done", stats.Done.Load)
//	server := &http.Server{Handler: s.Handler()}
//
// GET /state answers with one JSON object: "program", "vm", "time" and
// "parts", with a member for each part. GET /debug/vars answers with the variables
// of expvar and the process's counters in the map "greengageslip". GET /healthz
// answers 200 "ok", or 503 with the reason.
//
// A mutex guards the parts and is held while their functions run. Parts, counters and
// the health check are set before Handler is called.
package ggsstate

import (
	"encoding/json"
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	ggscore "greengageslip/core"
)

// A State holds the parts, counters and health check of a process.
type State struct {
	program string
	vm      ggscore.VMID
	clock   func() time.Time
	mu      sync.Mutex
	parts   map[string]func() any
	counts  *expvar.Map
	health  func() error
}

// A dump is the answer to GET /state.
type dump struct {
	Program string         `json:"program"`
	VM      string         `json:"vm"`
	Time    time.Time      `json:"time"`
	Parts   map[string]any `json:"parts"`
}

// New returns a State without parts or counters, which reports healthy.
func New(program string, vm ggscore.VMID, clock func() time.Time) *State {
	return &State{
		program: program, vm: vm, clock: clock,
		parts:  make(map[string]func() any),
		counts: new(expvar.Map).Init(),
		health: func() error { return nil },
	}
}

// AddPart adds a part to the state dump. encoding/json must be able to encode its value.
func (s *State) AddPart(name string, part func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts[name] = part
}

// AddCounter adds a counter, which is read on each request for /debug/vars.
func (s *State) AddCounter(name string, value func() int64) {
	s.counts.Set(name, expvar.Func(func() any { return value() }))
}

// Handler returns the HTTP handler.
func (s *State) Handler() http.Handler { return s.HandlerWithHealth() }

// HandlerWithHealth returns the HTTP handler, which also serves the health at the
// given paths.
func (s *State) HandlerWithHealth(paths ...string) *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	for _, p := range paths {
		e.GET(p, s.healthz)
	}
	e.GET("/state", s.dump)
	e.GET("/debug/vars", s.vars)
	e.GET("/healthz", s.healthz)
	return e
}

// SetHealth sets the health check; it is called before Handler. An error from f means unhealthy.
func (s *State) SetHealth(f func() error) { s.health = f }

func (s *State) dump(c *gin.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := dump{Program: s.program, VM: string(s.vm), Time: s.clock().UTC(), Parts: make(map[string]any, len(s.parts))}
	for n, f := range s.parts {
		d.Parts[n] = f()
	}
	c.IndentedJSON(http.StatusOK, d)
}

func (s *State) healthz(c *gin.Context) {
	if err := s.health(); err != nil {
		c.String(http.StatusServiceUnavailable, "%s\n", err.Error())
		return
	}
	c.String(http.StatusOK, "ok\n")
}

// vars answers with expvar's variables and this State's counters. The counters are
// not published in expvar itself, since its table is shared by all tests of a process.
func (s *State) vars(c *gin.Context) {
	m := map[string]json.RawMessage{"greengageslip": json.RawMessage(s.counts.String())}
	expvar.Do(func(kv expvar.KeyValue) { m[kv.Key] = json.RawMessage(kv.Value.String()) })
	c.JSON(http.StatusOK, m)
}
