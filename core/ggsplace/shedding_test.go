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
	"greengageslip/core/ggsthrottle"
)

// A shedLoad simulates a service whose endpoints queue nothing and fall over when they refuse
// more than a number of requests in a second. They say so in all their answers.
type shedLoad struct {
	vms, endpoints, slots int
	serviceTime           time.Duration
	// perSecond is the load, which is multiplied by burst for the second half of the time.
	perSecond, burst float64
	// age is the delay of the reported counts.
	age time.Duration
	// silent endpoints don't say that they are shed-limited.
	silent bool
}

const (
	shedTick     = time.Millisecond
	shedTrip     = 2 * time.Millisecond
	shedInterval = 150 * time.Millisecond
	shedLength   = 16 * time.Second
	shedDown     = 3 * time.Second
	shedRefusals = 6
	shedAttempts = 3
	shedWarmUp   = 3 * time.Second
)

type shedVM struct {
	table  *ggsplace.Table
	limits *ggsthrottle.Table
	times  *ggsthrottle.ServiceTimes
	own    map[ggscore.EndpointID]int
}

type shedRequest struct {
	vm        *shedVM
	to        *shedEndpoint
	tried     []ggscore.EndpointID
	sent, due time.Time
	running   bool
}

type shedEndpoint struct {
	ggscore.Instance
	running int
	refused []time.Time
	upAt    time.Time
}

type shedResult struct{ requests, served, refused, turnedAway, falls int }

// run plays the load and counts what callers got and how often endpoints fell over.
func (l shedLoad) run() shedResult {
	rng := rand.New(rand.NewPCG(7, 0))
	var list []ggscore.Instance
	endpoints := map[ggscore.EndpointID]*shedEndpoint{}
	for n := range l.endpoints {
		i := ggscore.Instance{ID: ggscore.EndpointID(fmt.Sprintf("p%d", n)), Service: plain, Domain: "d", Slots: l.slots}
		list = append(list, i)
		endpoints[i.ID] = &shedEndpoint{Instance: i}
	}
	var vms []*shedVM
	var ids []ggscore.VMID
	for n := range l.vms {
		ids = append(ids, ggscore.VMID(fmt.Sprintf("vm-%03d", n)))
	}
	for n := range l.vms {
		v := &shedVM{
			limits: ggsthrottle.NewTable(ids[n]), times: ggsthrottle.NewServiceTimes(),
			own: map[ggscore.EndpointID]int{},
		}
		v.limits.SetVMs(append([]ggscore.VMID(nil), ids...))
		v.table = ggsplace.NewTable(ggsplace.Options{Domain: "d", Seed: uint64(n + 1), Throttle: v.limits})
		v.table.SetInstances(at(0), list)
		vms = append(vms, v)
	}
	var res shedResult
	var active []*shedRequest
	var reports []map[ggscore.EndpointID]int
	now := at(0)
	send := func(q *shedRequest) {
		for {
			c, err := q.vm.table.Choose(now, ggsplace.Query{Service: plain, Tried: q.tried})
			if err != nil || len(q.tried) >= shedAttempts {
				res.refused++
				return
			}
			q.tried = append(q.tried, c.Instance.ID)
			if !q.vm.limits.Take(now, c.Instance.ID) {
				continue
			}
			q.to, q.sent, q.due, q.running = endpoints[c.Instance.ID], now, now.Add(shedTrip), false
			q.vm.table.Sent(now, c.Instance.ID)
			q.vm.own[c.Instance.ID]++
			active = append(active, q)
			return
		}
	}
	answered := func(q *shedRequest, result ggsretry.Result) {
		q.vm.table.Ended(now, q.to.ID, result)
		q.vm.own[q.to.ID]--
	}
	announce := func(q *shedRequest) {
		if l.silent {
			return
		}
		q.vm.table.ObserveShedLimit(plain, true, now)
		refusals := shedRefusals
		q.vm.limits.ObserveShedLimit(now, &q.to.Instance, q.vm.times, &refusals, now)
	}
	arrive := func(q *shedRequest) {
		e := q.to
		switch {
		case now.Before(e.upAt):
			answered(q, ggsretry.ResultFailed)
			send(q)
		case e.running < e.Slots:
			e.running++
			q.running, q.due = true, now.Add(time.Duration(float64(l.serviceTime)*(0.5+rng.Float64())))
			active = append(active, q)
		default:
			res.turnedAway++
			e.refused = append(e.refused, now)
			for now.Sub(e.refused[0]) >= time.Second {
				e.refused = e.refused[1:]
			}
			announce(q)
			answered(q, ggsretry.ResultNeutral)
			q.vm.table.RecordRefusal(now, e.ID)
			if len(e.refused) > shedRefusals && now.Sub(at(0)) > shedWarmUp {
				res.falls++
				e.upAt, e.refused = now.Add(shedDown), nil
			}
			send(q)
		}
	}
	due := 0.0
	for step := range int(shedLength / shedTick) {
		now = at(time.Duration(step) * shedTick)
		pending := active
		active = nil
		for _, q := range pending {
			switch {
			case now.Before(q.due):
				active = append(active, q)
			case !q.running:
				arrive(q)
			default:
				q.to.running--
				if now.Before(q.to.upAt) {
					answered(q, ggsretry.ResultFailed)
					continue
				}
				res.served++
				q.vm.times.Observe(plain, now.Sub(q.sent))
				announce(q)
				answered(q, ggsretry.ResultOK)
			}
		}
		if step%int(shedInterval/shedTick) == 0 {
			sum := map[ggscore.EndpointID]int{}
			for _, v := range vms {
				for id, n := range v.own {
					sum[id] += n
				}
			}
			reports = append(reports, sum)
			old := reports[max(len(reports)-1-int(l.age/shedInterval), 0)]
			for _, v := range vms {
				var fs []ggscore.InFlight
				for id, n := range old {
					fs = append(fs, ggscore.InFlight{Endpoint: id, Count: max(n-v.own[id], 0)})
				}
				v.table.SetPeersInFlight(now, fs)
			}
		}
		rate := l.perSecond
		if now.Sub(at(0)) > shedLength/2 {
			rate *= l.burst
		}
		for due += rate * shedTick.Seconds() * 2 * rng.Float64(); due >= 1; due-- {
			res.requests++
			send(&shedRequest{vm: vms[rng.IntN(len(vms))]})
		}
	}
	return res
}

