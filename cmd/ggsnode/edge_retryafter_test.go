package ggsnode

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakesite"
)

const (
	testRetryAfter = 3 * time.Second
	// retryAfterSettleTime is the time within which requests already in flight arrive.
	retryAfterSettleTime = 500 * time.Millisecond
	// retryAfterMaxRequests is the number of requests tolerated from each VM during the wait.
	retryAfterMaxRequests = 2
)

// Guards against requests to an endpoint during the Retry-After time of its refusal.
func TestEndpointGetsNoRequestsDuringRetryAfter(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		endpoint, method, path, model string
	}{
		"plain service": {endpoint: "ledger-0", method: http.MethodGet, path: "/look/1"},
		"model engine":  {endpoint: "runner-00", method: http.MethodPost, path: "/chat/1", model: "m/a1"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, 2)
			s.callSteadily(tc.method, tc.path, tc.model, 100*time.Millisecond, time.Second)
			e := s.site.Endpoints[tc.endpoint]
			e.SetRetryAfter(testRetryAfter)
			e.SetFault(always(ggsfakesite.FaultRefuse))
			begun := time.Now()
			served, all := s.callSteadily(tc.method, tc.path, tc.model, 50*time.Millisecond, testRetryAfter)
			e.SetFault(always(ggsfakesite.FaultNone))
			later, laterAll := s.callSteadily(tc.method, tc.path, tc.model, 50*time.Millisecond, testRetryAfter)
			early, again := 0, 0
			for _, a := range e.Arrivals() {
				switch d := a.At.Sub(begun); {
				case d > testRetryAfter+retryAfterSettleTime:
					again++
				case d > retryAfterSettleTime && d < testRetryAfter:
					early++
				}
			}
			s.c.Check(early <= retryAfterMaxRequests*len(s.edges), qt.IsTrue, qt.Commentf("%d requests during the wait", early))
			s.c.Check(again > 0, qt.IsTrue, qt.Commentf("no request after the wait"))
			s.c.Check(served+later, qt.Equals, all+laterAll)
		})
	}
}
