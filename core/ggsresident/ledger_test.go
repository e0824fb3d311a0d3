package ggsresident_test

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsresident"
)

func at(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

func adapter(n int) ggscore.ModelAdapter {
	return ggscore.ModelAdapter{Model: "m", Adapter: "a" + strconv.Itoa(n)}
}

// synced returns the ledger of a runner that holds the first n adapters, unused for a long
// time.
func synced(slots, n int) *ggsresident.Ledger {
	l := ggsresident.NewLedger(ggsresident.Options{Engine: &ggscore.EngineSpec{AdapterSlots: slots}})
	m := ggscore.ResidentModel{Name: "m"}
	for i := range n {
		m.Adapters = append(m.Adapters, ggscore.ResidentVersion{Adapter: adapter(i).Adapter, Version: 1})
	}
	l.Sync(at(-time.Hour), ggscore.InstanceStatus{Sequence: 7, Models: []ggscore.ResidentModel{m}})
	return l
}

// next returns the next step and fails the test if there is none.
func next(c *qt.C, l *ggsresident.Ledger, now time.Time) ggsresident.Step {
	c.Helper()
	s, ok := l.Next(now)
	c.Assert(ok, qt.IsTrue)
	return s
}

// nextOrder returns the next step that isn't a poll for a load, and checks the polls before it.
func nextOrder(c *qt.C, l *ggsresident.Ledger, now time.Time) ggsresident.Step {
	c.Helper()
	for {
		s := next(c, l, now)
		if !s.Poll || s.Unload {
			return s
		}
		c.Assert(s.Expected, qt.Equals, uint64(ggsresident.NeverExpected))
	}
}

func TestLoadOnDemand(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := synced(2, 2)
	l.Use(at(-2*time.Second), adapter(0), "vm", true)
	l.Want(at(0), adapter(9), 0)
	s := next(c, l, at(0))
	c.Assert(s, qt.DeepEquals, ggsresident.Step{Unload: true, Target: adapter(1), Expected: 7})
	l.HandleAnswer(at(0), s, ggscore.PlacementSatisfied)
	s = next(c, l, at(0))
	c.Assert(s, qt.DeepEquals, ggsresident.Step{Target: adapter(9), Expected: 8})
	l.HandleAnswer(at(0), s, ggscore.PlacementAccepted)
	c.Assert(l.Holds(adapter(9), 0), qt.IsFalse)

	_, ok := l.Next(at(time.Millisecond))
	c.Assert(ok, qt.IsFalse)
	s = next(c, l, l.Due(at(0)))
	c.Assert(s.Poll, qt.IsTrue)
	c.Assert(s.Expected, qt.Equals, uint64(ggsresident.NeverExpected))
	l.HandleAnswer(at(250*time.Millisecond), s, ggscore.PlacementAccepted)
	s = next(c, l, l.Due(at(0)))
	c.Assert(s.Poll, qt.IsTrue)
	l.HandleAnswer(at(270*time.Millisecond), s, ggscore.PlacementSatisfied)
	c.Assert(l.Holds(adapter(9), 0), qt.IsTrue)
	_, ok = l.Next(at(270 * time.Millisecond))
	c.Assert(ok, qt.IsFalse)
	l.Want(at(time.Second), adapter(8), 0)
	s = next(c, l, at(time.Second))
	c.Assert(s.Expected, qt.Equals, uint64(9), qt.Commentf("a poll isn't counted as an order"))
}

// Guards against loads beyond the slots of a newer configuration.
func TestSlotsOfANewerConfigurationAreKept(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := synced(4, 4)
	l.SetEngine(&ggscore.EngineSpec{AdapterSlots: 2})
	l.Want(at(0), adapter(9), 0)
	for range 3 {
		s := next(c, l, at(0))
		c.Assert(s.Unload, qt.IsTrue)
		l.HandleAnswer(at(0), s, ggscore.PlacementSatisfied)
	}
	s := next(c, l, at(0))
	c.Assert(s.Unload, qt.IsFalse)
	l.HandleAnswer(at(0), s, ggscore.PlacementAccepted)
	c.Assert(l.FreeCapacity(at(0)), qt.Equals, 1)
}

// Guards against the eviction of an adapter in use, 160 ms after it was loaded. Its callers got
// 503, and the runner loaded nothing for half a second because it takes no other order until
// the adapter's requests have ended.
func TestAdapterInUseIsNotEvicted(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := synced(1, 1)
	l.Use(at(0), adapter(0), "vm", true)
	l.Want(at(0), adapter(9), 0)
	_, ok := l.Next(at(300 * time.Millisecond))
	c.Assert(ok, qt.IsFalse)
	l.Use(at(300*time.Millisecond), adapter(0), "vm", true)
	_, ok = l.Next(at(600 * time.Millisecond))
	c.Assert(ok, qt.IsFalse)
	c.Assert(l.Due(at(0)).After(at(600*time.Millisecond)), qt.IsTrue)
	s := next(c, l, l.Due(at(0)))
	c.Assert(s.Unload, qt.IsTrue)
}

// Guards against orders while an eviction waits for the adapter's last request. The runner
// refuses them. Each refusal looked like a wrong number of accepted orders, and the resync
// cost a status request and half a second.
func TestOrdersWaitForAnEviction(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := synced(1, 1)
	l.Want(at(0), adapter(9), 0)
	s := next(c, l, at(0))
	l.HandleAnswer(at(0), s, ggscore.PlacementAccepted)
	_, ok := l.Next(at(time.Millisecond))
	c.Assert(ok, qt.IsFalse)
	s = next(c, l, l.Due(at(0)))
	c.Assert(s, qt.DeepEquals, ggsresident.Step{Unload: true, Target: adapter(0), Expected: 8, Poll: true})
	l.HandleAnswer(at(30*time.Millisecond), s, ggscore.PlacementSatisfied)
	s = next(c, l, at(30*time.Millisecond))
	c.Assert(s, qt.DeepEquals, ggsresident.Step{Target: adapter(9), Expected: 8})
}

// Guards against an order that takes effect twice, because it got no answer, was repeated at
// once, and the first one is executed seconds later. Both have the same condition, so only one
// can take effect.
func TestUnansweredOrderIsRepeatedUnderItsCondition(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		answer ggscore.PlacementAnswer
		// report is set if only the endpoint's report shows the order's result.
		report bool
	}{
		"the first was lost":          {answer: ggscore.PlacementAccepted},
		"the first was executed":      {answer: ggscore.PlacementConflict, report: true},
		"the first is being executed": {answer: ggscore.PlacementAccepted},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			l := synced(4, 0)
			l.Want(at(0), adapter(1), 0)
			l.Want(at(0), adapter(2), 0)
			s := next(c, l, at(0))
			l.HandleAnswer(at(0), s, ggscore.PlacementUnknown)
			again := next(c, l, at(0))
			c.Assert(again.Target, qt.Equals, s.Target)
			c.Assert(again.Expected, qt.Equals, s.Expected)
			l.HandleAnswer(at(0), again, tc.answer)
			c.Assert(l.Holds(s.Target, 0), qt.IsFalse)
			if tc.report {
				_, ok := l.Next(at(0))
				c.Assert(ok, qt.IsFalse)
				l.Sync(at(time.Second), ggscore.InstanceStatus{Sequence: 8, Models: []ggscore.ResidentModel{
					{Name: "m", Adapters: []ggscore.ResidentVersion{{Adapter: s.Target.Adapter, Version: 1}}},
				}})
				c.Assert(l.Holds(s.Target, 0), qt.IsTrue)
			}
			s = nextOrder(c, l, at(time.Second))
			c.Assert(s.Expected, qt.Equals, uint64(8))
		})
	}
}

