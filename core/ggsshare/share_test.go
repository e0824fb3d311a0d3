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
	// tickInterval is longer than the first waits between attempts to borrow.
	tickInterval = 400 * time.Millisecond
)

func limit() ggscore.LoadShare { return ggscore.LoadShare{LoadsPerSecond: 4, InTransit: 24} }

// A call is a call that a borrower made. It may take effect long after its answer was reported
// as lost.
type call struct {
	vm       int
	order    ggsshare.Order
	sent     time.Time
	renews   ggscore.LeaseID
	applied  bool
	answered bool
	result   ggsshare.Result
	rev      ggscore.StoreRevision
	list     []ggsshare.Record
}

// A fixture simulates borrowers and a platform with lost, delayed and reordered calls.
type fixture struct {
	now     time.Time
	plan    ggsshare.Plan
	rev     ggscore.StoreRevision
	records map[ggsshare.Unit]ggsshare.Record
	leases  map[ggscore.LeaseID]time.Time
	vms     []*ggsshare.Borrower
	held    []ggscore.LeaseID
	calls   []*call
}

func newFixture(l ggscore.LoadShare) *fixture {
	f := &fixture{
		now:     time.Unix(1_000_000, 0),
		plan:    ggsshare.NewPlan(l, groups),
		records: map[ggsshare.Unit]ggsshare.Record{},
		leases:  map[ggscore.LeaseID]time.Time{},
		held:    make([]ggscore.LeaseID, groups),
	}
	for i := range groups {
		s := ggsshare.NewBorrower(ggsshare.Options{Group: i, Seed: uint64(i)})
		s.SetPlan(f.now, f.plan)
		s.SetOwner(true)
		f.vms = append(f.vms, s)
		f.grant(i)
	}
	return f
}

// advance advances the time, and deletes expired leases and their records on the platform.
func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for l, expires := range f.leases {
		if !f.now.Before(expires) {
			delete(f.leases, l)
		}
	}
	for u, r := range f.records {
		if _, ok := f.leases[r.Lease]; !ok {
			delete(f.records, u)
		}
	}
}

func (f *fixture) grant(vm int) {
	f.rev++
	l := ggscore.LeaseID(f.rev)
	f.leases[l] = f.now.Add(ttl)
	f.held[vm] = l
	f.vms[vm].SetLease(ggsshare.Lease{ID: l, Expires: f.now.Add(ttl - margin)})
}

func (f *fixture) send(vm int, orders []ggsshare.Order) {
	for _, o := range orders {
		f.calls = append(f.calls, &call{vm: vm, order: o, sent: f.now})
	}
}

// apply executes a call on the platform.
func (f *fixture) apply(c *call) {
	if c.applied {
		return
	}
	c.applied = true
	c.result = ggsshare.ResultRefused
	if c.renews != 0 {
		if _, ok := f.leases[c.renews]; ok {
			f.leases[c.renews] = f.now.Add(ttl)
			c.result = ggsshare.ResultDone
		}
		return
	}
	switch c.order.Kind {
	case ggsshare.OrderList:
		for _, r := range f.records {
			c.list = append(c.list, r)
		}
	case ggsshare.OrderPut:
		_, live := f.leases[c.order.Lease]
		if !live || f.records[c.order.Unit].Revision != c.order.Prev {
			return
		}
		f.rev++
		c.rev = f.rev
		c.result = ggsshare.ResultDone
		f.records[c.order.Unit] = ggsshare.Record{Unit: c.order.Unit, Revision: f.rev, Lease: c.order.Lease}
	case ggsshare.OrderDelete:
		if f.records[c.order.Unit].Revision != c.order.Prev {
			return
		}
		c.result = ggsshare.ResultDone
		delete(f.records, c.order.Unit)
	}
}

// answer reports the result of a call to its borrower. If the call has not been applied, its
// answer counts as lost.
func (f *fixture) answer(c *call) {
	if c.answered {
		return
	}
	c.answered = true
	res := ggsshare.ResultUnknown
	if c.applied {
		res = c.result
	}
	s := f.vms[c.vm]
	switch {
	case c.renews != 0:
		if res == ggsshare.ResultDone && f.held[c.vm] == c.renews {
			s.SetLease(ggsshare.Lease{ID: c.renews, Expires: c.sent.Add(ttl - margin)})
		}
	case c.order.Kind == ggsshare.OrderList && c.applied:
		f.send(c.vm, s.Listed(f.now, c.list))
	case c.order.Kind == ggsshare.OrderList:
		s.ListFailed(f.now)
	case c.order.Kind == ggsshare.OrderPut:
		f.send(c.vm, s.PutEnded(f.now, c.order.Unit, c.order.Lease, c.rev, res))
	case c.order.Kind == ggsshare.OrderDelete:
		f.send(c.vm, s.DeleteEnded(f.now, c.order.Unit, res))
	}
}

