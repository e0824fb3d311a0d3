package ggsplace_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggspermit"
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
	// loss is the share of datagrams between VMs that are lost.
	loss float64
	// failed is the number of VMs that fail at shedFaultAt, and stay down.
	failed int
	// partitioned has the VMs of the first region cut off from the others from shedFaultAt on, for
	// shedFaultTime. All reach the endpoints.
	partitioned bool
	// leaving is the share of callers that leave early. The endpoint goes on with their requests.
	leaving float64
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
	shedFaultAt   = 9 * time.Second
	shedFaultTime = 4 * time.Second
	// shedPeerTimeout is the time after which a VM is known to have failed, or to be cut off.
	shedPeerTimeout = time.Second
	// shedPermitWait is how long a request may wait for a permit, and shedAskTimeout the time that
	// its VM waits for a decision beyond that.
	shedPermitWait = 50 * time.Millisecond
	shedAskTimeout = 40 * time.Millisecond
	// shedPermitTick is the time between a VM's checks of its permits.
	shedPermitTick = 100 * time.Millisecond
	// shedRegionTrip is the time of a datagram between regions.
	shedRegionTrip = 8 * time.Millisecond
)

type shedVM struct {
	member ggspermit.Member
	table  *ggsplace.Table
	limits *ggsthrottle.Table
	issuer *ggspermit.Issuer
	holder *ggspermit.Holder
	own    map[ggscore.EndpointID]int
	down   bool
	// asks are the requests that wait for a permit.
	asks map[ggscore.PermitID]*shedRequest
}

type shedRequest struct {
	vm        *shedVM
	to        *shedEndpoint
	tried     []ggscore.EndpointID
	sent, due time.Time
	running   bool
	permit    ggscore.PermitID
	// rejected is set if the endpoint refused the request, left if the caller has left.
	rejected bool
	left     bool
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
	indices   map[ggscore.VMID]int
	list      []ggscore.Instance
	vms       []*shedVM
	endpoints map[ggscore.EndpointID]*shedEndpoint
	active    []*shedRequest
	// reports are what the VMs report of themselves, one for each shedInterval.
	reports []shedReport
	// messages are datagrams and timers, by the tick at which they are due.
	messages map[int][]func()
	members  []ggspermit.Member
	issuers  map[shedIssuer]ggscore.VMID
	arrived  float64
	result   shedResult
}

func newShedSim(l shedLoad) *shedSim {
	s := &shedSim{shedLoad: l, rng: rand.New(rand.NewPCG(7, 0)), now: at(0), endpoints: map[ggscore.EndpointID]*shedEndpoint{}, messages: map[int][]func(){}, issuers: map[shedIssuer]ggscore.VMID{}, indices: map[ggscore.VMID]int{}}
	for n := range l.endpoints {
		i := ggscore.Instance{ID: ggscore.EndpointID(fmt.Sprintf("p%d", n)), Service: plain, Domain: l.domain(n), Slots: l.slots}
		s.list = append(s.list, i)
		s.endpoints[i.ID] = &shedEndpoint{Instance: i}
	}
	for n := range l.vms {
		s.ids = append(s.ids, ggscore.VMID(fmt.Sprintf("vm-%03d", n)))
		s.indices[s.ids[n]] = n
		s.members = append(s.members, ggspermit.Member{VM: s.ids[n], Domain: l.domain(n), Region: ggscore.Region(l.domain(n))})
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
		member: s.members[n], limits: ggsthrottle.NewTable(s.ids[n]), own: map[ggscore.EndpointID]int{}, asks: map[ggscore.PermitID]*shedRequest{},
		holder: ggspermit.NewHolder(s.ids[n], uint64(s.now.UnixNano())),
	}
	v.limits.SetVMs(append([]ggscore.VMID(nil), s.ids...))
	v.table = ggsplace.NewTable(ggsplace.Options{
		Domain: s.domain(n), Regions: s.regionsOf(), Seed: uint64(n + 1), Throttle: v.limits,
	})
	v.table.SetInstances(s.now, s.list)
	v.issuer = ggspermit.NewIssuer(v.table)
	v.issuer.SetInstances(s.list)
	v.issuer.SetLive(s.now, s.ids)
	return v
}

