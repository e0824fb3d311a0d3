package ggsrelay

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
)

const (
	// relayThresholdVMs is the least number of VMs at which heartbeats go through relays. In a
	// smaller deployment each heartbeat goes directly to every VM, with the delay of one
	// datagram.
	relayThresholdVMs = 25
	// ReportInterval is the time between heartbeats to relays.
	ReportInterval = 100 * time.Millisecond
	// RelayInterval is the time between summaries of a relay.
	RelayInterval = 150 * time.Millisecond
	// RelayDelay is the time that a state takes through relays, beyond the delay of a
	// heartbeat that is sent directly.
	RelayDelay = 300 * time.Millisecond
	// liveListPeriod is the interval, in summaries, at which a summary lists the live VMs.
	liveListPeriod = 2
	// domainSettleTime is the time after which a relay's sum of its domain is complete,
	// counted from when the VM became a relay or resumed: by then the VMs of the domain have
	// detected that the previous relay failed. fleetSettleTime is the time after which the
	// relays of the other domains have detected that failure too.
	domainSettleTime = 500 * time.Millisecond
	fleetSettleTime  = remoteRelayTimeout + 4*RelayInterval
	// maxSettledAge is the age of the last complete counts from which a VM uses incomplete
	// counts instead.
	maxSettledAge = 700 * time.Millisecond
	// sentHistory is the number of this VM's last heartbeats that are kept. A current summary
	// includes one of them.
	sentHistory = 24
)

// Options configures a Node.
type Options struct {
	Self Member
	// Started is the start time of the process. A later process of a VM has a greater one.
	Started int64
}

// A Node is one VM's state in the exchange of heartbeats and summaries.
type Node struct {
	options   Options
	members   map[ggscore.VMID]Member
	hashes    map[ggscore.VMHash]ggscore.VMID
	selectors map[ggscore.Domain]*relaySelector
	table     *table
	sequence  uint64
	// lastSequences holds the sequence of the last summary from each relay of the domain.
	lastSequences map[ggscore.VMID]sequence
	// lastTick is when this relay last sent summaries. activeSince is when it began to send
	// them without a pause.
	lastTick    time.Time
	activeSince time.Time
	// lastSettled is when complete counts last arrived.
	lastSettled time.Time
	// sent holds this VM's last heartbeats, indexed by sequence modulo sentHistory.
	sent [sentHistory]ggscore.Heartbeat
}

// A Message is a summary and the VMs to send it to.
type Message struct {
	To      []ggscore.VMID
	Summary ggscore.Summary
}

// A View is the state of the deployment that a VM applies.
type View struct {
	ggscore.Summary
	// VMs are the other VMs that the summary lists as live.
	VMs []ggscore.VMID
	// CountsValid reports whether the counts of requests in flight may be used.
	CountsValid bool
}

// NewNode returns a Node that knows no other VM.
func NewNode(o Options) *Node {
	n := &Node{
		options: o, members: map[ggscore.VMID]Member{}, hashes: map[ggscore.VMHash]ggscore.VMID{},
		selectors: map[ggscore.Domain]*relaySelector{}, table: newTable(), lastSequences: map[ggscore.VMID]sequence{},
	}
	n.SetMembers(nil)
	return n
}

// SetMembers replaces the set of other VMs.
func (n *Node) SetMembers(ms []Member) {
	n.members = map[ggscore.VMID]Member{n.options.Self.VM: n.options.Self}
	for _, m := range ms {
		n.members[m.VM] = m
	}
	n.hashes = make(map[ggscore.VMHash]ggscore.VMID, len(n.members))
	domains := map[ggscore.Domain][]Member{}
	for vm, m := range n.members {
		n.hashes[Hash(vm)] = vm
		domains[m.Domain] = append(domains[m.Domain], m)
	}
	for d, ms := range domains {
		if n.selectors[d] == nil {
			timeout := remoteRelayTimeout
			if d == n.options.Self.Domain {
				timeout = localRelayTimeout
			}
			n.selectors[d] = newRelaySelector(n.options.Self.VM, timeout)
		}
		n.selectors[d].candidates = rank(ms)
	}
	for d := range n.selectors {
		if domains[d] == nil {
			delete(n.selectors, d)
		}
	}
}

