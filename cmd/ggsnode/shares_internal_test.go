package ggsnode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsschedule"
)

// A dispatcher slept past its lease. Its next request had an adapter loaded on
// units that another domain had borrowed by then, since the share was kept.
func TestNextEventAfterAPauseHasTheShareOfThen(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	lapse := now.Add(time.Second)
	s := newSharedScheduler(ggsschedule.New(ggsschedule.Options{}), func(now time.Time) ggscore.LoadShare {
		if now.Before(lapse) {
			return ggscore.LoadShare{LoadsPerSecond: 100, InTransit: 8}
		}
		return ggscore.LoadShare{}
	})
	e := ggscore.Endpoint{ID: "runner-1", Service: "asistente", Slots: 8, AdapterSlots: 8}
	s.SetEndpoint(now, e, ggscore.ModeFull)
	s.Report(now, ggscore.RunnerReport{Endpoint: e.ID, Incarnation: "1", At: now})
	loads := func(now time.Time, name string) int {
		n := 0
		for _, o := range s.Submit(now, &ggscore.Request{
			ID: ggscore.RequestID(name), Service: "asistente", Budget: 10 * time.Second,
			Adapter: ggscore.AdapterRef{Name: name, Version: "v1"},
		}) {
			if o.Kind == ggscore.OrderLoad {
				n++
			}
		}
		return n
	}
	c.Assert(loads(now.Add(lapse.Sub(now)/2), "deposits"), qt.Equals, 1)
	c.Assert(loads(lapse, "disputes"), qt.Equals, 0)
}
