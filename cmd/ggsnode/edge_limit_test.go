package ggsnode

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakesite"
)

// retryAfter returns the duration of a refusal's Retry-After header.
func (s *siteTest) retryAfter(r reply) time.Duration {
	f, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	s.c.Check(err, qt.IsNil)
	return time.Duration(f * float64(time.Second))
}

// callSteadily calls each edge once per interval for the given length. Each caller that gets 503
// retries once after the Retry-After time. It returns the number of callers that got a complete
// answer with status 200, and the number of all callers.
func (s *siteTest) callSteadily(method, path, model string, interval, length time.Duration) (ok, all int) {
	var served, sent atomic.Int64
	var calls sync.WaitGroup
	for n := range s.edges {
		calls.Go(func() {
			t := time.NewTicker(interval)
			defer t.Stop()
			for end := time.Now().Add(length); time.Now().Before(end); <-t.C {
				sent.Add(1)
				calls.Go(func() {
					r := s.call(n, method, path, model, "")
					if r.status == http.StatusServiceUnavailable {
						time.Sleep(s.retryAfter(r))
						r = s.call(n, method, path, model, "")
					}
					if r.status == http.StatusOK && r.complete {
						served.Add(1)
						return
					}
					s.c.Logf("edge %d answered with status %d: %s", n, r.status, r.body)
				})
			}
		})
	}
	calls.Wait()
	return int(served.Load()), int(sent.Load())
}

// maxArrivalsWithin returns the greatest number of arrivals within any window that begins at or
// after from.
func maxArrivalsWithin(arrivals []ggsfakesite.Arrival, from time.Time, window time.Duration) int {
	most := 0
	for i, first := range arrivals {
		if first.At.Before(from) {
			continue
		}
		n := 0
		for _, a := range arrivals[i:] {
			if a.At.Sub(first.At) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

const (
	testLimit   = 5.0
	limitWindow = 4 * time.Second
	// limitSettleTime is the time within which all VMs must apply a limit.
	limitSettleTime = 3 * time.Second
	// limitMaxArrivals is the greatest number of requests allowed within limitWindow.
	limitMaxArrivals = int(1.5*testLimit*4) + 5
)

// Guards against VMs that together send an endpoint its usual load after the endpoint has announced
// a rate limit.
func TestRateLimitOfAnEndpointHoldsForAllVMsTogether(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		endpoint, method, path, model string
	}{
		"plain service": {endpoint: "ledger-0", method: http.MethodGet, path: "/look/1"},
		"model engine":  {endpoint: "runner-00", method: http.MethodPost, path: "/chat/1", model: "m/a1"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, 3)
			e := s.site.Endpoints[tc.endpoint]
			e.SetRateLimit(testLimit)
			begun := time.Now()
			served, all := s.callSteadily(tc.method, tc.path, tc.model, 50*time.Millisecond, limitSettleTime+2*limitWindow)
			most := maxArrivalsWithin(e.Arrivals(), begun.Add(limitSettleTime), limitWindow)
			s.c.Check(most <= limitMaxArrivals, qt.IsTrue, qt.Commentf("got %d requests in %s, %d allowed", most, limitWindow, limitMaxArrivals))
			s.c.Check(served, qt.Equals, all)
		})
	}
}