// tick calls Tick of a borrower, and executes and answers its lists and puts immediately.
func (f *fixture) tick(vm int) {
	f.advance(tickInterval)
	f.send(vm, f.vms[vm].Tick(f.now))
	for i := 0; i < len(f.calls); i++ {
		c := f.calls[i]
		if c.vm == vm && c.order.Kind != ggsshare.OrderDelete {
			f.apply(c)
			f.answer(c)
		}
	}
}

// sum returns the sum of the shares that the borrowers report now.
func (f *fixture) sum() ggscore.LoadShare {
	total := ggscore.LoadShare{}
	for _, s := range f.vms {
		share := s.Share(f.now)
		total.InTransit += share.InTransit
		total.LoadsPerSecond += share.LoadsPerSecond
	}
	return total
}

// Guards against two VMs that hold one unit, so that more loads are in transit than the weight
// store serves at full speed. Causes are lost answers to writes, late writes, stale lists, pauses
// beyond a lease's expiry and changes of the plan, in any order.
func TestSumStaysWithinLimit(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		few := ggscore.LoadShare{LoadsPerSecond: 4, InTransit: 3}
		f := newFixture(few)
		for i := range groups {
			f.send(i, f.vms[i].SetDemand(f.now, 3))
		}
		pick := func(t *rapid.T) *call {
			f.calls = slices.DeleteFunc(f.calls, func(c *call) bool { return c.applied && c.answered })
			if len(f.calls) == 0 {
				t.Skip("no call")
			}
			return f.calls[rapid.IntRange(0, len(f.calls)-1).Draw(t, "call")]
		}
		vm := rapid.IntRange(0, groups-1)
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				f.advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"demand": func(t *rapid.T) {
				i := vm.Draw(t, "vm")
				f.send(i, f.vms[i].SetDemand(f.now, rapid.SampledFrom([]int{0, 3, 30}).Draw(t, "loads")))
			},
			"tick": func(t *rapid.T) {
				f.advance(tickInterval)
				i := vm.Draw(t, "vm")
				f.send(i, f.vms[i].Tick(f.now))
			},
			"talk without faults": func(t *rapid.T) { f.tick(vm.Draw(t, "vm")) },
			"fall idle": func(t *rapid.T) {
				i := vm.Draw(t, "vm")
				f.send(i, f.vms[i].SetDemand(f.now, 0))
				f.advance(2 * time.Second)
				f.send(i, f.vms[i].Tick(f.now))
				f.send(i, f.vms[i].SetDemand(f.now, 3))
			},
			"renew": func(t *rapid.T) {
				i := vm.Draw(t, "vm")
				f.calls = append(f.calls, &call{vm: i, sent: f.now, renews: f.held[i]})
			},
			"grant": func(t *rapid.T) { f.grant(vm.Draw(t, "vm")) },
			"reach": func(t *rapid.T) { f.apply(pick(t)) },
			"answer": func(t *rapid.T) {
				c := pick(t)
				f.apply(c)
				f.answer(c)
			},
			"lose the answer": func(t *rapid.T) { f.answer(pick(t)) },
			"": func(t *rapid.T) {
				total := f.sum()
				if total.InTransit > few.InTransit || total.LoadsPerSecond > few.LoadsPerSecond+1e-9 {
					t.Fatalf("shares sum up to %+v", total)
				}
			},
		})
	})
}

// run advances the time by d on a platform without faults, with a tick every 100 ms.
func (f *fixture) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.advance(100 * time.Millisecond)
		for i, s := range f.vms {
			f.vms[i].SetLease(ggsshare.Lease{ID: f.held[i], Expires: f.now.Add(ttl - margin)})
			f.leases[f.held[i]] = f.now.Add(ttl)
			f.send(i, s.Tick(f.now))
		}
		for len(f.calls) > 0 {
			c := f.calls[0]
			f.calls = f.calls[1:]
			f.apply(c)
			f.answer(c)
		}
	}
}

