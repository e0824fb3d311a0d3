package ggsshare_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsshare"
)

const (
	groups = 3
	ttl    = 10 * time.Second
	margin = time.Second
	// maxWait is longer than the first waits between attempts to borrow.
	maxWait = 400 * time.Millisecond
)

func limit() ggscore.LoadShare { return ggscore.LoadShare{LoadsPerSecond: 4, InTransit: 24} }

// A call is one that a borrower made. It may be applied long after the
// borrower was told that its answer is lost.
type call struct {
	vm      int
	order   ggsshare.Order
	sent    time.Time
	renews  ggscore.LeaseID
	applied bool
	lost    bool
	result  ggsshare.Result
	rev     ggscore.StoreRevision
	list    []ggsshare.Record
}

// A world is some borrowers before a platform that loses, delays and reorders.
type world struct {
	now     time.Time
	plan    ggsshare.Plan
	rev     ggscore.StoreRevision
	records map[ggsshare.Unit]ggsshare.Record
	leases  map[ggscore.LeaseID]time.Time
	vms     []*ggsshare.State
	held    []ggscore.LeaseID
	calls   []*call
}

func newWorld(l ggscore.LoadShare) *world {
	w := &world{
		now:     time.Unix(1_000_000, 0),
		plan:    ggsshare.NewPlan(l, groups),
		records: map[ggsshare.Unit]ggsshare.Record{},
		leases:  map[ggscore.LeaseID]time.Time{},
		held:    make([]ggscore.LeaseID, groups),
	}
	for i := range groups {
		s := ggsshare.New(ggsshare.Options{Group: i, Seed: uint64(i)})
		s.SetPlan(w.now, w.plan)
		s.SetOwner(true)
		w.vms = append(w.vms, s)
		w.grant(i)
	}
	return w
}

// advance moves the time; what lapses on the platform vanishes.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for l, expires := range w.leases {
		if !w.now.Before(expires) {
			delete(w.leases, l)
		}
	}
	for u, r := range w.records {
		if _, ok := w.leases[r.Lease]; !ok {
			delete(w.records, u)
		}
	}
}

func (w *world) grant(vm int) {
	w.rev++
	l := ggscore.LeaseID(w.rev)
	w.leases[l] = w.now.Add(ttl)
	w.held[vm] = l
	w.vms[vm].SetLease(ggsshare.Lease{ID: l, Expires: w.now.Add(ttl - margin)})
}

func (w *world) send(vm int, orders []ggsshare.Order) {
	for _, o := range orders {
		w.calls = append(w.calls, &call{vm: vm, order: o, sent: w.now})
	}
}

// apply gives a call its effect on the platform.
func (w *world) apply(c *call) {
	if c.applied {
		return
	}
	c.applied = true
	c.result = ggsshare.ResultRefused
	if c.renews != 0 {
		if _, ok := w.leases[c.renews]; ok {
			w.leases[c.renews] = w.now.Add(ttl)
			c.result = ggsshare.ResultDone
		}
		return
	}
	switch c.order.Kind {
	case ggsshare.OrderList:
		for _, r := range w.records {
			c.list = append(c.list, r)
		}
	case ggsshare.OrderPut:
		_, live := w.leases[c.order.Lease]
		if !live || w.records[c.order.Unit].Revision != c.order.Prev {
			return
		}
		w.rev++
		c.rev = w.rev
		c.result = ggsshare.ResultDone
		w.records[c.order.Unit] = ggsshare.Record{Unit: c.order.Unit, Revision: w.rev, Lease: c.order.Lease}
	case ggsshare.OrderDelete:
		if w.records[c.order.Unit].Revision != c.order.Prev {
			return
		}
		c.result = ggsshare.ResultDone
		delete(w.records, c.order.Unit)
	}
}

// answer tells the borrower the end of a call: what became of it, or that its
// answer is lost.
func (w *world) answer(c *call) {
	if c.lost {
		return
	}
	c.lost = true
	res := ggsshare.ResultUnknown
	if c.applied {
		res = c.result
	}
	s := w.vms[c.vm]
	switch {
	case c.renews != 0:
		if res == ggsshare.ResultDone && w.held[c.vm] == c.renews {
			s.SetLease(ggsshare.Lease{ID: c.renews, Expires: c.sent.Add(ttl - margin)})
		}
	case c.order.Kind == ggsshare.OrderList && c.applied:
		w.send(c.vm, s.Listed(w.now, c.list))
	case c.order.Kind == ggsshare.OrderList:
		s.ListFailed(w.now)
	case c.order.Kind == ggsshare.OrderPut:
		w.send(c.vm, s.PutEnded(w.now, c.order.Unit, c.order.Lease, c.rev, res))
	case c.order.Kind == ggsshare.OrderDelete:
		w.send(c.vm, s.DeleteEnded(w.now, c.order.Unit, res))
	}
}

