package ggsplace_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsplace"
	"greengageslip/core/ggsresident"
	"greengageslip/core/ggsretry"
)

// A peakLoad is a simulated peak load: twelve runners with 18 adapter slots each, 3,000
// adapters, streams of 1.1 s on average, and VMs that exchange usage every 150 ms.
type peakLoad struct {
	perSecond float64
	skew      float64
	length    time.Duration
	// restartAt is the time at which a quarter of the runners restart with no adapter resident.
	restartAt time.Duration
	// withoutOrders is the number of runners that get no orders.
	withoutOrders int
	// storeCapacity is the number of concurrent loads that the weight store serves at full
	// speed, zero for any. Beyond it, loads take longer in proportion.
	storeCapacity int
}

// A peakResult counts what callers experienced.
type peakResult struct {
	requests, onTime, late, refused int
	// loaded counts loads from the weight store, blocked the evictions that had to wait for a
	// request to end.
	loaded, blocked int
}

const (
	simTick          = 5 * time.Millisecond
	simHeartbeat     = 150 * time.Millisecond
	simLoadTime      = 250 * time.Millisecond
	simWarmLoadTime  = 25 * time.Millisecond
	simAdapterSlots  = 18
	simTargetLatency = 500 * time.Millisecond
	simMaxAttempts   = 4
)

// A simRunner is a runner and the ledger that its owner keeps.
type simRunner struct {
	id       ggscore.EndpointID
	ledger   *ggsresident.Ledger
	held     map[ggscore.ModelAdapter]bool
	loading  map[ggscore.ModelAdapter]time.Time
	warm     map[ggscore.ModelAdapter]bool
	active   map[ggscore.ModelAdapter]int
	reported map[ggscore.ModelAdapter]bool
}

type simRequest struct {
	target  ggscore.ModelAdapter
	arrived time.Time
	// since is when the request was queued at its runner.
	since  time.Time
	tried  []ggscore.EndpointID
	runner *simRunner
	ends   time.Time
}

type peakSim struct {
	peakLoad
	rng     *rand.Rand
	table   *ggsplace.Table
	runners []*simRunner
	byID    map[ggscore.EndpointID]*simRunner
	sums    []float64
	waiting []*simRequest
	running []*simRequest
	result  peakResult
}

func newPeakSim(b peakLoad, seed uint64) *peakSim {
	n := &peakSim{peakLoad: b, rng: rand.New(rand.NewPCG(seed, 1)), table: table("d0", seed), byID: map[ggscore.EndpointID]*simRunner{}}
	for _, i := range deployment() {
		if i.Service != models {
			continue
		}
		r := &simRunner{id: i.ID, warm: map[ggscore.ModelAdapter]bool{}}
		n.restart(at(0), r)
		n.runners = append(n.runners, r)
		n.byID[i.ID] = r
	}
	for _, r := range n.runners[:b.withoutOrders] {
		n.table.SetLoadable(r.id, false)
	}
	sum := 0.0
	for k := range 3000 {
		sum += math.Pow(float64(k+1), -b.skew)
		n.sums = append(n.sums, sum)
	}
	return n
}

func (n *peakSim) restart(now time.Time, r *simRunner) {
	r.ledger = ggsresident.NewLedger(ggsresident.Options{Endpoint: r.id, Demand: n.table, Engine: &ggscore.EngineSpec{AdapterSlots: simAdapterSlots}})
	r.ledger.Sync(now, ggscore.InstanceStatus{Models: []ggscore.ResidentModel{{Name: "m"}}})
	r.held, r.loading = map[ggscore.ModelAdapter]bool{}, map[ggscore.ModelAdapter]time.Time{}
	r.active, r.reported = map[ggscore.ModelAdapter]int{}, map[ggscore.ModelAdapter]bool{}
	n.report(now, r)
}

