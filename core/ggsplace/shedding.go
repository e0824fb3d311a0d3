package ggsplace

import (
	"time"

	ggscore "greengageslip/core"
)

const (
	// shedLimitTTL is how long a service counts as shed-limited after its last answer that said so.
	// shedMargin is the share of the slots of such a runner that stays free, since the counts of
	// other VMs' requests are old.
	shedLimitTTL = 10 * time.Second
	shedMargin   = 0.25
	// refusalPause is the pause of this VM after a shed-limited endpoint refused a request for lack of
	// capacity. Up to half of it is added at random.
	refusalPause = 500 * time.Millisecond
)

// A shedState is what a service's answers say of its endpoints.
type shedState struct {
	// asOf is the time of the last answer. limited is set if it said that endpoints fail when they
	// shed too many requests.
	asOf    time.Time
	limited bool
}

// ObserveShedLimit records whether an answer says that the endpoints of its service are
// shed-limited: they fail when they shed too many requests. asOf is the arrival of an answer that says so, and the sending of the request of another.
func (t *Table) ObserveShedLimit(s ggscore.Service, limited bool, asOf time.Time) {
	b, known := t.sheds[s]
	if !known && !limited || asOf.Before(b.asOf) {
		return
	}
	t.sheds[s] = shedState{asOf: asOf, limited: limited}
}

// ShedLimited reports whether the endpoints of a service are shed-limited.
func (t *Table) ShedLimited(now time.Time, s ggscore.Service) bool {
	b := t.sheds[s]
	return b.limited && now.Sub(b.asOf) < shedLimitTTL
}

// RecordRefusal records that an endpoint refused a request for lack of capacity.
func (t *Table) RecordRefusal(now time.Time, id ggscore.EndpointID) {
	e := t.endpoints[id]
	if e == nil || !t.ShedLimited(now, e.Service) {
		return
	}
	t.Pause(now, id, refusalPause+time.Duration(t.rng.Int64N(int64(refusalPause)/2)))
}

// capacity returns the number of requests in flight up to which requests are sent to an endpoint.
func (t *Table) capacity(now time.Time, e *endpoint, g *ggscore.EngineSpec) int {
	switch limited := t.ShedLimited(now, e.Service); {
	case g == nil && limited:
		return e.Slots
	case g == nil:
		return plainQueueFactor * e.Slots
	case limited:
		return max(e.Slots-int(shedMargin*float64(e.Slots)), 1)
	}
	return e.Slots
}
