package ggsroute_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsroute"
)

const (
	gatewaysPerRegion = 10
	hold              = 500 * time.Millisecond
	step              = 100 * time.Millisecond
	price             = 50 * time.Millisecond
)

// A twoRegions simulates two regions, each with one dispatcher and several gateways.
type twoRegions struct {
	regions  [2]ggscore.Region
	gateways [2][]*ggsroute.Router
	load     [2]float64
	crossed  int
}

func newTwoRegions() *twoRegions {
	p := &twoRegions{regions: [2]ggscore.Region{"central", "caribe"}}
	for side, region := range p.regions {
		for i := range gatewaysPerRegion {
			r := ggsroute.New(ggsroute.Options{Region: region, Seed: uint64(side*100 + i), Hold: hold})
			r.SetPolicy(at(0), ggscore.PolicySpec{CrossRegionPrice: price})
			p.gateways[side] = append(p.gateways[side], r)
		}
	}
	return p
}

// publish updates all gateways with the summaries of both dispatchers.
func (p *twoRegions) publish(now time.Time, seq uint64) {
	for side, region := range p.regions {
		s := summary(string(region), seq)
		s.Region = region
		for i := range s.Runners {
			s.Runners[i].Running = min(int(p.load[side])/4, 8)
			s.Runners[i].Queued = int(p.load[side])/4 - s.Runners[i].Running
		}
		for _, list := range p.gateways {
			for _, r := range list {
				r.Update(now, s)
			}
		}
	}
}

// arrive routes n requests of one region's callers.
func (p *twoRegions) arrive(c *qt.C, now time.Time, side, n, first int) {
	for i := range n {
		r := p.gateways[side][(first+i)%gatewaysPerRegion]
		choice, err := r.Route(now, &ggscore.Request{Service: service}, nil)
		c.Assert(err, qt.IsNil)
		r.Sent(now, choice)
		to := side
		if choice.CrossRegion {
			to = 1 - side
			p.crossed++
		}
		p.load[to]++
	}
}

// serve completes the requests that both dispatchers serve in one step.
func (p *twoRegions) serve() {
	for side := range p.load {
		p.load[side] -= min(p.load[side], 32) * float64(step) / float64(hold)
	}
}

// Guards against gateways of an overloaded region that all see the same idle summary of another
// region, send every request there and switch back a second later. Callers would wait in both
// regions, and bytes would cross without a gain.
func TestRegionsDoNotOscillate(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	p := newTwoRegions()
	worst := 0.0
	for i := range 600 {
		now := at(time.Duration(i) * step)
		if i%10 == 0 {
			p.publish(now, uint64(i+1))
		}
		p.arrive(c, now, 0, 9, i*9)
		p.arrive(c, now, 1, 2, i*2)
		p.serve()
		if i > 300 {
			worst = max(worst, p.load[1]-32)
		}
	}
	c.Check(worst < 10, qt.IsTrue, qt.Commentf("%.0f requests queued in the quiet region", worst))
	c.Check(p.load[0]-32 < 60, qt.IsTrue, qt.Commentf("%.0f requests queued in the busy region", p.load[0]-32))
	c.Check(p.crossed > 600 && p.crossed < 3000, qt.IsTrue, qt.Commentf("%d of 6600 requests crossed", p.crossed))
}

// Guards against unlimited traffic to another region after a region loses its runners. Such
// traffic is billed by volume: one hour of outage would cost as much as a year of normal
// traffic.
func TestBytesAcrossRegionsAreBounded(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const rate = 100_000
	r := ggsroute.New(ggsroute.Options{Region: "caribe", Seed: 1, MaxAge: time.Hour})
	const gateways = 9
	r.SetGateways(gateways)
	r.SetPolicy(at(0), ggscore.PolicySpec{CrossRegionBytesPerSecond: gateways * rate})
	r.Update(at(0), summary("a", 1))
	bytes, refused := 0, 0
	for i := range 10_000 {
		now := at(time.Duration(i) * time.Millisecond)
		choice, err := r.Route(now, request(), nil)
		if err != nil {
			refused++
			continue
		}
		c.Assert(choice.CrossRegion, qt.IsTrue)
		r.Sent(now, choice)
		r.Ended(now, choice, ggsroute.End{AnswerBytes: 20_000})
		bytes += 21_000
	}
	c.Check(bytes <= 12*rate+21_000, qt.IsTrue, qt.Commentf("%d bytes in 10 s", bytes))
	c.Check(bytes >= 9*rate, qt.IsTrue, qt.Commentf("%d bytes in 10 s", bytes))
	c.Check(r.CrossRegionBytes(), qt.Equals, int64(bytes))

	now := at(10 * time.Second)
	_, err := r.Route(now, request(), nil)
	for i := 0; err == nil && i < 1000; i++ {
		choice, _ := r.Route(now, request(), nil)
		r.Sent(now, choice)
		_, err = r.Route(now, request(), nil)
	}
	var e *ggsroute.NoDispatcherError
	c.Assert(errors.As(err, &e), qt.IsTrue)
	c.Check(e.Cause, qt.Equals, ggsroute.CauseCrossRegionLimit)
	_, err = r.Route(now.Add(e.RetryAfter-time.Millisecond), request(), nil)
	c.Check(err, qt.IsNotNil)
	_, err = r.Route(now.Add(e.RetryAfter+time.Microsecond), request(), nil)
	c.Check(err, qt.IsNil)
	c.Check(refused > 0, qt.IsTrue)
}

