package ggsplace

import (
	"cmp"
	"slices"
	"time"

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

// supersededTTL is how long the end of a replaced process is reported to peers. A peer may be unable to
// read the list of endpoints for longer, but repeats what it received.
const supersededTTL = 10 * time.Second

// A superseded is a process that a newer one of the same endpoint has replaced.
type superseded struct {
	startedAt time.Time
	at        time.Time
}

// recordSuperseded records that an entry shows a newer process of a known endpoint, with other software.
// Peers whose list is older would send requests to the new process as if it were the old one.
func (t *Table) recordSuperseded(read time.Time, old *endpoint, n ggscore.Instance) {
	if old != nil && n.Software != old.Software && n.StartedAt.After(old.StartedAt) {
		t.superseded[n.ID] = superseded{startedAt: old.StartedAt, at: read}
	}
}

// Departures returns the processes that are gone or leaving although entries may not show it: those that
// announced it in an answer, and those that newer ones with other software have replaced.
func (t *Table) Departures(now time.Time) []ggscore.Departure {
	var ds []ggscore.Departure
	for id, s := range t.superseded {
		if now.Sub(s.at) >= supersededTTL {
			delete(t.superseded, id)
			continue
		}
		ds = append(ds, ggscore.Departure{Endpoint: id, StartedAt: s.startedAt})
	}
	for id, e := range t.endpoints {
		if e.leaveAnnounced {
			ds = append(ds, ggscore.Departure{Endpoint: id, StartedAt: e.StartedAt})
		}
	}
	slices.SortFunc(ds, func(a, b ggscore.Departure) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), a.StartedAt.Compare(b.StartedAt))
	})
	return ds
}
