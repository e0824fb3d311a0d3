package ggsplace

import (
	"time"

	ggscore "greengageslip/core"
)

const (
	// shedMargin is the share of the slots of such a runner that stays free, since the counts of
	// other VMs' requests are old.
	shedMargin = 0.25
	// refusalPause is the pause of this VM after a shed-limited endpoint refused a request for lack of
	// capacity. Up to half of it is added at random.
	refusalPause = 500 * time.Millisecond
)

// shedLimited reports whether the endpoints of a service are shed-limited.
func (t *Table) shedLimited(now time.Time, s ggscore.Service) bool {
	return t.options.Throttle != nil && t.options.Throttle.ShedLimited(now, s)
}

// RecordRefusal records that an endpoint refused a request for lack of capacity.
func (t *Table) RecordRefusal(now time.Time, id ggscore.EndpointID) {
	e := t.endpoints[id]
	if e == nil || !t.shedLimited(now, e.Service) {
		return
	}
	t.Pause(now, id, refusalPause+time.Duration(t.rng.Int64N(int64(refusalPause)/2)))
}

// capacity returns the number of requests in flight up to which requests are sent to an endpoint.
func (t *Table) capacity(now time.Time, e *endpoint, g *ggscore.EngineSpec) int {
	switch limited := t.shedLimited(now, e.Service); {
	case g == nil && limited:
		return e.Slots
	case g == nil:
		return plainQueueFactor * e.Slots
	case limited:
		return max(e.Slots-int(shedMargin*float64(e.Slots)), 1)
	}
	return e.Slots
}
