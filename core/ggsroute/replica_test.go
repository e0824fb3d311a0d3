package ggsroute_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsroute"
)

// dispatchers is the number of dispatchers where the busy adapter is resident.
const dispatchers = 8

// A testbed is one router with dispatchers that all have one adapter resident.
type testbed struct {
	router *ggsroute.Router
	seq    uint64
	now    time.Duration
	// requests are the requests in flight, in the order in which they end.
	requests []inFlight
}

// An inFlight is a request that holds its slot until ends.
type inFlight struct {
	choice ggsroute.Choice
	ends   time.Duration
}

// endDue ends the requests whose end time has passed.
func (b *testbed) endDue() {
	for len(b.requests) > 0 && b.requests[0].ends <= b.now {
		b.router.Ended(at(b.now), b.requests[0].choice, ggsroute.End{Held: time.Second})
		b.requests = b.requests[1:]
	}
}

func newTestbed() *testbed {
	b := &testbed{router: ggsroute.New(ggsroute.Options{Region: "central", Seed: 1, Hold: time.Second})}
	b.publish()
	return b
}

// publish gives the router idle summaries of dispatchers where the adapter is
// resident.
func (b *testbed) publish() {
	b.seq++
	for g := range dispatchers {
		s := summary(fmt.Sprintf("vm-%d", g), b.seq)
		s.Runners[0].Resident = []ggscore.AdapterRef{adapterRef()}
		b.router.Update(at(b.now), s)
	}
}

// runSecond sends requests evenly over a second and returns their number by VM.
func (b *testbed) runSecond(c *qt.C, rate int) map[ggscore.VMID]int {
	counts := map[ggscore.VMID]int{}
	b.publish()
	for range rate {
		b.endDue()
		choice, err := b.router.Route(at(b.now), request(), nil)
		c.Assert(err, qt.IsNil)
		b.router.Sent(at(b.now), choice)
		b.requests = append(b.requests, inFlight{choice: choice, ends: b.now + time.Second})
		counts[choice.VM]++
		b.now += time.Second / time.Duration(rate)
	}
	return counts
}

// Guards against a rare adapter that becomes the busiest but keeps one home: its callers would
// queue while other dispatchers have free slots. After the peak, replicas that stayed would
// occupy adapter slots that other adapters need.
func TestReplicasFollowTheRate(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestbed()
	quiet := b.runSecond(c, 2)
	c.Check(quiet, qt.HasLen, 1)
	var hot map[ggscore.VMID]int
	for range 60 {
		hot = b.runSecond(c, 60)
	}
	c.Check(len(hot) >= 4 && len(hot) <= 6, qt.IsTrue, qt.Commentf("%v", hot))
	for vm := range quiet {
		c.Check(hot[vm] > 0, qt.IsTrue)
	}
	var after map[ggscore.VMID]int
	for range 60 {
		after = b.runSecond(c, 2)
	}
	c.Check(after, qt.DeepEquals, quiet)
}

// Guards against a replica that is loaded and evicted alternately because its adapter's rate
// varies around the threshold for one more replica. Each load would delay loads of other
// adapters.
func TestReplicaCountHasHysteresis(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestbed()
	changes, last := 0, 0
	for i := range 300 {
		rate := 44
		if i/15%2 == 0 {
			rate = 34
		}
		n := len(b.runSecond(c, rate))
		if i >= 60 && n != last {
			changes++
		}
		last = n
	}
	c.Check(changes <= 1, qt.IsTrue, qt.Commentf("%d changes of the number of homes", changes))
}

// Guards against an overloaded home that receives every new adapter that hashes to it, so that
// callers queue for slots while other dispatchers are idle.
func TestOverloadedHomeIsSkipped(t *testing.T) {
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

// Guards against loading all adapters of a VM's runners again elsewhere when another VM takes
// these runners over. Homes must depend on the runners only.
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
