package ggspopularity_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggspopularity"
)

func TestRates(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		every      time.Duration
		n          int
		idle       time.Duration
		least, max float64
	}{
		"never":                     {time.Second, 0, 0, 0, 0},
		"once":                      {time.Second, 1, time.Second, 0.001, 0.002},
		"two close together":        {time.Millisecond, 2, time.Second, 0.002, 0.005},
		"ten a second for a minute": {100 * time.Millisecond, 600, 0, 8, 12},
		"one a minute for an hour":  {time.Minute, 60, 0, 0.012, 0.025},
		"idle after high rate":      {100 * time.Millisecond, 600, 5 * time.Minute, 0, 0.011},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var m ggspopularity.Meter
			now := time.Unix(1_800_000_000, 0)
			for range tc.n {
				now = now.Add(tc.every)
				m.Add(now, time.Time{})
			}
			r := m.PerSecond(now.Add(tc.idle), time.Time{})
			c.Assert(r >= tc.least && r <= tc.max, qt.IsTrue, qt.Commentf("%v per second", r))
		})
	}
}

// Guards against stale rates after a sudden shift of popularity. While formerly popular
// adapters keep their rates, newly popular ones are evicted one after the other, and every
// caller waits for a load.
func TestShiftDiscardsOldRates(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var d ggspopularity.Drift
	var old ggspopularity.Meter
	now := time.Unix(1_800_000_000, 0)
	arrive := func(surprise bool) bool {
		now = now.Add(200 * time.Millisecond)
		return d.Observe(now, surprise)
	}
	for i := range 1000 {
		old.Add(now, d.Since())
		c.Assert(arrive(i%3 == 0), qt.IsFalse)
	}
	shifted := 0
	for i := range 40 {
		if arrive(true) {
			shifted = i
			break
		}
	}
	c.Assert(shifted > 5 && shifted < 40, qt.IsTrue)
	c.Assert(old.PerSecond(now, d.Since()), qt.Equals, 0.0)
	for range 100 {
		c.Assert(arrive(true), qt.IsFalse)
	}
}

// Guards against rating an adapter that is requested every few seconds like one that was
// requested once: the rates of both fell to zero after 4 s without a request.
func TestDemandDistinguishesLowRates(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := ggspopularity.NewDemand()
	now := time.Unix(1_800_000_000, 0)
	frequent, once, formerlyPopular := ggscore.ModelAdapter{Adapter: "frequent"}, ggscore.ModelAdapter{Adapter: "once"}, ggscore.ModelAdapter{Adapter: "formerly popular"}
	for i := range 60 {
		now = now.Add(time.Second)
		if i%6 == 0 {
			d.Add(now, frequent, 1)
		}
		if i < 30 {
			d.Add(now, formerlyPopular, 4)
		}
	}
	d.Add(now, once, 1)
	now = now.Add(5 * time.Second)
	c.Assert(d.LongTerm(now, frequent) > 2*d.LongTerm(now, once), qt.IsTrue)
	c.Assert(d.LongTerm(now, frequent) > 0.1 && d.LongTerm(now, frequent) < 0.2, qt.IsTrue, qt.Commentf("%v", d.LongTerm(now, frequent)))
	c.Assert(d.LongTerm(now, formerlyPopular) < 0.1, qt.IsTrue, qt.Commentf("%v", d.LongTerm(now, formerlyPopular)))
	c.Assert(d.Recent(now, frequent) < 0.2, qt.IsTrue)
	c.Assert(d.LongTerm(now, ggscore.ModelAdapter{Adapter: "never"}), qt.Equals, 0.0)
}