func TestBusyGroupBorrowsAndReleases(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFixture(limit())
	c.Check(f.vms[0].Share(f.now).InTransit, qt.Equals, 2)
	f.send(0, f.vms[0].SetDemand(f.now, 100))
	f.run(2 * time.Second)
	c.Check(f.vms[0].Share(f.now).InTransit, qt.Equals, 20)
	f.send(0, f.vms[0].SetDemand(f.now, 0))
	f.run(3 * time.Second)
	c.Check(f.vms[0].Share(f.now).InTransit, qt.Equals, 2)
	c.Check(f.records, qt.HasLen, 0)
}

// Guards against starvation: one domain starts with no adapters loaded and borrows all units for
// minutes, while the callers of another domain wait for its two static units.
func TestBusyGroupSharesUnits(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFixture(limit())
	f.send(0, f.vms[0].SetDemand(f.now, 100))
	f.run(2 * time.Second)
	f.send(1, f.vms[1].SetDemand(f.now, 4))
	f.run(60 * time.Second)
	c.Check(f.vms[1].Share(f.now).InTransit, qt.Equals, 4)
	c.Check(f.vms[0].Share(f.now).InTransit, qt.Equals, 18)
}

// Guards against a unit that no group can borrow any more: the delete of its record was lost, and
// the record's lease is renewed indefinitely.
func TestLostDeleteIsRepeated(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFixture(limit())
	f.send(0, f.vms[0].SetDemand(f.now, 3))
	f.run(2 * time.Second)
	c.Assert(f.records, qt.HasLen, 1)
	f.advance(time.Second)
	f.send(0, f.vms[0].SetDemand(f.now, 0))
	f.advance(3 * time.Second)
	f.send(0, f.vms[0].Tick(f.now))
	deletes := f.calls
	f.calls = nil
	for _, l := range deletes {
		f.answer(l)
	}
	c.Assert(f.records, qt.HasLen, 1)
	f.run(5 * time.Second)
	c.Check(f.records, qt.HasLen, 0)
}

// Guards against a domain that can't load any adapter while the platform is unreachable, although
// the weight store is reachable.
func TestOwnerKeepsStaticUnitsWithoutPlatform(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFixture(limit())
	f.send(0, f.vms[0].SetDemand(f.now, 100))
	f.run(2 * time.Second)
	f.advance(ttl)
	c.Check(f.vms[0].Share(f.now).InTransit, qt.Equals, 2)
	f.vms[0].SetOwner(false)
	c.Check(f.vms[0].Share(f.now).InTransit, qt.Equals, 0)
}

// Guards against two groups that use the same units after a change of plan which one group receives
// ten seconds before the other.
func TestPlanGrowsAfterDelay(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFixture(limit())
	larger := limit()
	larger.InTransit = 48
	f.vms[0].SetPlan(f.now, ggsshare.NewPlan(larger, groups))
	c.Check(f.vms[0].Share(f.now).InTransit, qt.Equals, 2)
	f.run(16 * time.Second)
	c.Check(f.vms[0].Share(f.now).InTransit, qt.Equals, 4)
	f.vms[0].SetPlan(f.now, ggsshare.NewPlan(limit(), 2*groups))
	c.Check(f.vms[0].Share(f.now).InTransit, qt.Equals, 1)
}

func TestPlanUnitsAddUpToLimit(t *testing.T) {
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

// Guards against two holders of a unit after late deletes: a group releases units, the deletes time
// out, the group lists its old records and uses them again, the deletes take effect, and another
// group borrows the units.
func TestLateDeleteCausesNoSecondHolder(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	few := ggscore.LoadShare{LoadsPerSecond: 4, InTransit: 3}
	f := newFixture(few)
	f.send(0, f.vms[0].SetDemand(f.now, 3))
	f.tick(0)
	c.Assert(f.vms[0].Share(f.now), qt.Equals, few)
	f.vms[0].SetDemand(f.now, 0)
	f.advance(2 * time.Second)
	f.send(0, f.vms[0].Tick(f.now))
	deletes := slices.Clone(f.calls)
	for _, l := range deletes {
		f.answer(l)
	}
	f.vms[0].SetDemand(f.now, 3)
	f.tick(0)
	for _, l := range deletes {
		f.apply(l)
	}
	f.send(1, f.vms[1].SetDemand(f.now, 3))
	f.tick(1)
	c.Check(f.sum().InTransit <= few.InTransit, qt.IsTrue, qt.Commentf("%+v", f.sum()))
	c.Check(f.vms[1].Share(f.now).InTransit > 0, qt.IsTrue)
}
