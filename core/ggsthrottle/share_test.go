package ggsthrottle_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsthrottle"
)

const (
	// window is the time over which an endpoint counts requests. excess (a factor) and slack
	// (a number of requests) bound what it tolerates beyond its limit in one window.
	window = 4 * time.Second
	excess = 1.5
	slack  = 5
	// settleTime is the time after which all VMs have to follow a limit.
	settleTime     = 3 * time.Second
	tick           = 10 * time.Millisecond
	gossipInterval = 300 * time.Millisecond
)

// A loadSim simulates VMs that all have more requests for one endpoint than its limit allows.
type loadSim struct {
	rng      *rand.Rand
	tables   []*ggsthrottle.Table
	down     map[int]bool
	busy     func(vm int) bool
	arrivals []time.Duration
	// limit returns the limit that the endpoint announces, zero for none.
	limit func(d time.Duration) float64
}

func newLoadSim(vms int, limit func(time.Duration) float64) *loadSim {
	c := &loadSim{rng: rand.New(rand.NewPCG(1, 0)), down: map[int]bool{}, limit: limit, busy: func(int) bool { return true }}
	for i := range vms {
		c.tables = append(c.tables, ggsthrottle.NewTable(vm(i)))
	}
	return c
}

func vm(i int) ggscore.VMID { return ggscore.VMID(fmt.Sprintf("vm-%03d", i)) }

// run lets each VM that is up and busy attempt perVM requests per second. VMs exchange their
// known limits every gossipInterval.
func (c *loadSim) run(from, to time.Duration, perVM float64) {
	for d := from; d < to; d += tick {
		for i, t := range c.tables {
			if c.down[i] || !c.busy(i) || c.rng.Float64() >= perVM*tick.Seconds() {
				continue
			}
			if t.Allows(at(d), endpoint) && t.Take(at(d), endpoint) {
				c.arrivals = append(c.arrivals, d)
				c.answer(d, t)
			}
		}
		if d%gossipInterval == 0 {
			c.exchangeLimits(d)
		}
	}
}

func (c *loadSim) answer(d time.Duration, t *ggsthrottle.Table) {
	var l *ggscore.RateLimit
	if r := c.limit(d); r > 0 {
		l = limit(r)
	}
	t.Observe(at(d), endpoint, l, at(d))
}

func (c *loadSim) exchangeLimits(d time.Duration) {
	var live []ggscore.VMID
	for i := range c.tables {
		if !c.down[i] {
			live = append(live, vm(i))
		}
	}
	for i, t := range c.tables {
		if c.down[i] {
			continue
		}
		t.SetVMs(append([]ggscore.VMID(nil), live...))
		known := t.RecentLimits(at(d))
		for j, o := range c.tables {
			if i != j && !c.down[j] {
				o.ObservePeer(at(d), known)
			}
		}
	}
}

// maxArrivals returns the highest number of arrivals in any window that begins at or after
// from.
func (c *loadSim) maxArrivals(from time.Duration) int {
	maxArrivals := 0
	for i, first := range c.arrivals {
		n := 0
		for _, a := range c.arrivals[i:] {
			if a-first < window {
				n++
			}
		}
		if first >= from {
			maxArrivals = max(maxArrivals, n)
		}
	}
	return maxArrivals
}

// arrivalRate returns the arrivals per second between two times.
func (c *loadSim) arrivalRate(from, to time.Duration) float64 {
	n := 0
	for _, a := range c.arrivals {
		if a >= from && a < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

func constant(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// Guards against VMs that together exceed an endpoint's limit.
func TestVMsTogetherObserveALimit(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		vms   int
		limit float64
		perVM float64
		// jitter is the fraction by which the announced limit varies.
		jitter float64
		events func(c *loadSim)
	}{
		"one VM":                        {vms: 1, limit: 5.2, perVM: 40},
		"9 VMs":                         {vms: 9, limit: 5.2, perVM: 20},
		"9 VMs, limit above one per VM": {vms: 9, limit: 60, perVM: 20},
		"9 VMs, limit below one request per second": {vms: 9, limit: 0.6, perVM: 20},
		"91 VMs":                         {vms: 91, limit: 6.6, perVM: 10},
		"410 VMs":                        {vms: 410, limit: 5.2, perVM: 4},
		"limit changes with each answer": {vms: 9, limit: 5.2, perVM: 20, jitter: 0.3},
		"VMs fail and restart": {vms: 9, limit: 5.2, perVM: 20, events: func(c *loadSim) {
			c.down[0], c.down[4] = true, true
			c.run(10*time.Second, 14*time.Second, 20)
			clear(c.down)
			c.tables[0], c.tables[4] = ggsthrottle.NewTable(vm(0)), ggsthrottle.NewTable(vm(4))
		}},
		"no requests for a while": {vms: 91, limit: 5.2, perVM: 10, events: func(c *loadSim) {
			c.run(10*time.Second, 60*time.Second, 0)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newLoadSim(tc.vms, constant(tc.limit))
			if tc.jitter > 0 {
				c.limit = func(time.Duration) float64 { return tc.limit * (1 + tc.jitter*(2*c.rng.Float64()-1)) }
			}
			c.run(0, 10*time.Second, tc.perVM)
			if tc.events != nil {
				tc.events(c)
			}
			c.run(60*time.Second, 75*time.Second, tc.perVM)
			allowed := int(excess*tc.limit*window.Seconds()) + slack
			qt.Check(t, c.maxArrivals(settleTime) <= allowed, qt.IsTrue, qt.Commentf("%d, %d allowed", c.maxArrivals(settleTime), allowed))
			// The VMs use at least 70% of the limit.
			used := c.arrivalRate(65*time.Second, 75*time.Second)
			qt.Check(t, used >= 0.7*tc.limit, qt.IsTrue, qt.Commentf("%.1f a second of %.1f", used, tc.limit))
		})
	}
}

// Guards against VMs that keep avoiding an endpoint after its limit was lifted.
func TestLiftedLimitReachesAllVMs(t *testing.T) {
	t.Parallel()
	const lifted = 10 * time.Second
	for name, tc := range map[string]struct {
		vms   int
		limit float64
		busy  func(int) bool
		// within is the time until the full load has to be back.
		within time.Duration
	}{
		"9 VMs":                {vms: 9, limit: 5.2, within: 2 * time.Second},
		"91 VMs":               {vms: 91, limit: 5.2, within: 2 * time.Second},
		"no requests accepted": {vms: 9, limit: 1e-9, within: 6 * time.Second},
		"selected VMs have no callers": {
			vms: 91, limit: 1, busy: func(vm int) bool { return vm%2 == 0 }, within: 30 * time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newLoadSim(tc.vms, func(d time.Duration) float64 {
				if d < lifted {
					return tc.limit
				}
				return 0
			})
			if tc.busy != nil {
				c.busy = tc.busy
			}
			c.run(0, lifted+tc.within+5*time.Second, 4)
			got := c.arrivalRate(lifted+tc.within, lifted+tc.within+5*time.Second)
			qt.Assert(t, got >= 2*float64(tc.vms)*0.8, qt.IsTrue, qt.Commentf("%.1f a second", got))
		})
	}
}
