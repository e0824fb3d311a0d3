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

// A plainLoad is the load of a plain service whose VMs know each other's requests in flight some
// time late: six endpoints of six slots in three regions, 60 ms of work, a few requests that wait.
type plainLoad struct {
	vms       int
	perSecond float64
	// age is that of the counts when they arrive, every interval.
	age, interval time.Duration
	// slow is how many times as long the first endpoint works.
	slow time.Duration
}

// What callers of a plainLoad got.
type plainResult struct{ asked, late, refused, shed int }

const (
	plainTick   = time.Millisecond
	plainWork   = 60 * time.Millisecond
	plainSlots  = 6
	plainWaits  = 6
	plainAims   = 300 * time.Millisecond
	plainTrip   = 16 * time.Millisecond
	plainTries  = 3
	plainLength = 12 * time.Second
	plainPlaces = 6
)

type plainVM struct {
	table *ggsplace.Table
	own   map[ggscore.EndpointID]int
}

type plainRequest struct {
	vm      *plainVM
	arrived time.Time
	tried   []ggscore.EndpointID
	// at is when it reaches an endpoint.
	at time.Time
	to ggscore.EndpointID
}

// A plainEndpoint works on requests by their end.
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
	for n := range plainPlaces {
		d, r := ggscore.Domain(fmt.Sprintf("d%d", n)), ggscore.Region(fmt.Sprintf("r%d", n/2))
		id := ggscore.EndpointID(fmt.Sprintf("p%d", n))
		regions[d], region[id], endpoints[id] = r, r, &plainEndpoint{running: map[*plainRequest]time.Time{}}
		list = append(list, ggscore.Instance{ID: id, Service: plain, Domain: d, Slots: plainSlots})
	}
	var vms []*plainVM
	for n := range l.vms {
		t := ggsplace.NewTable(ggsplace.Options{Domain: ggscore.Domain(fmt.Sprintf("d%d", n%plainPlaces)), Regions: regions, Seed: uint64(n + 1)})
		t.SetInstances(list)
		vms = append(vms, &plainVM{table: t, own: map[ggscore.EndpointID]int{}})
	}
	var res plainResult
	var moving []*plainRequest
	type news struct {
		at     time.Time
		counts map[ggscore.EndpointID]int
	}
	var told []news
	now := at(0)
	send := func(q *plainRequest) {
		c, err := q.vm.table.Choose(now, ggsplace.Query{Service: plain, Tried: q.tried})
		if err != nil || len(q.tried) >= plainTries {
			res.refused++
			return
		}
		id := c.Instance.ID
		q.to, q.at, q.tried = id, now, append(q.tried, id)
		if region[id] != regions[ggscore.Domain(fmt.Sprintf("d%d", indexOf(vms, q.vm)%plainPlaces))] {
			q.at = now.Add(plainTrip / 2)
		}
		q.vm.table.Sent(now, id)
		q.vm.own[id]++
		moving = append(moving, q)
	}
	due := 0.0
	for step := range int(plainLength / plainTick) {
		now = at(time.Duration(step) * plainTick)
		for id, e := range endpoints {
			for q, ends := range e.running {
				if now.Before(ends) {
					continue
				}
				delete(e.running, q)
				q.vm.table.Ended(now, id, ggsretry.ResultOK)
				q.vm.own[id]--
				if now.Sub(q.arrived) > plainAims {
					res.late++
				}
			}
			for len(e.waiting) > 0 && len(e.running) < plainSlots {
				e.running[e.waiting[0]] = now.Add(l.work(id))
				e.waiting = e.waiting[1:]
			}
		}
		arrivals := moving
		moving = nil
		for _, q := range arrivals {
			e := endpoints[q.to]
			switch {
			case now.Before(q.at):
				moving = append(moving, q)
			case len(e.running) < plainSlots:
				e.running[q] = now.Add(l.work(q.to))
			case len(e.waiting) < plainWaits:
				e.waiting = append(e.waiting, q)
			default:
				res.shed++
				q.vm.table.Ended(now, q.to, ggsretry.ResultNeutral)
				q.vm.own[q.to]--
				send(q)
			}
		}
		if step%int(l.interval/plainTick) == 0 {
			n := news{at: now, counts: map[ggscore.EndpointID]int{}}
			for _, v := range vms {
				for id, own := range v.own {
					n.counts[id] += own
				}
			}
			told = append(told, n)
			for len(told) > 1 && now.Sub(told[1].at) >= l.age {
				told = told[1:]
			}
			for _, v := range vms {
				var fs []ggscore.InFlight
				for id, c := range told[0].counts {
					fs = append(fs, ggscore.InFlight{Endpoint: id, Count: max(c-v.own[id], 0)})
				}
				v.table.SetPeers(now, fs)
			}
		}
		for due += l.perSecond * plainTick.Seconds() * 2 * rng.Float64(); due >= 1; due-- {
			res.asked++
			send(&plainRequest{vm: vms[rng.IntN(len(vms))], arrived: now})
		}
	}
	return res
}

func (l plainLoad) work(id ggscore.EndpointID) time.Duration {
	if id == "p0" {
		return plainWork * max(l.slow, 1)
	}
	return plainWork
}

func indexOf(vms []*plainVM, v *plainVM) int {
	for n, x := range vms {
		if x == v {
			return n
		}
	}
	return -1
}

// Guards against VMs that all send to the endpoint which the last summary said is free, until the next one.
func TestVMsSpreadOverPlainEndpoints(t *testing.T) {
	t.Parallel()
	const (
		// mostShed is the part of the requests that endpoints turn away while a third of their
		// slots is free, mostRefused that of callers.
		mostShed    = 0.05
		mostRefused = 0.001
	)
	for name, l := range map[string]plainLoad{
		"two thirds of the slots":        {perSecond: 400},
		"half of the slots, one slow":    {perSecond: 300, slow: 3},
		"a third of the slots, one slow": {perSecond: 200, slow: 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			l.vms, l.age, l.interval = 195, 430*time.Millisecond, 150*time.Millisecond
			r := l.run()
			t.Logf("%+v", r)
			c.Check(float64(r.shed) <= mostShed*float64(r.asked), qt.IsTrue, qt.Commentf("%+v", r))
			c.Check(float64(r.refused) <= mostRefused*float64(r.asked), qt.IsTrue, qt.Commentf("%+v", r))
		})
	}
}
