package ggsrelay_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsrelay"
)

// A sim simulates VMs that exchange heartbeats and summaries, on a virtual clock. Each VM
// reports the time in milliseconds as its number of requests at an endpoint of its own, so
// that the age of the counts at other VMs can be computed.
type sim struct {
	rng     *rand.Rand
	now     time.Duration
	queue   events
	nodes   map[ggscore.VMID]*simNode
	members []ggsrelay.Member
	loss    float64
	// partitioned reports whether two domains can't reach each other.
	partitioned func(a, b ggscore.Domain) bool
	// limits returns the rate limits of endpoints that a VM knows.
	limits func(ggscore.VMID) []ggscore.EndpointLimit
	// shedLimits returns the shed limits of services that a VM knows.
	shedLimits func(ggscore.VMID) []ggscore.ShedLimit
	// departures returns the endpoints whose departures a VM reports.
	departures func(ggscore.VMID) []ggscore.Departure
	// received counts datagrams by receiver since the last reset.
	received map[ggscore.VMID]int
}

type simNode struct {
	*ggsrelay.Node
	member   ggsrelay.Member
	sequence uint64
	down     bool
	// resumedAt is when the VM last resumed, zero if it never did.
	resumedAt time.Duration
	// inFlight holds the applied counts of requests, appliedAt the time of the last view,
	// liveAt when each VM was last listed as live, and demand the sum of demand received.
	inFlight   map[ggscore.EndpointID]int
	appliedAt  time.Duration
	liveAt     map[ggscore.VMID]time.Duration
	demand     int
	holdingsAt map[ggscore.EndpointID]time.Duration
	limits     map[ggscore.EndpointID]ggscore.EndpointLimit
	shedLimits map[ggscore.Service]ggscore.ShedLimit
	departures map[ggscore.EndpointID]time.Time
	// epoch is the store epoch that the VM knows.
	epoch ggscore.StoreEpoch
}

type event struct {
	at  time.Duration
	run func()
}

type events []event

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].at < q[j].at }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)        { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

const (
	lowCapacity  = 4
	highCapacity = 160
)

// newSim returns a simulation of vms VMs that are spread over the domains. A region has two
// domains, and the first three VMs of a domain have high capacity.
func newSim(seed uint64, vms, domains int) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 0)), nodes: map[ggscore.VMID]*simNode{}, received: map[ggscore.VMID]int{},
		partitioned: func(ggscore.Domain, ggscore.Domain) bool { return false },
		limits:      func(ggscore.VMID) []ggscore.EndpointLimit { return nil },
		shedLimits:  func(ggscore.VMID) []ggscore.ShedLimit { return nil },
		departures:  func(ggscore.VMID) []ggscore.Departure { return nil },
	}
	for i := range vms {
		m := ggsrelay.Member{
			VM:     ggscore.VMID(fmt.Sprintf("vm-%03d", i)),
			Domain: ggscore.Domain(fmt.Sprintf("domain-%d", i%domains)), Region: ggscore.Region(fmt.Sprintf("region-%d", i%domains/2)),
			Capacity: lowCapacity,
		}
		if i/domains < 3 {
			m.Capacity = highCapacity
		}
		s.members = append(s.members, m)
	}
	for _, m := range s.members {
		s.start(m)
	}
	return s
}