// run plays the load and counts what callers got and how often endpoints fell over.
func (l shedLoad) run() shedResult {
	s := newShedSim(l)
	for step := range int(shedLength / shedTick) {
		s.now = at(time.Duration(step) * shedTick)
		for _, f := range s.messages[step] {
			f()
		}
		delete(s.messages, step)
		s.advance()
		if step%int(shedPermitTick/shedTick) == 0 {
			s.renewPermits()
		}
		if step%int(shedInterval/shedTick) == 0 {
			s.report()
		}
		if l.restartAt > 0 && step == int(l.restartAt/shedTick) {
			s.restart()
		}
		if step == int(shedFaultAt/shedTick) {
			s.fail()
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

// fail has VMs fail. Their requests end at the endpoints.
func (s *shedSim) fail() {
	for _, v := range s.vms[:s.failed] {
		v.down, v.own = true, map[ggscore.EndpointID]int{}
	}
	s.active = slices.DeleteFunc(s.active, func(q *shedRequest) bool {
		if q.vm.down && q.running {
			q.to.running--
		}
		return q.vm.down
	})
}

// apart reports whether a VM's datagrams don't reach another.
func (s *shedSim) apart(a, b *shedVM) bool {
	d := s.now.Sub(at(shedFaultAt))
	return b.down || s.partitioned && d >= 0 && d < shedFaultTime && (a.member.Domain == s.domain(0)) != (b.member.Domain == s.domain(0))
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
		for v.down {
			v = s.vms[s.rng.IntN(len(s.vms))]
		}
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
		q.to, q.permit = s.endpoints[c.Instance.ID], q.vm.holder.Begin(c.Instance.ID)
		if q.vm.limits.ShedLimited(s.now, plain) {
			s.ask(q)
			return
		}
		s.dispatch(q)
		return
	}
}

// dispatch sends a request to its endpoint.
func (s *shedSim) dispatch(q *shedRequest) {
	q.sent, q.due, q.running, q.rejected = s.now, s.now.Add(shedTrip), false, false
	q.vm.holder.Sent(s.now, q.permit)
	q.vm.table.Sent(s.now, q.to.ID)
	q.vm.own[q.to.ID]++
	s.active = append(s.active, q)
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
		if s.leaving > 0 && s.rng.Float64() < s.leaving {
			s.after(s.serviceTime/4, func() { s.leave(q) })
		}
	default:
		s.result.turnedAway++
		e.refused = append(e.refused, s.now)
		for s.now.Sub(e.refused[0]) >= time.Second {
			e.refused = e.refused[1:]
		}
		s.announce(q)
		q.rejected = true
		s.answered(q, ggsretry.ResultNeutral)
		if len(e.refused) > shedRefusals && s.now.Sub(at(0)) > shedWarmUp {
			s.result.falls++
			e.upAt, e.refused = s.now.Add(shedDown), nil
		}
		s.send(q)
	}
}

// leave has a request's caller leave while the request runs.
func (s *shedSim) leave(q *shedRequest) {
	if !q.vm.down {
		q.left = true
		s.answered(q, ggsretry.ResultNeutral)
	}
}

// end ends a request's run, which fails if its endpoint fell over meanwhile.
func (s *shedSim) end(q *shedRequest) {
	q.to.running--
	if q.left {
		return
	}
	if s.now.Before(q.to.upAt) {
		s.answered(q, ggsretry.ResultFailed)
		return
	}
	s.result.served++
	s.announce(q)
	s.answered(q, ggsretry.ResultOK)
}

func (s *shedSim) answered(q *shedRequest, r ggsretry.Result) {
	q.vm.table.Ended(s.now, q.to.ID, r)
	q.vm.own[q.to.ID]--
	s.release(q)
}

// announce has a request's VM read from the answer that its endpoint is shed-limited.
func (s *shedSim) announce(q *shedRequest) {
	if s.silent {
		return
	}
	refusals := shedRefusals
	q.vm.limits.ObserveShedLimit(plain, &refusals, s.now)
}

// A shedReport sums up what all VMs report.
type shedReport struct {
	inFlight   map[ggscore.Region]map[ggscore.EndpointID]int
	shedLimits []ggscore.ShedLimit
}

// report has each VM read what the others reported some time ago.
func (s *shedSim) report() {
	r := shedReport{inFlight: map[ggscore.Region]map[ggscore.EndpointID]int{}}
	for _, v := range s.vms {
		if r.inFlight[v.member.Region] == nil {
			r.inFlight[v.member.Region] = map[ggscore.EndpointID]int{}
		}
		for id, n := range v.own {
			r.inFlight[v.member.Region][id] += n
		}
		r.shedLimits = append(r.shedLimits, v.limits.RecentShedLimits(s.now)...)
	}
	s.reports = append(s.reports, r)
	old := s.reportBefore(s.age)
	for _, v := range s.vms {
		sum := map[ggscore.EndpointID]int{}
		for region, counts := range old.inFlight {
			if s.apart(v, &shedVM{member: ggspermit.Member{Domain: ggscore.Domain(region)}}) {
				continue
			}
			for id, n := range counts {
				sum[id] += n
			}
		}
		var fs []ggscore.InFlight
		for id, n := range sum {
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
