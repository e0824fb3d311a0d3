package ggsnode

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// drainTime is the time within which a leaving endpoint is to get nothing new.
const drainTime = 2500 * time.Millisecond

// Guards against requests to an endpoint whose answers say that it leaves, while its entry says nothing.
func TestEndpointLeavingInAnswersGetsNoRequests(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		endpoint, method, path, model string
		storeUnavailable              bool
	}{
		"plain service, store away":   {endpoint: "ledger-0", method: http.MethodGet, path: "/look/1", storeUnavailable: true},
		"plain service, stale entry":  {endpoint: "ledger-0", method: http.MethodGet, path: "/look/1"},
		"model engine, store away":    {endpoint: "runner-00", method: http.MethodPost, path: "/chat/1", model: "m/a1", storeUnavailable: true},
		"model engine, a stale entry": {endpoint: "runner-00", method: http.MethodPost, path: "/chat/1", model: "m/a1"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, 2)
			s.callSteadily(tc.method, tc.path, tc.model, 100*time.Millisecond, time.Second)
			e := s.site.Endpoints[tc.endpoint]
			s.site.Store.SetAway(tc.storeUnavailable)
			e.SetLeaving(true)
			begun := time.Now()
			served, all := s.callSteadily(tc.method, tc.path, tc.model, 100*time.Millisecond, 2*drainTime)
			late := 0
			for _, a := range e.Arrivals() {
				if a.At.Sub(begun) > drainTime {
					late++
				}
			}
			s.c.Check(late, qt.Equals, 0)
			s.c.Check(served, qt.Equals, all)
		})
	}
}
