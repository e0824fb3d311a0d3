package ggsowner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	ggscore "greengageslip/core"
)

// Guards against a new owner that evicts an adapter in use by the previous one, which is
// partitioned or paused, so that a caller's answer breaks off; and against two dispatchers that
// order loads at the same time.
func TestSingleOwnerUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(3)
		names, byName := actions(s)
		for range rapid.IntRange(100, 200).Draw(t, "steps") {
			byName[rapid.SampledFrom(names).Draw(t, "action")](t)
			s.checkSingleOwner(t)
		}
	})
}

func actions(s *simulation) ([]string, map[string]func(*rapid.T)) {
	dispatchers := rapid.IntRange(0, len(s.dispatchers)-1)
	adapters := rapid.Custom(func(t *rapid.T) ggscore.AdapterRef { return adapter(rapid.IntRange(1, 2).Draw(t, "n")) })
	orderAction := func(k ggscore.OrderKind) func(*rapid.T) {
		return func(t *rapid.T) {
			_ = s.order(t, dispatchers.Draw(t, "dispatcher"), adapters.Draw(t, "adapter"), k)
		}
	}
	byName := map[string]func(*rapid.T){
		"startStep": func(t *rapid.T) { s.startStep(dispatchers.Draw(t, "dispatcher")) },
		"answer":    func(t *rapid.T) { s.endStep(dispatchers.Draw(t, "dispatcher"), endAnswered) },
		"failStep": func(t *rapid.T) {
			s.endStep(dispatchers.Draw(t, "dispatcher"), rapid.IntRange(1, 3).Draw(t, "outcome"))
		},
		"applyDelayed": func(t *rapid.T) { drawIndex(t, len(s.delayed), s.applyDelayed) },
		"poll":         func(t *rapid.T) { s.dispatchers[dispatchers.Draw(t, "dispatcher")].group.Invalidate() },
		"runSteps":     func(t *rapid.T) { s.runSteps(dispatchers.Draw(t, "dispatcher")) },
		"takeOver":     func(t *rapid.T) { i := dispatchers.Draw(t, "dispatcher"); s.renew(i, true); s.pollRecord(i) },
		"renew":        func(t *rapid.T) { s.renew(dispatchers.Draw(t, "dispatcher"), rapid.Bool().Draw(t, "answered")) },
		"wait": func(t *rapid.T) {
			s.now = s.now.Add(rapid.SampledFrom([]time.Duration{time.Second, 4 * time.Second, 10 * time.Second}).Draw(t, "wait"))
		},
		"restart":  func(t *rapid.T) { s.restart(dispatchers.Draw(t, "dispatcher")) },
		"spoil":    func(*rapid.T) { s.spoil() },
		"release":  func(t *rapid.T) { s.dispatchers[dispatchers.Draw(t, "dispatcher")].group.Release() },
		"endRuns":  func(t *rapid.T) { s.endRuns(dispatchers.Draw(t, "dispatcher")) },
		"load":     orderAction(ggscore.OrderLoad),
		"unload":   orderAction(ggscore.OrderUnload),
		"dispatch": orderAction(ggscore.OrderDispatch),
	}
	names := []string{"restart", "release", "endRuns", "spoil"}
	for _, often := range []string{"applyDelayed", "poll", "renew", "startStep", "answer", "failStep", "wait", "runSteps"} {
		names = append(names, often, often)
	}
	for _, veryOften := range []string{"takeOver", "load", "unload", "dispatch"} {
		names = append(names, veryOften, veryOften, veryOften, veryOften, veryOften)
	}
	return names, byName
}

// makeOwner makes the first dispatcher the owner, with an adapter loaded and
// protected.
func makeOwner(t *testing.T, s *simulation, a ggscore.AdapterRef) {
	t.Helper()
	c := qt.New(t)
	s.renew(0, true)
	s.pollRecord(0)
	c.Assert(s.order(t, 0, a, ggscore.OrderLoad), qt.IsNil)
	s.runSteps(0)
}

// Guards against a dispatcher that was paused until its lease expired and, still regarding
// itself as the owner, evicts an adapter that the new owner uses.
func TestPausedOwnerCannotOrder(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newSimulation(2)
	a := adapter(1)
	makeOwner(t, s, a)
	s.now = s.now.Add(testTTL - testMargin)
	var n *NotOwnerError
	c.Assert(s.order(t, 0, a, ggscore.OrderUnload), qt.ErrorAs, &n)
	c.Assert(n.Mode, qt.Equals, ggscore.ModeResidentOnly)
}

// Guards against two owners that order loads at the same time: the first has a new lease, but
// the record still names its expired lease, so another dispatcher may take over.
func TestNewLeaseMustBeRecorded(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newSimulation(1)
	makeOwner(t, s, adapter(1))
	d := s.dispatchers[0]
	s.now = s.now.Add(testTTL + time.Second)
	s.renew(0, true)
	s.renew(0, true)
	c.Assert(d.lease.HeldAt(s.now), qt.IsTrue)
	c.Assert(d.group.Mode(s.now, d.lease), qt.Equals, ggscore.ModeResidentOnly)
	s.runSteps(0)
	c.Assert(d.group.Mode(s.now, d.lease), qt.Equals, ggscore.ModeFull)
	c.Assert(s.record.Fence, qt.Equals, ggscore.FencingToken(2))
}

