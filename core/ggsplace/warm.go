package ggsplace

import (
	"cmp"
	"time"

	ggscore "greengageslip/core"
)

const (
	// warmFactor is the number of adapters that a runner is assumed to keep in its own memory
	// besides the resident ones, in multiples of its adapter slots.
	warmFactor = 5
	// defaultAdapterSlots is the default for services whose number of adapter slots is unknown.
	defaultAdapterSlots = 16
)

// SetAdapterSlots sets the number of adapter slots of each runner of a service.
func (t *Table) SetAdapterSlots(s ggscore.Service, adapterSlots int) {
	t.adapterSlots[s] = adapterSlots
}

// A warmAdapter is the version of an adapter that an endpoint held, and when it was last seen
// there.
type warmAdapter struct {
	version uint64
	at      time.Time
}

// recordWarm records that the endpoint holds an adapter, and drops the oldest record beyond the
// limit.
func (t *Table) recordWarm(now time.Time, e *endpoint, v ggscore.AdapterVersion) {
	e.warm[v.Target] = warmAdapter{version: v.Version, at: now}
	if len(e.warm) <= warmFactor*cmp.Or(t.adapterSlots[e.Service], defaultAdapterSlots) {
		return
	}
	var oldest ggscore.ModelAdapter
	var at time.Time
	for a, w := range e.warm {
		if at.IsZero() || w.at.Before(at) {
			oldest, at = a, w.at
		}
	}
	delete(e.warm, oldest)
}

// isWarm reports whether the endpoint is assumed to have the adapter in its own memory.
func (e *endpoint) isWarm(a ggscore.ModelAdapter, version uint64) bool {
	w, ok := e.warm[a]
	return ok && (version == 0 || w.version == version)
}

// loadCost returns the delay until the query's adapter is loaded.
//
// A new runner becomes the home of a fraction of the adapters. Loading these there took a
// third of the weight store's capacity on days with frequent runner changes, although other
// runners still had them in memory. A warm runner therefore costs less than a home.
func (t *Table) loadCost(e *endpoint, q *Query, home bool) time.Duration {
	wait := max(costQueuedLoad*time.Duration(e.waiting), costSlotWait*time.Duration(e.waiting+1-e.freeSlots))
	switch {
	case e.isWarm(q.Target, q.Version) && t.options.Policy.On(ggscore.MechanismWarm):
		return costWarm + wait
	case home || !t.options.Policy.On(ggscore.MechanismHomes):
		return costLoad + wait
	}
	return costLoad + costNotHome + wait
}
