package ggsschedule_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsschedule"
)

// A load is a scheduler under steady load, with the request that runs longest.
type load struct {
	s        *ggsschedule.Scheduler
	now      time.Time
	requests []*ggscore.Request
	free     []int
	running  []int
	loading  []ggscore.Order
	reported time.Time
}

// newLoad returns a scheduler with runners and adapters that it has seen.
func newLoad(runners, adapters int, zipf bool) *load {
	l := &load{s: ggsschedule.New(ggsschedule.Options{Seed: 1}), now: epoch()}
	l.s.SetLoadShare(l.now, ggscore.LoadShare{LoadsPerSecond: 4, InTransit: 3})
	for i := range runners {
		e := runner(fmt.Sprintf("r%d", i))
		e.Slots, e.AdapterSlots = 16, 16
		l.s.SetEndpoint(l.now, e, ggscore.ModeFull)
		l.s.Report(l.now, report(string(e.ID), "one", l.now))
	}
	r := rand.New(rand.NewPCG(1, 1))
	z := newZipf(adapters)
	for i := range adapters {
		l.requests = append(l.requests, request(fmt.Sprintf("q%d", i), fmt.Sprintf("a%d", i)))
		l.requests[i].Budget = 2 * time.Second
		l.now = l.now.Add(time.Millisecond)
		l.carryOut(l.s.Submit(l.now, l.requests[i]))
		l.endOldest(8 * runners)
	}
	l.free = l.free[:0]
	for range 1 << 16 {
		i := r.IntN(adapters)
		if zipf {
			i = z.pick(r)
		}
		l.free = append(l.free, i)
	}
	return l
}

// carryOut follows the scheduler's orders.
func (l *load) carryOut(orders []ggscore.Order) {
	for _, o := range orders {
		switch o.Kind {
		case ggscore.OrderDispatch:
			var i int
			_, _ = fmt.Sscanf(string(o.Request.ID), "q%d", &i)
			l.running = append(l.running, i)
		case ggscore.OrderLoad, ggscore.OrderUnload:
			l.loading = append(l.loading, o)
		case ggscore.OrderRefuse:
		}
	}
}

// report delivers every runner's report once a second.
func (l *load) report() {
	if l.now.Sub(l.reported) < time.Second {
		return
	}
	l.reported = l.now
	for _, m := range l.s.Summary(l.now) {
		p := report(string(m.Endpoint), "one", l.now)
		for _, a := range m.Resident {
			p.Resident = append(p.Resident, ggscore.ResidentAdapter{Ref: a})
		}
		l.carryOut(l.s.Report(l.now, p))
	}
}

// endOldest ends runs until at most n are left, and all loads and evictions.
func (l *load) endOldest(n int) {
	for len(l.loading) > 0 {
		o := l.loading[0]
		l.loading = l.loading[1:]
		if o.Kind == ggscore.OrderLoad {
			l.carryOut(l.s.LoadEnded(l.now, o.Endpoint, o.Adapter, ggscore.EndDone))
		} else {
			l.carryOut(l.s.UnloadEnded(l.now, o.Endpoint, o.Adapter, ggscore.EndDone))
		}
	}
	for len(l.running) > n {
		i := l.running[0]
		l.running = l.running[1:]
		l.carryOut(l.s.RequestEnded(l.now, l.requests[i].ID, ggscore.EndDone))
	}
	if t := l.s.NextTick(); !t.IsZero() && !t.After(l.now) {
		l.carryOut(l.s.Tick(l.now))
	}
}

// BenchmarkDecision measures one request's decisions under steady load, with
// the loads, evictions, waits and refusals that it brings about: an operation is
// a request from Submit to its end.
func BenchmarkDecision(b *testing.B) {
	for name, c := range map[string]struct{ runners, adapters int }{
		"runners=12/adapters=3000":   {12, 3000},
		"runners=16/adapters=200000": {16, 200000},
	} {
		b.Run(name, func(b *testing.B) {
			l := newLoad(c.runners, c.adapters, true)
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				l.now = l.now.Add(20 * time.Millisecond)
				q := l.requests[l.free[n&(len(l.free)-1)]]
				l.carryOut(l.s.Submit(l.now, q))
				l.endOldest(6 * c.runners)
				l.report()
			}
		})
	}
}

// BenchmarkHotPath measures Submit, dispatch and RequestEnded of a request
// whose adapter is resident.
func BenchmarkHotPath(b *testing.B) {
	for name, c := range map[string]struct{ runners, adapters int }{
		"runners=12/adapters=3000":   {12, 3000},
		"runners=16/adapters=200000": {16, 200000},
	} {
		b.Run(name, func(b *testing.B) {
			l, q := hotPath(c.runners, c.adapters)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				l.cycle(q)
			}
		})
	}
}

// hotPath returns a scheduler and a request whose adapter is resident.
func hotPath(runners, adapters int) (*load, *ggscore.Request) {
	l := newLoad(runners, adapters, true)
	l.now = l.now.Add(time.Minute)
	l.carryOut(l.s.Tick(l.now))
	q := l.requests[0]
	l.carryOut(l.s.Submit(l.now, q))
	l.endOldest(0)
	return l, q
}

// cycle submits a request and ends it.
func (l *load) cycle(q *ggscore.Request) int {
	l.now = l.now.Add(5 * time.Millisecond)
	n := len(l.s.Submit(l.now, q))
	l.s.RequestEnded(l.now, q.ID, ggscore.EndDone)
	return n
}

// TestHotPathAllocatesNothing guards the dispatcher's latency against pauses of
// the garbage collector. It isn't parallel, since the allocations of the whole
// process are counted.
//
//nolint:paralleltest // see above
func TestHotPathAllocatesNothing(t *testing.T) {
	l, q := hotPath(12, 300)
	if n := l.cycle(q); n != 1 {
		t.Fatalf("%d orders for a resident adapter, want one dispatch", n)
	}
	if n := testing.AllocsPerRun(1000, func() { l.cycle(q) }); n > 0 {
		t.Errorf("%v allocations a request, want none", n)
	}
}
