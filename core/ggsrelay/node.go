package ggsrelay

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
)

const (
	// largeFleet is the number of VMs from which heartbeats go through relays. Below it
	// they go to each VM, which takes no longer than the way of a datagram.
	largeFleet = 25
	// ReportInterval is the time between heartbeats to relays.
	ReportInterval = 100 * time.Millisecond
	// RelayInterval is the time between summaries of a relay.
	RelayInterval = 150 * time.Millisecond
	// NewsDelay is the time that what VMs tell takes through relays beyond that of a
	// heartbeat that is sent directly.
	NewsDelay = 300 * time.Millisecond
	// liveEvery is the number of summaries after which the live VMs are told.
	liveEvery = 2
	// ownSettle is the time from which a relay's sum of its domain is whole, since it became
	// one or was suspended: its VMs have found the one before silent. The other domains'
	// relays have done so after fleetSettle.
	ownSettle   = 500 * time.Millisecond
	fleetSettle = farSilence + 4*RelayInterval
	// settledAge is the age of the last whole counts from which others are better than none.
	settledAge = 700 * time.Millisecond
	// keptReports is the number of own heartbeats that are kept: those that a summary in
	// use may count.
	keptReports = 24
)

// An Options sets a Node.
type Options struct {
	Self Member
	// Started is the start of the process.
	Started int64
}

// A Node is a VM in the exchange of heartbeats and summaries.
type Node struct {
	options  Options
	members  map[ggscore.VMID]Member
	hashes   map[ggscore.VMHash]ggscore.VMID
	choosers map[ggscore.Domain]*chooser
	table    *table
	sequence uint64
	// relays are the last sequences of the relays whose summaries arrived.
	relays map[ggscore.VMID]sequence
	// ticked is when this relay sent summaries last, since when it has done so without a
	// pause.
	ticked time.Time
	since  time.Time
	// settled is when whole counts arrived last.
	settled time.Time
	// sent are the own heartbeats by sequence, modulo keptReports.
	sent [keptReports]ggscore.Heartbeat
}

// A Message is a summary to be sent.
type Message struct {
	To      []ggscore.VMID
	Summary ggscore.Summary
}

// A View is what a VM is to go by.
type View struct {
	ggscore.Summary
	// VMs are the other VMs that were told to be live.
	VMs []ggscore.VMID
	// Counts says that the requests in flight are to be taken.
	Counts bool
}

// NewNode returns a Node that knows no other VM.
func NewNode(o Options) *Node {
	n := &Node{
		options: o, members: map[ggscore.VMID]Member{}, hashes: map[ggscore.VMHash]ggscore.VMID{},
		choosers: map[ggscore.Domain]*chooser{}, table: newTable(), relays: map[ggscore.VMID]sequence{},
	}
	n.SetMembers(nil)
	return n
}

// SetMembers takes the other VMs.
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
		if n.choosers[d] == nil {
			silence := farSilence
			if d == n.options.Self.Domain {
				silence = relaySilence
			}
			n.choosers[d] = newChooser(n.options.Self.VM, silence)
		}
		n.choosers[d].ranked = rank(ms)
	}
	for d := range n.choosers {
		if domains[d] == nil {
			delete(n.choosers, d)
		}
	}
}

// Large reports whether heartbeats go through relays.
func (n *Node) Large() bool { return len(n.members) >= largeFleet }

// Relays returns the relays of the own domain.
func (n *Node) Relays(now time.Time) []ggscore.VMID {
	return n.choosers[n.options.Self.Domain].relays(now)
}

// AllRelays returns the relays of all domains.
func (n *Node) AllRelays(now time.Time) []ggscore.VMID {
	var vms []ggscore.VMID
	for _, c := range n.choosers {
		vms = append(vms, c.relays(now)...)
	}
	return vms
}

// Relay reports whether this VM is a relay.
func (n *Node) Relay(now time.Time) bool { return slices.Contains(n.Relays(now), n.options.Self.VM) }

// Report takes this VM's next heartbeat and returns the relay that carries what it tells
// once, and the VMs that it is sent to.
func (n *Node) Report(now time.Time, h ggscore.Heartbeat) (carrier ggscore.VMID, to []ggscore.VMID) {
	vms := n.Relays(now)
	if len(vms) == 0 {
		return "", nil
	}
	h.Carrier = vms[h.Sequence%uint64(len(vms))]
	n.sent[h.Sequence%keptReports] = h
	n.table.heartbeat(now, n.options.Self.VM, h)
	return h.Carrier, slices.DeleteFunc(vms, func(vm ggscore.VMID) bool { return vm == n.options.Self.VM })
}