// Guards against 1,500 orders per second, each over a connection of its own, to a crashed
// runner that refuses connections for the 3.6 s until its entry is removed.
func TestOrdersToAnUnreachableRunnerBackOff(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := synced(4, 0)
	l.Want(at(0), adapter(1), 0)
	n := 0
	for now := at(0); now.Before(at(3600 * time.Millisecond)); now = now.Add(time.Millisecond) {
		s, ok := l.Next(now)
		if ok {
			n++
			l.HandleAnswer(now, s, ggscore.PlacementUnknown)
		}
		if !ok {
			c.Assert(l.Due(now).After(now), qt.IsTrue)
		}
	}
	c.Assert(n < 20, qt.IsTrue, qt.Commentf("%d orders", n))
	s := next(c, l, l.Due(at(0)))
	l.HandleAnswer(l.Due(at(0)), s, ggscore.PlacementAccepted)
	c.Assert(l.Holds(adapter(1), 0), qt.IsFalse)
}

// Guards against a report that is older than the last order and would remove that order's result
// from the ledger. After an ambiguous answer, the ledger waits until a report must be newer.
func TestAmbiguousAnswerIsResolvedByALaterReport(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := synced(4, 0)
	l.Want(at(0), adapter(1), 0)
	l.HandleAnswer(at(0), next(c, l, at(0)), ggscore.PlacementConflict)
	_, ok := l.Next(at(time.Millisecond))
	c.Assert(ok, qt.IsFalse)
	c.Assert(l.Synced(at(100*time.Millisecond)), qt.IsTrue)
	c.Assert(l.Synced(l.Due(at(0))), qt.IsFalse)
	l.Sync(at(500*time.Millisecond), ggscore.InstanceStatus{Sequence: 20, Models: []ggscore.ResidentModel{{Name: "m"}}})
	s := next(c, l, at(500*time.Millisecond))
	c.Assert(s.Expected, qt.Equals, uint64(20))
}