func (n *peakSim) run() peakResult {
	last := time.Time{}
	restarted := false
	for now := at(0); now.Before(at(n.length)); now = now.Add(simTick) {
		if n.restartAt > 0 && !restarted && !now.Before(at(n.restartAt)) {
			restarted = true
			for _, r := range n.runners[:3] {
				r.warm = map[ggscore.ModelAdapter]bool{}
				n.restart(now, r)
			}
		}
		for n.rng.Float64() < n.perSecond*simTick.Seconds()/(1+n.perSecond*simTick.Seconds()) {
			n.arrive(now)
		}
		n.end(now)
		if now.Sub(last) >= simHeartbeat {
			last = now
			n.heartbeat(now)
		}
		for _, r := range n.runners {
			n.executeOrders(now, r)
		}
		n.serve(now)
	}
	return n.result
}

func (n *peakSim) arrive(now time.Time) {
	x := n.rng.Float64() * n.sums[len(n.sums)-1]
	k := 0
	for n.sums[k] < x {
		k++
	}
	n.result.requests++
	n.table.RecordRequests(now, adapter(k), 1)
	n.place(now, &simRequest{target: adapter(k), arrived: now})
}

// place chooses a runner for a request and orders its adapter there.
func (n *peakSim) place(now time.Time, q *simRequest) {
	for len(q.tried) < simMaxAttempts {
		c, err := n.table.Choose(now, ggsplace.Query{Service: models, Engine: engine(), Target: q.target, Tried: q.tried})
		if err != nil {
			break
		}
		q.runner, q.since = n.byID[c.Instance.ID], now
		q.tried = append(q.tried, q.runner.id)
		held := q.runner.ledger.Holds(q.target, 0)
		if !held && q.runner.ledger.QueueFull(q.target) {
			continue
		}
		if !held {
			q.runner.ledger.Want(now, q.target, 0)
		}
		n.waiting = append(n.waiting, q)
		return
	}
	n.result.refused++
}

// serve starts the requests whose adapters are resident.
func (n *peakSim) serve(now time.Time) {
	before := n.waiting
	n.waiting = nil
	for _, q := range before {
		switch wait := now.Sub(q.arrived); {
		case q.runner.ledger.Holds(q.target, 0) && q.runner.held[q.target]:
			if wait <= simTargetLatency {
				n.result.onTime++
			} else {
				n.result.late++
			}
			q.ends = now.Add(time.Duration(n.rng.ExpFloat64() * 1.1 * float64(time.Second)))
			q.runner.active[q.target]++
			n.table.Sent(now, q.runner.id)
			n.running = append(n.running, q)
		case now.Sub(q.since) > ggsplace.LoadWait:
			n.place(now, q)
		default:
			n.waiting = append(n.waiting, q)
		}
	}
}

func (n *peakSim) end(now time.Time) {
	var still []*simRequest
	for _, q := range n.running {
		if now.Before(q.ends) {
			still = append(still, q)
			continue
		}
		q.runner.active[q.target]--
		n.table.Ended(now, q.runner.id, ggsretry.ResultOK)
	}
	n.running = still
}

// heartbeat reports to the ledgers which adapters the VMs use.
func (n *peakSim) heartbeat(now time.Time) {
	for _, r := range n.runners {
		for a, c := range r.active {
			if c > 0 || r.reported[a] {
				r.ledger.Use(now, a, "vm", c > 0)
				r.reported[a] = c > 0
			}
			if c == 0 && !r.reported[a] {
				delete(r.active, a)
				delete(r.reported, a)
			}
		}
		n.report(now, r)
	}
}

func (n *peakSim) report(now time.Time, r *simRunner) {
	n.table.SetHeld(now, r.id, r.ledger.Resident())
	n.table.SetLoadCapacity(r.id, r.ledger.Waiting(), r.ledger.FreeCapacity(now))
}

// executeOrders executes the orders that are due at a runner.
func (n *peakSim) executeOrders(now time.Time, r *simRunner) {
	for range 3 {
		s, ok := r.ledger.Next(now)
		if !ok {
			return
		}
		r.ledger.HandleAnswer(now, s, n.execute(now, r, s))
		n.report(now, r)
	}
}

