package ggsplace

import (
	"time"

	ggscore "greengageslip/core"
)

// maxPause bounds the pause that an endpoint can request. A longer pause is treated
// as an error and shortened, so that the endpoint is not excluded for good.
const maxPause = 10 * time.Minute

// Pause records that an endpoint requested a pause in the requests of this VM.
func (t *Table) Pause(now time.Time, id ggscore.EndpointID, d time.Duration) {
	until := now.Add(min(d, maxPause))
	if e := t.endpoints[id]; e != nil && until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
}

// Accepts reports whether an endpoint accepts new requests of this VM. It is false for an
// unknown endpoint.
func (t *Table) Accepts(now time.Time, id ggscore.EndpointID) bool {
	e := t.endpoints[id]
	return e != nil && !e.Leaving && !e.paused(now)
}

func (e *endpoint) paused(now time.Time) bool { return now.Before(e.pausedUntil) }
