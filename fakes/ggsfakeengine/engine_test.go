package ggsfakeengine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakebench"
	"greengageslip/fakes/ggsfakeengine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A gatedStore is a Fetcher whose loads end when the test sends on end.
type gatedStore struct {
	begun chan ggscore.AdapterRef
	end   chan struct{}
}

func newGatedStore() *gatedStore {
	return &gatedStore{begun: make(chan ggscore.AdapterRef, 8), end: make(chan struct{}, 8)}
}

// Fetch implements ggsfakeengine.Fetcher.
func (g *gatedStore) Fetch(ctx context.Context, a ggscore.AdapterRef) error {
	g.begun <- a
	select {
	case <-g.end:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// A testEngine is an engine with an HTTP server and a client.
type testEngine struct {
	engine *ggsfakeengine.Engine
	server *httptest.Server
	client *http.Client
}

func newTestEngine(c *qt.C, configure func(*ggsfakeengine.Options)) *testEngine {
	o := ggsfakeengine.DefaultOptions()
	o.ID = "r1"
	o.FirstToken = 0
	o.TokenInterval = 0
	configure(&o)
	e := ggsfakeengine.New(o)
	s := ggsfakebench.Serve(c, e.Handler())
	t := &http.Transport{}
	c.Cleanup(func() {
		e.Close()
		t.CloseIdleConnections()
	})
	return &testEngine{engine: e, server: s, client: &http.Client{Transport: t}}
}

// post returns the status and the body of the answer. Status 0 means that no answer came,
// and the text is then the error.
func (b *testEngine) post(ctx context.Context, path, id, priority, body string) (int, string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Priority", priority)
	resp, err := b.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

func waitFor(ctx context.Context, c *qt.C, what string, holds func() bool) {
	c.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			c.Fatalf("condition not met within the test's time limit: %s", what)
		}
	}
}

const (
	pathRun    = "/v1/chat/completions"
	pathLoad   = "/v1/loadLoraAdapter"
	pathUnload = "/v1/unloadLoraAdapter"
	orderA     = `{"adapter":"a@v1"}`
	runA       = `{"model":"a@v1","max_tokens":2}`
)

func adapterA() ggscore.AdapterRef { return ggscore.AdapterRef{Name: "a", Version: "v1"} }

// Checks that a request of a higher priority gets the next slot of a full batch although
// another request has waited longer.
func TestPriorityBeforeArrival(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestEngine(c, func(o *ggsfakeengine.Options) { o.Slots, o.FirstToken = 1, time.Hour })
	b.engine.Preload(adapterA())
	ctx := ggsfakebench.Context(c)
	var wg sync.WaitGroup
	defer wg.Wait()
	first, cancel := context.WithCancel(ctx)
	second, cancelSecond := context.WithCancel(ctx)
	defer cancelSecond()
	wg.Go(func() { b.post(first, pathRun, "first", "3", runA) })
	waitFor(ctx, c, "first run", func() bool { return b.engine.Runs()["first"] == 1 })
	wg.Go(func() { b.post(second, pathRun, "later", "3", runA) })
	waitFor(ctx, c, "one waits", func() bool { return b.engine.Stats().Waiting == 1 })
	wg.Go(func() { b.post(second, pathRun, "urgent", "0", runA) })
	waitFor(ctx, c, "two wait", func() bool { return b.engine.Stats().Waiting == 2 })
	cancel()
	waitFor(ctx, c, "second run", func() bool { return b.engine.Stats().Started == 2 })
	c.Assert(b.engine.Runs(), qt.DeepEquals, map[string]int{"first": 1, "urgent": 1})
}

// Checks an unload of an adapter that a request uses. With GuardsRunning the order is
// refused. Without it the request is aborted and counted.
func TestUnloadWhileRunning(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		guards bool
		status int
		broken uint64
	}{
		"guarded":   {guards: true, status: http.StatusConflict},
		"unguarded": {status: http.StatusOK, broken: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			b := newTestEngine(c, func(o *ggsfakeengine.Options) { o.GuardsRunning, o.FirstToken = tc.guards, time.Hour })
			b.engine.Preload(adapterA())
			ctx := ggsfakebench.Context(c)
			running, cancel := context.WithCancel(ctx)
			ended := make(chan int, 1)
			go func() {
				status, _ := b.post(running, pathRun, "q1", "0", runA)
				ended <- status
			}()
			waitFor(ctx, c, "run", func() bool { return b.engine.Stats().Started == 1 })
			status, _ := b.post(ctx, pathUnload, "", "", orderA)
			c.Assert(status, qt.Equals, tc.status)
			if tc.guards {
				cancel()
			}
			c.Assert(<-ended, qt.Equals, 0)
			cancel()
			c.Assert(b.engine.Stats().BrokenByUnload, qt.Equals, tc.broken)
		})
	}
}

