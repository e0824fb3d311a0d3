package ggsschedule_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsschedule"
)

// A steadyLoad is a scheduler under steady load, with its requests in the order of
// dispatch.
type steadyLoad struct {
	s        *ggsschedule.Scheduler
	now      time.Time
	requests []*ggscore.Request
	picks    []int
	running  []int
	loading  []ggscore.Order
	reported time.Time
}

// newSteadyLoad returns a scheduler with runners whose adapters have all been requested
// once.
func newSteadyLoad(runners, adapters int, zipf bool) *steadyLoad {
	l := &steadyLoad{s: ggsschedule.New(ggsschedule.Options{Seed: 1}), now: testStart()}
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
		l.execute(l.s.Submit(l.now, l.requests[i]))
		l.endOldest(8 * runners)
	}
	l.picks = l.picks[:0]
	for range 1 << 16 {
		i := r.IntN(adapters)
		if zipf {
			i = z.pick(r)
		}
		l.picks = append(l.picks, i)
	}
	return l
}

// execute records dispatched requests and ordered loads and evictions.
func (l *steadyLoad) execute(orders []ggscore.Order) {
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
func (l *steadyLoad) report() {
	if l.now.Sub(l.reported) < time.Second {
		return
	}
	l.reported = l.now
	for _, m := range l.s.Summary(l.now) {
		p := report(string(m.Endpoint), "one", l.now)
		for _, a := range m.Resident {
			p.Resident = append(p.Resident, ggscore.ResidentAdapter{Ref: a})
		}
		l.execute(l.s.Report(l.now, p))
	}
}

// endOldest ends all loads and evictions, and then the oldest runs until at most n are
// left.
func (l *steadyLoad) endOldest(n int) {
	for len(l.loading) > 0 {
		o := l.loading[0]
		l.loading = l.loading[1:]
		if o.Kind == ggscore.OrderLoad {
			l.execute(l.s.LoadEnded(l.now, o.Endpoint, o.Adapter, ggscore.EndDone))
		} else {
			l.execute(l.s.UnloadEnded(l.now, o.Endpoint, o.Adapter, ggscore.EndDone))
		}
	}
	for len(l.running) > n {
		i := l.running[0]
		l.running = l.running[1:]
		l.execute(l.s.RequestEnded(l.now, l.requests[i].ID, ggscore.EndDone))
	}
	if t := l.s.NextTick(); !t.IsZero() && !t.After(l.now) {
		l.execute(l.s.Tick(l.now))
	}
}

// BenchmarkDecision measures all decisions for one request under steady load, including
// the loads, evictions, waits and refusals that it causes. An operation is a request
// from Submit to its end.
func BenchmarkDecision(b *testing.B) {
	for name, c := range map[string]struct{ runners, adapters int }{
		"runners=12/adapters=3000":   {12, 3000},
		"runners=16/adapters=200000": {16, 200000},
	} {
		b.Run(name, func(b *testing.B) {
			l := newSteadyLoad(c.runners, c.adapters, true)
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				l.now = l.now.Add(20 * time.Millisecond)
				q := l.requests[l.picks[n&(len(l.picks)-1)]]
				l.execute(l.s.Submit(l.now, q))
				l.endOldest(6 * c.runners)
				l.report()
			}
		})
	}
}

// BenchmarkHotPath measures Submit, dispatch and RequestEnded of a request whose
// adapter is resident.
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
func hotPath(runners, adapters int) (*steadyLoad, *ggscore.Request) {
	l := newSteadyLoad(runners, adapters, true)
	l.now = l.now.Add(time.Minute)
	l.execute(l.s.Tick(l.now))
	q := l.requests[0]
	l.execute(l.s.Submit(l.now, q))
	l.endOldest(0)
	return l, q
}

// cycle submits a request and ends it. It returns the number of orders from Submit.
func (l *steadyLoad) cycle(q *ggscore.Request) int {
	l.now = l.now.Add(5 * time.Millisecond)
	n := len(l.s.Submit(l.now, q))
	l.s.RequestEnded(l.now, q.ID, ggscore.EndDone)
	return n
}

// Guards against allocations on the hot path, which would cause garbage collection pauses in the
// dispatcher. The test isn't parallel, since it counts the allocations of the whole process.
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
