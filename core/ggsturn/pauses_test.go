package ggsturn_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsturn"
)

// learner returns a table that knows the speed and has prompts wait for nothing.
func learner() *ggsturn.Table {
	t := ggsturn.NewTable(ggsturn.Options{VM: "vm"})
	t.SetService(models, gapAim)
	t.SetDecides(true)
	t.Adopt(at(0), ggscore.TurnShape{Service: models, PerToken: perToken, Quiet: quiet})
	return t
}

func waits(t *ggsturn.Table, now time.Duration) bool {
	n := t.Take(at(now), models, "r9", 100_000, 0)
	w := t.Expect(at(now), models, "r9", 1000).Wait
	t.Drop(n)
	return w > 0
}

// streams plays streams of a hundred a second, of which so many are hurt.
func streams(t *ggsturn.Table, from, length time.Duration, hurt int) time.Duration {
	for n := range int(length / (10 * time.Millisecond)) {
		t.Stream(at(from+time.Duration(n)*10*time.Millisecond), models, "r1", n*37%100 < hurt)
	}
	return from + length
}

// waiting plays a load of which so many streams in a hundred are hurt with and without
// turns, and returns the part of the time in which prompts waited.
func waiting(b *ggsturn.Table, length time.Duration, without, with int) float64 {
	steps, waited := 0, 0
	for now := time.Duration(0); now < length; steps++ {
		hurt := without
		if waits(b, now) {
			hurt = with
			waited++
		}
		now = streams(b, now, 100*time.Millisecond, hurt)
	}
	return float64(waited) / float64(steps)
}

// Prompts wait where streams are hurt without, and only as long as fewer are hurt with:
// held up for nothing, callers of a service whose engines read in small pieces waited
// half a second for their first piece when five of twelve runners were lost.
func TestPromptsWaitWhereStreamsAreHurt(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		without, with int
		// The part of the time in which prompts wait.
		least, most float64
	}{
		"none hurt":          {without: 0, most: 0},
		"as many as usual":   {without: 10, most: 0},
		"turns mend it":      {without: 40, with: 5, least: 0.9, most: 1},
		"turns don't help":   {without: 20, with: 60, most: 0.3},
		"a little less hurt": {without: 40, with: 30, least: 0.5, most: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := waiting(learner(), 20*time.Second, tc.without, tc.with)
			c.Assert(w >= tc.least && w <= tc.most, qt.IsTrue, qt.Commentf("%.2f", w))
		})
	}
}

// After a try that hurt more streams than it helped, prompts don't wait for some time,
// and longer after the next one.
func TestTriesThatFailGetRarer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := learner()
	tries, was, now := 0, false, time.Duration(0)
	for range 600 {
		hurt := 20
		if was {
			hurt = 70
		}
		now = streams(b, now, 100*time.Millisecond, hurt)
		is := waits(b, now)
		if is && !was {
			tries++
		}
		was = is
	}
	c.Assert(tries >= 2 && tries <= 4, qt.IsTrue, qt.Commentf("%d in a minute", tries))
}

// A stream stops for a second while nothing is read, because a packet was lost or a VM
// stood still. Fewer prompts at once would not have changed it.
func TestStallsArentPutDownToPrompts(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		tokens int
		gap    time.Duration
		hurt   bool
	}{
		"a stall":            {tokens: 400, gap: time.Second, hurt: false},
		"reading":            {tokens: 7000, gap: 340 * time.Millisecond, hurt: true},
		"reading, but short": {tokens: 7000, gap: 290 * time.Millisecond, hurt: false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := learner()
			b.Take(at(0), models, runner, tc.tokens, 0)
			qt.New(t).Assert(b.Gap(at(tc.gap), models, runner, tc.gap), qt.Equals, tc.hurt)
		})
	}
}

// All processes are killed. What they had learnt stands in their records, so that the
// streams of the next seconds aren't hurt while it is learnt anew.
func TestWhatWasLearntOutlivesTheProcess(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	a := table("vm")
	h := a.Shapes()
	c.Assert(h, qt.HasLen, 1)
	b := ggsturn.NewTable(ggsturn.Options{VM: "vm"})
	b.SetService(models, gapAim)
	b.Adopt(at(0), h[0])
	c.Assert(waits(b, 0), qt.IsTrue)
	c.Assert(b.Expect(at(0), models, runner, 1000).Ready, qt.Equals, 50*time.Millisecond)
	// A record of another writer changes nothing that was learnt since.
	b.Adopt(at(0), ggscore.TurnShape{Service: models, PerToken: time.Second})
	c.Assert(b.Expect(at(0), models, runner, 1000).Ready, qt.Equals, 50*time.Millisecond)
}

// Every VM counts streams, each a little differently. If each decided for itself, some
// would have their prompts wait while those of others go ahead of them.
func TestOneVMDecides(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	a, b := learner(), learner()
	b.SetDecides(false)
	now := streams(a, 0, 500*time.Millisecond, 40)
	streams(b, 0, 500*time.Millisecond, 40)
	c.Assert(waits(a, now), qt.IsTrue)
	c.Assert(waits(b, now), qt.IsFalse)
	for _, m := range a.Modes() {
		b.Follow(at(now), m)
	}
	c.Assert(waits(b, now), qt.IsTrue)
	c.Assert(b.Modes(), qt.DeepEquals, a.Modes())
}

func TestUntoldIsToldOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := learner()
	b.Stream(at(0), models, "r1", true)
	b.Stream(at(0), models, "r1", false)
	n := b.Take(at(0), models, runner, 1000, 0)
	b.First(at(70*time.Millisecond), n, at(0))
	s, l := b.Untold()
	c.Assert(s, qt.DeepEquals, []ggscore.TurnSample{{Service: models, Tokens: 1000, Took: 70 * time.Millisecond}})
	c.Assert(l, qt.DeepEquals, []ggscore.TurnTally{{Service: models, Streams: 2, Hurt: 1}})
	s, l = b.Untold()
	c.Assert(s, qt.HasLen, 0)
	c.Assert(l, qt.HasLen, 0)
}