// UsesRelays reports whether heartbeats go through relays.
func (n *Node) UsesRelays() bool { return len(n.members) >= relayThresholdVMs }

// Relays returns the relays of this VM's domain.
func (n *Node) Relays(now time.Time) []ggscore.VMID {
	return n.selectors[n.options.Self.Domain].relays(now)
}

// AllRelays returns the relays of all domains.
func (n *Node) AllRelays(now time.Time) []ggscore.VMID {
	var vms []ggscore.VMID
	for _, r := range n.selectors {
		vms = append(vms, r.relays(now)...)
	}
	return vms
}

// IsRelay reports whether this VM is a relay.
func (n *Node) IsRelay(now time.Time) bool { return slices.Contains(n.Relays(now), n.options.Self.VM) }

// Report records this VM's next heartbeat. It returns the relay that forwards the increments
// in the heartbeat, and the VMs to send the heartbeat to.
func (n *Node) Report(now time.Time, h ggscore.Heartbeat) (countingRelay ggscore.VMID, to []ggscore.VMID) {
	vms := n.Relays(now)
	if len(vms) == 0 {
		return "", nil
	}
	h.CountingRelay = vms[h.Sequence%uint64(len(vms))]
	n.sent[h.Sequence%sentHistory] = h
	n.table.heartbeat(now, n.options.Self.VM, h)
	return h.CountingRelay, slices.DeleteFunc(vms, func(vm ggscore.VMID) bool { return vm == n.options.Self.VM })
}

// Heartbeat records the heartbeat of another VM of this VM's domain.
func (n *Node) Heartbeat(now time.Time, h ggscore.Heartbeat) {
	m, ok := n.members[h.VM]
	if !ok || m.Domain != n.options.Self.Domain || h.VM == n.options.Self.VM {
		return
	}
	n.table.heartbeat(now, n.options.Self.VM, h)
}

// Summary processes a relay's summary. It returns the view for this VM to apply, which is
// the sum over all domains without this VM's own requests, and false if there is none.
func (n *Node) Summary(now time.Time, s ggscore.Summary) (View, bool) {
	m, ok := n.members[s.From]
	if !ok || m.Domain != s.Domain || s.From == n.options.Self.VM {
		return View{}, false
	}
	own := s.Domain == n.options.Self.Domain
	if own != s.Fleet {
		return View{}, false
	}
	if !own {
		if n.table.summary(now, s) {
			n.selectors[s.Domain].recordSummary(now, s.From)
		}
		return View{}, false
	}
	q := sequence{s.Started, s.Sequence}
	if !q.after(n.lastSequences[s.From]) {
		return View{}, false
	}
	n.lastSequences[s.From] = q
	n.selectors[s.Domain].recordSummary(now, s.From)
	return n.view(now, s)
}

// view subtracts this VM's own requests from a summary. A summary that doesn't include this
// VM comes from a relay that doesn't receive its heartbeats, so the counts are incomplete and
// the summary is rejected.
func (n *Node) view(now time.Time, s ggscore.Summary) (View, bool) {
	v := View{Summary: s, CountsValid: !s.Settling || now.Sub(n.lastSettled) > maxSettledAge}
	self := Hash(n.options.Self.VM)
	i := slices.IndexFunc(s.Included, func(h ggscore.IncludedHeartbeat) bool { return h.VM == self })
	if i < 0 {
		return View{}, false
	}
	for _, h := range s.Live {
		if vm, ok := n.hashes[h]; ok && vm != n.options.Self.VM {
			v.VMs = append(v.VMs, vm)
		}
	}
	if !s.Settling {
		n.lastSettled = now
	}
	own := n.sent[s.Included[i].Sequence%sentHistory]
	if own.Sequence != s.Included[i].Sequence {
		return v, true
	}
	v.InFlight = slices.Clone(s.InFlight)
	for _, f := range own.InFlight {
		for j := range v.InFlight {
			if v.InFlight[j].Endpoint == f.Endpoint {
				v.InFlight[j].Count = max(v.InFlight[j].Count-f.Count, 0)
			}
		}
	}
	return v, true
}

