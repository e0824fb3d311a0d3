package ggsowner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	ggscore "greengageslip/core"
)

// A renter's answer breaks off in the middle: the owner of the runner was cut
// off or paused, another took over and evicted the adapter that the first was
// using; or two owners ordered loads at once.
func TestOneOwnerUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		names, act := actions(w)
		for range rapid.IntRange(100, 200).Draw(t, "steps") {
			act[rapid.SampledFrom(names).Draw(t, "action")](t)
			w.checkOwners(t)
		}
	})
}

func actions(w *world) ([]string, map[string]func(*rapid.T)) {
	dispatchers := rapid.IntRange(0, len(w.dispatchers)-1)
	adapters := rapid.Custom(func(t *rapid.T) ggscore.AdapterRef { return adapter(rapid.IntRange(1, 2).Draw(t, "n")) })
	order := func(k ggscore.OrderKind) func(*rapid.T) {
		return func(t *rapid.T) {
			_ = w.give(t, dispatchers.Draw(t, "dispatcher"), adapters.Draw(t, "adapter"), k)
		}
	}
	act := map[string]func(*rapid.T){
		"start":  func(t *rapid.T) { w.start(dispatchers.Draw(t, "dispatcher")) },
		"answer": func(t *rapid.T) { w.end(dispatchers.Draw(t, "dispatcher"), endAnswered) },
		"lose":   func(t *rapid.T) { w.end(dispatchers.Draw(t, "dispatcher"), rapid.IntRange(1, 3).Draw(t, "how")) },
		"land":   func(t *rapid.T) { pick(t, len(w.delayed), w.land) },
		"poll":   func(t *rapid.T) { w.dispatchers[dispatchers.Draw(t, "dispatcher")].group.Poll() },
		"settle": func(t *rapid.T) { w.settle(dispatchers.Draw(t, "dispatcher")) },
		"take":   func(t *rapid.T) { i := dispatchers.Draw(t, "dispatcher"); w.renew(i, true); w.poll(i) },
		"renew":  func(t *rapid.T) { w.renew(dispatchers.Draw(t, "dispatcher"), rapid.Bool().Draw(t, "answered")) },
		"wait": func(t *rapid.T) {
			w.now = w.now.Add(rapid.SampledFrom([]time.Duration{time.Second, 4 * time.Second, 10 * time.Second}).Draw(t, "wait"))
		},
		"restart":  func(t *rapid.T) { w.restart(dispatchers.Draw(t, "dispatcher")) },
		"release":  func(t *rapid.T) { w.dispatchers[dispatchers.Draw(t, "dispatcher")].group.Release() },
		"end":      func(t *rapid.T) { w.endRuns(dispatchers.Draw(t, "dispatcher")) },
		"load":     order(ggscore.OrderLoad),
		"unload":   order(ggscore.OrderUnload),
		"dispatch": order(ggscore.OrderDispatch),
	}
	names := []string{"restart", "release", "end"}
	for _, often := range []string{"land", "poll", "renew", "start", "answer", "lose", "wait", "settle"} {
		names = append(names, often, often)
	}
	for _, veryOften := range []string{"take", "load", "unload", "dispatch"} {
		names = append(names, veryOften, veryOften, veryOften, veryOften, veryOften)
	}
	return names, act
}

// own makes the first dispatcher the owner with an adapter loaded and protected.
func own(t *testing.T, w *world, a ggscore.AdapterRef) {
	t.Helper()
	c := qt.New(t)
	w.renew(0, true)
	w.poll(0)
	c.Assert(w.give(t, 0, a, ggscore.OrderLoad), qt.IsNil)
	w.settle(0)
}

// A paused dispatcher wakes after its lease lapsed and evicts an adapter that
// the new owner is using, since to itself it still is the owner.
func TestPausedOwnerGivesNoOrders(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(2)
	a := adapter(1)
	own(t, w, a)
	w.now = w.now.Add(testTTL - testMargin)
	var n *NotOwnerError
	c.Assert(w.give(t, 0, a, ggscore.OrderUnload), qt.ErrorAs, &n)
	c.Assert(n.Mode, qt.Equals, ggscore.ModeResidentOnly)
}

// Two owners order loads at once: one's lease lapsed and it has a new one, but
// the record still names the old, so that another may take over meanwhile.
func TestNewLeaseNeedsTheRecord(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(1)
	own(t, w, adapter(1))
	d := w.dispatchers[0]
	w.now = w.now.Add(testTTL + time.Second)
	w.renew(0, true)
	w.renew(0, true)
	c.Assert(d.lease.HeldAt(w.now), qt.IsTrue)
	c.Assert(d.group.Mode(w.now, d.lease), qt.Equals, ggscore.ModeResidentOnly)
	w.settle(0)
	c.Assert(d.group.Mode(w.now, d.lease), qt.Equals, ggscore.ModeFull)
	c.Assert(w.record.Fence, qt.Equals, ggscore.FenceNumber(2))
}