// Checks that a load continues after its caller has disconnected, and that a second order
// for the same adapter waits for the same load.
func TestLoadContinuesAfterCallerDisconnects(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	g := newGatedStore()
	b := newTestEngine(c, func(o *ggsfakeengine.Options) { o.Weights = g })
	ctx := ggsfakebench.Context(c)
	ordered, cancel := context.WithCancel(ctx)
	abandoned := make(chan int, 1)
	go func() {
		status, _ := b.post(ordered, pathLoad, "", "", orderA)
		abandoned <- status
	}()
	c.Assert(<-g.begun, qt.Equals, adapterA())
	cancel()
	c.Assert(<-abandoned, qt.Equals, 0)
	c.Assert(b.engine.Report().Loading, qt.DeepEquals, []ggscore.AdapterRef{adapterA()})

	joined := make(chan int, 1)
	go func() {
		status, _ := b.post(ctx, pathLoad, "", "", orderA)
		joined <- status
	}()
	g.end <- struct{}{}
	c.Assert(<-joined, qt.Equals, http.StatusOK)
	c.Assert(b.engine.Resident(), qt.DeepEquals, []ggscore.AdapterRef{adapterA()})
	c.Assert(b.engine.Stats().Loads, qt.Equals, uint64(1))
}

// Checks a restart during a load: no adapter is resident afterwards, and the end of the load
// has no effect on the new incarnation.
func TestRestartDropsLoads(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	g := newGatedStore()
	b := newTestEngine(c, func(o *ggsfakeengine.Options) { o.Weights = g })
	ctx := ggsfakebench.Context(c)
	ended := make(chan int, 1)
	go func() {
		status, _ := b.post(ctx, pathLoad, "", "", orderA)
		ended <- status
	}()
	<-g.begun
	before := b.engine.Report().Incarnation
	status, _ := b.post(ctx, "/v1/faults", "", "", `{"restart":true}`)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(<-ended, qt.Equals, 0)
	r := b.engine.Report()
	c.Assert(r.Incarnation, qt.Not(qt.Equals), before)
	c.Assert(r.Loading, qt.HasLen, 0)
	c.Assert(r.Resident, qt.HasLen, 0)
}

// Checks that a report shows the state as of the report lag ago.
func TestReportLags(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	k := ggsfakebench.NewClock()
	b := newTestEngine(c, func(o *ggsfakeengine.Options) { o.Now = k.Now })
	ctx := ggsfakebench.Context(c)
	status, _ := b.post(ctx, "/v1/faults", "", "", `{"reportLag":"2s"}`)
	c.Assert(status, qt.Equals, http.StatusOK)
	b.engine.Preload(adapterA())
	k.Advance(2*time.Second - 1)
	r := b.engine.Report()
	c.Assert(r.Resident, qt.HasLen, 0)
	c.Assert(r.At, qt.Equals, k.Now().Add(-2*time.Second))
	k.Advance(1)
	c.Assert(b.engine.Report().Resident, qt.HasLen, 1)
}

// Checks that concurrent callers get complete answers to their own requests.
func TestAnswersNameTheirRequest(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestEngine(c, func(*ggsfakeengine.Options) {})
	b.engine.Preload(adapterA())
	ctx := ggsfakebench.Context(c)
	var wg sync.WaitGroup
	for _, id := range []string{"q1", "q2", "q3"} {
		wg.Go(func() {
			status, text := b.post(ctx, pathRun, id, "0", runA)
			c.Check(status, qt.Equals, http.StatusOK)
			c.Check(text, qt.Contains, `"a@v1/`+id+`/0 a@v1/`+id+`/1 "`)
		})
	}
	wg.Wait()
}

func TestBadCalls(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		path, body string
		want       int
	}{
		"body isn't JSON":    {pathRun, `{`, http.StatusBadRequest},
		"bad model":          {pathRun, `{"model":"@"}`, http.StatusBadRequest},
		"adapter not loaded": {pathRun, runA, http.StatusNotFound},
		"bad adapter":        {pathLoad, `{"adapter":""}`, http.StatusBadRequest},
		"bad duration":       {"/v1/faults", `{"freeze":"long"}`, http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			b := newTestEngine(c, func(*ggsfakeengine.Options) {})
			status, _ := b.post(ggsfakebench.Context(c), tc.path, "", "", tc.body)
			c.Assert(status, qt.Equals, tc.want)
			c.Assert(b.engine.Runs(), qt.HasLen, 0)
		})
	}
}
