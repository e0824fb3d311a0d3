package ggsplace

import (
	"cmp"
	"slices"

	ggscore "greengageslip/core"
)

// RecordDeparture records that an endpoint announced in an answer that it is leaving, and reports
// whether that was unknown. The announcement is valid for one process of the endpoint, which
// StartedAt identifies, and takes precedence over the registry entry.
func (t *Table) RecordDeparture(d ggscore.Departure) bool {
	e := t.endpoints[d.Endpoint]
	if e == nil || !e.StartedAt.Equal(d.StartedAt) {
		return false
	}
	changed := !e.Leaving
	e.leaveAnnounced, e.Leaving = true, true
	return changed
}

// Departures returns the endpoints that announced in an answer that they are leaving.
func (t *Table) Departures() []ggscore.Departure {
	var ds []ggscore.Departure
	for id, e := range t.endpoints {
		if e.leaveAnnounced {
			ds = append(ds, ggscore.Departure{Endpoint: id, StartedAt: e.StartedAt})
		}
	}
	slices.SortFunc(ds, func(a, b ggscore.Departure) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return ds
}