// Two owners order loads at once: a candidate that knew the first owner's
// lease as lapsed took over from the second, whose lease was held.
func TestLapseIsOfOneOwnerOnly(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(3)
	own(t, w, adapter(1))
	w.now = w.now.Add(testTTL + time.Second)
	w.renew(1, true)
	w.renew(2, true)
	w.dispatchers[2].group.Want(true)
	w.dispatchers[2].group.Poll()
	for range 2 {
		w.start(2)
		w.end(2, endAnswered)
	}
	w.start(2)
	w.poll(1)
	w.end(2, endAnswered)
	w.settle(2)
	c.Assert(w.record.Owner.VM, qt.Equals, vm(1))
}

// Nobody serves a group: a candidate that could get no lease took it over.
func TestTakeoverNeedsALease(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(1)
	w.poll(0)
	c.Assert(w.dispatchers[0].group.Owned(), qt.IsFalse)
}

// An agency's answers break off when its domain is cut from the platform and
// another VM takes over: the cut owner goes on with its adapters, and the new
// one evicts them. What the record protects stays until the first owner says
// that it is idle.
func TestNewOwnerKeepsWhatTheOldMayUse(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(2)
	a := adapter(1)
	own(t, w, a)
	w.now = w.now.Add(testTTL + time.Second)
	w.renew(1, true)
	w.poll(1)
	c.Assert(w.dispatchers[1].group.Mode(w.now, w.dispatchers[1].lease), qt.Equals, ggscore.ModeFull)
	c.Assert(w.record.Fence, qt.Equals, ggscore.FenceNumber(2))
	c.Assert(w.give(t, 0, a, ggscore.OrderDispatch), qt.IsNil)
	var p *PinnedError
	c.Assert(w.give(t, 1, a, ggscore.OrderUnload), qt.ErrorAs, &p)
	c.Assert(w.record.PinnedOn(runner, w.dispatchers[1].group.self), qt.DeepEquals, []ggscore.AdapterRef{a})

	w.dispatchers[0].group.Poll()
	w.settle(0)
	var n *NotOwnerError
	c.Assert(w.give(t, 0, a, ggscore.OrderDispatch), qt.ErrorAs, &n)
	w.endRuns(0)
	w.settle(0)
	w.poll(1)
	c.Assert(w.give(t, 1, a, ggscore.OrderUnload), qt.IsNil)
}

// A lookup that began just before a takeover breaks off: its adapter had been
// loaded, but the record did not protect it yet, so that the new owner thought
// it free. It may not be used before the record protects it.
func TestUnprotectedAdapterIsNotUsed(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(1)
	own(t, w, adapter(1))
	c.Assert(w.give(t, 0, adapter(2), ggscore.OrderLoad), qt.IsNil)
	var n *NotProtectedError
	c.Assert(w.give(t, 0, adapter(2), ggscore.OrderDispatch), qt.ErrorAs, &n)
	w.settle(0)
	c.Assert(w.give(t, 0, adapter(2), ggscore.OrderDispatch), qt.IsNil)
}

// A protection that was recorded is taken back by an older write that was
// under way for long: the owner had gone back to its earlier set without a
// write, and serves what the record no longer protects.
func TestDelayedProtectionIsShutOut(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(1)
	a := adapter(1)
	own(t, w, a)
	g := w.dispatchers[0].group
	g.Protect(Set{})
	w.start(0)
	w.end(0, endLostBeforeEffect)
	c.Assert(g.Protected(runner, a), qt.IsFalse)
	g.Protect(Set{runner: {a}})
	w.settle(0)
	w.land(0)
	c.Assert(g.Protected(runner, a), qt.IsTrue)
	c.Assert(w.record.Protected.Has(runner, a), qt.IsTrue)
}

// Requests wait for a whole lease during a planned stop: the next owner can't
// begin before the lease lapses. A released group is taken over at once, and
// what the leaving owner still runs stays pinned.
func TestReleaseHandsOverAtOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(2)
	a := adapter(1)
	own(t, w, a)
	c.Assert(w.give(t, 0, a, ggscore.OrderDispatch), qt.IsNil)
	w.dispatchers[0].group.Release()
	var n *NotOwnerError
	c.Assert(w.give(t, 0, a, ggscore.OrderDispatch), qt.ErrorAs, &n)
	w.settle(0)
	w.renew(1, true)
	w.poll(1)
	c.Assert(w.give(t, 1, a, ggscore.OrderDispatch), qt.IsNil)
	w.endRuns(1)
	var p *PinnedError
	c.Assert(w.give(t, 1, a, ggscore.OrderUnload), qt.ErrorAs, &p)
	w.endRuns(0)
	w.dispatchers[0].group.Poll()
	w.settle(0)
	w.poll(1)
	c.Assert(w.give(t, 1, a, ggscore.OrderUnload), qt.IsNil)
}

// Two owners order loads at once: a candidate took over while the owner's
// lease was held.
func TestHeldLeaseIsNotTakenOver(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(2)
	own(t, w, adapter(1))
	w.renew(1, true)
	w.poll(1)
	c.Assert(w.dispatchers[1].group.Owned(), qt.IsFalse)
	c.Assert(w.record.Owner.VM, qt.Equals, vm(0))
}
