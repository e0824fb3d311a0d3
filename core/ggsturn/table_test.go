package ggsturn_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsturn"
)

const (
	models    = ggscore.Service("models")
	runner    = ggscore.EndpointID("r1")
	targetGap = 300 * time.Millisecond
	delay     = 2 * time.Millisecond
	// perToken is the speed that tests use: a prompt of 1,000 tokens takes 50 ms.
	perToken = 50 * time.Microsecond
	quiet    = 30 * time.Millisecond
)

func at(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

// table returns a table that knows the prefill speed and enforces turns: 255 ms of prefill may
// begin within 300 ms.
func table(vm ggscore.VMID) *ggsturn.Table {
	t := ggsturn.NewTable(ggsturn.Options{VM: vm})
	t.SetService(models, targetGap)
	t.Restore(at(0), ggscore.TurnState{Service: models, PerToken: perToken, DecodeGap: quiet, Mode: ggscore.TurnMode{Service: models, Enforced: true, DegradedBefore: 0.5}})
	return t
}

func take(t *ggsturn.Table, now time.Duration, tokens int) time.Duration {
	return t.Take(at(now), models, runner, tokens, 0).Begin.Sub(at(0))
}

// Guards against prompts that arrive together and are prefilled without a break, which stalls
// every stream of the runner meanwhile.
func TestPrefillIsBoundedPerWindow(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := table("vm")
	c.Assert(take(b, 0, 2000), qt.Equals, time.Duration(0))
	c.Assert(take(b, 0, 3000), qt.Equals, time.Duration(0))
	c.Assert(take(b, 0, 1000), qt.Equals, targetGap, qt.Commentf("250 ms of prefill have begun"))
	c.Assert(take(b, 0, 1000), qt.Equals, targetGap)
	e := b.Estimate(at(10*time.Millisecond), models, runner, 1000)
	c.Assert(e.Wait, qt.Equals, targetGap-10*time.Millisecond)
	c.Assert(e.Ready, qt.Equals, targetGap+3*50*time.Millisecond-10*time.Millisecond)
}

// Guards against starvation of a prompt longer than the limit. It waits until no other prefill
// began recently, and shorter prompts don't overtake it.
func TestLongPromptIsNotStarved(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := table("vm")
	c.Assert(take(b, 0, 1000), qt.Equals, time.Duration(0))
	c.Assert(take(b, 10*time.Millisecond, 9000), qt.Equals, targetGap)
	c.Assert(take(b, 20*time.Millisecond, 100), qt.Equals, 2*targetGap)
}

// Guards against a turn that stays reserved after its caller left.
func TestDroppedTurnIsReassigned(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := table("vm")
	n := b.Take(at(0), models, runner, 4000, 0)
	b.Drop(n)
	c.Assert(take(b, 0, 5000), qt.Equals, time.Duration(0))
}

// Guards against two VMs that take a turn within the propagation delay of a datagram. Their
// prompts would be prefilled together, 400 ms of them; the later turn is replaced.
func TestConcurrentTurnsAreConfirmed(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	a, b := table("a"), table("b")
	x := a.Take(at(0), models, runner, 4000, delay)
	y := b.Take(at(time.Millisecond), models, runner, 4000, delay)
	c.Assert(x.Begin, qt.Equals, at(delay))
	c.Assert(y.Begin, qt.Equals, at(time.Millisecond+delay))
	a.Add(at(2*time.Millisecond), y)
	b.Add(at(time.Millisecond), x)
	x, ok := a.Confirm(at(delay), x)
	c.Assert(ok, qt.IsTrue)
	y, ok = b.Confirm(y.Begin, y)
	c.Assert(ok, qt.IsFalse)
	c.Assert(y.Begin, qt.Equals, x.Begin.Add(targetGap))
	y, ok = b.Confirm(y.Begin, y)
	c.Assert(ok, qt.IsTrue)
}

// Guards against reserving an endpoint for minutes because a caller states an absurd size.
// Prompts with a missing or impossible size count as prompts of the usual size.
func TestImpossiblePromptSizeCountsAsUsual(t *testing.T) {
	t.Parallel()
	for name, tokens := range map[string]int{"none": 0, "negative": -5, "huge": 1 << 40} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			b := table("vm")
			for range 200 {
				n := b.Take(at(0), models, "r2", 400, 0)
				b.Drop(n)
			}
			c.Assert(b.Take(at(0), models, runner, tokens, 0).Tokens, qt.Equals, 400)
		})
	}
}

// Guards against a prefill speed distorted by outliers: runners take 25 µs per token, and one
// first chunk in six is late for another reason. The estimate may be off by a tenth.
func TestPrefillSpeedIsLearned(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := ggsturn.NewTable(ggsturn.Options{VM: "vm"})
	b.SetService(models, targetGap)
	ready := func() time.Duration { return b.Estimate(at(0), models, runner, 10_000).Ready }
	c.Assert(ready(), qt.Equals, 500*time.Millisecond, qt.Commentf("before any sample"))
	for i := range 60 {
		tokens := 200 + 97*i%3000
		took := 20*time.Millisecond + time.Duration(tokens)*25*time.Microsecond
		if i%6 == 0 {
			took += 400 * time.Millisecond
		}
		b.AddSample(ggscore.TurnSample{Service: models, Tokens: tokens, Took: took})
	}
	c.Assert(ready() > 225*time.Millisecond && ready() < 275*time.Millisecond, qt.IsTrue, qt.Commentf("%s", ready()))
}

// Guards against prompts sent to a slow runner as if it had normal speed. A few first chunks
// have to show the longer wait there.
func TestSlowEndpointIsDetected(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := table("vm")
	now := time.Duration(0)
	for range 12 {
		n := b.Take(at(now), models, runner, 1000, 0)
		b.RecordFirstChunk(at(now+200*time.Millisecond), n, at(now))
		now += time.Second
	}
	slow := b.Estimate(at(now), models, runner, 1000).Ready
	c.Assert(slow > 100*time.Millisecond, qt.IsTrue, qt.Commentf("%s", slow))
	c.Assert(b.Estimate(at(now), models, "r2", 1000).Ready, qt.Equals, 50*time.Millisecond)
}

// Guards against VMs of a large fleet that observe different endpoints, so that no VM knows
// all prompts at an endpoint.
func TestAllVMsObserveTheSameEndpoints(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var ids []ggscore.EndpointID
	for n := range 60 {
		ids = append(ids, ggscore.EndpointID(fmt.Sprintf("r%02d", n)))
	}
	a, b := learningTable(), learningTable()
	a.SetEndpoints(models, ids)
	slices.Reverse(ids)
	b.SetEndpoints(models, ids)
	announced := 0
	for _, id := range ids {
		n := ggscore.PromptTurn{VM: "vm", Service: models, Endpoint: id, Tokens: 10}
		c.Check(a.Announces(at(0), n), qt.Equals, b.Announces(at(0), n), qt.Commentf("%s", id))
		if a.Announces(at(0), n) {
			announced++
		}
		n.Tokens = 100_000
		c.Check(a.Announces(at(0), n), qt.IsTrue, qt.Commentf("a long prompt at %s", id))
	}
	c.Check(announced, qt.Equals, 8)

	// Turns are enforced now, and all are announced.
	a.AddTally(at(0), ggscore.TurnTally{Service: models, Streams: 100, Degraded: 50})
	for _, id := range ids {
		c.Check(a.Announces(at(time.Second), ggscore.PromptTurn{VM: "vm", Service: models, Endpoint: id, Tokens: 10}), qt.IsTrue)
	}
}
