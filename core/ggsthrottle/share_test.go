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
	// window is the time over which an endpoint counts, excess and slack what it bears
	// beyond its limit within it.
	window = 4 * time.Second
	excess = 1.5
	slack  = 5
	// settles is the time in which all VMs are to follow a limit.
	settles = 3 * time.Second
	tick    = 10 * time.Millisecond
	gossip  = 300 * time.Millisecond
)

// A crowd is VMs that all have more requests for an endpoint than it takes.
type crowd struct {
	rng      *rand.Rand
	tables   []*ggsthrottle.Table
	down     map[int]bool
	busy     func(vm int) bool
	arrivals []time.Duration
	// limit is what the endpoint names, zero for none.
	limit func(d time.Duration) float64
}

func newCrowd(vms int, limit func(time.Duration) float64) *crowd {
	c := &crowd{rng: rand.New(rand.NewPCG(1, 0)), down: map[int]bool{}, limit: limit, busy: func(int) bool { return true }}
	for i := range vms {
		c.tables = append(c.tables, ggsthrottle.NewTable(vm(i)))
	}
	return c
}

func vm(i int) ggscore.VMID { return ggscore.VMID(fmt.Sprintf("vm-%03d", i)) }

// play has each VM that is up and busy ask for perVM requests a second, and VMs tell each other what
// they know every gossip.
func (c *crowd) play(from, to time.Duration, perVM float64) {
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
		if d%gossip == 0 {
			c.tell(d)
		}
	}
}

func (c *crowd) answer(d time.Duration, t *ggsthrottle.Table) {
	var l *ggscore.RateLimit
	if r := c.limit(d); r > 0 {
		l = limit(r)
	}
	t.Observe(at(d), endpoint, l, at(d))
}

func (c *crowd) tell(d time.Duration) {
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
		known := t.Known(at(d))
		for j, o := range c.tables {
			if i != j && !c.down[j] {
				o.Learn(at(d), known)
			}
		}
	}
}

// most returns the most arrivals within a window that begins after from.
func (c *crowd) most(from time.Duration) int {
	most := 0
	for i, first := range c.arrivals {
		n := 0
		for _, a := range c.arrivals[i:] {
			if a-first < window {
				n++
			}
		}
		if first >= from {
			most = max(most, n)
		}
	}
	return most
}

// between returns the arrivals a second between two times.
func (c *crowd) between(from, to time.Duration) float64 {
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

// Guards against VMs that together send an endpoint more than it takes.
func TestVMsTogetherKeepToALimit(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		vms   int
		limit float64
		perVM float64
		// jitter is the part by which the limit that is named goes up and down.
		jitter float64
		events func(c *crowd)
	}{
		"one VM":                         {vms: 1, limit: 5.2, perVM: 40},
		"9 VMs":                          {vms: 9, limit: 5.2, perVM: 20},
		"9 VMs, limit above their own":   {vms: 9, limit: 60, perVM: 20},
		"9 VMs, limit below one":         {vms: 9, limit: 0.6, perVM: 20},
		"91 VMs":                         {vms: 91, limit: 6.6, perVM: 10},
		"410 VMs":                        {vms: 410, limit: 5.2, perVM: 4},
		"limit changes with each answer": {vms: 9, limit: 5.2, perVM: 20, jitter: 0.3},
		"VMs go and come": {vms: 9, limit: 5.2, perVM: 20, events: func(c *crowd) {
			c.down[0], c.down[4] = true, true
			c.play(10*time.Second, 14*time.Second, 20)
			clear(c.down)
			c.tables[0], c.tables[4] = ggsthrottle.NewTable(vm(0)), ggsthrottle.NewTable(vm(4))
		}},
		"nobody asks for a while": {vms: 91, limit: 5.2, perVM: 10, events: func(c *crowd) {
			c.play(10*time.Second, 60*time.Second, 0)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCrowd(tc.vms, constant(tc.limit))
			if tc.jitter > 0 {
				c.limit = func(time.Duration) float64 { return tc.limit * (1 + tc.jitter*(2*c.rng.Float64()-1)) }
			}
			c.play(0, 10*time.Second, tc.perVM)
			if tc.events != nil {
				tc.events(c)
			}
			c.play(60*time.Second, 75*time.Second, tc.perVM)
			allowed := int(excess*tc.limit*window.Seconds()) + slack
			qt.Check(t, c.most(settles) <= allowed, qt.IsTrue, qt.Commentf("%d, %d allowed", c.most(settles), allowed))
			// What the endpoint takes is used.
			used := c.between(65*time.Second, 75*time.Second)
			qt.Check(t, used >= 0.7*tc.limit, qt.IsTrue, qt.Commentf("%.1f a second of %.1f", used, tc.limit))
		})
	}
}

// Guards against an endpoint that is avoided for ever though its limit was lifted.
func TestLiftedLimitIsSeenByAllVMs(t *testing.T) {
	t.Parallel()
	const lifted = 10 * time.Second
	for name, tc := range map[string]struct {
		vms   int
		limit float64
		busy  func(int) bool
		// within is the time until the load is back.
		within time.Duration
	}{
		"9 VMs":            {vms: 9, limit: 5.2, within: 2 * time.Second},
		"91 VMs":           {vms: 91, limit: 5.2, within: 2 * time.Second},
		"nothing is taken": {vms: 9, limit: 1e-9, within: 6 * time.Second},
		"VMs that are entitled have no callers": {
			vms: 91, limit: 1, busy: func(vm int) bool { return vm%2 == 0 }, within: 30 * time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCrowd(tc.vms, func(d time.Duration) float64 {
				if d < lifted {
					return tc.limit
				}
				return 0
			})
			if tc.busy != nil {
				c.busy = tc.busy
			}
			c.play(0, lifted+tc.within+5*time.Second, 4)
			got := c.between(lifted+tc.within, lifted+tc.within+5*time.Second)
			qt.Assert(t, got >= 2*float64(tc.vms)*0.8, qt.IsTrue, qt.Commentf("%.1f a second", got))
		})
	}
}
