package ggsroute_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsroute"
)

// adapterRefs returns the references of n adapters.
func adapterRefs(n int) []ggscore.AdapterRef {
	refs := make([]ggscore.AdapterRef, n)
	for i := range refs {
		refs[i] = ggscore.AdapterRef{Name: fmt.Sprintf("adapter-%d", i), Version: "v1"}
	}
	return refs
}

// placeAdapters draws the runners where each adapter is resident or loading.
func placeAdapters(t *rapid.T, s *ggscore.DispatcherSummary, refs []ggscore.AdapterRef) {
	for i := range s.Runners {
		for _, a := range refs {
			switch rapid.IntRange(0, 9).Draw(t, "state") {
			case 0:
				s.Runners[i].Resident = append(s.Runners[i].Resident, a)
			case 1:
				s.Runners[i].Loading = append(s.Runners[i].Loading, a)
			}
		}
	}
}

// Guards against a gateway that misses a change, or keeps the older state of a lagging relay, so
// that its callers wait for loads of resident adapters. After reading two up-to-date relays, it
// must choose as if it had read each summary itself.
func TestBoardsMatchSummaries(t *testing.T) {
	t.Parallel()
	refs := adapterRefs(4)
	vms := []string{"a", "b"}
	relays := []string{"one", "two"}
	rapid.Check(t, func(t *rapid.T) {
		reader := ggsroute.New(ggsroute.Options{Region: "central", Seed: 1})
		boards := map[string]*ggsroute.Board{}
		own := map[string]*ggsroute.Board{}
		last := map[string]*ggscore.DispatcherSummary{}
		for _, name := range relays {
			boards[name] = ggsroute.NewBoard(name, time.Minute)
		}
		put := func(vm, incarnation string, seq int) {
			if own[vm] == nil || last[vm].Incarnation != incarnation {
				own[vm] = ggsroute.NewBoard(vm+incarnation, time.Minute)
			}
			s := summary(vm, uint64(seq))
			s.Incarnation = incarnation
			placeAdapters(t, s, refs)
			last[vm] = s
			own[vm].Put(at(0), s)
		}
		merge := func(name, vm string) {
			c := own[vm].Since(at(0), boards[name].Version(vm+last[vm].Incarnation), ggsroute.ViewWhole)
			if !boards[name].Merge(at(0), &c) {
				t.Fatalf("relay refused changes since version %d", c.From)
			}
		}
		read := func(name string) {
			c := boards[name].Since(at(0), reader.Version(name), ggsroute.ViewWhole)
			if !reader.Apply(at(0), &c) {
				t.Fatalf("reader refused changes since version %d", c.From)
			}
		}
		for _, vm := range vms {
			put(vm, "i00", 1)
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "events") {
			vm := rapid.SampledFrom(vms).Draw(t, "vm")
			relay := rapid.SampledFrom(relays).Draw(t, "relay")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				put(vm, fmt.Sprintf("i%02d", i+1), 1)
			case 1, 2, 3:
				put(vm, last[vm].Incarnation, i+2)
			case 4, 5, 6:
				merge(relay, vm)
			default:
				read(relay)
			}
		}
		direct := ggsroute.New(ggsroute.Options{Region: "central", Seed: 1})
		for _, vm := range vms {
			direct.Update(at(0), last[vm])
			merge("one", vm)
			merge("two", vm)
		}
		read(rapid.SampledFrom(relays).Draw(t, "last"))
		for _, a := range refs {
			req := &ggscore.Request{Service: service, Adapter: a}
			want, _ := direct.Route(at(0), req, nil)
			got, err := reader.Route(at(0), req, nil)
			if err != nil || got.VM != want.VM || got.Reason != want.Reason || got.Stall != want.Stall {
				t.Fatalf("%s: chose %s (%s), want %s (%s)", a, got.VM, got.Reason, want.VM, want.Reason)
			}
		}
	})
}

// Guards against requests to a failed dispatcher, because a relay still answers and the gateway
// regards all of that relay's dispatchers as alive.
func TestBoardMarksDispatchersWithoutSummariesAsGone(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := ggsroute.NewBoard("one", 3*time.Second)
	r := ggsroute.New(ggsroute.Options{Region: "central", Seed: 1})
	b.Put(at(0), summary("a", 1))
	whole := b.Since(at(0), 0, ggsroute.ViewWhole)
	c.Assert(r.Apply(at(0), &whole), qt.IsTrue)
	for s := range 4 {
		now := at(time.Duration(s) * time.Second)
		more := b.Since(now, r.Version("one"), ggsroute.ViewWhole)
		c.Assert(r.Apply(now, &more), qt.IsTrue)
	}
	_, err := r.Route(at(3*time.Second), request(), nil)
	c.Check(err, qt.IsNotNil)
	b.Put(at(4*time.Second), summary("a", 2))
	back := b.Since(at(4*time.Second), r.Version("one"), ggsroute.ViewWhole)
	c.Assert(r.Apply(at(4*time.Second), &back), qt.IsTrue)
	_, err = r.Route(at(4*time.Second), request(), nil)
	c.Check(err, qt.IsNil)
}

// Guards against changes that are missing permanently: a relay's answer is lost, and the gateway
// applies the next answer, which starts at the lost version.
func TestChangesAfterLostOnesAreRefused(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := ggsroute.NewBoard("one", time.Minute)
	r := ggsroute.New(ggsroute.Options{Region: "central", Seed: 1})
	b.Put(at(0), summary("a", 1))
	lost := b.Since(at(0), 0, ggsroute.ViewWhole)
	b.Put(at(0), summary("b", 1))
	next := b.Since(at(0), lost.To, ggsroute.ViewWhole)
	c.Check(r.Apply(at(0), &next), qt.IsFalse)
	whole := b.Since(at(0), r.Version("one"), ggsroute.ViewWhole)
	c.Check(r.Apply(at(0), &whole), qt.IsTrue)
	c.Check(whole.Groups, qt.HasLen, 2)
	c.Check(b.Since(at(0), whole.To, ggsroute.ViewWhole).Groups, qt.HasLen, 0)
}

// Guards against a slow reader that continues to route to an evicted adapter's former
// dispatcher, because the relay deleted the tombstone before the reader received it.
func TestSlowReaderGetsWholeEntry(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	refs := adapterRefs(2000)
	b := ggsroute.NewBoard("one", time.Minute)
	s := summary("a", 1)
	s.Runners[0].Resident = refs[:4]
	b.Put(at(0), s)
	first := b.Since(at(0), 0, ggsroute.ViewWhole)
	for i := range 400 {
		s := summary("a", uint64(i+2))
		s.Runners[0].Resident = refs[4*i+4 : 4*i+8]
		b.Put(at(0), s)
	}
	late := b.Since(at(0), first.To, ggsroute.ViewWhole)
	c.Assert(late.Groups, qt.HasLen, 1)
	c.Check(late.Groups[0].Identity, qt.IsNotNil)
	c.Check(late.Groups[0].Pools[0].Held, qt.HasLen, 4)
	loads := b.Since(at(0), first.To, ggsroute.ViewLoads)
	c.Check(loads.Groups[0].Pools[0].Held, qt.HasLen, 0)
}