// Tick returns the summaries that a relay sends now, and the view that the relay applies
// itself; ok is false if there is no such view. ownerDomain returns the domain of an endpoint's
// owner: uses of the endpoint's adapters are sent only to that domain.
func (n *Node) Tick(now time.Time, ownerDomain func(ggscore.EndpointID) ggscore.Domain) (ms []Message, own View, ok bool) {
	if !n.IsRelay(now) {
		return nil, View{}, false
	}
	if now.Sub(n.lastTick) > 2*RelayInterval {
		n.activeSince = now
	}
	n.lastTick = now
	n.table.expire(now)
	n.sequence++
	if now.Sub(n.activeSince) >= domainSettleTime {
		ms = n.domainSummaries(now, ownerDomain)
	}
	s := n.fleetSummary(now, ownerDomain)
	var to []ggscore.VMID
	for vm, m := range n.members {
		if m.Domain == n.options.Self.Domain && vm != n.options.Self.VM {
			to = append(to, vm)
		}
	}
	slices.Sort(to)
	ms = append(ms, Message{To: to, Summary: s})
	own, ok = n.view(now, s)
	return ms, own, ok
}

// domainSummaries returns the summaries of this VM's domain for the other domains. Each is sent
// to one relay of the other domain, and consecutive summaries go to different relays.
// Every probePeriod summaries, an unreachable VM gets one too, as a probe.
func (n *Node) domainSummaries(now time.Time, ownerDomain func(ggscore.EndpointID) ggscore.Domain) []Message {
	s := n.table.stateSummary(now)
	n.setHeader(&s)
	sortState(&s)
	totals := n.table.domainTotals()
	n.table.domainPending.drain(&s, totals.counts, totals.active)
	var ms []Message
	for d, r := range n.selectors {
		if d == n.options.Self.Domain {
			continue
		}
		vms := r.relays(now)
		if len(vms) == 0 {
			continue
		}
		to := []ggscore.VMID{vms[n.sequence%uint64(len(vms))]}
		if n.sequence%probePeriod == 0 {
			if vm := r.probe(n.sequence / probePeriod); vm != "" {
				to = append(to, vm)
			}
		}
		m := Message{To: to, Summary: s}
		m.Summary.Included = nil
		m.Summary.Uses = usesIn(s.Uses, d, ownerDomain)
		ms = append(ms, m)
	}
	slices.SortFunc(ms, func(a, b Message) int { return slices.Compare(a.To, b.To) })
	return ms
}

// fleetSummary returns the sum over all domains for the VMs of this VM's domain.
func (n *Node) fleetSummary(now time.Time, ownerDomain func(ggscore.EndpointID) ggscore.Domain) ggscore.Summary {
	s := n.table.stateSummary(now)
	n.table.addRemoteState(now, &s)
	n.setHeader(&s)
	sortState(&s)
	s.Fleet, s.Settling = true, now.Sub(n.activeSince) < fleetSettleTime
	totals := n.table.domainTotals()
	n.table.addRemoteTotals(totals)
	n.table.fleetPending.drain(&s, totals.counts, totals.active)
	s.Uses = usesIn(s.Uses, n.options.Self.Domain, ownerDomain)
	return s
}

func (n *Node) setHeader(s *ggscore.Summary) {
	s.From, s.Domain = n.options.Self.VM, n.options.Self.Domain
	s.Sequence, s.Started = n.sequence, n.options.Started
	if s.LiveWhole = n.sequence%liveListPeriod == 0; !s.LiveWhole {
		s.Live = nil
	}
}

// usesIn returns the uses of endpoints that are owned by a VM of the domain.
func usesIn(us []ggscore.Use, d ggscore.Domain, ownerDomain func(ggscore.EndpointID) ggscore.Domain) []ggscore.Use {
	var in []ggscore.Use
	for _, u := range us {
		if ownerDomain(u.Endpoint) == d {
			in = append(in, u)
		}
	}
	return in
}