func TestLoadsInTransitAreBounded(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := synced(16, 0)
	for i := range 6 {
		l.Want(at(0), adapter(i), 0)
	}
	n := 0
	for {
		s, ok := l.Next(at(0))
		if !ok {
			break
		}
		l.HandleAnswer(at(0), s, ggscore.PlacementAccepted)
		n++
	}
	c.Assert(n, qt.Equals, ggsresident.DefaultMaxInTransit)
	c.Assert(l.QueueFull(adapter(100)), qt.IsFalse)
	for i := range 20 {
		l.Want(at(0), adapter(i), 0)
	}
	c.Assert(l.QueueFull(adapter(100)), qt.IsTrue)
	c.Assert(l.QueueFull(adapter(3)), qt.IsFalse)
}

// Guards against requests that begin on the old version of a resident adapter after an
// operator has configured a new one.
func TestNewVersionReplacesTheOld(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := synced(2, 2)
	c.Assert(l.Holds(adapter(0), 1), qt.IsTrue)
	c.Assert(l.Holds(adapter(0), 2), qt.IsFalse)
	l.Want(at(0), adapter(0), 2)
	s := next(c, l, at(0))
	c.Assert(s, qt.DeepEquals, ggsresident.Step{Target: adapter(0), Version: 2, Expected: 7})
	l.HandleAnswer(at(0), s, ggscore.PlacementAccepted)
	l.HandleAnswer(at(250*time.Millisecond), next(c, l, l.Due(at(0))), ggscore.PlacementSatisfied)
	c.Assert(l.Holds(adapter(0), 2), qt.IsTrue)
	c.Assert(l.Version(adapter(0)), qt.Equals, uint64(2))
}

// Guards against orders to load an adapter into a runner that lacks the adapter's base model, as
// after a crash and a restart.
func TestEmptyRunnerGetsItsModelFirst(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := ggsresident.NewLedger(ggsresident.Options{Engine: &ggscore.EngineSpec{AdapterSlots: 4}})
	l.Sync(at(0), ggscore.InstanceStatus{})
	l.Want(at(0), adapter(1), 0)
	s := next(c, l, at(0))
	c.Assert(s, qt.DeepEquals, ggsresident.Step{Target: ggscore.ModelAdapter{Model: "m"}})
	l.HandleAnswer(at(0), s, ggscore.PlacementAccepted)
	_, ok := l.Next(at(time.Millisecond))
	c.Assert(ok, qt.IsFalse)
	l.HandleAnswer(at(time.Second), next(c, l, l.Due(at(0))), ggscore.PlacementSatisfied)
	c.Assert(l.Holds(ggscore.ModelAdapter{Model: "m"}, 0), qt.IsTrue)
}

