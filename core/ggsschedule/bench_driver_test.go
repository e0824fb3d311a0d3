package ggsschedule_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsschedule"
)

// A workload describes the requests of one deployment.
type workload struct {
	name        string
	stallWeight float64
	kinds       []requestKind
}

// A requestKind is a kind of request and its share of the arrivals.
type requestKind struct {
	share      float64
	priority   ggscore.Priority
	run        time.Duration
	budget     time.Duration
	deferrable time.Duration
}

// A scenario describes the faults and load changes during one run of the driver.
type scenario struct {
	name string
	// peak multiplies the arrivals in the middle third.
	peak float64
	// shift makes other adapters the popular ones at half time.
	shift bool
	// restart restarts a third of the runners at half time.
	restart bool
	// slowness multiplies the time of a load and divides the rate of loads.
	slowness float64
	// failing is the fraction of loads that fail.
	failing float64
}

// A deployment describes one owner's runners and its share of the weight store.
type deployment struct {
	runners, slots, adapterSlots, adapters int
	perSecond                              float64
	share                                  ggscore.LoadShare
	length, warmUp                         time.Duration
	seed                                   uint64
}

// An outcome holds the measurements of one run of the driver after its warm-up.
type outcome struct {
	stalls, lookupWaits                     []time.Duration
	used, offered                           float64
	submitted, done, refused, lost          int
	loads, failedLoads, evictions, overfull int
	evictedInUse, missing, refusedDeferred  int
}

func (o *outcome) efficiency() float64 { return o.used / max(o.offered, 1) }

func (o *outcome) stall(q float64) time.Duration { return quantile(o.stalls, q) }

// quantile returns a quantile of sorted durations.
func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	return all[min(int(q*float64(len(all))), len(all)-1)]
}

// An event is an action at a virtual time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// An engine simulates one runner.
type engine struct {
	id          ggscore.EndpointID
	incarnation int
	resident    map[ggscore.AdapterRef]time.Time
	order       []ggscore.AdapterRef
	running     map[ggscore.AdapterRef]int
	loading     int
}

// A driver runs a scheduler against simulated engines on a virtual clock.
type driver struct {
	d         deployment
	c         scenario
	s         *ggsschedule.Scheduler
	now       time.Time
	events    events
	seq       int
	tickAt    time.Time
	engines   []*engine
	byID      map[ggscore.EndpointID]*engine
	runs      map[ggscore.RequestID]time.Duration
	submitted map[ggscore.RequestID]time.Time
	waiting   int
	running   int
	inTransit int
	random    *rand.Rand
	out       outcome
}

func (v *driver) at(t time.Time, do func()) {
	v.seq++
	heap.Push(&v.events, event{at: t, seq: v.seq, do: do})
}

func (v *driver) after(d time.Duration, do func()) { v.at(v.now.Add(d), do) }

// measuring reports whether the warm-up is over.
func (v *driver) measuring() bool { return v.now.Sub(testStart()) >= v.d.warmUp }

// drive runs one policy on one scenario.
func drive(p ggsschedule.Policy, w workload, c scenario, d deployment) *outcome {
	v := &driver{
		d: d, c: c, now: testStart(),
		s:         ggsschedule.New(ggsschedule.Options{Policy: p, StallWeight: w.stallWeight, Seed: d.seed}),
		byID:      make(map[ggscore.EndpointID]*engine),
		runs:      make(map[ggscore.RequestID]time.Duration),
		submitted: make(map[ggscore.RequestID]time.Time),
		random:    rand.New(rand.NewPCG(d.seed, 7)),
	}
	share := d.share
	share.LoadsPerSecond /= c.slowness
	v.execute(v.s.SetLoadShare(v.now, share))
	for i := range d.runners {
		e := &engine{
			id:       ggscore.EndpointID(fmt.Sprintf("r%02d", i)),
			resident: make(map[ggscore.AdapterRef]time.Time),
			running:  make(map[ggscore.AdapterRef]int),
		}
		v.engines = append(v.engines, e)
		v.byID[e.id] = e
		spec := runner(string(e.id))
		spec.Slots, spec.AdapterSlots = d.slots, d.adapterSlots
		v.execute(v.s.SetEndpoint(v.now, spec, ggscore.ModeFull))
		v.after(time.Duration(i)*time.Second/time.Duration(d.runners), func() { v.report(e) })
	}
	if c.restart {
		v.after(d.length/2, v.restart)
	}
	v.arrivals(w)
	end := v.now.Add(d.length)
	for len(v.events) > 0 {
		e := heap.Pop(&v.events).(event)
		if e.at.After(end) {
			break
		}
		v.advance(e.at)
		e.do()
	}
	slices.Sort(v.out.stalls)
	slices.Sort(v.out.lookupWaits)
	return &v.out
}

