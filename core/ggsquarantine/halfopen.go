package ggsquarantine

import (
	"maps"
	"time"

	ggscore "greengageslip/core"
)

const (
	// halfOpenDelay is the time from a quarantine to the first half-open try, in which the requests that were under way beside it
	// come into quarantine themselves.
	halfOpenDelay = 2 * time.Second
	// halfOpenInterval is the time after a half-open try that decided nothing until the next one, and maxHalfOpen their number.
	halfOpenInterval = 5 * time.Second
	maxHalfOpen      = 3
	// maxDoubt is how long after a quarantine further crashes may show that others caused those under it.
	maxDoubt = 30 * time.Second
	// releaseTime is how long the record of a released request stays, so that all VMs read it.
	releaseTime = 10 * time.Second
)

// explained reports whether each crash under a request is also one under another request that crashed an endpoint without it, too.
// The request may be sound then.
func (t *Table) explained(now time.Time, id ggscore.SuspectID) bool {
	causes := t.causes(now)
	own := causes[id]
	left := maps.Clone(own)
	for o, crashes := range causes {
		if o == id || missing(crashes, own) == 0 {
			continue
		}
		for p := range crashes {
			delete(left, p)
		}
	}
	return len(own) > 0 && len(left) == 0
}

// causes returns the requests that may have crashed endpoints: those that crashed them repeatedly and were never answered.
func (t *Table) causes(now time.Time) map[ggscore.SuspectID]map[process]time.Time {
	causes := map[ggscore.SuspectID]map[process]time.Time{}
	for id, q := range t.quarantined {
		if isRequest(id) && !q.released && t.ownUse(now, id).Answered == 0 {
			causes[id] = maps.Clone(q.crashes)
		}
	}
	for id, s := range t.repeated {
		switch {
		case !isRequest(id):
		case causes[id] != nil:
			maps.Copy(causes[id], s.crashes)
		case len(s.crashes) >= minCrashes && t.use(now, id, s).Answered == 0:
			causes[id] = s.crashes
		}
	}
	return causes
}

// doubt decides which requests in quarantine may be sound. Only copies that were under way at once crash endpoints by chance so
// often: a request that is sent again after a crash, and crashes the next endpoint too, is none of them.
func (t *Table) doubt(now time.Time) {
	for id, q := range t.quarantined {
		if !q.own || !q.copies || q.doubtful || q.tries > 0 || q.released || now.Sub(q.at) > maxDoubt {
			continue
		}
		if t.explained(now, id) {
			q.doubtful, q.changed = true, true
		}
	}
}

// HalfOpen reports whether a half-open try of a request in quarantine is due. It has to be claimed by RecordTry, so that one VM at
// a time makes it.
func (t *Table) HalfOpen(now time.Time, id ggscore.SuspectID) bool {
	q := t.quarantined[id]
	return q != nil && now.Before(q.until) && q.doubtful && q.tries < maxHalfOpen && !now.Before(q.dueAt)
}

// RecordTry records that this VM makes the half-open try that its record in the store counts.
func (t *Table) RecordTry(now time.Time, id ggscore.SuspectID) {
	if q := t.quarantined[id]; q != nil {
		q.tries, q.dueAt, q.trying = q.tries+1, now.Add(halfOpenInterval), true
	}
}

// Release ends the quarantine of a request whose half-open try was answered.
func (t *Table) Release(now time.Time, id ggscore.SuspectID) {
	if q := t.quarantined[id]; q != nil && !q.released {
		t.release(now, id, q)
		q.changed = true
	}
}

// release ends the quarantine of a request at this VM, and drops what it has collected since.
func (t *Table) release(now time.Time, id ggscore.SuspectID, q *quarantine) {
	q.released, q.until = true, now
	t.drop(id)
}

// acquitted reports whether a crash that a peer reports is one from before the request was released. The peer may not have read the
// record yet.
func (t *Table) acquitted(now time.Time, c ggscore.Crash) bool {
	q := t.quarantined[c.Suspect]
	if q == nil || !q.released || now.Sub(q.until) >= releaseTime {
		return false
	}
	_, known := q.crashes[processOf(c)]
	return known || len(q.crashes) == 0
}

// condemn ends the doubt about a request whose half-open try crashed an endpoint.
func (t *Table) condemn(id ggscore.SuspectID) {
	if q := t.quarantined[id]; q != nil && q.trying {
		q.doubtful, q.changed, q.trying = false, true, false
	}
}

// retryAfter returns when a request in quarantine may come again.
func (q *quarantine) retryAfter(now time.Time) time.Duration {
	left := q.until.Sub(now)
	if !q.doubtful || q.tries >= maxHalfOpen {
		return left
	}
	return min(left, max(q.dueAt.Sub(now), undecidedRetryAfter))
}