func (n *peakSim) execute(now time.Time, r *simRunner, s ggsresident.Step) ggscore.PlacementAnswer {
	t := s.Target
	switch done, inProgress := r.loading[t]; {
	case s.Unload && r.active[t] > 0:
		if !s.Poll {
			n.result.blocked++
		}
		return ggscore.PlacementAccepted
	case s.Unload:
		delete(r.held, t)
		return ggscore.PlacementSatisfied
	case r.held[t] || inProgress && !now.Before(done):
		delete(r.loading, t)
		r.held[t] = true
		return ggscore.PlacementSatisfied
	case inProgress:
		return ggscore.PlacementAccepted
	case r.warm[t]:
		r.loading[t] = now.Add(simWarmLoadTime)
	default:
		n.result.loaded++
		r.warm[t] = true
		r.loading[t] = now.Add(n.loadTime(now))
	}
	return ggscore.PlacementAccepted
}

// loadTime returns the time to load an adapter from the weight store, given the number of
// loads in progress.
func (n *peakSim) loadTime(now time.Time) time.Duration {
	inProgress := 1
	for _, r := range n.runners {
		for _, done := range r.loading {
			if now.Before(done) {
				inProgress++
			}
		}
	}
	if n.storeCapacity == 0 || inProgress <= n.storeCapacity {
		return simLoadTime
	}
	return simLoadTime * time.Duration(inProgress) / time.Duration(n.storeCapacity)
}

// Guards against loads that wait over 500 ms while the weight store has spare capacity. Adapters
// kept their slots after their requests had ended, and popular adapters were queued for loading
// behind rare ones.
func TestLoadWaitsUnderPeakLoad(t *testing.T) {
	t.Parallel()
	long := 30 * time.Second
	for name, tc := range map[string]struct {
		load peakLoad
		// Upper bounds in percent of the requests. Under the highest load 2.0% are late; 4.4% are
		// late and 2.4% refused if an adapter keeps its slot for 350 ms after each use, and 6.1%
		// are late if adapters are loaded in the order of their first request. With a store of
		// six loads at full speed for twelve runners, 21% are refused and 29% loaded if requests
		// are rerouted after 0.9 s; none and 20% if they wait for LoadWait.
		late, refused, loaded, blocked float64
	}{
		"260 requests/s":        {peakLoad{perSecond: 260, skew: 1.2, length: long}, 0.4, 0, 15.5, 0.2},
		"330 requests/s":        {peakLoad{perSecond: 330, skew: 1.2, length: long}, 0.7, 0, 13.5, 0.2},
		"400 requests/s":        {peakLoad{perSecond: 400, skew: 1.2, length: long}, 2.6, 0.1, 13.5, 0.3},
		"restarted runners":     {peakLoad{perSecond: 260, skew: 1.2, length: long, restartAt: long / 2}, 0.5, 0, 15.5, 0.2},
		"slow weight store":     {peakLoad{perSecond: 90, skew: 1.2, length: long, storeCapacity: 6}, 12, 0.1, 22, 0.2},
		"runners without owner": {peakLoad{perSecond: 260, skew: 1.2, length: long, withoutOrders: 3}, 3.6, 0.2, 17.5, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			r := newPeakSim(tc.load, 1).run()
			share := func(n int) float64 { return 100 * float64(n) / float64(r.requests) }
			t.Logf("%+v: late %.1f, refused %.1f, loaded %.1f, blocked %.1f percent", r, share(r.late), share(r.refused), share(r.loaded), share(r.blocked))
			c.Check(share(r.late) <= tc.late, qt.IsTrue)
			c.Check(share(r.refused) <= tc.refused, qt.IsTrue)
			c.Check(share(r.loaded) <= tc.loaded, qt.IsTrue)
			c.Check(share(r.blocked) <= tc.blocked, qt.IsTrue)
		})
	}
}