// advance moves the clock and integrates the use of slots while requests are queued.
func (v *driver) advance(t time.Time) {
	if v.measuring() && v.waiting > 0 {
		dt := t.Sub(v.now).Seconds()
		v.out.used += dt * float64(v.running)
		v.out.offered += dt * float64(v.d.runners*v.d.slots)
	}
	v.now = t
}

// arrivals generates the whole trace of requests, which is the same for every policy.
func (v *driver) arrivals(w workload) {
	r := rand.New(rand.NewPCG(v.d.seed, 1))
	ranks := r.Perm(v.d.adapters)
	shifted := r.Perm(v.d.adapters)
	z := newZipf(v.d.adapters)
	t := time.Duration(0)
	for n := 0; t < v.d.length; n++ {
		rate := v.d.perSecond
		if c := v.c.peak; c > 1 && t > v.d.length/3 && t < 2*v.d.length/3 {
			rate *= c
		}
		t += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		k := pick(r, w.kinds)
		a := ranks[z.pick(r)]
		if v.c.shift && t > v.d.length/2 {
			a = shifted[a]
		}
		q := request(fmt.Sprintf("q%d", n), fmt.Sprintf("a%d", a))
		q.Market = ggscore.Market([]string{"cr", "pa", "ni"}[a%3])
		q.Priority, q.Budget, q.Deferrable = k.priority, k.budget, k.deferrable
		v.runs[q.ID] = time.Duration((0.5 + r.ExpFloat64()/2) * float64(k.run))
		v.after(t, func() { v.submit(q) })
	}
}

func (v *driver) submit(q *ggscore.Request) {
	v.submitted[q.ID] = v.now
	v.waiting++
	if v.measuring() {
		v.out.submitted++
	}
	v.execute(v.s.Submit(v.now, q))
}

// execute executes orders on the engines.
func (v *driver) execute(orders []ggscore.Order) {
	for _, o := range slices.Clone(orders) {
		switch o.Kind {
		case ggscore.OrderDispatch:
			v.dispatch(o)
		case ggscore.OrderLoad:
			v.load(o)
		case ggscore.OrderUnload:
			v.unload(o)
		case ggscore.OrderRefuse:
			v.waiting--
			if v.measuring() {
				v.out.refused++
				if o.Request.Priority == ggscore.PriorityDeferrable {
					v.out.refusedDeferred++
				}
			}
		}
	}
	if t := v.s.NextTick(); !t.IsZero() && (v.tickAt.IsZero() || t.Before(v.tickAt)) {
		v.tickAt = t
		v.at(maxTime(t, v.now), func() {
			v.tickAt = time.Time{}
			v.execute(v.s.Tick(v.now))
		})
	}
}

func (v *driver) dispatch(o ggscore.Order) {
	e := v.byID[o.Endpoint]
	since, ok := e.resident[o.Adapter]
	if !ok {
		v.out.missing++
		v.after(time.Millisecond, func() { v.execute(v.s.RequestEnded(v.now, o.Request.ID, ggscore.EndAdapterMissing)) })
		return
	}
	v.waiting--
	v.running++
	e.running[o.Adapter]++
	incarnation := e.incarnation
	if v.measuring() {
		v.out.stalls = append(v.out.stalls, max(0, since.Sub(v.submitted[o.Request.ID])))
		if o.Request.Priority == ggscore.PriorityInteractive {
			v.out.lookupWaits = append(v.out.lookupWaits, v.now.Sub(v.submitted[o.Request.ID]))
		}
	}
	v.after(v.runs[o.Request.ID], func() {
		v.running--
		end := ggscore.EndDone
		if e.incarnation == incarnation {
			e.running[o.Adapter]--
		} else {
			end = ggscore.EndUnknown
			v.out.lost++
		}
		if v.measuring() {
			v.out.done++
		}
		v.execute(v.s.RequestEnded(v.now, o.Request.ID, end))
	})
}

