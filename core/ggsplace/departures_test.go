package ggsplace_test

import (
	"errors"
	"slices"
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
			c.Check(h.Takes(at(0), "p0"), qt.Equals, tc.takes)
			c.Check(h.Departures(), qt.HasLen, tc.departs)
			_, err := h.Choose(at(0), ggsplace.Query{Service: plain})
			c.Check(err == nil, qt.Equals, tc.takes)
		})
	}
}

// Guards against requests to an endpoint that asked for nothing, and against callers that are told to come back before.
func TestPausedEndpointIsLeftAlone(t *testing.T) {
	t.Parallel()
	const pause = 2 * time.Second
	for name, tc := range map[string]struct {
		paused []ggscore.EndpointID
		after  time.Duration
		// refused says that no endpoint is left.
		refused bool
		takes   bool
	}{
		"none":                {takes: true},
		"one":                 {paused: []ggscore.EndpointID{"p0"}},
		"all":                 {paused: []ggscore.EndpointID{"p0", "p1", "p2"}, refused: true},
		"all, until now":      {paused: []ggscore.EndpointID{"p0", "p1", "p2"}, after: pause, takes: true},
		"one that is unknown": {paused: []ggscore.EndpointID{"p9"}, takes: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := table("d0", 1)
			for _, id := range tc.paused {
				h.Pause(at(0), id, pause)
				// An earlier end doesn't shorten it.
				h.Pause(at(0), id, 0)
			}
			c.Check(h.Takes(at(tc.after), "p0"), qt.Equals, tc.takes)
			choice, err := h.Choose(at(tc.after), ggsplace.Query{Service: plain})
			if !tc.refused {
				c.Assert(err, qt.IsNil)
				c.Check(slices.Contains(tc.paused, choice.Instance.ID) && tc.after < pause, qt.IsFalse)
				return
			}
			var refused *ggsplace.RefusedError
			c.Assert(errors.As(err, &refused), qt.IsTrue)
			c.Check(refused.RetryAfter >= pause, qt.IsTrue, qt.Commentf("%s", refused.RetryAfter))
		})
	}
}
