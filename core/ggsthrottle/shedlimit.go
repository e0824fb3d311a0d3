package ggsthrottle

import (
	"cmp"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

const (
	// shedLimitTTL is how long a service counts as shed-limited after its last answer that said so.
	shedLimitTTL = 10 * time.Second
	// maxGossipedShedLimits bounds the number of shed limits in a heartbeat.
	maxGossipedShedLimits = 16
)

// A shedLimit is what a service's answers last said of the requests that its endpoints can shed.
type shedLimit struct {
	// refusals is nil if answers no longer name a limit.
	refusals *int
	asOf     time.Time
}

// ObserveShedLimit records whether an answer says that the endpoints of its service are shed-limited:
// that they fail once they refuse more than the given number of requests in a second, nil if it doesn't
// say so. asOf is as for Observe.
func (t *Table) ObserveShedLimit(s ggscore.Service, refusalsPerSecond *int, asOf time.Time) {
	l := t.shedLimits[s]
	if l == nil {
		if refusalsPerSecond == nil {
			return
		}
		l = &shedLimit{}
		t.shedLimits[s] = l
	}
	if asOf.Before(l.asOf) {
		return
	}
	l.refusals, l.asOf = refusalsPerSecond, asOf
}

// ObservePeerShedLimits records the shed limits known to a peer. One with a negative age would outlast all that endpoints
// say later.
func (t *Table) ObservePeerShedLimits(now time.Time, ls []ggscore.ShedLimit) {
	for _, l := range ls {
		if l.Age >= 0 && l.Age <= gossipMaxAge {
			t.ObserveShedLimit(l.Service, l.RefusalsPerSecond, now.Add(-l.Age))
		}
	}
}

// RestoreShedLimits records the shed limits from the record of another VM or of this VM's previous
// process. It has no effect on a service about which this VM has learned itself.
func (t *Table) RestoreShedLimits(now time.Time, ls []ggscore.ShedLimit) {
	for _, l := range ls {
		if t.shedLimits[l.Service] == nil {
			t.ObservePeerShedLimits(now, []ggscore.ShedLimit{l})
		}
	}
}

// RecentShedLimits returns the shed limits that a heartbeat carries: those younger than gossipMaxAge, most
// recent first, at most maxGossipedShedLimits.
func (t *Table) RecentShedLimits(now time.Time) []ggscore.ShedLimit {
	var ls []ggscore.ShedLimit
	for s, l := range t.shedLimits {
		age := max(now.Sub(l.asOf), 0)
		if age > gossipMaxAge {
			delete(t.shedLimits, s)
			continue
		}
		ls = append(ls, ggscore.ShedLimit{Service: s, RefusalsPerSecond: l.refusals, Age: age})
	}
	slices.SortFunc(ls, func(a, b ggscore.ShedLimit) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Service, b.Service))
	})
	return ls[:min(len(ls), maxGossipedShedLimits)]
}

// ShedLimited implements ggscore.EndpointThrottle.
func (t *Table) ShedLimited(now time.Time, s ggscore.Service) bool {
	l := t.shedLimits[s]
	return l != nil && l.refusals != nil && now.Sub(l.asOf) < shedLimitTTL
}

// ShedLimitedCount returns the number of services that are known to be shed-limited.
func (t *Table) ShedLimitedCount(now time.Time) int {
	n := 0
	for s := range t.shedLimits {
		if t.ShedLimited(now, s) {
			n++
		}
	}
	return n
}