// Heartbeat takes the heartbeat of another VM of the domain.
func (n *Node) Heartbeat(now time.Time, h ggscore.Heartbeat) {
	m, ok := n.members[h.VM]
	if !ok || m.Domain != n.options.Self.Domain || h.VM == n.options.Self.VM {
		return
	}
	n.table.heartbeat(now, n.options.Self.VM, h)
}

// Summary takes a relay's summary. It returns what is to be applied by this VM: the sum
// over all domains without this VM's own requests.
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
			n.choosers[s.Domain].observe(now, s.From)
		}
		return View{}, false
	}
	q := sequence{s.Started, s.Sequence}
	if !q.after(n.relays[s.From]) {
		return View{}, false
	}
	n.relays[s.From] = q
	n.choosers[s.Domain].observe(now, s.From)
	return n.view(now, s)
}

// view takes this VM's own requests off a summary. One that doesn't count them is of a
// relay that doesn't receive this VM's heartbeats, and whose counts aren't whole.
func (n *Node) view(now time.Time, s ggscore.Summary) (View, bool) {
	v := View{Summary: s, Counts: !s.Settling || now.Sub(n.settled) > settledAge}
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
		n.settled = now
	}
	own := n.sent[s.Included[i].Sequence%keptReports]
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

// Tick returns the summaries that a relay sends now, and the one that it applies itself.
// The function returns the domain of the VM that controls an endpoint: only there it is
// wanted who uses its adapters.
func (n *Node) Tick(now time.Time, controller func(ggscore.EndpointID) ggscore.Domain) (ms []Message, own View, ok bool) {
	if !n.Relay(now) {
		return nil, View{}, false
	}
	if now.Sub(n.ticked) > 2*RelayInterval {
		n.since = now
	}
	n.ticked = now
	n.table.forget(now)
	n.sequence++
	if now.Sub(n.since) >= ownSettle {
		ms = n.exchange(now, controller)
	}
	s := n.fleet(now, controller)
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

// exchange returns the summaries of the own domain for the others, each for one of the
// other domain's relays in turn.
func (n *Node) exchange(now time.Time, controller func(ggscore.EndpointID) ggscore.Domain) []Message {
	s := n.table.head(now)
	n.seal(&s)
	sortHead(&s)
	sum := n.table.ownSum()
	n.table.own.take(&s, sum.counts, sum.active)
	var ms []Message
	for d, c := range n.choosers {
		if d == n.options.Self.Domain {
			continue
		}
		vms := c.relays(now)
		if len(vms) == 0 {
			continue
		}
		to := []ggscore.VMID{vms[n.sequence%uint64(len(vms))]}
		if n.sequence%probeEvery == 0 {
			if vm := c.probe(n.sequence / probeEvery); vm != "" {
				to = append(to, vm)
			}
		}
		m := Message{To: to, Summary: s}
		m.Summary.Included = nil
		m.Summary.Uses = usesIn(s.Uses, d, controller)
		ms = append(ms, m)
	}
	slices.SortFunc(ms, func(a, b Message) int { return slices.Compare(a.To, b.To) })
	return ms
}

// fleet returns the sum over all domains for the VMs of the own.
func (n *Node) fleet(now time.Time, controller func(ggscore.EndpointID) ggscore.Domain) ggscore.Summary {
	s := n.table.head(now)
	n.table.addHeads(now, &s)
	n.seal(&s)
	sortHead(&s)
	s.Fleet, s.Settling = true, now.Sub(n.since) < fleetSettle
	sum := n.table.ownSum()
	n.table.addDomains(sum)
	n.table.fleet.take(&s, sum.counts, sum.active)
	s.Uses = usesIn(s.Uses, n.options.Self.Domain, controller)
	return s
}

func (n *Node) seal(s *ggscore.Summary) {
	s.From, s.Domain = n.options.Self.VM, n.options.Self.Domain
	s.Sequence, s.Started = n.sequence, n.options.Started
	if s.LiveWhole = n.sequence%liveEvery == 0; !s.LiveWhole {
		s.Live = nil
	}
}

// usesIn returns the uses of endpoints that a VM of the domain controls.
func usesIn(us []ggscore.Use, d ggscore.Domain, controller func(ggscore.EndpointID) ggscore.Domain) []ggscore.Use {
	var in []ggscore.Use
	for _, u := range us {
		if controller(u.Endpoint) == d {
			in = append(in, u)
		}
	}
	return in
}
