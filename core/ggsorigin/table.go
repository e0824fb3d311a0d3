package ggsorigin

import (
	"time"

	ggscore "greengageslip/core"
)

const (
	// Retention is how long records are kept at least. Callers give up streams much sooner.
	Retention = time.Minute
	// maxRecords bounds the records of one generation.
	maxRecords = 1 << 15
	// maxRequestIDBytes bounds the IDs of recorded requests, which callers choose.
	maxRequestIDBytes = 64
)

// A Table holds the origins of recent streams.
type Table struct {
	// current and previous are two generations of records. Dropping a whole generation takes no
	// scan for expired records.
	current  map[ggscore.RequestID]record
	previous map[ggscore.RequestID]record
	// since is when the current generation began.
	since time.Time
}

type record struct {
	origin ggscore.StreamOrigin
	at     time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{current: map[ggscore.RequestID]record{}}
}

// Recordable reports whether a stream can be recorded by a request's ID.
func Recordable(id ggscore.RequestID) bool { return id != "" && len(id) <= maxRequestIDBytes }

// Record records the origin of a stream.
func (t *Table) Record(now time.Time, o ggscore.StreamOrigin) {
	if !Recordable(o.Request) {
		return
	}
	if t.since.IsZero() {
		t.since = now
	}
	if now.Sub(t.since) >= Retention || len(t.current) >= maxRecords {
		t.previous, t.current, t.since = t.current, map[ggscore.RequestID]record{}, now
	}
	t.current[o.Request] = record{origin: o, at: now}
}

// Find returns the origin of the stream that a request began.
func (t *Table) Find(id ggscore.RequestID) (ggscore.StreamOrigin, bool) {
	r, ok := t.current[id]
	if !ok {
		r, ok = t.previous[id]
	}
	return r.origin, ok
}

// Recent returns the records of a service that are at most of the given age.
func (t *Table) Recent(now time.Time, s ggscore.Service, age time.Duration) []ggscore.StreamOrigin {
	var l []ggscore.StreamOrigin
	for _, g := range []map[ggscore.RequestID]record{t.current, t.previous} {
		for _, r := range g {
			if r.origin.Service == s && now.Sub(r.at) <= age {
				l = append(l, r.origin)
			}
		}
	}
	return l
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.current) + len(t.previous) }