func (v *driver) load(o ggscore.Order) {
	e := v.byID[o.Endpoint]
	v.inTransit++
	e.loading++
	for _, x := range v.engines {
		if _, ok := x.resident[o.Adapter]; ok && v.measuring() {
			v.out.lost++
			break
		}
	}
	if v.measuring() {
		v.out.loads++
	}
	d := time.Duration(250 * float64(time.Millisecond) * v.c.slowness * max(1, float64(v.inTransit)/24))
	failed := v.random.Float64() < v.c.failing
	incarnation := e.incarnation
	v.after(d, func() {
		v.inTransit--
		end := ggscore.EndDone
		if e.incarnation != incarnation {
			end = ggscore.EndUnknown
		} else {
			e.loading--
		}
		switch {
		case failed:
			end = ggscore.EndFailed
			v.out.failedLoads++
		case len(e.resident) >= v.d.adapterSlots:
			end = ggscore.EndFailed
			v.out.overfull++
		case end == ggscore.EndDone:
			e.resident[o.Adapter] = v.now
			e.order = append(e.order, o.Adapter)
		}
		v.execute(v.s.LoadEnded(v.now, o.Endpoint, o.Adapter, end))
	})
}

func (v *driver) unload(o ggscore.Order) {
	e := v.byID[o.Endpoint]
	if v.measuring() {
		v.out.evictions++
	}
	v.after(5*time.Millisecond, func() {
		if e.running[o.Adapter] > 0 {
			v.out.evictedInUse++
		}
		delete(e.resident, o.Adapter)
		e.order = slices.DeleteFunc(e.order, func(r ggscore.AdapterRef) bool { return r == o.Adapter })
		v.execute(v.s.UnloadEnded(v.now, o.Endpoint, o.Adapter, ggscore.EndDone))
	})
}

// report sends a snapshot of an engine that arrives after 200 ms.
func (v *driver) report(e *engine) {
	p := ggscore.RunnerReport{Endpoint: e.id, Incarnation: fmt.Sprint(e.incarnation), At: v.now}
	for _, a := range e.order {
		p.Resident = append(p.Resident, ggscore.ResidentAdapter{Ref: a, Running: e.running[a]})
	}
	v.after(200*time.Millisecond, func() { v.execute(v.s.Report(v.now, p)) })
	v.after(time.Second, func() { v.report(e) })
}

// restart restarts a third of the engines with empty state.
func (v *driver) restart() {
	for _, e := range v.engines[:len(v.engines)/3] {
		e.incarnation++
		e.resident = make(map[ggscore.AdapterRef]time.Time)
		e.running = make(map[ggscore.AdapterRef]int)
		e.order = nil
		e.loading = 0
	}
}

// A zipf picks ranks with a probability inversely proportional to the rank.
type zipf struct{ sums []float64 }

func newZipf(n int) zipf {
	z := zipf{sums: make([]float64, n)}
	sum := 0.0
	for i := range n {
		sum += 1 / math.Pow(float64(i+1), 1)
		z.sums[i] = sum
	}
	return z
}

func (z zipf) pick(r *rand.Rand) int {
	x := r.Float64() * z.sums[len(z.sums)-1]
	i, _ := slices.BinarySearch(z.sums, x)
	return min(i, len(z.sums)-1)
}

func pick(r *rand.Rand, kinds []requestKind) requestKind {
	x := r.Float64()
	for _, k := range kinds {
		if x < k.share {
			return k
		}
		x -= k.share
	}
	return kinds[len(kinds)-1]
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
