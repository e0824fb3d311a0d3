// Package ggsgrace decides during a planned stop which requests may still be sent to an endpoint, so that none is sent on
// and cut off at the end of the grace period.
//
// # Usage
//
//	t := ggsgrace.NewTable()
//	t.Record(now, request, took)              // a whole answer, at any time
//	if !t.EndsInTime(now, schedule, request) {
//		// the request can't be expected to end in time: refuse it
//	}
//
// A request whose own time limit is reached before the end of the stop is always answered in time. Until the load balancer
// sends no more new callers, requests are also sent that are expected to end in time, as refusing them would send each of
// those callers on to another VM. That is no guarantee: an answer may be longer than any before. Afterwards only
// callers with kept connections are left, and what has no guarantee is refused.
//
// The time that a request takes is expected from the longest whole answers of its class in the last half minute, in
// proportion where it may generate more tokens than they. Without enough of them it is the request's own time limit. A Table
// has no clock and no lock of its own.
package ggsgrace

import (
	"time"

	ggscore "greengageslip/core"
)

const (
	// window is the time after which a class's longest answers are forgotten, twice that at most.
	window = 15 * time.Second
	// minAnswers is the number of answers without which nothing is expected of a class.
	minAnswers = 8
	// headroom and slack are added to the longest answer, for endpoints that slow down meanwhile.
	headroom = 1.25
	slack    = 100 * time.Millisecond
	// maxClasses bounds the classes of a table.
	maxClasses = 4096
)

// A Class is a set of requests that take about the same time.
type Class struct {
	Service ggscore.Service
	Kind    ggscore.RouteKind
}

// A Request is what is known of a request before it is sent.
type Request struct {
	Class Class
	// Limit is the time after which the request is answered in any case.
	Limit time.Duration
	// OutputTokens is the most that the request may generate, zero if unknown.
	OutputTokens int
}

// A Schedule has the times of a planned stop.
type Schedule struct {
	// Strict is when requests aren't sent any more that are only expected to end in time.
	Strict time.Time
	// End is when the requests in progress are cut off.
	End time.Time
}

// A Table has the longest answers of each class.
type Table struct {
	current, previous map[Class]longest
	since             time.Time
}

// A longest has the longest time of a class's answers, and the most tokens that one of them might have generated.
type longest struct {
	took         time.Duration
	outputTokens int
	answers      int
}

// NewTable returns a Table without answers.
func NewTable() *Table { return &Table{current: map[Class]longest{}, previous: map[Class]longest{}} }

// Record records how long a whole answer took from the sending of its request to its end.
func (t *Table) Record(now time.Time, r Request, took time.Duration) {
	t.advance(now)
	l, known := t.current[r.Class]
	if !known && len(t.current) >= maxClasses {
		return
	}
	t.current[r.Class] = longest{took: max(l.took, took), outputTokens: max(l.outputTokens, r.OutputTokens), answers: l.answers + 1}
}

// EndsInTime reports whether a request may be sent during a planned stop.
func (t *Table) EndsInTime(now time.Time, s Schedule, r Request) bool {
	left := s.End.Sub(now)
	return r.Limit <= left || now.Before(s.Strict) && t.Expected(now, r) <= left
}

// Expected returns the time that a request is expected to take at most.
func (t *Table) Expected(now time.Time, r Request) time.Duration {
	t.advance(now)
	a, b := t.current[r.Class], t.previous[r.Class]
	if a.answers+b.answers < minAnswers {
		return r.Limit
	}
	took := headroom * float64(max(a.took, b.took))
	if n := max(a.outputTokens, b.outputTokens); n > 0 && r.OutputTokens > n {
		took *= float64(r.OutputTokens) / float64(n)
	}
	// A product beyond the limit needn't fit a Duration.
	return time.Duration(min(float64(r.Limit), took+float64(slack)))
}

// advance begins a new window if the current one is over.
func (t *Table) advance(now time.Time) {
	age := now.Sub(t.since)
	if age < window {
		return
	}
	t.previous, t.current = t.current, map[Class]longest{}
	if age >= 2*window {
		t.previous = map[Class]longest{}
	}
	t.since = now
}
