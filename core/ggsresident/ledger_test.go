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

// synced returns the ledger of a runner with so many places that holds the
// first n adapters, unused for a long time.
func synced(slots, n int) *ggsresident.Ledger {
	l := ggsresident.NewLedger(ggsresident.Options{Slots: slots})
	m := ggscore.ResidentModel{Name: "m"}
	for i := range n {
		m.Adapters = append(m.Adapters, ggscore.ResidentVersion{Adapter: adapter(i).Adapter, Version: 1})
	}
	l.Sync(at(-time.Hour), ggscore.InstanceStatus{Sequence: 7, Models: []ggscore.ResidentModel{m}})
	return l
}

// next returns the next step, which has to be there.
func next(c *qt.C, l *ggsresident.Ledger, now time.Time) ggsresident.Step {
	c.Helper()
	s, ok := l.Next(now)
	c.Assert(ok, qt.IsTrue)
	return s
}

func TestLoadOnDemand(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := synced(2, 2)
	l.Use(at(-2*time.Second), adapter(0), "vm", true)
	l.Want(at(0), adapter(9), 0)
	s := next(c, l, at(0))
	c.Assert(s, qt.DeepEquals, ggsresident.Step{Unload: true, Target: adapter(1), Expected: 7})
	l.Ended(at(0), s, ggscore.PlacementHolds)
	s = next(c, l, at(0))
	c.Assert(s, qt.DeepEquals, ggsresident.Step{Target: adapter(9), Expected: 8})
	l.Ended(at(0), s, ggscore.PlacementAccepted)
	c.Assert(l.Holds(adapter(9), 0), qt.IsFalse)

	_, ok := l.Next(at(time.Millisecond))
	c.Assert(ok, qt.IsFalse)
	s = next(c, l, l.Due(at(0)))
	c.Assert(s.Poll, qt.IsTrue)
	c.Assert(s.Expected, qt.Equals, uint64(9))
	l.Ended(at(250*time.Millisecond), s, ggscore.PlacementAccepted)
	s = next(c, l, l.Due(at(0)))
	c.Assert(s.Expected, qt.Equals, uint64(9), qt.Commentf("a question isn't counted"))
	l.Ended(at(270*time.Millisecond), s, ggscore.PlacementHolds)
	c.Assert(l.Holds(adapter(9), 0), qt.IsTrue)
	_, ok = l.Next(at(270 * time.Millisecond))
	c.Assert(ok, qt.IsFalse)
}

// Callers of a busy adapter get 503, and for half a second nothing is loaded on
// their runner: the adapter was evicted while requests used it, 160 ms after it
// had come. The runner takes no other order until they have ended.
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

// A runner evicts an adapter whose last request is still running. Orders given
// meanwhile are refused; taken for a sign that the count of orders is wrong,
// each cost a question for the report and half a second.
func TestOrdersWaitForAnEviction(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := synced(1, 1)
	l.Want(at(0), adapter(9), 0)
	s := next(c, l, at(0))
	l.Ended(at(0), s, ggscore.PlacementAccepted)
	_, ok := l.Next(at(time.Millisecond))
	c.Assert(ok, qt.IsFalse)
	s = next(c, l, l.Due(at(0)))
	c.Assert(s, qt.DeepEquals, ggsresident.Step{Unload: true, Target: adapter(0), Expected: 8, Poll: true})
	l.Ended(at(30*time.Millisecond), s, ggscore.PlacementHolds)
	s = next(c, l, at(30*time.Millisecond))
	c.Assert(s, qt.DeepEquals, ggsresident.Step{Target: adapter(9), Expected: 8})
}

