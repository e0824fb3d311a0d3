package ggsthrottle

import (
	"cmp"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

const (
	// gossipFor is the age up to which heartbeats carry what an endpoint said last. It is
	// longer than any VM goes without a heartbeat, so that no VM brings back a limit that
	// the others saw lifted.
	gossipFor = 10 * time.Second
	// maxGossiped bounds the limits that a heartbeat carries.
	maxGossiped = 64
	// staleAfter is the age of an endpoint's last answer after which other VMs are
	// entitled to send to it.
	staleAfter = 5 * time.Second
	// leastRate keeps a request going now and then to an endpoint that wants none: only
	// an answer tells that its limit was lifted.
	leastRate = 0.2
	// burst is the time in which an unused part adds up, and leastBurst the requests that
	// it adds up to at least.
	burst      = 500 * time.Millisecond
	leastBurst = 1.0
	// waitElsewhere is the wait where this VM isn't entitled: callers that come back
	// may reach a VM that is.
	waitElsewhere = time.Second
)

// A Table holds the limits of endpoints, and this VM's part of them.
type Table struct {
	self      ggscore.VMID
	vms       []ggscore.VMID
	endpoints map[ggscore.EndpointID]*endpoint
}

var _ ggscore.EndpointThrottle = (*Table)(nil)

type endpoint struct {
	// limit is nil once answers no longer name one.
	limit *ggscore.RateLimit
	// asOf is when the endpoint last said so.
	asOf   time.Time
	share  share
	bucket bucket
}

// NewTable returns a table without limits of a VM that knows no other.
func NewTable(self ggscore.VMID) *Table {
	return &Table{self: self, vms: []ggscore.VMID{self}, endpoints: map[ggscore.EndpointID]*endpoint{}}
}

// SetVMs takes the live VMs, this one included, in any order.
func (t *Table) SetVMs(vms []ggscore.VMID) {
	slices.Sort(vms)
	if slices.Equal(t.vms, vms) {
		return
	}
	t.vms = vms
	for _, e := range t.endpoints {
		e.share.valid = false
	}
}

// Observe takes what an answer says of the endpoint's limit, nil for none, and reports
// whether it was named or lifted by this answer. asOf is when the endpoint said so:
// for a named limit the answer's arrival, for none the request's sending, so that an
// answer that was begun before the limit doesn't lift it.
func (t *Table) Observe(now time.Time, id ggscore.EndpointID, limit *ggscore.RateLimit, asOf time.Time) bool {
	e := t.endpoints[id]
	if e == nil {
		if limit == nil {
			return false
		}
		e = &endpoint{bucket: bucket{at: now}}
		t.endpoints[id] = e
	}
	if asOf.Before(e.asOf) {
		return false
	}
	changed := (limit == nil) != (e.limit == nil)
	switch {
	case changed:
		e.share = share{}
	case limit != nil && *limit != *e.limit:
		// What was unused stays: endpoints may name another limit in each answer.
		e.share.valid = false
	}
	e.limit, e.asOf = limit, asOf
	return changed
}

// Learn takes what a peer knows.
func (t *Table) Learn(now time.Time, ls []ggscore.EndpointLimit) {
	for _, l := range ls {
		if l.Age <= gossipFor {
			t.Observe(now, l.Endpoint, l.Limit, now.Add(-l.Age))
		}
	}
}

// Known returns what heartbeats carry: what endpoints said lately of their limits, the newest
// first.
func (t *Table) Known(now time.Time) []ggscore.EndpointLimit {
	var ls []ggscore.EndpointLimit
	for id, e := range t.endpoints {
		age := max(now.Sub(e.asOf), 0)
		switch {
		case age <= gossipFor:
			ls = append(ls, ggscore.EndpointLimit{Endpoint: id, Limit: e.limit, Age: age})
		case e.limit == nil:
			delete(t.endpoints, id)
		}
	}
	slices.SortFunc(ls, func(a, b ggscore.EndpointLimit) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return ls[:min(len(ls), maxGossiped)]
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

// Allows implements ggscore.EndpointThrottle.
func (t *Table) Allows(now time.Time, id ggscore.EndpointID) bool {
	e := t.limited(now, id)
	return e == nil || e.bucket.tokens >= 1
}

// Wait implements ggscore.EndpointThrottle.
func (t *Table) Wait(now time.Time, id ggscore.EndpointID) time.Duration {
	e := t.limited(now, id)
	switch {
	case e == nil:
		return 0
	case e.share.perSecond == 0:
		return waitElsewhere
	}
	return e.bucket.wait(e.share.perSecond)
}

// Take takes a request's part of the endpoint's limit, and reports whether this VM had one
// left.
func (t *Table) Take(now time.Time, id ggscore.EndpointID) bool {
	e := t.limited(now, id)
	if e == nil {
		return true
	}
	return e.bucket.take()
}

// limited returns the endpoint with its bucket filled, or nil where it names no limit.
func (t *Table) limited(now time.Time, id ggscore.EndpointID) *endpoint {
	e := t.endpoints[id]
	if e == nil || e.limit == nil {
		return nil
	}
	if round := int64(now.Sub(e.asOf) / staleAfter); !e.share.valid || e.share.round != round {
		// What was unused adds up by the rate that held until now.
		e.bucket.fill(now, e.share.perSecond)
		e.share = t.shareOf(id, *e.limit, round)
	}
	e.bucket.fill(now, e.share.perSecond)
	return e
}
