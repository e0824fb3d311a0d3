package ggsthrottle

import (
	"cmp"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

const (
	// gossipMaxAge is the age up to which heartbeats carry the last announcement of an
	// endpoint. It exceeds the longest time that a VM goes without a heartbeat, so that no VM
	// reintroduces a limit that others know to be lifted.
	gossipMaxAge = 10 * time.Second
	// maxGossiped bounds the number of limits in a heartbeat.
	maxGossiped = 64
	// rotateAfter is the age of an endpoint's last answer after which other VMs are selected.
	rotateAfter = 5 * time.Second
	// minRate, in requests per second, keeps a few requests going to an endpoint that accepts
	// none. Only an answer can show that the limit was lifted.
	minRate = 0.2
	// burstWindow is the time over which unused tokens accumulate, minBurst the least capacity
	// of a bucket in requests.
	burstWindow = 500 * time.Millisecond
	minBurst    = 1.0
	// unselectedWait is the retry-after time if this VM isn't selected for the endpoint. On a
	// retry, the caller may reach a VM that is.
	unselectedWait = time.Second
)

// A Table holds the rate limits of endpoints and this VM's shares of them.
type Table struct {
	self      ggscore.VMID
	vms       []ggscore.VMID
	endpoints map[ggscore.EndpointID]*endpoint
	// shedLimits are those of services.
	shedLimits map[ggscore.Service]*shedLimit
}

var _ ggscore.EndpointThrottle = (*Table)(nil)

type endpoint struct {
	// limit is nil after answers have stopped announcing one.
	limit *ggscore.RateLimit
	// asOf is the time of the last announcement of a limit, or of no limit.
	asOf   time.Time
	share  share
	bucket bucket
}

// NewTable returns a table without limits. The only live VM is self until SetVMs is called.
func NewTable(self ggscore.VMID) *Table {
	return &Table{
		self: self, vms: []ggscore.VMID{self}, endpoints: map[ggscore.EndpointID]*endpoint{},
		shedLimits: map[ggscore.Service]*shedLimit{},
	}
}

// SetVMs sets the live VMs, including this one, in any order. The table keeps and sorts the
// slice.
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

// Observe records the limit that an answer announces, nil for none, and reports whether the
// endpoint became limited or unlimited. asOf is the time of the announcement: the arrival of
// the answer for a limit, the sending of the request for none. An answer to a request that was
// sent before the limit was announced therefore doesn't lift the limit.
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
		// The bucket keeps its tokens: an endpoint may announce a different limit in each
		// answer.
		e.share.valid = false
	}
	e.limit, e.asOf = limit, asOf
	return changed
}

// ObservePeer records the limits known to a peer.
func (t *Table) ObservePeer(now time.Time, ls []ggscore.EndpointLimit) {
	for _, l := range ls {
		if l.Age <= gossipMaxAge {
			t.Observe(now, l.Endpoint, l.Limit, now.Add(-l.Age))
		}
	}
}

// RecentLimits returns the announcements that a heartbeat carries: those younger than gossipMaxAge,
// most recent first, at most maxGossiped.
func (t *Table) RecentLimits(now time.Time) []ggscore.EndpointLimit {
	var ls []ggscore.EndpointLimit
	for id, e := range t.endpoints {
		age := max(now.Sub(e.asOf), 0)
		switch {
		case age <= gossipMaxAge:
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

// Limit returns the limit of an endpoint, nil for none.
func (t *Table) Limit(id ggscore.EndpointID) *ggscore.RateLimit {
	if e := t.endpoints[id]; e != nil {
		return e.limit
	}
	return nil
}

// LimitedCount returns the number of endpoints with a limit.
func (t *Table) LimitedCount() int {
	n := 0
	for _, e := range t.endpoints {
		if e.limit != nil {
			n++
		}
	}
	return n
}

// Remove drops the state of an endpoint.
func (t *Table) Remove(id ggscore.EndpointID) {
	delete(t.endpoints, id)
}

// Allows implements ggscore.EndpointThrottle.
func (t *Table) Allows(now time.Time, id ggscore.EndpointID) bool {
	e := t.limitedEndpoint(now, id)
	return e == nil || e.bucket.allows()
}

// Wait implements ggscore.EndpointThrottle.
func (t *Table) Wait(now time.Time, id ggscore.EndpointID) time.Duration {
	e := t.limitedEndpoint(now, id)
	switch {
	case e == nil:
		return 0
	case e.share.perSecond == 0:
		return unselectedWait
	}
	return e.bucket.wait(e.share.perSecond)
}

// Take takes a token for a request to the endpoint, and reports whether this VM had one left.
// It is always true for an endpoint without a limit.
func (t *Table) Take(now time.Time, id ggscore.EndpointID) bool {
	if !t.Allows(now, id) {
		return false
	}
	if e := t.limitedEndpoint(now, id); e != nil {
		e.bucket.take()
	}
	return true
}

// limitedEndpoint returns the endpoint with its bucket refilled, or nil if it has no limit.
func (t *Table) limitedEndpoint(now time.Time, id ggscore.EndpointID) *endpoint {
	e := t.endpoints[id]
	if e == nil || e.limit == nil {
		return nil
	}
	if rotation := int64(now.Sub(e.asOf) / rotateAfter); !e.share.valid || e.share.rotation != rotation {
		// Tokens accrue at the rate that applied until now.
		e.bucket.refill(now, e.share.perSecond, burstWindow)
		e.share = t.shareOf(id, *e.limit, rotation)
	}
	e.bucket.refill(now, e.share.perSecond, burstWindow)
	return e
}
