package ggsplace

import (
	"time"

	ggscore "greengageslip/core"
)

const (
	// brittleTTL is how long a service counts as brittle after its last answer that said so, and
	// brittleMargin is the share of a brittle runner's slots that stays free, since the counts of
	// other VMs' requests are old.
	brittleTTL    = 10 * time.Second
	brittleMargin = 0.25
	// refusalPause is the pause of this VM after a brittle endpoint refused a request for lack of
	// capacity. Up to half of it is added at random.
	refusalPause = 500 * time.Millisecond
)

// A brittleness is what a service's answers say of its endpoints.
type brittleness struct {
	// asOf is the time of the last answer. brittle is set if it said that endpoints fail when they
	// refuse too many requests.
	asOf    time.Time
	brittle bool
}

// ObserveBrittle records whether an answer says that the endpoints of its service are brittle. asOf
// is the arrival of an answer that says so, and the sending of the request of another.
func (t *Table) ObserveBrittle(s ggscore.Service, brittle bool, asOf time.Time) {
	b, known := t.brittle[s]
	if !known && !brittle || asOf.Before(b.asOf) {
		return
	}
	t.brittle[s] = brittleness{asOf: asOf, brittle: brittle}
}

// Brittle reports whether the endpoints of a service are brittle.
func (t *Table) Brittle(now time.Time, s ggscore.Service) bool {
	b := t.brittle[s]
	return b.brittle && now.Sub(b.asOf) < brittleTTL
}

// RecordRefusal records that an endpoint refused a request for lack of capacity.
func (t *Table) RecordRefusal(now time.Time, id ggscore.EndpointID) {
	e := t.endpoints[id]
	if e == nil || !t.Brittle(now, e.Service) {
		return
	}
	t.Pause(now, id, refusalPause+time.Duration(t.rng.Int64N(int64(refusalPause)/2)))
}

// capacity returns the number of requests in flight up to which requests are sent to an endpoint.
func (t *Table) capacity(now time.Time, e *endpoint, g *ggscore.EngineSpec) int {
	switch brittle := t.Brittle(now, e.Service); {
	case g == nil && brittle:
		return e.Slots
	case g == nil:
		return plainQueueFactor * e.Slots
	case brittle:
		return max(e.Slots-int(brittleMargin*float64(e.Slots)), 1)
	}
	return e.Slots
}