// Three orders in ten get no answer and are carried out seconds later. The same
// order under the same condition is given again at once: only one of the two
// can count.
func TestLostOrderIsRepeatedUnderItsCondition(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		answer ggscore.PlacementAnswer
		// report says that only the endpoint's report tells what became of it.
		report bool
	}{
		"the first was lost":         {answer: ggscore.PlacementAccepted},
		"the first was carried out":  {answer: ggscore.PlacementConflict, report: true},
		"the first is being carried": {answer: ggscore.PlacementAccepted},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			l := synced(4, 0)
			l.Want(at(0), adapter(1), 0)
			l.Want(at(0), adapter(2), 0)
			s := next(c, l, at(0))
			l.Ended(at(0), s, ggscore.PlacementUnknown)
			again := next(c, l, at(0))
			c.Assert(again.Target, qt.Equals, s.Target)
			c.Assert(again.Expected, qt.Equals, s.Expected)
			l.Ended(at(0), again, tc.answer)
			c.Assert(l.Holds(s.Target, 0), qt.IsFalse)
			if tc.report {
				_, ok := l.Next(at(0))
				c.Assert(ok, qt.IsFalse)
				l.Sync(at(time.Second), ggscore.InstanceStatus{Sequence: 8, Models: []ggscore.ResidentModel{
					{Name: "m", Adapters: []ggscore.ResidentVersion{{Adapter: s.Target.Adapter, Version: 1}}},
				}})
				c.Assert(l.Holds(s.Target, 0), qt.IsTrue)
			}
			s = next(c, l, at(time.Second))
			c.Assert(s.Expected, qt.Equals, uint64(8))
		})
	}
}

// A runner crashes and refuses connections until its entry is gone, for 3.6 s. Its
// VM gave it 1,500 orders a second, each over a connection of its own.
func TestSilentRunnerIsNotFlooded(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := synced(4, 0)
	l.Want(at(0), adapter(1), 0)
	n := 0
	for now := at(0); now.Before(at(3600 * time.Millisecond)); now = now.Add(time.Millisecond) {
		s, ok := l.Next(now)
		if ok {
			n++
			l.Ended(now, s, ggscore.PlacementUnknown)
		}
		if !ok {
			c.Assert(l.Due(now).After(now), qt.IsTrue)
		}
	}
	c.Assert(n < 20, qt.IsTrue, qt.Commentf("%d orders", n))
	s := next(c, l, l.Due(at(0)))
	l.Ended(l.Due(at(0)), s, ggscore.PlacementAccepted)
	c.Assert(l.Holds(adapter(1), 0), qt.IsFalse)
}

// After an unclear answer the number of accepted orders isn't known. A report
// from before the last order would take the ledger back, so it is asked for
// once it must be newer.
func TestUnclearAnswerIsResolvedByALaterReport(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := synced(4, 0)
	l.Want(at(0), adapter(1), 0)
	l.Ended(at(0), next(c, l, at(0)), ggscore.PlacementConflict)
	_, ok := l.Next(at(time.Millisecond))
	c.Assert(ok, qt.IsFalse)
	c.Assert(l.Synced(at(100*time.Millisecond)), qt.IsTrue)
	c.Assert(l.Synced(l.Due(at(0))), qt.IsFalse)
	l.Sync(at(500*time.Millisecond), ggscore.InstanceStatus{Sequence: 20, Models: []ggscore.ResidentModel{{Name: "m"}}})
	s := next(c, l, at(500*time.Millisecond))
	c.Assert(s.Expected, qt.Equals, uint64(20))
}

func TestTransitIsBounded(t *testing.T) {
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
		l.Ended(at(0), s, ggscore.PlacementAccepted)
		n++
	}
	c.Assert(n, qt.Equals, ggsresident.DefaultTransit)
	c.Assert(l.Crowded(adapter(100)), qt.IsFalse)
	for i := range 20 {
		l.Want(at(0), adapter(i), 0)
	}
	c.Assert(l.Crowded(adapter(100)), qt.IsTrue)
	c.Assert(l.Crowded(adapter(3)), qt.IsFalse)
}

// An operator names a new version of an adapter that is resident. Requests for
// it must not begin on the old one.
func TestNewVersionReplacesTheOld(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := synced(2, 2)
	c.Assert(l.Holds(adapter(0), 1), qt.IsTrue)
	c.Assert(l.Holds(adapter(0), 2), qt.IsFalse)
	l.Want(at(0), adapter(0), 2)
	s := next(c, l, at(0))
	c.Assert(s, qt.DeepEquals, ggsresident.Step{Target: adapter(0), Version: 2, Expected: 7})
	l.Ended(at(0), s, ggscore.PlacementAccepted)
	l.Ended(at(250*time.Millisecond), next(c, l, l.Due(at(0))), ggscore.PlacementHolds)
	c.Assert(l.Holds(adapter(0), 2), qt.IsTrue)
	c.Assert(l.Version(adapter(0)), qt.Equals, uint64(2))
}