func TestMisdirectedOrderRequiresAResync(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := synced(2, 0)
	l.Want(at(0), adapter(1), 0)
	l.HandleAnswer(at(0), next(c, l, at(0)), ggscore.PlacementMisdirected)
	c.Assert(l.Synced(at(0)), qt.IsFalse)
}

// demand maps adapters to the rates of requests that would miss them.
type demand map[ggscore.ModelAdapter]float64

func (d demand) MissRate(_ time.Time, _ ggscore.EndpointID, a ggscore.ModelAdapter) float64 {
	return d[a]
}

// full returns the ledger of a runner whose n slots hold the first n adapters, unused for a long
// time.
func full(d demand, n int) *ggsresident.Ledger {
	l := ggsresident.NewLedger(ggsresident.Options{Engine: &ggscore.EngineSpec{AdapterSlots: n}, Demand: d})
	m := ggscore.ResidentModel{Name: "m"}
	for i := range n {
		m.Adapters = append(m.Adapters, ggscore.ResidentVersion{Adapter: adapter(i).Adapter, Version: 1})
	}
	l.Sync(at(-time.Hour), ggscore.InstanceStatus{Models: []ggscore.ResidentModel{m}})
	return l
}

// Guards against the eviction of an adapter that is requested every five seconds in favour of
// one that was requested once, a second ago. Callers of the first would wait for a load each
// time.
func TestLeastMissedIsEvicted(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := full(demand{adapter(0): 0.2, adapter(1): 0.02}, 2)
	l.Use(at(-5*time.Second), adapter(0), "vm", true)
	l.Use(at(-4*time.Second), adapter(0), "vm", false)
	l.Use(at(-time.Second), adapter(1), "vm", true)
	l.Use(at(-time.Second), adapter(1), "vm", false)
	l.Want(at(0), adapter(9), 0)
	s := next(c, l, at(0))
	c.Assert(s.Unload, qt.IsTrue)
	c.Assert(s.Target, qt.Equals, adapter(1))
}

// Guards against a rare adapter that keeps its slot for half a second after its last request,
// while callers wait for a slot. A popular adapter keeps its slot longer, because it is
// requested again before all VMs have reported.
func TestRareAdapterIsEvictableOnRelease(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		rate  float64
		users []ggscore.VMID
		ended []ggscore.VMID
		free  int
	}{
		"rare, ended":              {0.1, []ggscore.VMID{"v1", "v2"}, []ggscore.VMID{"v1", "v2"}, 1},
		"rare, one in flight":      {0.1, []ggscore.VMID{"v1", "v2"}, []ggscore.VMID{"v2"}, 0},
		"rare, only loaded so far": {0.1, nil, nil, 0},
		"popular":                  {2, []ggscore.VMID{"v1"}, []ggscore.VMID{"v1"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			l := ggsresident.NewLedger(ggsresident.Options{Engine: &ggscore.EngineSpec{AdapterSlots: 1}, Demand: demand{adapter(0): tc.rate}})
			l.Sync(at(-time.Hour), ggscore.InstanceStatus{Models: []ggscore.ResidentModel{{Name: "m"}}})
			l.Want(at(-time.Second), adapter(0), 0)
			l.HandleAnswer(at(-time.Second), next(c, l, at(-time.Second)), ggscore.PlacementAccepted)
			l.HandleAnswer(at(0), next(c, l, at(0)), ggscore.PlacementSatisfied)
			_, ok := l.Next(at(0))
			c.Assert(ok, qt.IsFalse)
			for _, vm := range tc.users {
				l.Use(at(50*time.Millisecond), adapter(0), vm, true)
			}
			for _, vm := range tc.ended {
				l.Use(at(100*time.Millisecond), adapter(0), vm, false)
			}
			c.Assert(l.FreeCapacity(at(110*time.Millisecond)), qt.Equals, tc.free)
			c.Assert(l.FreeCapacity(at(2*time.Second)), qt.Equals, 1, qt.Commentf("no report of use for long"))
		})
	}
}

