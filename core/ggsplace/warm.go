package ggsplace

import (
	"cmp"
	"time"

	ggscore "greengageslip/core"
)

const (
	// warmRounds is the number of adapters that a runner is believed to keep in its own
	// memory beside those that it holds, in multiples of its places for adapters.
	warmRounds = 5
	// usualPlaces stands in where a service's places aren't known.
	usualPlaces = 16
)

// SetPlaces takes the number of adapters that the runners of a service hold at once.
func (t *Table) SetPlaces(s ggscore.Service, places int) { t.places[s] = places }

// A warmth is an adapter's version on an endpoint, and when it was last there.
type warmth struct {
	version uint64
	at      time.Time
}

// keep notes that the endpoint holds an adapter.
func (t *Table) keep(now time.Time, e *endpoint, v ggscore.AdapterVersion) {
	e.warm[v.Target] = warmth{version: v.Version, at: now}
	if len(e.warm) <= warmRounds*cmp.Or(t.places[e.Service], usualPlaces) {
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

// isWarm reports whether the endpoint is believed to have an adapter in its own
// memory.
func (e *endpoint) isWarm(a ggscore.ModelAdapter, version uint64) bool {
	w, ok := e.warm[a]
	return ok && (version == 0 || w.version == version)
}

// loadCost returns the delay of having the query's adapter loaded.
//
// When a runner comes, a part of the adapters get it for their home. Fetched
// there, they took a third of the weight store's rate on days on which runners
// come and go, though others had them in memory still.
func (t *Table) loadCost(e *endpoint, q *Query, home bool) time.Duration {
	wait := max(costWait*time.Duration(e.waiting), costPlace*time.Duration(e.waiting+1-e.room))
	switch {
	case e.isWarm(q.Target, q.Version) && t.options.Policy.On(ggscore.MechanismWarm):
		return costWarm + wait
	case home || !t.options.Policy.On(ggscore.MechanismHomes):
		return costLoad + wait
	}
	return costLoad + costAway + wait
}