// talk lets a borrower tick, and answers its lists and puts at once.
func (w *world) talk(vm int) {
	w.advance(maxWait)
	w.send(vm, w.vms[vm].Tick(w.now))
	for i := 0; i < len(w.calls); i++ {
		c := w.calls[i]
		if c.vm == vm && c.order.Kind != ggsshare.OrderDelete {
			w.apply(c)
			w.answer(c)
		}
	}
}

// sum returns the shares of all borrowers as each sees its own now.
func (w *world) sum() ggscore.LoadShare {
	total := ggscore.LoadShare{}
	for _, s := range w.vms {
		share := s.Share(w.now)
		total.InTransit += share.InTransit
		total.LoadsPerSecond += share.LoadsPerSecond
	}
	return total
}

// Loads slow down for everyone: two VMs each believe that a unit is theirs,
// and more loads are in transit than the weight store takes at full speed. The
// causes are lost answers to writes, writes that take effect late, old lists,
// pauses past a lease and changes of the plan, in any order.
func TestSumNeverPassesTheLimit(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		few := ggscore.LoadShare{LoadsPerSecond: 4, InTransit: 3}
		w := newWorld(few)
		for i := range groups {
			w.send(i, w.vms[i].SetDemand(w.now, 3))
		}
		pick := func(t *rapid.T) *call {
			w.calls = slices.DeleteFunc(w.calls, func(c *call) bool { return c.applied && c.lost })
			if len(w.calls) == 0 {
				t.Skip("no call")
			}
			return w.calls[rapid.IntRange(0, len(w.calls)-1).Draw(t, "call")]
		}
		vm := rapid.IntRange(0, groups-1)
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"demand": func(t *rapid.T) {
				i := vm.Draw(t, "vm")
				w.send(i, w.vms[i].SetDemand(w.now, rapid.SampledFrom([]int{0, 3, 30}).Draw(t, "loads")))
			},
			"tick": func(t *rapid.T) {
				w.advance(maxWait)
				i := vm.Draw(t, "vm")
				w.send(i, w.vms[i].Tick(w.now))
			},
			"talk without faults": func(t *rapid.T) { w.talk(vm.Draw(t, "vm")) },
			"fall idle": func(t *rapid.T) {
				i := vm.Draw(t, "vm")
				w.send(i, w.vms[i].SetDemand(w.now, 0))
				w.advance(2 * time.Second)
				w.send(i, w.vms[i].Tick(w.now))
				w.send(i, w.vms[i].SetDemand(w.now, 3))
			},
			"renew": func(t *rapid.T) {
				i := vm.Draw(t, "vm")
				w.calls = append(w.calls, &call{vm: i, sent: w.now, renews: w.held[i]})
			},
			"grant": func(t *rapid.T) { w.grant(vm.Draw(t, "vm")) },
			"reach": func(t *rapid.T) { w.apply(pick(t)) },
			"answer": func(t *rapid.T) {
				c := pick(t)
				w.apply(c)
				w.answer(c)
			},
			"lose the answer": func(t *rapid.T) { w.answer(pick(t)) },
			"": func(t *rapid.T) {
				total := w.sum()
				if total.InTransit > few.InTransit || total.LoadsPerSecond > few.LoadsPerSecond+1e-9 {
					t.Fatalf("shares sum up to %+v", total)
				}
			},
		})
	})
}

// run lets d pass on a platform without faults, with a tick every 100 ms.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.advance(100 * time.Millisecond)
		for i, s := range w.vms {
			w.vms[i].SetLease(ggsshare.Lease{ID: w.held[i], Expires: w.now.Add(ttl - margin)})
			w.leases[w.held[i]] = w.now.Add(ttl)
			w.send(i, s.Tick(w.now))
		}
		for len(w.calls) > 0 {
			c := w.calls[0]
			w.calls = w.calls[1:]
			w.apply(c)
			w.answer(c)
		}
	}
}

func TestBusyGroupBorrowsAndGivesBack(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(limit())
	c.Check(w.vms[0].Share(w.now).InTransit, qt.Equals, 2)
	w.send(0, w.vms[0].SetDemand(w.now, 100))
	w.run(2 * time.Second)
	c.Check(w.vms[0].Share(w.now).InTransit, qt.Equals, 20)
	w.send(0, w.vms[0].SetDemand(w.now, 0))
	w.run(3 * time.Second)
	c.Check(w.vms[0].Share(w.now).InTransit, qt.Equals, 2)
	c.Check(w.records, qt.HasLen, 0)
}