// check plays the load and checks how often endpoints fall over.
func (l shedLoad) check(t *testing.T) {
	t.Helper()
	r := l.run()
	t.Logf("%+v", r)
	if testing.Verbose() {
		l.silent = true
		t.Logf("without the announcement %+v", l.run())
	}
	most := 2 + l.endpoints/10
	qt.Check(t, r.falls <= most, qt.IsTrue, qt.Commentf("fell over %d times, %d allowed", r.falls, most))
}

// Guards against VMs that together press shed-limited endpoints until they fall over.
func TestShedLimitedEndpointsStayUp(t *testing.T) {
	t.Parallel()
	for name, l := range map[string]shedLoad{
		"9 VMs, 3 endpoints":   {vms: 9, endpoints: 3, slots: 6, serviceTime: 15 * time.Millisecond, perSecond: 90},
		"65 VMs, 7 endpoints":  {vms: 65, endpoints: 7, slots: 6, serviceTime: 60 * time.Millisecond, perSecond: 320, age: 300 * time.Millisecond},
		"195 VMs, 6 endpoints": {vms: 195, endpoints: 6, slots: 6, serviceTime: 60 * time.Millisecond, perSecond: 263, age: 300 * time.Millisecond},
		"9 VMs, 12 large ones": {vms: 9, endpoints: 12, slots: 64, serviceTime: 1100 * time.Millisecond, perSecond: 230},
	} {
		for _, burst := range []float64{1, 3} {
			t.Run(fmt.Sprintf("%s, %.0f times the load", name, burst), func(t *testing.T) {
				t.Parallel()
				k := l
				k.burst = burst
				k.check(t)
			})
		}
	}
}

// Guards against many VMs that press shed-limited runners while the load is above their capacity.
func TestManyShedLimitedRunnersStayUp(t *testing.T) {
	t.Parallel()
	l := shedLoad{vms: 65, endpoints: 72, slots: 16, serviceTime: 600 * time.Millisecond, perSecond: 860, age: 300 * time.Millisecond}
	l.burst = 2
	l.check(t)
}