func TestStaysInRegionBelowThePrice(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		price time.Duration
		cross bool
	}{
		"a load costs less than crossing":   {price: 250 * time.Millisecond},
		"a load costs more than crossing":   {price: 10 * time.Millisecond, cross: true},
		"crossing costs almost nothing":     {price: time.Nanosecond, cross: true},
		"crossing costs more than any wait": {price: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			r := newRouter(c, "a")
			r.SetPolicy(at(0), ggscore.PolicySpec{CrossRegionPrice: tc.price})
			far := summary("far", 1)
			far.Region = "caribe"
			far.Runners[0].Resident = append(far.Runners[0].Resident, adapterRef())
			r.Update(at(0), far)
			crossed := 0
			for range 100 {
				choice, err := r.Route(at(0), request(), nil)
				c.Assert(err, qt.IsNil)
				if choice.CrossRegion {
					crossed++
				}
			}
			c.Check(crossed > 0, qt.Equals, tc.cross)
		})
	}
}

// Guards against three regions that each hold the same thirty adapters, so that callers of all
// others wait for loads. Requests for a rare adapter must cross to where it is resident; those
// for a busy one only until it is loaded locally.
func TestRareAdaptersCrossToTheirRegion(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		before  int
		crosses bool
	}{
		"a rare adapter": {crosses: true},
		"a busy adapter": {before: 20},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			r := newRouter(c, "a")
			r.SetPolicy(at(0), ggscore.PolicySpec{CrossRegionPrice: price, LoadTime: 250 * time.Millisecond})
			far := summary("far", 1)
			far.Region = "caribe"
			far.Runners[0].Resident = []ggscore.AdapterRef{adapterRef()}
			r.Update(at(0), far)
			for range tc.before {
				choice, err := r.Route(at(0), request(), []ggscore.VMID{"a"})
				c.Assert(err, qt.IsNil)
				r.Sent(at(0), choice)
				r.Ended(at(0), choice, ggsroute.End{})
			}
			choice, err := r.Route(at(0), request(), nil)
			c.Assert(err, qt.IsNil)
			c.Check(choice.CrossRegion, qt.Equals, tc.crosses)
			r.Sent(at(0), choice)
			for range 50 {
				next, err := r.Route(at(0), request(), nil)
				c.Assert(err, qt.IsNil)
				c.Check(next.CrossRegion, qt.IsTrue, qt.Commentf("the adapter is loading"))
			}
		})
	}
}

// Guards against sending every caller of a rare adapter to a dispatcher where loads queue for
// seconds, which its summaries don't show, while loads at another dispatcher take 250 ms.
func TestReportedStallsRaisePrediction(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := newRouter(c, "a", "b")
	first, err := r.Route(at(0), request(), nil)
	c.Assert(err, qt.IsNil)
	for range 20 {
		r.Sent(at(0), first)
		r.Ended(at(0), first, ggsroute.End{Held: 5 * time.Second, Stall: 4 * time.Second})
	}
	r.Update(at(0), summary(string(first.VM), 2))
	again, err := r.Route(at(0), &ggscore.Request{Service: service, Adapter: adapterRef()}, nil)
	c.Assert(err, qt.IsNil)
	c.Check(again.Wait > 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", again.Wait))
	later, err := r.Route(at(time.Minute).Add(-time.Minute+2*time.Second), request(), nil)
	c.Assert(err, qt.IsNil)
	c.Check(later.Wait < again.Wait, qt.IsTrue)
}