// One domain's runners start cold and borrow all units for minutes. Another
// domain's callers wait for one load each, behind its two own units.
func TestBusyGroupTakesTurnsWithOthers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(limit())
	w.send(0, w.vms[0].SetDemand(w.now, 100))
	w.run(2 * time.Second)
	w.send(1, w.vms[1].SetDemand(w.now, 4))
	w.run(60 * time.Second)
	c.Check(w.vms[1].Share(w.now).InTransit, qt.Equals, 4)
	c.Check(w.vms[0].Share(w.now).InTransit, qt.Equals, 18)
}

// A delete's answer is lost and so is the delete. The unit's record stays
// under a lease that is renewed for ever, and no group can borrow it.
func TestLostDeleteIsRepeated(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(limit())
	w.send(0, w.vms[0].SetDemand(w.now, 3))
	w.run(2 * time.Second)
	c.Assert(w.records, qt.HasLen, 1)
	w.advance(time.Second)
	w.send(0, w.vms[0].SetDemand(w.now, 0))
	w.advance(3 * time.Second)
	w.send(0, w.vms[0].Tick(w.now))
	lost := w.calls
	w.calls = nil
	for _, l := range lost {
		w.answer(l)
	}
	c.Assert(w.records, qt.HasLen, 1)
	w.run(5 * time.Second)
	c.Check(w.records, qt.HasLen, 0)
}

// A domain is cut off from the platform for an hour. Its runners' adapters
// can't be changed at all, though the weight store is within reach.
func TestOwnerKeepsItsStaticShareWhenCutOff(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(limit())
	w.send(0, w.vms[0].SetDemand(w.now, 100))
	w.run(2 * time.Second)
	w.advance(ttl)
	c.Check(w.vms[0].Share(w.now).InTransit, qt.Equals, 2)
	w.vms[0].SetOwner(false)
	c.Check(w.vms[0].Share(w.now).InTransit, qt.Equals, 0)
}

// Operators raise the number of groups. One group hears at once, the other ten
// seconds later, and for those both use what the first was given.
func TestPlanGrowsAfterItHasSettled(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(limit())
	larger := limit()
	larger.InTransit = 48
	w.vms[0].SetPlan(w.now, ggsshare.NewPlan(larger, groups))
	c.Check(w.vms[0].Share(w.now).InTransit, qt.Equals, 2)
	w.run(16 * time.Second)
	c.Check(w.vms[0].Share(w.now).InTransit, qt.Equals, 4)
	w.vms[0].SetPlan(w.now, ggsshare.NewPlan(limit(), 2*groups))
	c.Check(w.vms[0].Share(w.now).InTransit, qt.Equals, 1)
}

func TestPlanSumsUpToTheLimit(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 400).Draw(t, "groups")
		l := ggscore.LoadShare{LoadsPerSecond: 4, InTransit: rapid.IntRange(0, 500).Draw(t, "inTransit")}
		p := ggsshare.NewPlan(l, n)
		sum := p.Borrowed()
		for g := -1; g <= n; g++ {
			sum += p.Static(g)
		}
		if sum != l.InTransit || p.Borrowed() < 0 {
			t.Fatalf("%d units of %d", sum, l.InTransit)
		}
	})
}

// A group gives its units up; the platform is slow, and the answers are given
// up on. The group wants units again, finds its records and uses them. Then the
// deletes take effect, another group borrows the units, and both load.
func TestLateDeleteLeavesNoUnitWithTwoHolders(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	few := ggscore.LoadShare{LoadsPerSecond: 4, InTransit: 3}
	w := newWorld(few)
	w.send(0, w.vms[0].SetDemand(w.now, 3))
	w.talk(0)
	c.Assert(w.vms[0].Share(w.now), qt.Equals, few)
	w.vms[0].SetDemand(w.now, 0)
	w.advance(2 * time.Second)
	w.send(0, w.vms[0].Tick(w.now))
	late := slices.Clone(w.calls)
	for _, l := range late {
		w.answer(l)
	}
	w.vms[0].SetDemand(w.now, 3)
	w.talk(0)
	for _, l := range late {
		w.apply(l)
	}
	w.send(1, w.vms[1].SetDemand(w.now, 3))
	w.talk(1)
	c.Check(w.sum().InTransit <= few.InTransit, qt.IsTrue, qt.Commentf("%+v", w.sum()))
	c.Check(w.vms[1].Share(w.now).InTransit > 0, qt.IsTrue)
}
