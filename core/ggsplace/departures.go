package ggsplace

import (
	"cmp"
	"slices"

	ggscore "greengageslip/core"
)

// Depart notes that an endpoint said in an answer that it leaves, and reports whether that
// was news. It holds for the process that said so, whatever its entry says.
func (t *Table) Depart(d ggscore.Departure) bool {
	e := t.endpoints[d.Endpoint]
	if e == nil || !e.Born.Equal(d.Born) {
		return false
	}
	news := !e.Leaving
	e.departed, e.Leaving = true, true
	return news
}

// Departures returns the endpoints that said in answers that they leave.
func (t *Table) Departures() []ggscore.Departure {
	var ds []ggscore.Departure
	for id, e := range t.endpoints {
		if e.departed {
			ds = append(ds, ggscore.Departure{Endpoint: id, Born: e.Born})
		}
	}
	slices.SortFunc(ds, func(a, b ggscore.Departure) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return ds
}
