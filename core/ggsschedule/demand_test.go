package ggsschedule

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
)

// A domain that waits for loads doesn't borrow any, or one that waits for
// nothing keeps what it borrowed.
func TestDemandCountsAdaptersThatWaitAndLoadsInFlight(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	s := New(Options{})
	e := ggscore.Endpoint{ID: "runner-1", Service: "asistente", Slots: 8, AdapterSlots: 8}
	s.SetLoadShare(now, ggscore.LoadShare{LoadsPerSecond: 1, InTransit: 1})
	s.SetEndpoint(now, e, ggscore.ModeFull)
	s.Report(now, ggscore.RunnerReport{Endpoint: e.ID, Incarnation: "1", At: now})
	c.Assert(s.Demand(), qt.Equals, 0)
	now = now.Add(time.Second)
	for _, id := range []string{"1 deposits", "2 deposits", "3 disputes", "4 rules"} {
		s.Submit(now, &ggscore.Request{
			ID: ggscore.RequestID(id), Service: "asistente", Budget: time.Minute,
			Adapter: ggscore.AdapterRef{Name: id[2:], Version: "v1"},
		})
	}
	c.Assert(s.bucket.inTransit, qt.Equals, 1)
	c.Assert(s.Demand(), qt.Equals, 3)
	s.LoadEnded(now, e.ID, ggscore.AdapterRef{Name: "deposits", Version: "v1"}, ggscore.EndDone)
	c.Assert(s.bucket.inTransit, qt.Equals, 0)
	c.Assert(s.Demand(), qt.Equals, 2)
}