// Guards against two owners that order loads at the same time: a candidate reads that the first
// owner's lease has expired, and takes over from the second owner, whose lease is held.
func TestExpiryAppliesToOneOwnerOnly(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newSimulation(3)
	makeOwner(t, s, adapter(1))
	s.now = s.now.Add(testTTL + time.Second)
	s.renew(1, true)
	s.renew(2, true)
	s.dispatchers[2].group.SetCandidate(true)
	s.dispatchers[2].group.Invalidate()
	for range 2 {
		s.startStep(2)
		s.endStep(2, endAnswered)
	}
	s.startStep(2)
	s.pollRecord(1)
	s.endStep(2, endAnswered)
	s.runSteps(2)
	c.Assert(s.record.Owner.VM, qt.Equals, vm(1))
}

// Guards against a takeover by a candidate without a lease, after which no dispatcher can serve
// the group.
func TestTakeoverRequiresLease(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newSimulation(1)
	s.pollRecord(0)
	c.Assert(s.dispatchers[0].group.Owned(), qt.IsFalse)
}

// Guards against a new owner that evicts adapters that the old one still serves while its
// failure domain is partitioned from the platform. Adapters that the record protects must stay
// until the old owner reports that it is idle.
func TestNewOwnerKeepsAdaptersPinnedByOld(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newSimulation(2)
	a := adapter(1)
	makeOwner(t, s, a)
	s.now = s.now.Add(testTTL + time.Second)
	s.renew(1, true)
	s.pollRecord(1)
	c.Assert(s.dispatchers[1].group.Mode(s.now, s.dispatchers[1].lease), qt.Equals, ggscore.ModeFull)
	c.Assert(s.record.Fence, qt.Equals, ggscore.FencingToken(2))
	c.Assert(s.order(t, 0, a, ggscore.OrderDispatch), qt.IsNil)
	var p *PinnedError
	c.Assert(s.order(t, 1, a, ggscore.OrderUnload), qt.ErrorAs, &p)
	c.Assert(s.record.PinnedOn(runner, s.dispatchers[1].group.self), qt.DeepEquals, []ggscore.AdapterRef{a})

	s.dispatchers[0].group.Invalidate()
	s.runSteps(0)
	var n *NotOwnerError
	c.Assert(s.order(t, 0, a, ggscore.OrderDispatch), qt.ErrorAs, &n)
	s.endRuns(0)
	s.runSteps(0)
	s.pollRecord(1)
	c.Assert(s.order(t, 1, a, ggscore.OrderUnload), qt.IsNil)
}

// Guards against a run that breaks off because its adapter was loaded just before a takeover and
// evicted by the new owner. An adapter must not be used before the record protects it.
func TestUnprotectedAdapterIsNotDispatched(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newSimulation(1)
	makeOwner(t, s, adapter(1))
	c.Assert(s.order(t, 0, adapter(2), ggscore.OrderLoad), qt.IsNil)
	var n *NotProtectedError
	c.Assert(s.order(t, 0, adapter(2), ggscore.OrderDispatch), qt.ErrorAs, &n)
	s.runSteps(0)
	c.Assert(s.order(t, 0, adapter(2), ggscore.OrderDispatch), qt.IsNil)
}

// Guards against a delayed write that removes the protection of an adapter in use. It can if the
// owner reverts an ambiguous change of its protected set and skips the write, since the record
// as last read already has that set.
func TestDelayedWriteCannotRemoveProtection(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newSimulation(1)
	a := adapter(1)
	makeOwner(t, s, a)
	g := s.dispatchers[0].group
	g.Protect(AdapterSet{})
	s.startStep(0)
	s.endStep(0, endLostBeforeEffect)
	c.Assert(g.Protected(runner, a), qt.IsFalse)
	g.Protect(AdapterSet{runner: {a}})
	s.runSteps(0)
	s.applyDelayed(0)
	c.Assert(g.Protected(runner, a), qt.IsTrue)
	c.Assert(s.record.Protected.Has(runner, a), qt.IsTrue)
}

// Guards against requests that wait until a stopped owner's lease expires. A released group must
// be taken over at once, with the adapters of the leaving owner's runs still pinned.
func TestReleasedGroupIsTakenOverAtOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newSimulation(2)
	a := adapter(1)
	makeOwner(t, s, a)
	c.Assert(s.order(t, 0, a, ggscore.OrderDispatch), qt.IsNil)
	s.dispatchers[0].group.Release()
	var n *NotOwnerError
	c.Assert(s.order(t, 0, a, ggscore.OrderDispatch), qt.ErrorAs, &n)
	s.runSteps(0)
	s.renew(1, true)
	s.pollRecord(1)
	c.Assert(s.order(t, 1, a, ggscore.OrderDispatch), qt.IsNil)
	s.endRuns(1)
	var p *PinnedError
	c.Assert(s.order(t, 1, a, ggscore.OrderUnload), qt.ErrorAs, &p)
	s.endRuns(0)
	s.dispatchers[0].group.Invalidate()
	s.runSteps(0)
	s.pollRecord(1)
	c.Assert(s.order(t, 1, a, ggscore.OrderUnload), qt.IsNil)
}

// Guards against two owners that order loads at the same time because a candidate takes over
// while the owner's lease is held.
func TestHeldLeaseIsNotTakenOver(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newSimulation(2)
	makeOwner(t, s, adapter(1))
	s.renew(1, true)
	s.pollRecord(1)
	c.Assert(s.dispatchers[1].group.Owned(), qt.IsFalse)
	c.Assert(s.record.Owner.VM, qt.Equals, vm(0))
}
