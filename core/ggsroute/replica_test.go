package ggsroute_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsroute"
)

// groups is the number of groups that hold the busy adapter.
const groups = 8

// A busy is one router before groups that all hold one adapter.
type busy struct {
	router *ggsroute.Router
	seq    uint64
	now    time.Duration
	// running are the requests in flight, in the order in which they end.
	running []sent
}

// A sent is a request that keeps its slot until ends.
type sent struct {
	choice ggsroute.Choice
	ends   time.Duration
}

// end ends the requests that are due.
func (b *busy) end() {
	for len(b.running) > 0 && b.running[0].ends <= b.now {
		b.router.Ended(at(b.now), b.running[0].choice, ggsroute.End{Held: time.Second})
		b.running = b.running[1:]
	}
}

func newBusy() *busy {
	b := &busy{router: ggsroute.New(ggsroute.Options{Region: "central", Seed: 1, Hold: time.Second})}
	b.tell()
	return b
}

// tell gives the router idle summaries of groups that hold the adapter.
func (b *busy) tell() {
	b.seq++
	for g := range groups {
		s := summary(fmt.Sprintf("vm-%d", g), b.seq)
		s.Runners[0].Resident = []ggscore.AdapterRef{adapterRef()}
		b.router.Update(at(b.now), s)
	}
}

// second sends requests evenly over a second and returns where they went.
func (b *busy) second(c *qt.C, requests int) map[ggscore.VMID]int {
	went := map[ggscore.VMID]int{}
	b.tell()
	for range requests {
		b.end()
		choice, err := b.router.Route(at(b.now), request(), nil)
		c.Assert(err, qt.IsNil)
		b.router.Sent(at(b.now), choice)
		b.running = append(b.running, sent{choice: choice, ends: b.now + time.Second})
		went[choice.VM]++
		b.now += time.Second / time.Duration(requests)
	}
	return went
}

// Yesterday's rare adapter is tonight's busiest: with one home, its callers
// queue while other groups' batches run half empty. In the morning its replicas
// still fill slots that the day's adapters must be loaded into.
func TestReplicasFollowTheRate(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBusy()
	quiet := b.second(c, 2)
	c.Check(quiet, qt.HasLen, 1)
	var hot map[ggscore.VMID]int
	for range 60 {
		hot = b.second(c, 60)
	}
	c.Check(len(hot) >= 4 && len(hot) <= 6, qt.IsTrue, qt.Commentf("%v", hot))
	for vm := range quiet {
		c.Check(hot[vm] > 0, qt.IsTrue)
	}
	var after map[ggscore.VMID]int
	for range 60 {
		after = b.second(c, 2)
	}
	c.Check(after, qt.DeepEquals, quiet)
}

// An adapter's rate hovers about the point where one more replica is wanted.
// It is loaded and evicted in turn, and every load delays another adapter's.
func TestReplicasDoNotFlap(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBusy()
	changes, last := 0, 0
	for i := range 300 {
		rate := 44
		if i/15%2 == 0 {
			rate = 34
		}
		n := len(b.second(c, rate))
		if i >= 60 && n != last {
			changes++
		}
		last = n
	}
	c.Check(changes <= 1, qt.IsTrue, qt.Commentf("%d changes of the number of homes", changes))
}

// A busy home takes every new adapter that hashes to it, while its neighbours
// idle: its callers queue for slots.
func TestOverloadedHomeIsPassedOver(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := newRouter(c, "b", "d")
	full := summary("a", 1)
	for i := range full.Runners {
		full.Runners[i].Running = 7
	}
	r.Update(at(0), full)
	for i := range 200 {
		ref := ggscore.AdapterRef{Name: fmt.Sprintf("adapter-%d", i)}
		choice, err := r.Route(at(0), &ggscore.Request{Service: service, Adapter: ref}, nil)
		c.Assert(err, qt.IsNil)
		c.Check(choice.VM, qt.Not(qt.Equals), ggscore.VMID("a"))
	}
}

// A VM is replaced and another takes its runners over. If every adapter's home
// moved with it, all would be loaded anew elsewhere.
func TestHomesStayWhenADispatcherIsReplaced(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	before, after := newRouter(c, "a", "b", "d"), newRouter(c, "a", "b")
	successor := summary("d", 1)
	successor.VM = "successor"
	after.Update(at(0), successor)
	homes := map[ggscore.VMID]int{}
	for i := range 300 {
		req := &ggscore.Request{Service: service, Adapter: ggscore.AdapterRef{Name: fmt.Sprintf("adapter-%d", i)}}
		x, err := before.Route(at(0), req, nil)
		c.Assert(err, qt.IsNil)
		y, err := after.Route(at(0), req, nil)
		c.Assert(err, qt.IsNil)
		if y.VM == "successor" {
			y.VM = "d"
		}
		c.Check(y.VM, qt.Equals, x.VM)
		homes[x.VM]++
	}
	for vm, n := range homes {
		c.Check(n > 70 && n < 130, qt.IsTrue, qt.Commentf("%s is home of %d of 300", vm, n))
	}
}
