package ggsrelay

import (
	"cmp"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

const (
	// stateAge is the age from which a heartbeat or a summary no longer counts.
	stateAge = 1500 * time.Millisecond
	// liveAge is the age of the last heartbeat from which a VM isn't told to be live.
	liveAge = 4 * ReportInterval
)

// A table sums up heartbeats of the own domain and summaries of the others.
type table struct {
	heartbeats map[ggscore.VMID]*heartbeat
	domains    map[ggscore.Domain]*domain
	// rooms are the last words on endpoints' places, by which changes are told.
	rooms map[ggscore.EndpointID]room
	// own is pending for the other domains, fleet for the VMs of this one.
	own   *pending
	fleet *pending
}

type heartbeat struct {
	ggscore.Heartbeat
	at time.Time
}

// A domain is the newest summary of another domain.
type domain struct {
	ggscore.Summary
	at time.Time
	// live are the VMs that the summary before told.
	live []ggscore.VMHash
	// relays are the last sequences by relay.
	relays map[ggscore.VMID]sequence
}

// A sequence orders the datagrams of a VM. A process that starts anew counts from 1.
type sequence struct {
	started int64
	number  uint64
}

func (s sequence) after(o sequence) bool {
	return s.started > o.started || s.started == o.started && s.number > o.number
}

type room struct{ waiting, room int }

func newTable() *table {
	return &table{
		heartbeats: map[ggscore.VMID]*heartbeat{}, domains: map[ggscore.Domain]*domain{},
		rooms: map[ggscore.EndpointID]room{}, own: newPending(), fleet: newPending(),
	}
}

// heartbeat takes a VM's heartbeat. One that a later one overtook changes nothing.
func (t *table) heartbeat(now time.Time, self ggscore.VMID, h ggscore.Heartbeat) {
	if b := t.heartbeats[h.VM]; b != nil && !(sequence{h.Started, h.Sequence}).after(sequence{b.Started, b.Sequence}) {
		return
	}
	t.heartbeats[h.VM] = &heartbeat{Heartbeat: h, at: now}
	hs := t.changed(h.Holdings)
	for _, p := range []*pending{t.own, t.fleet} {
		p.addHoldings(hs)
		p.addUses(h.Uses)
		if h.Carrier != "" && h.Carrier != self {
			continue
		}
		p.addEnds(h.InFlight)
		p.addTurns(h.Samples, h.Tallies)
		for _, u := range h.Uses {
			if u.Count > 0 {
				p.demand[u.Target] += u.Count
			}
		}
	}
}

// changed returns the holdings that tell something new.
func (t *table) changed(hs []ggscore.Holding) []ggscore.Holding {
	var c []ggscore.Holding
	for _, h := range hs {
		r := room{h.Waiting, h.Room}
		if h.Whole || t.rooms[h.Endpoint] != r {
			c = append(c, h)
		}
		t.rooms[h.Endpoint] = r
	}
	return c
}

// summary takes another domain's summary, and reports whether it is newer than those of
// the same relay.
func (t *table) summary(now time.Time, s ggscore.Summary) bool {
	d := t.domains[s.Domain]
	if d == nil {
		d = &domain{relays: map[ggscore.VMID]sequence{}}
		t.domains[s.Domain] = d
	}
	q := sequence{s.Started, s.Sequence}
	if !q.after(d.relays[s.From]) {
		return false
	}
	d.relays[s.From] = q
	d.Summary, d.at = s, now
	if s.LiveWhole {
		d.live = s.Live
	}
	t.fleet.addEnds(s.InFlight)
	t.fleet.addHoldings(s.Holdings)
	t.fleet.addUses(s.Uses)
	t.fleet.addTurns(s.Samples, s.Tallies)
	for _, n := range s.Demand {
		t.fleet.demand[n.Target] += n.Count
	}
	return true
}

// forget drops what is too old to count.
func (t *table) forget(now time.Time) {
	for vm, h := range t.heartbeats {
		if now.Sub(h.at) > stateAge {
			delete(t.heartbeats, vm)
		}
	}
	for n, d := range t.domains {
		if now.Sub(d.at) > stateAge {
			delete(t.domains, n)
		}
	}
}

// A sum is the state of a domain, or of all.
type sum struct {
	counts map[ggscore.EndpointID]int
	active map[use]bool
}

// ownSum adds up the heartbeats of the own domain.
func (t *table) ownSum() sum {
	s := sum{counts: map[ggscore.EndpointID]int{}, active: map[use]bool{}}
	for _, h := range t.heartbeats {
		for _, f := range h.InFlight {
			if f.Count > 0 {
				s.counts[f.Endpoint] += f.Count
			}
		}
		s.addUses(h.Uses)
	}
	return s
}

func (s *sum) addUses(us []ggscore.Use) {
	for _, u := range us {
		if u.Active {
			s.active[use{u.Endpoint, u.Target}] = true
		}
	}
}

// addDomains adds the summaries of the other domains.
func (t *table) addDomains(s sum) {
	for _, d := range t.domains {
		for _, f := range d.InFlight {
			if f.Count > 0 {
				s.counts[f.Endpoint] += f.Count
			}
		}
		s.addUses(d.Uses)
	}
}

// head returns a summary of the own domain with all that isn't told once.
func (t *table) head(now time.Time) ggscore.Summary {
	s := ggscore.Summary{News: unknownNews()}
	for vm, h := range t.heartbeats {
		s.Included = append(s.Included, ggscore.IncludedHeartbeat{VM: Hash(vm), Sequence: h.Sequence})
		if now.Sub(h.at) <= liveAge {
			s.Live = append(s.Live, Hash(vm))
		}
		s.News = s.News.Merge(h.News.Aged(now.Sub(h.at)))
		s.Limits = mergeLimits(s.Limits, h.Limits, now.Sub(h.at))
		s.Departures = mergeDepartures(s.Departures, h.Departures)
		if s.Decider == "" || vm < s.Decider {
			s.Decider, s.Modes = vm, h.Modes
		}
	}
	return s
}

// addHeads adds what the summaries of the other domains say beside their sums.
func (t *table) addHeads(now time.Time, s *ggscore.Summary) {
	for _, d := range t.domains {
		s.Live = append(s.Live, d.live...)
		s.News = s.News.Merge(d.News.Aged(now.Sub(d.at)))
		s.Limits = mergeLimits(s.Limits, d.Limits, now.Sub(d.at))
		s.Departures = mergeDepartures(s.Departures, d.Departures)
		if d.Decider != "" && (s.Decider == "" || d.Decider < s.Decider) {
			s.Decider, s.Modes = d.Decider, d.Modes
		}
	}
}

// unknownAge is the age of what was never read.
const unknownAge = time.Hour

func unknownNews() ggscore.News { return ggscore.News{ListAge: unknownAge, OperatorsAge: unknownAge} }

func sortHead(s *ggscore.Summary) {
	slices.SortFunc(s.Included, func(a, b ggscore.IncludedHeartbeat) int { return cmp.Compare(a.VM, b.VM) })
	slices.Sort(s.Live)
}

// mergeLimits adds limits of a heartbeat or summary of some time ago to a list. Of each
// endpoint's the newest stays.
func mergeLimits(ls, others []ggscore.EndpointLimit, passed time.Duration) []ggscore.EndpointLimit {
	for _, l := range others {
		l.Age += passed
		i := slices.IndexFunc(ls, func(o ggscore.EndpointLimit) bool { return o.Endpoint == l.Endpoint })
		switch {
		case i < 0:
			ls = append(ls, l)
		case l.Age < ls[i].Age:
			ls[i] = l
		}
	}
	return ls
}

func mergeDepartures(ds, others []ggscore.Departure) []ggscore.Departure {
	for _, d := range others {
		if !slices.ContainsFunc(ds, func(o ggscore.Departure) bool { return o.Endpoint == d.Endpoint && o.Born.Equal(d.Born) }) {
			ds = append(ds, d)
		}
	}
	return ds
}
