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

// Guards against requests to a leaving endpoint because its registry entry still says ready,
// and against announcements of an earlier process that apply to its successor.
func TestDepartureAppliesToOneProcess(t *testing.T) {
	t.Parallel()
	started, restarted := time.UnixMilli(1_000), time.UnixMilli(9_000)
	entry := func(started time.Time) ggscore.Instance {
		return ggscore.Instance{ID: "p0", Service: plain, Domain: "d0", Slots: 6, StartedAt: started}
	}
	announced := ggscore.Departure{Endpoint: "p0", StartedAt: started}
	for name, tc := range map[string]struct {
		announced  []ggscore.Departure
		after      []ggscore.Instance
		changed    bool
		accepts    bool
		departures int
	}{
		"no announcement":  {after: []ggscore.Instance{entry(started)}, accepts: true},
		"entry unchanged":  {announced: []ggscore.Departure{announced}, after: []ggscore.Instance{entry(started)}, changed: true, departures: 1},
		"entry removed":    {announced: []ggscore.Departure{announced}, changed: true},
		"restarted":        {announced: []ggscore.Departure{announced}, after: []ggscore.Instance{entry(restarted)}, changed: true, accepts: true},
		"another process":  {announced: []ggscore.Departure{{Endpoint: "p0", StartedAt: restarted}}, after: []ggscore.Instance{entry(started)}, accepts: true},
		"unknown endpoint": {announced: []ggscore.Departure{{Endpoint: "p9", StartedAt: started}}, after: []ggscore.Instance{entry(started)}, accepts: true},
		"announced twice":  {announced: []ggscore.Departure{announced, announced}, after: []ggscore.Instance{entry(started)}, departures: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := table("d0", 1)
			h.SetInstances(at(0), []ggscore.Instance{entry(started)})
			changed := false
			for _, d := range tc.announced {
				changed = h.RecordDeparture(d)
			}
			c.Check(changed, qt.Equals, tc.changed)
			h.SetInstances(at(0), tc.after)
			c.Check(h.Accepts(at(0), "p0"), qt.Equals, tc.accepts)
			c.Check(h.Departures(at(0)), qt.HasLen, tc.departures)
			_, err := h.Choose(at(0), ggsplace.Query{Service: plain})
			c.Check(err == nil, qt.Equals, tc.accepts)
		})
	}
}

// Guards against VMs with an old list that take a restarted endpoint's software for the one before.
func TestProcessWithOtherSoftwareSupersedesItsPredecessor(t *testing.T) {
	t.Parallel()
	entry := func(started int64, software ggscore.SoftwareVersion) ggscore.Instance {
		return ggscore.Instance{ID: "p0", Service: plain, Domain: "d0", Slots: 6, Software: software, StartedAt: time.UnixMilli(started)}
	}
	for name, tc := range map[string]struct {
		next       ggscore.Instance
		superseded bool
	}{
		"other software":   {next: entry(9_000, "v2"), superseded: true},
		"same software":    {next: entry(9_000, "v1")},
		"an older process": {next: entry(500, "v0")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			first, peer := table("d0", 1), table("d0", 1)
			for _, h := range []*ggsplace.Table{first, peer} {
				h.SetInstances(at(0), []ggscore.Instance{entry(1_000, "v1")})
			}
			first.SetInstances(at(0), []ggscore.Instance{tc.next})
			for _, d := range first.Departures(at(0)) {
				peer.RecordDeparture(d)
			}
			c.Check(first.Accepts(at(0), "p0"), qt.IsTrue)
			c.Check(peer.Accepts(at(0), "p0"), qt.Equals, !tc.superseded)
			peer.SetInstances(at(0), []ggscore.Instance{tc.next})
			c.Check(peer.Accepts(at(0), "p0"), qt.IsTrue)
			c.Check(first.Departures(at(0).Add(time.Minute)), qt.HasLen, 0)
		})
	}
}

// Guards against requests to an endpoint that requested a pause, and against retry-after times
// that end before the pause.
func TestPausedEndpointIsNotChosen(t *testing.T) {
	t.Parallel()
	const pause = 2 * time.Second
	for name, tc := range map[string]struct {
		paused []ggscore.EndpointID
		after  time.Duration
		// refused means that no endpoint is left.
		refused bool
		accepts bool
	}{
		"none":               {accepts: true},
		"one":                {paused: []ggscore.EndpointID{"p0"}},
		"all":                {paused: []ggscore.EndpointID{"p0", "p1", "p2"}, refused: true},
		"all, pause expired": {paused: []ggscore.EndpointID{"p0", "p1", "p2"}, after: pause, accepts: true},
		"unknown endpoint":   {paused: []ggscore.EndpointID{"p9"}, accepts: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := table("d0", 1)
			for _, id := range tc.paused {
				h.Pause(at(0), id, pause)
				// An earlier end doesn't shorten the pause.
				h.Pause(at(0), id, 0)
			}
			c.Check(h.Accepts(at(tc.after), "p0"), qt.Equals, tc.accepts)
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
