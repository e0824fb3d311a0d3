package ggsnode

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// storeLost is what a store loses that comes back from an older copy.
	storeLost = 6 * time.Second
	// rewriteTime is the time after which endpoints write their entries again.
	rewriteTime = time.Second
)

// returnFromCopy has the store come back from a copy that is as old as storeLost.
func (s *siteTest) returnFromCopy(meanwhile func()) {
	k := s.site.Store.Copy()
	begun := time.Now()
	meanwhile()
	time.Sleep(storeLost - time.Since(begun))
	s.site.Store.SetAway(true)
	time.Sleep(time.Second)
	s.site.Return(k, rewriteTime)
	s.site.Store.SetAway(false)
}

// lateArrivals returns the number of requests that reached an endpoint later than the drain
// time after a moment.
func (s *siteTest) lateArrivals(id string, from time.Time) int {
	late := 0
	for _, a := range s.site.Endpoints[id].Arrivals() {
		if a.At.Sub(from) > drainTime {
			late++
		}
	}
	return late
}

// Guards against VMs that go by their old list while the revisions of a store that came back from a copy are lower.
func TestLeavingEndpointGetsNothingAfterTheStoreCameBackFromACopy(t *testing.T) {
	t.Parallel()
	s := startSite(t, 3)
	s.returnFromCopy(func() { s.callSteadily(http.MethodGet, "/look/1", "", 100*time.Millisecond, time.Second) })
	time.Sleep(rewriteTime + 500*time.Millisecond)
	begun := time.Now()
	s.site.Drain("ledger-0")
	served, all := s.callSteadily(http.MethodGet, "/look/1", "", 50*time.Millisecond, 3*drainTime)
	s.c.Check(s.lateArrivals("ledger-0", begun), qt.Equals, 0)
	s.c.Check(served, qt.Equals, all)
}
