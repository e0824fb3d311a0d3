package ggsplace_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsplace"
)

// Guards against an entry that still says ready, and an old answer, that decide on a leaving endpoint.
func TestDepartureHoldsForTheProcessThatSaidSo(t *testing.T) {
	t.Parallel()
	born, again := time.UnixMilli(1_000), time.UnixMilli(9_000)
	entry := func(born time.Time) ggscore.Instance {
		return ggscore.Instance{ID: "p0", Service: plain, Domain: "d0", Slots: 6, Born: born}
	}
	said := ggscore.Departure{Endpoint: "p0", Born: born}
	for name, tc := range map[string]struct {
		said    []ggscore.Departure
		after   []ggscore.Instance
		news    bool
		takes   bool
		departs int
	}{
		"said nothing":           {after: []ggscore.Instance{entry(born)}, takes: true},
		"entry is unchanged":     {said: []ggscore.Departure{said}, after: []ggscore.Instance{entry(born)}, news: true, departs: 1},
		"entry is gone":          {said: []ggscore.Departure{said}, news: true},
		"started anew":           {said: []ggscore.Departure{said}, after: []ggscore.Instance{entry(again)}, news: true, takes: true},
		"another process did":    {said: []ggscore.Departure{{Endpoint: "p0", Born: again}}, after: []ggscore.Instance{entry(born)}, takes: true},
		"an unknown one did":     {said: []ggscore.Departure{{Endpoint: "p9", Born: born}}, after: []ggscore.Instance{entry(born)}, takes: true},
		"said before it is read": {said: []ggscore.Departure{said, said}, after: []ggscore.Instance{entry(born)}, departs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := table("d0", 1)
			h.SetInstances([]ggscore.Instance{entry(born)})
			news := false
			for _, d := range tc.said {
				news = h.Depart(d)
			}
			c.Check(news, qt.Equals, tc.news)
			h.SetInstances(tc.after)
			c.Check(h.Takes("p0"), qt.Equals, tc.takes)
			c.Check(h.Departures(), qt.HasLen, tc.departs)
			_, err := h.Choose(at(0), ggsplace.Query{Service: plain})
			c.Check(err == nil, qt.Equals, tc.takes)
		})
	}
}