// A runner crashes and starts again empty: it answers nothing that it held
// before, not even for its base model.
func TestEmptyRunnerGetsItsModelFirst(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := ggsresident.NewLedger(ggsresident.Options{Slots: 4})
	l.Sync(at(0), ggscore.InstanceStatus{})
	l.Want(at(0), adapter(1), 0)
	s := next(c, l, at(0))
	c.Assert(s, qt.DeepEquals, ggsresident.Step{Target: ggscore.ModelAdapter{Model: "m"}})
	l.Ended(at(0), s, ggscore.PlacementAccepted)
	_, ok := l.Next(at(time.Millisecond))
	c.Assert(ok, qt.IsFalse)
	l.Ended(at(time.Second), next(c, l, l.Due(at(0))), ggscore.PlacementHolds)
	c.Assert(l.Holds(ggscore.ModelAdapter{Model: "m"}, 0), qt.IsTrue)
}

func TestMisdirectedOrderAsksForTheReport(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := synced(2, 0)
	l.Want(at(0), adapter(1), 0)
	l.Ended(at(0), next(c, l, at(0)), ggscore.PlacementMisdirected)
	c.Assert(l.Synced(at(0)), qt.IsFalse)
}

// demand is a table of how much adapters are missed.
type demand map[ggscore.ModelAdapter]float64

func (d demand) Missed(_ time.Time, _ ggscore.EndpointID, a ggscore.ModelAdapter) float64 {
	return d[a]
}

// full returns the ledger of a runner whose places are all held by the first
// adapters, unused for a long time.
func full(d demand, n int) *ggsresident.Ledger {
	l := ggsresident.NewLedger(ggsresident.Options{Slots: n, Demand: d})
	m := ggscore.ResidentModel{Name: "m"}
	for i := range n {
		m.Adapters = append(m.Adapters, ggscore.ResidentVersion{Adapter: adapter(i).Adapter, Version: 1})
	}
	l.Sync(at(-time.Hour), ggscore.InstanceStatus{Models: []ggscore.ResidentModel{m}})
	return l
}

// An adapter that was asked for once, a second ago, is kept, and one that is asked
// for every five seconds is evicted for it: its callers wait for a load each time.
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

// A rare adapter's request ends, and its place stays taken for another half of a
// second, while callers wait for one. A popular adapter is asked for again before
// all VMs have told, so it keeps its place a little longer.
func TestReleasedAdapterMakesRoomAtOnce(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		rate  float64
		users []ggscore.VMID
		ended []ggscore.VMID
		room  int
	}{
		"rare, ended":              {0.1, []ggscore.VMID{"v1", "v2"}, []ggscore.VMID{"v1", "v2"}, 1},
		"rare, one is under way":   {0.1, []ggscore.VMID{"v1", "v2"}, []ggscore.VMID{"v2"}, 0},
		"rare, only loaded so far": {0.1, nil, nil, 0},
		"popular":                  {2, []ggscore.VMID{"v1"}, []ggscore.VMID{"v1"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			l := ggsresident.NewLedger(ggsresident.Options{Slots: 1, Demand: demand{adapter(0): tc.rate}})
			l.Sync(at(-time.Hour), ggscore.InstanceStatus{Models: []ggscore.ResidentModel{{Name: "m"}}})
			l.Want(at(-time.Second), adapter(0), 0)
			l.Ended(at(-time.Second), next(c, l, at(-time.Second)), ggscore.PlacementAccepted)
			l.Ended(at(0), next(c, l, at(0)), ggscore.PlacementHolds)
			_, ok := l.Next(at(0))
			c.Assert(ok, qt.IsFalse)
			for _, vm := range tc.users {
				l.Use(at(50*time.Millisecond), adapter(0), vm, true)
			}
			for _, vm := range tc.ended {
				l.Use(at(100*time.Millisecond), adapter(0), vm, false)
			}
			c.Assert(l.Room(at(110*time.Millisecond)), qt.Equals, tc.room)
			c.Assert(l.Room(at(2*time.Second)), qt.Equals, 1, qt.Commentf("no word for long"))
		})
	}
}

