package ggsplace

import (
	"time"

	ggscore "greengageslip/core"
)

// maxPause bounds the pause that an endpoint may ask for: a longer one is taken for a
// mistake that must not cost the endpoint for good.
const maxPause = 10 * time.Minute

// Pause notes that an endpoint wants nothing from this VM for some time.
func (t *Table) Pause(now time.Time, id ggscore.EndpointID, d time.Duration) {
	until := now.Add(min(d, maxPause))
	if e := t.endpoints[id]; e != nil && until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
}

// Takes reports whether an endpoint takes new requests of this VM. One that is gone takes
// none.
func (t *Table) Takes(now time.Time, id ggscore.EndpointID) bool {
	e := t.endpoints[id]
	return e != nil && !e.Leaving && !e.paused(now)
}

func (e *endpoint) paused(now time.Time) bool { return now.Before(e.pausedUntil) }
