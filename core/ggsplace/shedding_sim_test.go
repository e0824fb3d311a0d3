package ggsplace_test

import (
	"fmt"
	"math/rand/v2"
	"time"

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
	// restartAt is when all VMs restart, zero for never.
	restartAt time.Duration
	// hot is the share of the requests that meet one VM.
	hot float64
	// regions is the number of regions that VMs and endpoints are spread over, zero for one.
	regions int
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
	// shedRecordAge is the age of the VMs' records in the store.
	shedRecordAge = 4 * time.Second
)

type shedVM struct {
	table  *ggsplace.Table
	limits *ggsthrottle.Table
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

// A shedSim plays a shedLoad on a virtual clock.
type shedSim struct {
	shedLoad
	rng       *rand.Rand
	now       time.Time
	ids       []ggscore.VMID
	list      []ggscore.Instance
	vms       []*shedVM
	endpoints map[ggscore.EndpointID]*shedEndpoint
	active    []*shedRequest
	// reports are what the VMs report of themselves, one for each shedInterval.
	reports []shedReport
	arrived float64
	result  shedResult
}

func newShedSim(l shedLoad) *shedSim {
	s := &shedSim{shedLoad: l, rng: rand.New(rand.NewPCG(7, 0)), now: at(0), endpoints: map[ggscore.EndpointID]*shedEndpoint{}}
	for n := range l.endpoints {
		i := ggscore.Instance{ID: ggscore.EndpointID(fmt.Sprintf("p%d", n)), Service: plain, Domain: l.domain(n), Slots: l.slots}
		s.list = append(s.list, i)
		s.endpoints[i.ID] = &shedEndpoint{Instance: i}
	}
	for n := range l.vms {
		s.ids = append(s.ids, ggscore.VMID(fmt.Sprintf("vm-%03d", n)))
	}
	for n := range l.vms {
		s.vms = append(s.vms, s.startVM(n))
	}
	return s
}

// domain returns the failure domain of the VM or endpoint with a number. Each region has one.
func (l *shedLoad) domain(n int) ggscore.Domain {
	if l.regions == 0 {
		return "d"
	}
	return ggscore.Domain(fmt.Sprintf("d%d", n%l.regions))
}

func (l *shedLoad) regionsOf() map[ggscore.Domain]ggscore.Region {
	m := map[ggscore.Domain]ggscore.Region{}
	for n := range max(l.regions, 1) {
		m[l.domain(n)] = ggscore.Region(l.domain(n))
	}
	return m
}

// startVM starts the VM with a number.
func (s *shedSim) startVM(n int) *shedVM {
	v := &shedVM{
		limits: ggsthrottle.NewTable(s.ids[n]), own: map[ggscore.EndpointID]int{},
	}
	v.limits.SetVMs(append([]ggscore.VMID(nil), s.ids...))
	v.table = ggsplace.NewTable(ggsplace.Options{
		Domain: s.domain(n), Regions: s.regionsOf(), Seed: uint64(n + 1), Throttle: v.limits,
	})
	v.table.SetInstances(s.now, s.list)
	v.limits.SetInstances(s.now, s.list)
	return v
}

// run plays the load and counts what callers got and how often endpoints fell over.
func (l shedLoad) run() shedResult {
	s := newShedSim(l)
	for step := range int(shedLength / shedTick) {
		s.now = at(time.Duration(step) * shedTick)
		s.advance()
		if step%int(shedInterval/shedTick) == 0 {
			s.report()
		}
		if l.restartAt > 0 && step == int(l.restartAt/shedTick) {
			s.restart()
		}
		s.arrive()
	}
	return s.result
}

// restart restarts all VMs. Their requests in flight are lost, and they read the VMs' records as of
// shedRecordAge ago.
func (s *shedSim) restart() {
	for _, q := range s.active {
		if q.running {
			q.to.running--
		}
	}
	s.active = nil
	for n := range s.vms {
		s.vms[n] = s.startVM(n)
		s.vms[n].limits.RestoreShedLimits(s.now.Add(-shedRecordAge), s.reportBefore(shedRecordAge).shedLimits)
	}
}

// arrive sends the requests that arrive in a tick.
func (s *shedSim) arrive() {
	rate := s.perSecond
	if s.now.Sub(at(0)) > shedLength/2 {
		rate *= s.burst
	}
	for s.arrived += rate * shedTick.Seconds() * 2 * s.rng.Float64(); s.arrived >= 1; s.arrived-- {
		s.result.requests++
		v := s.vms[s.rng.IntN(len(s.vms))]
		if s.hot > 0 && s.rng.Float64() < s.hot {
			v = s.vms[0]
		}
		s.send(&shedRequest{vm: v})
	}
}

// send sends a request to the endpoint that its VM chooses, or refuses it.
func (s *shedSim) send(q *shedRequest) {
	for {
		c, err := q.vm.table.Choose(s.now, ggsplace.Query{Service: plain, Tried: q.tried})
		if err != nil || len(q.tried) >= shedAttempts {
			s.result.refused++
			return
		}
		q.tried = append(q.tried, c.Instance.ID)
		if !q.vm.limits.Take(s.now, c.Instance.ID) {
			continue
		}
		q.to, q.sent, q.due, q.running = s.endpoints[c.Instance.ID], s.now, s.now.Add(shedTrip), false
		q.vm.table.Sent(s.now, c.Instance.ID)
		q.vm.own[c.Instance.ID]++
		s.active = append(s.active, q)
		return
	}
}

// advance delivers the requests that are due at their endpoints, and the answers of those that have ended.
func (s *shedSim) advance() {
	pending := s.active
	s.active = nil
	for _, q := range pending {
		switch {
		case s.now.Before(q.due):
			s.active = append(s.active, q)
		case !q.running:
			s.deliver(q)
		default:
			s.end(q)
		}
	}
}

// deliver delivers a request at its endpoint, which runs or refuses it.
func (s *shedSim) deliver(q *shedRequest) {
	e := q.to
	switch {
	case s.now.Before(e.upAt):
		s.answered(q, ggsretry.ResultFailed)
		s.send(q)
	case e.running < e.Slots:
		e.running++
		q.running, q.due = true, s.now.Add(time.Duration(float64(s.serviceTime)*(0.5+s.rng.Float64())))
		s.active = append(s.active, q)
	default:
		s.result.turnedAway++
		e.refused = append(e.refused, s.now)
		for s.now.Sub(e.refused[0]) >= time.Second {
			e.refused = e.refused[1:]
		}
		s.announce(q)
		s.answered(q, ggsretry.ResultNeutral)
		q.vm.table.RecordRefusal(s.now, e.ID)
		if len(e.refused) > shedRefusals && s.now.Sub(at(0)) > shedWarmUp {
			s.result.falls++
			e.upAt, e.refused = s.now.Add(shedDown), nil
		}
		s.send(q)
	}
}

// end ends a request's run, which fails if its endpoint fell over meanwhile.
func (s *shedSim) end(q *shedRequest) {
	q.to.running--
	if s.now.Before(q.to.upAt) {
		s.answered(q, ggsretry.ResultFailed)
		return
	}
	s.result.served++
	q.vm.limits.ObserveServiceTime(plain, s.now.Sub(q.sent))
	s.announce(q)
	s.answered(q, ggsretry.ResultOK)
}

func (s *shedSim) answered(q *shedRequest, r ggsretry.Result) {
	q.vm.table.Ended(s.now, q.to.ID, r)
	q.vm.own[q.to.ID]--
}

// announce has a request's VM read from the answer that its endpoint is shed-limited.
func (s *shedSim) announce(q *shedRequest) {
	if s.silent {
		return
	}
	refusals := shedRefusals
	q.vm.limits.ObserveShedLimit(s.now, plain, &refusals, s.now)
}

// A shedReport sums up what all VMs report.
type shedReport struct {
	inFlight   map[ggscore.EndpointID]int
	shedLimits []ggscore.ShedLimit
}

// report has each VM read what the others reported some time ago.
func (s *shedSim) report() {
	r := shedReport{inFlight: map[ggscore.EndpointID]int{}}
	for _, v := range s.vms {
		for id, n := range v.own {
			r.inFlight[id] += n
		}
		r.shedLimits = append(r.shedLimits, v.limits.RecentShedLimits(s.now)...)
	}
	s.reports = append(s.reports, r)
	old := s.reportBefore(s.age)
	for _, v := range s.vms {
		var fs []ggscore.InFlight
		for id, n := range old.inFlight {
			fs = append(fs, ggscore.InFlight{Endpoint: id, Count: max(n-v.own[id], 0)})
		}
		v.table.SetPeersInFlight(s.now, fs)
		v.limits.ObservePeerShedLimits(s.now.Add(-s.age), old.shedLimits)
	}
}

// reportBefore returns the report that was the last one some time ago.
func (s *shedSim) reportBefore(age time.Duration) shedReport {
	return s.reports[max(len(s.reports)-1-int(age/shedInterval), 0)]
}
