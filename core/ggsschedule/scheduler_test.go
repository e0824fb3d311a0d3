package ggsschedule_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsschedule"
)

// testStart is the start of every test's clock.
func testStart() time.Time { return time.Unix(1_800_000_000, 0) }

func runner(id string) ggscore.Endpoint {
	return ggscore.Endpoint{
		ID: ggscore.EndpointID(id), Service: "asistente", Kind: ggscore.KindModel,
		Slots: 2, AdapterSlots: 2,
	}
}

func request(id, adapter string) *ggscore.Request {
	return &ggscore.Request{
		ID: ggscore.RequestID(id), Market: "cr", Service: "asistente", Kind: ggscore.KindModel,
		Adapter: ref(adapter), Priority: ggscore.PriorityNormal, Budget: 5 * time.Second,
	}
}

func ref(name string) ggscore.AdapterRef { return ggscore.AdapterRef{Name: name, Version: "v1"} }

func report(id, incarnation string, at time.Time, resident ...ggscore.ResidentAdapter) ggscore.RunnerReport {
	return ggscore.RunnerReport{
		Endpoint: ggscore.EndpointID(id), Incarnation: incarnation, Resident: resident, At: at,
	}
}

// newScheduler returns a scheduler with empty runners that have reported.
func newScheduler(now time.Time, runners ...string) *ggsschedule.Scheduler {
	s := ggsschedule.New(ggsschedule.Options{Seed: 1})
	s.SetLoadShare(now, ggscore.LoadShare{LoadsPerSecond: 4, InTransit: 3})
	for _, id := range runners {
		s.SetEndpoint(now, runner(id), ggscore.ModeFull)
		s.Report(now, report(id, "one", now))
	}
	return s
}

func TestRequestLoadsAdapterThenRuns(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := testStart()
	s := newScheduler(now, "r1")
	now = now.Add(time.Second)
	r := request("q1", "a")
	c.Assert(s.Submit(now, r), qt.DeepEquals, []ggscore.Order{{Kind: ggscore.OrderLoad, Endpoint: "r1", Adapter: ref("a")}})
	now = now.Add(250 * time.Millisecond)
	want := []ggscore.Order{{Kind: ggscore.OrderDispatch, Endpoint: "r1", Adapter: ref("a"), Request: r}}
	c.Assert(s.LoadEnded(now, "r1", ref("a"), ggscore.EndDone), qt.DeepEquals, want)
	c.Assert(s.RequestEnded(now, "q1", ggscore.EndDone), qt.HasLen, 0)
	c.Assert(s.NextTick().IsZero(), qt.IsTrue)
}
