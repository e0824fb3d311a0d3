package ggsnode

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// drainTime is the time after which a leaving endpoint must get no new requests.
const drainTime = 2500 * time.Millisecond

// Guards against requests to an endpoint whose answers report that it is leaving, while its
// entry in the store doesn't.
func TestEndpointLeavingInAnswersGetsNoRequests(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		endpoint, method, path, model string
		storeUnavailable              bool
	}{
		"plain service, store unavailable": {endpoint: "ledger-0", method: http.MethodGet, path: "/look/1", storeUnavailable: true},
		"plain service, stale entry":       {endpoint: "ledger-0", method: http.MethodGet, path: "/look/1"},
		"model engine, store unavailable":  {endpoint: "runner-00", method: http.MethodPost, path: "/chat/1", model: "m/a1", storeUnavailable: true},
		"model engine, a stale entry":      {endpoint: "runner-00", method: http.MethodPost, path: "/chat/1", model: "m/a1"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, 2)
			s.callSteadily(tc.method, tc.path, tc.model, 100*time.Millisecond, time.Second)
			e := s.site.Endpoints[tc.endpoint]
			s.site.Store.SetUnavailable(tc.storeUnavailable)
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
