package ggsplace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsplace"
	"greengageslip/core/ggsretry"
)

// A plainLoad simulates a plain service whose VMs learn each other's requests in flight with a
// delay: six endpoints in three regions, each with six slots, a short queue and 60 ms per
// request.
type plainLoad struct {
	vms       int
	perSecond float64
	// age is the delay of the reported counts, interval the time between reports.
	age, interval time.Duration
	// slowdown multiplies the service time of the first endpoint.
	slowdown time.Duration
}

// A plainResult counts what callers experienced.
type plainResult struct{ requests, late, refused, shed int }

const (
	plainTick          = time.Millisecond
	plainServiceTime   = 60 * time.Millisecond
	plainSlots         = 6
	plainQueue         = 6
	plainTargetLatency = 300 * time.Millisecond
	plainRoundTrip     = 16 * time.Millisecond
	plainMaxAttempts   = 3
	plainDuration      = 12 * time.Second
	plainEndpoints     = 6
)

type plainVM struct {
	table *ggsplace.Table
	own   map[ggscore.EndpointID]int
}

type plainRequest struct {
	vm      *plainVM
	arrived time.Time
	tried   []ggscore.EndpointID
	// at is when the request arrives at its endpoint.
	at time.Time
	to ggscore.EndpointID
}

// A plainEndpoint maps running requests to the times at which they end.
type plainEndpoint struct {
	running map[*plainRequest]time.Time
	waiting []*plainRequest
}

func (l plainLoad) run() plainResult {
	rng := rand.New(rand.NewPCG(5, 0))
	regions := map[ggscore.Domain]ggscore.Region{}
	var list []ggscore.Instance
	endpoints := map[ggscore.EndpointID]*plainEndpoint{}
	region := map[ggscore.EndpointID]ggscore.Region{}
	for n := range plainEndpoints {
		d, r := ggscore.Domain(fmt.Sprintf("d%d", n)), ggscore.Region(fmt.Sprintf("r%d", n/2))
		id := ggscore.EndpointID(fmt.Sprintf("p%d", n))
		regions[d], region[id], endpoints[id] = r, r, &plainEndpoint{running: map[*plainRequest]time.Time{}}
		list = append(list, ggscore.Instance{ID: id, Service: plain, Domain: d, Slots: plainSlots})
	}
	var vms []*plainVM
	for n := range l.vms {
		t := ggsplace.NewTable(ggsplace.Options{Domain: ggscore.Domain(fmt.Sprintf("d%d", n%plainEndpoints)), Regions: regions, Seed: uint64(n + 1)})
		t.SetInstances(at(0), list)
		vms = append(vms, &plainVM{table: t, own: map[ggscore.EndpointID]int{}})
	}
	var res plainResult
	var inTransit []*plainRequest
	type summary struct {
		at     time.Time
		counts map[ggscore.EndpointID]int
	}
	var summaries []summary
	now := at(0)
	send := func(q *plainRequest) {
		c, err := q.vm.table.Choose(now, ggsplace.Query{Service: plain, Tried: q.tried})
		if err != nil || len(q.tried) >= plainMaxAttempts {
			res.refused++
			return
		}
		id := c.Instance.ID
		q.to, q.at, q.tried = id, now, append(q.tried, id)
		if region[id] != regions[ggscore.Domain(fmt.Sprintf("d%d", indexOf(vms, q.vm)%plainEndpoints))] {
			q.at = now.Add(plainRoundTrip / 2)
		}
		q.vm.table.Sent(now, id)
		q.vm.own[id]++
		inTransit = append(inTransit, q)
	}
	due := 0.0
	for step := range int(plainDuration / plainTick) {
		now = at(time.Duration(step) * plainTick)
		for id, e := range endpoints {
			for q, ends := range e.running {
				if now.Before(ends) {
					continue
				}
				delete(e.running, q)
				q.vm.table.Ended(now, id, ggsretry.ResultOK)
				q.vm.own[id]--
				if now.Sub(q.arrived) > plainTargetLatency {
					res.late++
				}
			}
			for len(e.waiting) > 0 && len(e.running) < plainSlots {
				e.running[e.waiting[0]] = now.Add(l.serviceTime(id))
				e.waiting = e.waiting[1:]
			}
		}
		arrivals := inTransit
		inTransit = nil
		for _, q := range arrivals {
			e := endpoints[q.to]
			switch {
			case now.Before(q.at):
				inTransit = append(inTransit, q)
			case len(e.running) < plainSlots:
				e.running[q] = now.Add(l.serviceTime(q.to))
			case len(e.waiting) < plainQueue:
				e.waiting = append(e.waiting, q)
			default:
				res.shed++
				q.vm.table.Ended(now, q.to, ggsretry.ResultNeutral)
				q.vm.own[q.to]--
				send(q)
			}
		}
		if step%int(l.interval/plainTick) == 0 {
			n := summary{at: now, counts: map[ggscore.EndpointID]int{}}
			for _, v := range vms {
				for id, own := range v.own {
					n.counts[id] += own
				}
			}
			summaries = append(summaries, n)
			for len(summaries) > 1 && now.Sub(summaries[1].at) >= l.age {
				summaries = summaries[1:]
			}
			for _, v := range vms {
				var fs []ggscore.InFlight
				for id, c := range summaries[0].counts {
					fs = append(fs, ggscore.InFlight{Endpoint: id, Count: max(c-v.own[id], 0)})
				}
				v.table.SetPeersInFlight(now, fs)
			}
		}
		for due += l.perSecond * plainTick.Seconds() * 2 * rng.Float64(); due >= 1; due-- {
			res.requests++
			send(&plainRequest{vm: vms[rng.IntN(len(vms))], arrived: now})
		}
	}
	return res
}

func (l plainLoad) serviceTime(id ggscore.EndpointID) time.Duration {
	if id == "p0" {
		return plainServiceTime * max(l.slowdown, 1)
	}
	return plainServiceTime
}

func indexOf(vms []*plainVM, v *plainVM) int {
	for n, x := range vms {
		if x == v {
			return n
		}
	}
	return -1
}

// Guards against VMs that all choose the endpoint that the last summary reported as free,
// until the next summary.
func TestVMsSpreadOverPlainEndpoints(t *testing.T) {
	t.Parallel()
	const (
		// maxShed bounds the fraction of requests that endpoints shed while a third of their
		// slots is free, maxRefused the fraction refused to callers.
		maxShed    = 0.05
		maxRefused = 0.001
	)
	for name, l := range map[string]plainLoad{
		"two thirds of the slots":        {perSecond: 400},
		"half of the slots, one slow":    {perSecond: 300, slowdown: 3},
		"a third of the slots, one slow": {perSecond: 200, slowdown: 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			l.vms, l.age, l.interval = 195, 430*time.Millisecond, 150*time.Millisecond
			r := l.run()
			t.Logf("%+v", r)
			c.Check(float64(r.shed) <= maxShed*float64(r.requests), qt.IsTrue, qt.Commentf("%+v", r))
			c.Check(float64(r.refused) <= maxRefused*float64(r.requests), qt.IsTrue, qt.Commentf("%+v", r))
		})
	}
}
