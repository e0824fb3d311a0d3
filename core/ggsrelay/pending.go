package ggsrelay

import (
	"cmp"
	"slices"

	ggscore "greengageslip/core"
)

// maxPendingSamples bounds the samples, and the tallies, that wait for the next summary.
const maxPendingSamples = 64

// An adapterUse identifies an adapter at an endpoint.
type adapterUse struct {
	endpoint ggscore.EndpointID
	target   ggscore.ModelAdapter
}

// A pendingUpdates accumulates what the next summary sends once: increments and changes.
type pendingUpdates struct {
	ended    map[ggscore.EndpointID]ggscore.InFlight
	demand   map[ggscore.ModelAdapter]int
	holdings map[ggscore.EndpointID]ggscore.Holding
	// inactive holds the adapters whose requests have ended since the last summary.
	// reportedActive holds those that the last summary reported as in use.
	inactive       map[adapterUse]bool
	reportedActive map[adapterUse]bool
	samples        []ggscore.TurnSample
	tallies        []ggscore.TurnTally
}

func newPendingUpdates() *pendingUpdates {
	return &pendingUpdates{
		ended: map[ggscore.EndpointID]ggscore.InFlight{}, demand: map[ggscore.ModelAdapter]int{},
		holdings: map[ggscore.EndpointID]ggscore.Holding{}, inactive: map[adapterUse]bool{}, reportedActive: map[adapterUse]bool{},
	}
}

func (p *pendingUpdates) addEnded(fs []ggscore.InFlight) {
	for _, f := range fs {
		if f.Ended == 0 && f.Failed == 0 {
			continue
		}
		n := p.ended[f.Endpoint]
		n.Ended += f.Ended
		n.Failed += f.Failed
		p.ended[f.Endpoint] = n
	}
}

func (p *pendingUpdates) addTurns(xs []ggscore.TurnSample, ys []ggscore.TurnTally) {
	p.samples = append(p.samples, xs[:min(len(xs), maxPendingSamples-len(p.samples))]...)
	p.tallies = append(p.tallies, ys[:min(len(ys), maxPendingSamples-len(p.tallies))]...)
}

func (p *pendingUpdates) addHoldings(hs []ggscore.Holding) {
	for _, h := range hs {
		if old, ok := p.holdings[h.Endpoint]; ok && old.Whole && !h.Whole {
			h.Held, h.Whole = old.Held, true
		}
		p.holdings[h.Endpoint] = h
	}
}

func (p *pendingUpdates) addUses(us []ggscore.Use) {
	for _, u := range us {
		if !u.Active {
			p.inactive[adapterUse{u.Endpoint, u.Target}] = true
		}
	}
}

// drain moves the pending updates into a summary. counts are the requests in flight by
// endpoint, and active the adapters in use.
func (p *pendingUpdates) drain(s *ggscore.Summary, counts map[ggscore.EndpointID]int, active map[adapterUse]bool) {
	s.InFlight = p.drainInFlight(counts)
	s.Uses = p.drainUses(active)
	for _, h := range p.holdings {
		s.Holdings = append(s.Holdings, h)
	}
	for t, n := range p.demand {
		s.Demand = append(s.Demand, ggscore.Demand{Target: t, Count: n})
	}
	slices.SortFunc(s.Holdings, func(a, b ggscore.Holding) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	slices.SortFunc(s.Demand, func(a, b ggscore.Demand) int { return compareTargets(a.Target, b.Target) })
	s.Samples, s.Tallies = p.samples, p.tallies
	p.samples, p.tallies = nil, nil
	clear(p.holdings)
	clear(p.demand)
}

func (p *pendingUpdates) drainInFlight(counts map[ggscore.EndpointID]int) []ggscore.InFlight {
	fs := make([]ggscore.InFlight, 0, len(counts)+len(p.ended))
	for id, n := range counts {
		f := p.ended[id]
		delete(p.ended, id)
		f.Endpoint, f.Count = id, n
		fs = append(fs, f)
	}
	for id, f := range p.ended {
		f.Endpoint = id
		fs = append(fs, f)
	}
	clear(p.ended)
	slices.SortFunc(fs, func(a, b ggscore.InFlight) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return fs
}

// drainUses returns the adapters in use, and once each adapter that no longer is.
func (p *pendingUpdates) drainUses(active map[adapterUse]bool) []ggscore.Use {
	for u := range p.reportedActive {
		p.inactive[u] = true
	}
	us := make([]ggscore.Use, 0, len(active)+len(p.inactive))
	for u := range active {
		delete(p.inactive, u)
		us = append(us, ggscore.Use{Endpoint: u.endpoint, Target: u.target, Active: true})
	}
	for u := range p.inactive {
		us = append(us, ggscore.Use{Endpoint: u.endpoint, Target: u.target})
	}
	clear(p.inactive)
	p.reportedActive = active
	slices.SortFunc(us, func(a, b ggscore.Use) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), compareTargets(a.Target, b.Target))
	})
	return us
}

func compareTargets(a, b ggscore.ModelAdapter) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
}
