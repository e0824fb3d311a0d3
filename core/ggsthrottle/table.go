package ggsthrottle

import (
	"time"

	ggscore "greengageslip/core"
)

// A Table holds the limits of endpoints.
type Table struct {
	endpoints map[ggscore.EndpointID]*endpoint
}

type endpoint struct {
	// limit is nil once answers no longer name one.
	limit *ggscore.RateLimit
	// asOf is when the endpoint last said so.
	asOf time.Time
}

// NewTable returns a table without limits.
func NewTable() *Table {
	return &Table{endpoints: map[ggscore.EndpointID]*endpoint{}}
}

// Observe takes what an answer says of the endpoint's limit, nil for none, and reports
// whether it was named or lifted by this answer. asOf is when the endpoint said so:
// for a named limit the answer's arrival, for none the request's sending, so that an
// answer that was begun before the limit doesn't lift it.
func (t *Table) Observe(id ggscore.EndpointID, limit *ggscore.RateLimit, asOf time.Time) bool {
	e := t.endpoints[id]
	if e == nil {
		if limit == nil {
			return false
		}
		e = &endpoint{}
		t.endpoints[id] = e
	}
	if asOf.Before(e.asOf) {
		return false
	}
	changed := (limit == nil) != (e.limit == nil)
	e.limit, e.asOf = limit, asOf
	return changed
}

// Limit returns the limit that an endpoint names, nil for none.
func (t *Table) Limit(id ggscore.EndpointID) *ggscore.RateLimit {
	if e := t.endpoints[id]; e != nil {
		return e.limit
	}
	return nil
}

// Limited returns the number of endpoints that name a limit.
func (t *Table) Limited() int {
	n := 0
	for _, e := range t.endpoints {
		if e.limit != nil {
			n++
		}
	}
	return n
}

// Remove forgets an endpoint.
func (t *Table) Remove(id ggscore.EndpointID) { delete(t.endpoints, id) }
