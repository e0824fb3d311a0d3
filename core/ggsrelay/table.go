package ggsrelay

import (
	"cmp"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

const (
	// maxStateAge is the age beyond which a heartbeat or a summary is discarded.
	maxStateAge = 1500 * time.Millisecond
	// maxLiveAge is the age of the last heartbeat beyond which a VM isn't reported as live.
	maxLiveAge = 4 * ReportInterval
)

// A table aggregates the heartbeats of this VM's domain and the summaries of the others.
type table struct {
	heartbeats map[ggscore.VMID]*heartbeat
	domains    map[ggscore.Domain]*remoteDomain
	// loadStates holds the last load state of each endpoint, to detect changes.
	loadStates map[ggscore.EndpointID]loadState
	// domainPending holds the updates for the next summary to the other domains, and
	// fleetPending those for the next summary to the VMs of this domain.
	domainPending *pendingUpdates
	fleetPending  *pendingUpdates
}

type heartbeat struct {
	ggscore.Heartbeat
	receivedAt time.Time
}

// A remoteDomain is the newest summary of another domain.
type remoteDomain struct {
	ggscore.Summary
	receivedAt time.Time
	// live holds the VMs of the last summary that listed the live ones.
	live []ggscore.VMHash
	// lastSequences holds the sequence of the last summary from each relay.
	lastSequences map[ggscore.VMID]sequence
}

// A sequence orders the datagrams of a VM. Numbers restart at 1 with each process.
type sequence struct {
	started int64
	number  uint64
}

func (s sequence) after(o sequence) bool {
	return s.started > o.started || s.started == o.started && s.number > o.number
}

type loadState struct{ waiting, free int }

func newTable() *table {
	return &table{
		heartbeats: map[ggscore.VMID]*heartbeat{}, domains: map[ggscore.Domain]*remoteDomain{},
		loadStates: map[ggscore.EndpointID]loadState{}, domainPending: newPendingUpdates(), fleetPending: newPendingUpdates(),
	}
}

// heartbeat records a VM's heartbeat. It ignores a heartbeat that arrives after a later one.
func (t *table) heartbeat(now time.Time, self ggscore.VMID, h ggscore.Heartbeat) {
	if b := t.heartbeats[h.VM]; b != nil && !(sequence{h.Started, h.Sequence}).after(sequence{b.Started, b.Sequence}) {
		return
	}
	t.heartbeats[h.VM] = &heartbeat{Heartbeat: h, receivedAt: now}
	hs := t.changed(h.Holdings)
	for _, p := range []*pendingUpdates{t.domainPending, t.fleetPending} {
		p.addHoldings(hs)
		p.addUses(h.Uses)
		if h.CountingRelay != "" && h.CountingRelay != self {
			continue
		}
		p.addEnded(h.InFlight)
		p.addTurns(h.Samples, h.Tallies)
		for _, u := range h.Uses {
			if u.Count > 0 {
				p.demand[u.Target] += u.Count
			}
		}
	}
}

// changed returns the holdings that are complete or whose load state has changed.
func (t *table) changed(hs []ggscore.Holding) []ggscore.Holding {
	var c []ggscore.Holding
	for _, h := range hs {
		r := loadState{h.Waiting, h.FreeCapacity}
		if h.Whole || t.loadStates[h.Endpoint] != r {
			c = append(c, h)
		}
		t.loadStates[h.Endpoint] = r
	}
	return c
}

// summary records another domain's summary. It reports whether the summary is newer than
// the previous ones of the same relay; an older one is ignored.
func (t *table) summary(now time.Time, s ggscore.Summary) bool {
	d := t.domains[s.Domain]
	if d == nil {
		d = &remoteDomain{lastSequences: map[ggscore.VMID]sequence{}}
		t.domains[s.Domain] = d
	}
	q := sequence{s.Started, s.Sequence}
	if !q.after(d.lastSequences[s.From]) {
		return false
	}
	d.lastSequences[s.From] = q
	d.Summary, d.receivedAt = s, now
	if s.LiveWhole {
		d.live = s.Live
	}
	t.fleetPending.addEnded(s.InFlight)
	t.fleetPending.addHoldings(s.Holdings)
	t.fleetPending.addUses(s.Uses)
	t.fleetPending.addTurns(s.Samples, s.Tallies)
	for _, n := range s.Demand {
		t.fleetPending.demand[n.Target] += n.Count
	}
	return true
}

// expire removes heartbeats and summaries older than maxStateAge.
func (t *table) expire(now time.Time) {
	for vm, h := range t.heartbeats {
		if now.Sub(h.receivedAt) > maxStateAge {
			delete(t.heartbeats, vm)
		}
	}
	for n, d := range t.domains {
		if now.Sub(d.receivedAt) > maxStateAge {
			delete(t.domains, n)
		}
	}
}

// A totals holds the requests in flight and the adapters in use of one domain or of all.
type totals struct {
	counts map[ggscore.EndpointID]int
	active map[adapterUse]bool
}

// domainTotals adds up the heartbeats of this VM's domain.
func (t *table) domainTotals() totals {
	s := totals{counts: map[ggscore.EndpointID]int{}, active: map[adapterUse]bool{}}
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

func (s *totals) addUses(us []ggscore.Use) {
	for _, u := range us {
		if u.Active {
			s.active[adapterUse{u.Endpoint, u.Target}] = true
		}
	}
}

// addRemoteTotals adds the summaries of the other domains to s.
func (t *table) addRemoteTotals(s totals) {
	for _, d := range t.domains {
		for _, f := range d.InFlight {
			if f.Count > 0 {
				s.counts[f.Endpoint] += f.Count
			}
		}
		s.addUses(d.Uses)
	}
}

// stateSummary returns a summary of this VM's domain with the states that are sent each time.
func (t *table) stateSummary(now time.Time) ggscore.Summary {
	s := ggscore.Summary{Progress: unknownProgress()}
	for vm, h := range t.heartbeats {
		s.Included = append(s.Included, ggscore.IncludedHeartbeat{VM: Hash(vm), Sequence: h.Sequence})
		if now.Sub(h.receivedAt) <= maxLiveAge {
			s.Live = append(s.Live, Hash(vm))
		}
		s.Progress = s.Progress.Merge(h.Progress.Aged(now.Sub(h.receivedAt)))
		s.Limits = mergeLimits(s.Limits, h.Limits, now.Sub(h.receivedAt))
		s.ShedLimits = mergeShedLimits(s.ShedLimits, h.ShedLimits, now.Sub(h.receivedAt))
		s.Departures = mergeDepartures(s.Departures, h.Departures)
		if s.Decider == "" || vm < s.Decider {
			s.Decider, s.Modes = vm, h.Modes
		}
	}
	return s
}

// addRemoteState adds the states of the other domains' summaries, except their totals.
func (t *table) addRemoteState(now time.Time, s *ggscore.Summary) {
	for _, d := range t.domains {
		s.Live = append(s.Live, d.live...)
		s.Progress = s.Progress.Merge(d.Progress.Aged(now.Sub(d.receivedAt)))
		s.Limits = mergeLimits(s.Limits, d.Limits, now.Sub(d.receivedAt))
		s.ShedLimits = mergeShedLimits(s.ShedLimits, d.ShedLimits, now.Sub(d.receivedAt))
		s.Departures = mergeDepartures(s.Departures, d.Departures)
		if d.Decider != "" && (s.Decider == "" || d.Decider < s.Decider) {
			s.Decider, s.Modes = d.Decider, d.Modes
		}
	}
}

// unknownAge is the age that stands for a list that was never read.
const unknownAge = time.Hour

func unknownProgress() ggscore.StoreProgress {
	return ggscore.StoreProgress{ListAge: unknownAge, OperatorsAge: unknownAge}
}

func sortState(s *ggscore.Summary) {
	slices.SortFunc(s.Included, func(a, b ggscore.IncludedHeartbeat) int { return cmp.Compare(a.VM, b.VM) })
	slices.Sort(s.Live)
}

// mergeLimits merges the limits of a heartbeat or summary into a list. The newest limit of each endpoint is
// kept.
func mergeLimits(ls, others []ggscore.EndpointLimit, passed time.Duration) []ggscore.EndpointLimit {
	return mergeNewest(ls, others, passed, func(l *ggscore.EndpointLimit) (ggscore.EndpointID, *time.Duration) { return l.Endpoint, &l.Age })
}

// mergeShedLimits merges the shed limits of a heartbeat or summary into a list. The newest limit of each
// service is kept.
func mergeShedLimits(ls, others []ggscore.ShedLimit, passed time.Duration) []ggscore.ShedLimit {
	return mergeNewest(ls, others, passed, func(l *ggscore.ShedLimit) (ggscore.Service, *time.Duration) { return l.Service, &l.Age })
}

// mergeNewest merges the entries of a heartbeat or summary into a list, where passed is the time since their
// arrival. The entry with the lowest age of each key is kept.
func mergeNewest[T any, K comparable](ls, others []T, passed time.Duration, fields func(*T) (K, *time.Duration)) []T {
	for _, l := range others {
		key, age := fields(&l)
		*age += passed
		i := slices.IndexFunc(ls, func(o T) bool {
			k, _ := fields(&o)
			return k == key
		})
		if i < 0 {
			ls = append(ls, l)
			continue
		}
		if _, old := fields(&ls[i]); *age < *old {
			ls[i] = l
		}
	}
	return ls
}

func mergeDepartures(ds, others []ggscore.Departure) []ggscore.Departure {
	for _, d := range others {
		if !slices.ContainsFunc(ds, func(o ggscore.Departure) bool { return o.Endpoint == d.Endpoint && o.StartedAt.Equal(d.StartedAt) }) {
			ds = append(ds, d)
		}
	}
	return ds
}
