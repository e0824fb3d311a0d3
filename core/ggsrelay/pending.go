package ggsrelay

import (
	"cmp"
	"slices"

	ggscore "greengageslip/core"
)

// maxSamples bounds the samples and tallies that wait for the next summary.
const maxSamples = 64

// A use is an adapter at an endpoint.
type use struct {
	endpoint ggscore.EndpointID
	target   ggscore.ModelAdapter
}

// A pending holds what the next summary tells once.
type pending struct {
	ends     map[ggscore.EndpointID]ggscore.InFlight
	demand   map[ggscore.ModelAdapter]int
	holdings map[ggscore.EndpointID]ggscore.Holding
	// used are adapters whose requests ended since, active those that were told to be
	// in use.
	used    map[use]bool
	active  map[use]bool
	samples []ggscore.TurnSample
	tallies []ggscore.TurnTally
}

func newPending() *pending {
	return &pending{
		ends: map[ggscore.EndpointID]ggscore.InFlight{}, demand: map[ggscore.ModelAdapter]int{},
		holdings: map[ggscore.EndpointID]ggscore.Holding{}, used: map[use]bool{}, active: map[use]bool{},
	}
}

func (p *pending) addEnds(fs []ggscore.InFlight) {
	for _, f := range fs {
		if f.Ended == 0 && f.Failed == 0 {
			continue
		}
		n := p.ends[f.Endpoint]
		n.Ended += f.Ended
		n.Failed += f.Failed
		p.ends[f.Endpoint] = n
	}
}

func (p *pending) addTurns(xs []ggscore.TurnSample, ys []ggscore.TurnTally) {
	p.samples = append(p.samples, xs[:min(len(xs), maxSamples-len(p.samples))]...)
	p.tallies = append(p.tallies, ys[:min(len(ys), maxSamples-len(p.tallies))]...)
}

func (p *pending) addHoldings(hs []ggscore.Holding) {
	for _, h := range hs {
		if before, ok := p.holdings[h.Endpoint]; ok && before.Whole && !h.Whole {
			h.Held, h.Whole = before.Held, true
		}
		p.holdings[h.Endpoint] = h
	}
}

func (p *pending) addUses(us []ggscore.Use) {
	for _, u := range us {
		if !u.Active {
			p.used[use{u.Endpoint, u.Target}] = true
		}
	}
}

// take moves what is pending into a summary whose counts of requests in flight and
// adapters in use are given.
func (p *pending) take(s *ggscore.Summary, counts map[ggscore.EndpointID]int, active map[use]bool) {
	s.InFlight = p.takeInFlight(counts)
	s.Uses = p.takeUses(active)
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

func (p *pending) takeInFlight(counts map[ggscore.EndpointID]int) []ggscore.InFlight {
	fs := make([]ggscore.InFlight, 0, len(counts)+len(p.ends))
	for id, n := range counts {
		f := p.ends[id]
		delete(p.ends, id)
		f.Endpoint, f.Count = id, n
		fs = append(fs, f)
	}
	for id, f := range p.ends {
		f.Endpoint = id
		fs = append(fs, f)
	}
	clear(p.ends)
	slices.SortFunc(fs, func(a, b ggscore.InFlight) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return fs
}

// takeUses tells the adapters in use, and once those that no longer are.
func (p *pending) takeUses(active map[use]bool) []ggscore.Use {
	for u := range p.active {
		p.used[u] = true
	}
	us := make([]ggscore.Use, 0, len(active)+len(p.used))
	for u := range active {
		delete(p.used, u)
		us = append(us, ggscore.Use{Endpoint: u.endpoint, Target: u.target, Active: true})
	}
	for u := range p.used {
		us = append(us, ggscore.Use{Endpoint: u.endpoint, Target: u.target})
	}
	clear(p.used)
	p.active = active
	slices.SortFunc(us, func(a, b ggscore.Use) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), compareTargets(a.Target, b.Target))
	})
	return us
}

func compareTargets(a, b ggscore.ModelAdapter) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
}
