package ggsplace

import (
	"cmp"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// sampleSize is the number of endpoints from which a VM chooses, if it doesn't choose from all.
const sampleSize = 2

// shedLimitedFactor bounds the requests at a shed-limited endpoint, in multiples of its slots, that are
// in flight or wait for a permit.
const shedLimitedFactor = 2

var _ ggscore.InFlightCounter = (*Table)(nil)

// ShedLimited reports whether the endpoints of a service are shed-limited. Requests to them need a permit.
func (t *Table) ShedLimited(now time.Time, s ggscore.Service) bool {
	return t.options.Throttle != nil && t.options.Throttle.ShedLimited(now, s)
}

// PermitAsked records that this VM asks for a permit for a request to an endpoint.
func (t *Table) PermitAsked(id ggscore.EndpointID) {
	if e := t.endpoints[id]; e != nil {
		e.asking++
	}
}

// PermitDecided records the end of an ask that PermitAsked has recorded.
func (t *Table) PermitDecided(id ggscore.EndpointID) {
	if e := t.endpoints[id]; e != nil && e.asking > 0 {
		e.asking--
	}
}

// RecordSaturated records that an endpoint has no permit for this VM for a time.
func (t *Table) RecordSaturated(now time.Time, id ggscore.EndpointID, d time.Duration) {
	if e := t.endpoints[id]; e != nil {
		e.saturatedUntil = now.Add(d)
	}
}

// InFlight implements ggscore.InFlightCounter.
func (t *Table) InFlight(id ggscore.EndpointID) (n int, known bool) {
	e := t.endpoints[id]
	if e == nil {
		return 0, false
	}
	return e.own + e.peers, len(t.peers) > 0
}

// capacity returns the number of requests up to which requests are sent to an endpoint.
func (t *Table) capacity(now time.Time, e *endpoint, g *ggscore.EngineSpec) int {
	switch {
	case t.ShedLimited(now, e.Service):
		return shedLimitedFactor * e.Slots
	case g == nil:
		return plainQueueFactor * e.Slots
	}
	return e.Slots
}

// sample returns sampleSize random candidates: those that this VM alone doesn't fill, in this VM's region rather
// than elsewhere. VMs that all chose the least loaded endpoint by the same summary would press it until the
// next one.
func (t *Table) sample(cs []candidate) []candidate {
	t.rng.Shuffle(len(cs), func(i, j int) { cs[i], cs[j] = cs[j], cs[i] })
	slices.SortStableFunc(cs, func(a, b candidate) int { return cmp.Compare(a.rank(), b.rank()) })
	return cs[:min(len(cs), sampleSize)]
}

// rank orders the candidates of a sample, lower for preferred.
func (c *candidate) rank() int {
	switch {
	case c.own+c.asking >= c.Slots:
		return 2
	case !c.local:
		return 1
	}
	return 0
}
