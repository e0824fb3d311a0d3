package ggsturn_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsturn"
)

// learningTable returns a table that knows the prefill speed and doesn't enforce turns.
func learningTable() *ggsturn.Table {
	t := ggsturn.NewTable(ggsturn.Options{VM: "vm"})
	t.SetService(models, targetGap)
	t.SetDecides(true)
	t.Restore(at(0), ggscore.TurnState{Service: models, PerToken: perToken, DecodeGap: quiet})
	return t
}

func waits(t *ggsturn.Table, now time.Duration) bool {
	n := t.Take(at(now), models, "r9", 100_000, 0)
	w := t.Estimate(at(now), models, "r9", 1000).Wait
	t.Drop(n)
	return w > 0
}

// playStreams records 100 streams per second, of which the given percentage is degraded.
func playStreams(t *ggsturn.Table, from, length time.Duration, degraded int) time.Duration {
	for n := range int(length / (10 * time.Millisecond)) {
		t.RecordStream(at(from+time.Duration(n)*10*time.Millisecond), models, "r1", n*37%100 < degraded)
	}
	return from + length
}

// waitingFraction simulates a load with the given percentages of degraded streams without and
// with turns. It returns the fraction of the time in which prompts waited.
func waitingFraction(b *ggsturn.Table, length time.Duration, without, with int) float64 {
	steps, waited := 0, 0
	for now := time.Duration(0); now < length; steps++ {
		degraded := without
		if waits(b, now) {
			degraded = with
			waited++
		}
		now = playStreams(b, now, 100*time.Millisecond, degraded)
	}
	return float64(waited) / float64(steps)
}

// Guards against enforcing turns where they don't reduce the number of degraded streams.
// Callers of engines that prefill in small chunks then waited 500 ms for their first chunk
// when five of twelve runners were lost.
func TestTurnsAreEnforcedWhileTheyHelp(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		without, with int
		// Bounds of the fraction of the time in which prompts wait.
		least, most float64
	}{
		"none degraded":       {without: 0, most: 0},
		"usual fraction":      {without: 10, most: 0},
		"turns help":          {without: 40, with: 5, least: 0.9, most: 1},
		"turns don't help":    {without: 20, with: 60, most: 0.3},
		"turns help slightly": {without: 40, with: 30, least: 0.5, most: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := waitingFraction(learningTable(), 20*time.Second, tc.without, tc.with)
			c.Assert(w >= tc.least && w <= tc.most, qt.IsTrue, qt.Commentf("%.2f", w))
		})
	}
}

// Guards against frequent trials of turns that degrade more streams than they help. The time
// between trials has to grow.
func TestFailedTrialsBecomeLessFrequent(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := learningTable()
	trials, was, now := 0, false, time.Duration(0)
	for range 600 {
		degraded := 20
		if was {
			degraded = 70
		}
		now = playStreams(b, now, 100*time.Millisecond, degraded)
		is := waits(b, now)
		if is && !was {
			trials++
		}
		was = is
	}
	c.Assert(trials >= 2 && trials <= 4, qt.IsTrue, qt.Commentf("%d trials in a minute", trials))
}

// Guards against attributing gaps to prefill that have another cause, such as a lost packet or
// a stalled VM. Fewer concurrent prompts wouldn't have prevented them.
func TestStallsAreNotAttributedToPrefill(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		tokens   int
		gap      time.Duration
		degraded bool
	}{
		"stall":              {tokens: 400, gap: time.Second, degraded: false},
		"prefill":            {tokens: 7000, gap: 340 * time.Millisecond, degraded: true},
		"prefill, short gap": {tokens: 7000, gap: 290 * time.Millisecond, degraded: false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := learningTable()
			b.Take(at(0), models, runner, tc.tokens, 0)
			qt.New(t).Assert(b.RecordGap(at(tc.gap), models, runner, tc.gap), qt.Equals, tc.degraded)
		})
	}
}

// Guards against degraded streams while the state is learned again after all processes were
// killed. The state is restored from stored records.
func TestLearnedStateSurvivesRestart(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	a := table("vm")
	h := a.LearnedState()
	c.Assert(h, qt.HasLen, 1)
	b := ggsturn.NewTable(ggsturn.Options{VM: "vm"})
	b.SetService(models, targetGap)
	b.Restore(at(0), h[0])
	c.Assert(waits(b, 0), qt.IsTrue)
	c.Assert(b.Estimate(at(0), models, runner, 1000).Ready, qt.Equals, 50*time.Millisecond)
	// A stored record doesn't override what was learned since.
	b.Restore(at(0), ggscore.TurnState{Service: models, PerToken: time.Second})
	c.Assert(b.Estimate(at(0), models, runner, 1000).Ready, qt.Equals, 50*time.Millisecond)
}

// Guards against VMs that each decide on enforcement from slightly different counts. Prompts of
// VMs that enforce turns would wait while those of other VMs overtake them.
func TestOneVMDecidesOnTurns(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	a, b := learningTable(), learningTable()
	b.SetDecides(false)
	now := playStreams(a, 0, 500*time.Millisecond, 40)
	playStreams(b, 0, 500*time.Millisecond, 40)
	c.Assert(waits(a, now), qt.IsTrue)
	c.Assert(waits(b, now), qt.IsFalse)
	for _, m := range a.Modes() {
		b.ApplyMode(at(now), m)
	}
	c.Assert(waits(b, now), qt.IsTrue)
	c.Assert(b.Modes(), qt.DeepEquals, a.Modes())
}

func TestDrainUnreportedReportsOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := learningTable()
	b.RecordStream(at(0), models, "r1", true)
	b.RecordStream(at(0), models, "r1", false)
	n := b.Take(at(0), models, runner, 1000, 0)
	b.RecordFirstChunk(at(70*time.Millisecond), n, at(0))
	s, l := b.DrainUnreported()
	c.Assert(s, qt.DeepEquals, []ggscore.TurnSample{{Service: models, Tokens: 1000, Took: 70 * time.Millisecond}})
	c.Assert(l, qt.DeepEquals, []ggscore.TurnTally{{Service: models, Streams: 2, Degraded: 1}})
	s, l = b.DrainUnreported()
	c.Assert(s, qt.HasLen, 0)
	c.Assert(l, qt.HasLen, 0)
}

// Guards against another VM's record with times that can't be meant, which would be passed on to all VMs that start.
func TestRestoredTimesAreBounded(t *testing.T) {
	t.Parallel()
	const bound = 10 * time.Second
	c := qt.New(t)
	v := ggsturn.NewTable(ggsturn.Options{VM: "vm"})
	v.SetService(models, targetGap)
	v.Restore(at(0), ggscore.TurnState{Service: models, PerToken: math.MaxInt64, Start: math.MaxInt64, DecodeGap: math.MaxInt64})
	hs := v.LearnedState()
	c.Assert(hs, qt.HasLen, 1)
	h := hs[0]
	c.Assert(h.PerToken <= bound && h.Start <= bound && h.DecodeGap <= bound, qt.IsTrue, qt.Commentf("%+v", h))
}