func clock(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

// start starts a VM at a random phase. The VM knows the others at once.
func (s *sim) start(m ggsrelay.Member) *simNode {
	n := &simNode{
		Node: ggsrelay.NewNode(ggsrelay.Options{Self: m, Started: int64(s.now) + 1}), member: m,
		inFlight: map[ggscore.EndpointID]int{}, liveAt: map[ggscore.VMID]time.Duration{}, holdingsAt: map[ggscore.EndpointID]time.Duration{},
		limits: map[ggscore.EndpointID]ggscore.EndpointLimit{}, shedLimits: map[ggscore.Service]ggscore.ShedLimit{}, departures: map[ggscore.EndpointID]time.Time{},
	}
	n.SetMembers(slices.DeleteFunc(slices.Clone(s.members), func(o ggsrelay.Member) bool { return o.VM == m.VM }))
	s.nodes[m.VM] = n
	s.after(time.Duration(s.rng.Int64N(int64(ggsrelay.ReportInterval))), func() { s.report(n) })
	s.after(time.Duration(s.rng.Int64N(int64(ggsrelay.RelayInterval))), func() { s.tick(n) })
	return n
}

// resume makes a VM that was down continue with its state.
func (s *sim) resume(vm ggscore.VMID) {
	n := s.nodes[vm]
	n.down, n.resumedAt = false, s.now
}

func (s *sim) after(d time.Duration, run func()) { heap.Push(&s.queue, event{at: s.now + d, run: run}) }

func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func endpointOf(vm ggscore.VMID) ggscore.EndpointID { return "e-" + ggscore.EndpointID(vm) }

func (s *sim) report(n *simNode) {
	if s.nodes[n.member.VM] != n {
		return
	}
	s.after(ggsrelay.ReportInterval, func() { s.report(n) })
	if n.down {
		return
	}
	n.sequence++
	h := ggscore.Heartbeat{
		VM: n.member.VM, Sequence: n.sequence, Started: 1,
		InFlight: []ggscore.InFlight{{Endpoint: endpointOf(n.member.VM), Count: int(s.now.Milliseconds())}},
		Uses:     []ggscore.Use{{Endpoint: "shared", Target: ggscore.ModelAdapter{Model: "m", Adapter: "a"}, Count: 1, Active: true}},
	}
	h.Progress.Epoch = n.epoch
	h.Limits, h.Departures = s.limits(n.member.VM), s.departures(n.member.VM)
	h.ShedLimits = s.shedLimits(n.member.VM)
	if n.sequence%9 == 0 {
		h.Holdings = []ggscore.Holding{{Endpoint: endpointOf(n.member.VM), Whole: true}}
	}
	countingRelay, to := n.Report(clock(s.now), h)
	h.CountingRelay = countingRelay
	for _, vm := range to {
		s.send(n, vm, func(o *simNode) { o.Heartbeat(clock(s.now), h) })
	}
}

func (s *sim) tick(n *simNode) {
	if s.nodes[n.member.VM] != n {
		return
	}
	s.after(ggsrelay.RelayInterval, func() { s.tick(n) })
	if n.down {
		return
	}
	ms, v, ok := n.Tick(clock(s.now), func(ggscore.EndpointID) ggscore.Domain { return "domain-0" })
	if ok {
		s.apply(n, v)
	}
	for _, m := range ms {
		for _, vm := range m.To {
			s.send(n, vm, func(o *simNode) {
				if v, ok := o.Summary(clock(s.now), m.Summary); ok {
					s.apply(o, v)
				}
			})
		}
	}
}

func (s *sim) send(from *simNode, to ggscore.VMID, arrive func(*simNode)) {
	o := s.nodes[to]
	if o == nil || s.rng.Float64() < s.loss || s.partitioned(from.member.Domain, o.member.Domain) {
		return
	}
	d := time.Millisecond
	if from.member.Region != o.member.Region {
		d = 8 * time.Millisecond
	}
	d += time.Duration(s.rng.Int64N(int64(4 * time.Millisecond)))
	s.after(d, func() {
		if o := s.nodes[to]; o != nil && !o.down {
			s.received[to]++
			arrive(o)
		}
	})
}

func (s *sim) apply(n *simNode, v ggsrelay.View) {
	n.appliedAt = s.now
	n.epoch = max(n.epoch, v.Progress.Epoch)
	if v.CountsValid {
		clear(n.inFlight)
		for _, f := range v.InFlight {
			n.inFlight[f.Endpoint] = f.Count
		}
	}
	for _, vm := range v.VMs {
		n.liveAt[vm] = s.now
	}
	for _, d := range v.Demand {
		n.demand += d.Count
	}
	for _, d := range v.Departures {
		n.departures[d.Endpoint] = d.StartedAt
	}
	for _, l := range v.Limits {
		n.limits[l.Endpoint] = l
	}
	for _, l := range v.ShedLimits {
		n.shedLimits[l.Service] = l
	}
	for _, h := range v.Holdings {
		n.holdingsAt[h.Endpoint] = s.now
	}
}

// resumeTime is the time that a resumed VM and the others have to exchange their state.
const resumeTime = 700 * time.Millisecond

func (s *sim) settled(n *simNode) bool {
	return !n.down && (n.resumedAt == 0 || s.now-n.resumedAt > resumeTime)
}

// ages returns, for each pair of VMs that are up, the age of the count that one has of the
// other's requests. A count that never arrived is as old as the clock.
func (s *sim) ages() []time.Duration {
	var as []time.Duration
	for vm, n := range s.nodes {
		for other, o := range s.nodes {
			if vm != other && s.settled(n) && s.settled(o) {
				as = append(as, s.now-time.Duration(n.inFlight[endpointOf(other)])*time.Millisecond)
			}
		}
	}
	slices.Sort(as)
	return as
}

// ageStats samples ages for a duration and returns the 99th percentile and the greatest.
func (s *sim) ageStats(d time.Duration) (p99, most time.Duration) {
	var as []time.Duration
	for end := s.now + d; s.now < end; {
		s.run(170 * time.Millisecond)
		as = append(as, s.ages()...)
	}
	slices.Sort(as)
	return as[len(as)*99/100], as[len(as)-1]
}

// busiest returns the datagrams per second received by the busiest VM and by all VMs.
func (s *sim) busiest(d time.Duration) (busiest, all float64) {
	clear(s.received)
	s.run(d)
	most, sum := 0, 0
	for _, n := range s.received {
		most, sum = max(most, n), sum+n
	}
	return float64(most) / d.Seconds(), float64(sum) / d.Seconds()
}

// relays returns the relays of a domain as its first low-capacity VM that is up selects them.
func (s *sim) relays(d ggscore.Domain) []ggscore.VMID {
	for _, m := range s.members {
		if n := s.nodes[m.VM]; m.Domain == d && n != nil && !n.down && m.Capacity == lowCapacity {
			return n.Relays(clock(s.now))
		}
	}
	return nil
}
