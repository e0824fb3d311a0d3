package ggsfakeplatform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"greengageslip/fakes/ggsfakebench"
	"greengageslip/fakes/ggsfakeplatform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newPlatform() (*ggsfakeplatform.Platform, *ggsfakebench.Clock) {
	k := ggsfakebench.NewClock()
	o := ggsfakeplatform.DefaultOptions()
	o.Now = k.Now
	return ggsfakeplatform.New(o), k
}

// do calls the handler without a server.
func do(ctx context.Context, h http.Handler, method, path, body string) (int, string) {
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	h.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

func TestSession(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	p, k := newPlatform()
	ctx := ggsfakebench.Context(c)
	for _, s := range []struct {
		method, path, body string
		advance            time.Duration
		status             int
		want               string
	}{
		{method: "PUT", path: "/v1/kv", body: `{"key":"a","value":"b25l"}`, status: 200, want: `{"revision":1}`},
		{method: "GET", path: "/v1/kv?key=a", status: 200, want: `{"key":"a","value":"b25l","revision":1,"lease":0}`},
		{
			method: "PUT", path: "/v1/kv", body: `{"key":"a","prev":9}`, status: 409,
			want: `{"error":{"kind":"conflict","detail":"a is at revision 1","revision":1}}`,
		},
		{method: "POST", path: "/v1/leases", body: `{"ttl":"3s"}`, status: 200, want: `{"lease":1}`},
		{method: "PUT", path: "/v1/kv", body: `{"key":"b","lease":1}`, status: 200, want: `{"revision":2}`},
		{
			method: "GET", path: "/v1/list?prefix=", advance: 3 * time.Second, status: 200,
			want: `{"entries":[{"key":"a","value":"b25l","revision":1,"lease":0}],"revision":3}`,
		},
		{
			method: "GET", path: "/v1/watch?prefix=&after=1&wait=0s", status: 200,
			want: `{"entries":[{"key":"b","value":null,"revision":3,"lease":0}],"revision":3}`,
		},
		{
			method: "PUT", path: "/v1/leases/1", status: 410,
			want: `{"error":{"kind":"leaseLapsed","detail":"lease 1 does not exist","revision":0}}`,
		},
		{method: "DELETE", path: "/v1/kv", body: `{"key":"a","prev":1}`, status: 200, want: `{"revision":4}`},
		{method: "POST", path: "/v1/faults", body: `{"slow":"long"}`, status: 400},
		{method: "PUT", path: "/v1/vms", body: `{"vms":[{"id":"x","role":"?","addr":"127.0.0.1:1"}]}`, status: 400},
		{method: "GET", path: "/v1/watch?after=x", status: 400},
		{method: "POST", path: "/v1/leases", body: `{"ttl":"0s"}`, status: 400},
		{
			method: "GET", path: "/v1/calls", status: 200,
			want: `{"reads":4,"writes":7,"watches":1,"refused":0,"failed":0,"waiting":0}`,
		},
	} {
		k.Advance(s.advance)
		status, got := do(ctx, p.Handler(), s.method, s.path, s.body)
		c.Assert(status, qt.Equals, s.status, qt.Commentf("%s %s: %s", s.method, s.path, got))
		if s.want != "" {
			c.Assert(got, qt.Equals, s.want)
		}
	}
}

// Checks that a waiting watch ends when an outage begins. Otherwise its caller would see an
// outage as a period without changes.
func TestOutageEndsWatches(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	p, _ := newPlatform()
	ctx := ggsfakebench.Context(c)
	ended := make(chan int, 1)
	go func() {
		status, _ := do(ctx, p.Handler(), http.MethodGet, "/v1/watch?after=0&wait=1m", "")
		ended <- status
	}()
	for p.Calls().Waiting == 0 {
		c.Assert(ctx.Err(), qt.IsNil)
	}
	status, _ := do(ctx, p.Handler(), http.MethodPost, "/v1/faults", `{"outage":true}`)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(<-ended, qt.Equals, http.StatusServiceUnavailable)
}

// Checks that a waiting watch returns the deletion by an expired lease although no other call
// arrives.
func TestLeaseExpiryEndsWatch(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	p := ggsfakeplatform.New(ggsfakeplatform.DefaultOptions())
	ctx := ggsfakebench.Context(c)
	do(ctx, p.Handler(), http.MethodPost, "/v1/leases", `{"ttl":"20ms"}`)
	status, _ := do(ctx, p.Handler(), http.MethodPut, "/v1/kv", `{"key":"owner","lease":1}`)
	c.Assert(status, qt.Equals, http.StatusOK)
	_, got := do(ctx, p.Handler(), http.MethodGet, "/v1/watch?after=1&wait=1m", "")
	c.Assert(got, qt.Contains, `"value":null`)
}

// Checks that a watch returns every changed key after the compaction of older changes of the
// same keys.
func TestWatchAfterCompaction(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	o := ggsfakeplatform.DefaultOptions()
	o.WritesPerSecond = 0
	p := ggsfakeplatform.New(o)
	ctx := ggsfakebench.Context(c)
	do(ctx, p.Handler(), http.MethodPut, "/v1/kv", `{"key":"still"}`)
	prev := "0"
	for range 3000 {
		status, got := do(ctx, p.Handler(), http.MethodPut, "/v1/kv", `{"key":"busy","prev":`+prev+`}`)
		c.Assert(status, qt.Equals, http.StatusOK)
		prev = strings.TrimSuffix(strings.TrimPrefix(got, `{"revision":`), `}`)
	}
	_, got := do(ctx, p.Handler(), http.MethodGet, "/v1/watch?after=0&wait=0s", "")
	c.Assert(got, qt.Equals, `{"entries":[{"key":"still","value":"","revision":1,"lease":0},`+
		`{"key":"busy","value":"","revision":3001,"lease":0}],"revision":3001}`)
}