// A runner starts anew, and all that it held is wanted at once. Popular adapters
// waited behind rare ones that were asked for first, and requests piled up.
func TestPopularAdapterIsLoadedFirst(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := ggsresident.NewLedger(ggsresident.Options{Slots: 4, Demand: demand{adapter(5): 0.1, adapter(6): 8, adapter(7): 1}})
	l.Sync(at(0), ggscore.InstanceStatus{Models: []ggscore.ResidentModel{{Name: "m"}}})
	for _, a := range []int{5, 6, 7} {
		l.Want(at(0), adapter(a), 0)
	}
	for _, a := range []int{6, 7, 5} {
		s := next(c, l, at(0))
		c.Assert(s.Target, qt.Equals, adapter(a))
		l.Ended(at(0), s, ggscore.PlacementAccepted)
	}
}

// Three orders in ten get no answer. While a question for an adapter on its way
// waited for one, nothing else was loaded on the runner: half of the time.
func TestQuestionsGoBesideOrders(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := synced(4, 0)
	l.Want(at(0), adapter(1), 0)
	l.Ended(at(0), next(c, l, at(0)), ggscore.PlacementAccepted)
	question := next(c, l, at(300*time.Millisecond))
	c.Assert(question.Poll, qt.IsTrue)
	_, ok := l.Next(at(301 * time.Millisecond))
	c.Assert(ok, qt.IsFalse, qt.Commentf("asked twice at once"))
	l.Want(at(301*time.Millisecond), adapter(2), 0)
	s := next(c, l, at(301*time.Millisecond))
	c.Assert(s.Target, qt.Equals, adapter(2))
	l.Ended(at(302*time.Millisecond), s, ggscore.PlacementAccepted)

	l.Ended(at(325*time.Millisecond), question, ggscore.PlacementUnknown)
	question = next(c, l, at(325*time.Millisecond))
	c.Assert(question.Target, qt.Equals, adapter(1))
	// The order between broke the question's condition: the adapter has come.
	question.Expected--
	l.Ended(at(330*time.Millisecond), question, ggscore.PlacementConflict)
	c.Assert(l.Holds(adapter(1), 0), qt.IsTrue)
	c.Assert(l.Holds(adapter(2), 0), qt.IsFalse)
}

// A runner crashes, and its next process answers at the address under another
// identity while the entry of the one before stays on the list. Its VM asked for
// the report and gave an order in turn, 180 times a second.
func TestMovedEndpointIsLeftAlone(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := synced(4, 0)
	c.Assert(l.Moved(at(0)), qt.IsFalse)
	l.Want(at(0), adapter(1), 0)
	l.Ended(at(0), next(c, l, at(0)), ggscore.PlacementMisdirected)
	c.Assert(l.Moved(at(time.Second)), qt.IsTrue)
	c.Assert(l.Moved(at(2*time.Second)), qt.IsFalse)
}

// A VM's process is killed, and one of its orders is carried out seconds later. Its
// next process has an eviction repeated whose answer was lost; the runner refuses it,
// as it has accepted the late order. The eviction was taken for carried out, and the
// runner was ordered to load more adapters than it has places for, and crashed.
func TestRefusedRepeatFreesNoPlace(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := synced(2, 1)
	l.Want(at(0), adapter(8), 0)
	l.Ended(at(0), next(c, l, at(0)), ggscore.PlacementAccepted)
	l.Want(at(0), adapter(9), 0)
	s := next(c, l, at(time.Millisecond))
	c.Assert(s, qt.DeepEquals, ggsresident.Step{Unload: true, Target: adapter(0), Expected: 8})
	l.Ended(at(30*time.Millisecond), s, ggscore.PlacementUnknown)
	l.Ended(at(40*time.Millisecond), next(c, l, at(30*time.Millisecond)), ggscore.PlacementConflict)
	for now := at(40 * time.Millisecond); l.Synced(now); now = now.Add(10 * time.Millisecond) {
		s, ok := l.Next(now)
		c.Assert(ok && !s.Poll, qt.IsFalse, qt.Commentf("%+v", s))
		if ok {
			l.Ended(now, s, ggscore.PlacementAccepted)
		}
	}
}