// Guards against requests that pile up after a runner's restart, when all its adapters are
// wanted at once and popular ones wait behind rare ones that were requested first.
func TestPopularAdapterIsLoadedFirst(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := ggsresident.NewLedger(ggsresident.Options{Engine: &ggscore.EngineSpec{AdapterSlots: 4}, Demand: demand{adapter(5): 0.1, adapter(6): 8, adapter(7): 1}})
	l.Sync(at(0), ggscore.InstanceStatus{Models: []ggscore.ResidentModel{{Name: "m"}}})
	for _, a := range []int{5, 6, 7} {
		l.Want(at(0), adapter(a), 0)
	}
	for _, a := range []int{6, 7, 5} {
		s := next(c, l, at(0))
		c.Assert(s.Target, qt.Equals, adapter(a))
		l.HandleAnswer(at(0), s, ggscore.PlacementAccepted)
	}
}

// Guards against polls that block orders. Three orders in ten get no answer, so a poll was
// waiting for one half of the time, and nothing else was loaded on the runner meanwhile.
func TestPollsDoNotBlockOrders(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := synced(4, 0)
	l.Want(at(0), adapter(1), 0)
	l.HandleAnswer(at(0), next(c, l, at(0)), ggscore.PlacementAccepted)
	poll := next(c, l, at(300*time.Millisecond))
	c.Assert(poll.Poll, qt.IsTrue)
	_, ok := l.Next(at(301 * time.Millisecond))
	c.Assert(ok, qt.IsFalse, qt.Commentf("two polls in flight"))
	l.Want(at(301*time.Millisecond), adapter(2), 0)
	s := next(c, l, at(301*time.Millisecond))
	c.Assert(s.Target, qt.Equals, adapter(2))
	l.HandleAnswer(at(302*time.Millisecond), s, ggscore.PlacementAccepted)

	l.HandleAnswer(at(325*time.Millisecond), poll, ggscore.PlacementUnknown)
	poll = next(c, l, at(325*time.Millisecond))
	c.Assert(poll.Target, qt.Equals, adapter(1))
	// The order in between changed the number of accepted orders. The conflict in answer to
	// the poll then means that the adapter is loaded.
	poll.Expected--
	l.HandleAnswer(at(330*time.Millisecond), poll, ggscore.PlacementConflict)
	c.Assert(l.Holds(adapter(1), 0), qt.IsTrue)
	c.Assert(l.Holds(adapter(2), 0), qt.IsFalse)
}

// Guards against status requests and orders that alternate 180 times per second after a runner
// crashed. Its next process answers at the address under another identity, while the previous
// entry stays on the list.
func TestOrdersPauseAfterAMisdirectedOne(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := synced(4, 0)
	c.Assert(l.RecentlyMisdirected(at(0)), qt.IsFalse)
	l.Want(at(0), adapter(1), 0)
	l.HandleAnswer(at(0), next(c, l, at(0)), ggscore.PlacementMisdirected)
	c.Assert(l.RecentlyMisdirected(at(time.Second)), qt.IsTrue)
	c.Assert(l.RecentlyMisdirected(at(2*time.Second)), qt.IsFalse)
}

// Guards against a runner that crashes because it is ordered to load more adapters than it has
// slots for. An eviction without an answer is repeated, and the repetition is refused. The refusal
// doesn't prove that the eviction was executed: the runner may have accepted a late order of the
// VM's previous process in between.
func TestRefusedRepeatFreesNoSlot(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := synced(2, 1)
	l.Want(at(0), adapter(8), 0)
	l.HandleAnswer(at(0), next(c, l, at(0)), ggscore.PlacementAccepted)
	l.Want(at(0), adapter(9), 0)
	s := next(c, l, at(time.Millisecond))
	c.Assert(s, qt.DeepEquals, ggsresident.Step{Unload: true, Target: adapter(0), Expected: 8})
	l.HandleAnswer(at(30*time.Millisecond), s, ggscore.PlacementUnknown)
	l.HandleAnswer(at(40*time.Millisecond), next(c, l, at(30*time.Millisecond)), ggscore.PlacementConflict)
	for now := at(40 * time.Millisecond); l.Synced(now); now = now.Add(10 * time.Millisecond) {
		s, ok := l.Next(now)
		c.Assert(ok && !s.Poll, qt.IsFalse, qt.Commentf("%+v", s))
		if ok {
			l.HandleAnswer(now, s, ggscore.PlacementAccepted)
		}
	}
}
