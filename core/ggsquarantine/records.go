package ggsquarantine

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// A quarantine is a suspect in recorded quarantine.
type quarantine struct {
	at      time.Time
	until   time.Time
	crashes map[process]time.Time
	// own is set if this VM writes the record.
	own bool
	// copies is set if copies of the request were under way at once when it crashed endpoints, and doubtful if others explain each of
	// the crashes, so that a half-open try decides.
	copies, doubtful bool
	// tries counts those that have begun at any VM, and dueAt is when the next one may begin. trying is set if this VM made the last
	// one.
	tries  int
	dueAt  time.Time
	trying bool
	// released is set once a half-open try has been answered. changed is set if the record in the store has to say something else.
	released bool
	changed  bool
	// repliedAt is when this VM last reported the crashes to a peer that didn't know of the quarantine.
	repliedAt time.Time
}

// missedBy reports whether a crash that a peer reports shows that the peer doesn't know of the quarantine.
func (q *quarantine) missedBy(now time.Time, c ggscore.Crash) bool {
	if len(q.crashes) == 0 || !now.Before(q.until) || now.Sub(q.repliedAt) < replyInterval {
		return false
	}
	_, known := q.crashes[process{c.Endpoint, c.StartedAt.UnixMilli()}]
	return !known
}

func confirmTime(id ggscore.SuspectID) time.Duration {
	if isRequest(id) {
		return requestConfirmTime
	}
	return partConfirmTime
}

// confirm puts a suspect into recorded quarantine. A VM whose request was among the crashed ones writes
// the record.
func (t *Table) confirm(now time.Time, id ggscore.SuspectID, s *suspect) {
	q := t.quarantined[id]
	if q == nil && len(t.quarantined) >= maxQuarantined {
		return
	}
	if q == nil || q.released {
		q = &quarantine{dueAt: now.Add(halfOpenDelay)}
		t.quarantined[id] = q
	}
	q.at, q.until, q.crashes, q.own, q.copies = now, now.Add(quarantineTime), s.crashes, s.own, q.copies || s.copies
	t.drop(id)
}

// Unrecorded returns the suspects of which this VM has to write a record. The store may also have lost it.
func (t *Table) Unrecorded(now time.Time) []ggscore.SuspectID {
	var ids []ggscore.SuspectID
	for id, q := range t.quarantined {
		if q.own && !t.records[id] && now.Before(q.until) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// A Record is what the store has of a suspect in quarantine.
type Record struct {
	Suspect ggscore.SuspectID
	// Doubtful is set if a half-open try may end the quarantine, and Tries counts those that have begun.
	Doubtful bool
	Tries    int
	// Released is set once one of them has been answered.
	Released bool
}

// RecordOf returns the record to write of a suspect.
func (t *Table) RecordOf(id ggscore.SuspectID) Record {
	r := Record{Suspect: id}
	if q := t.quarantined[id]; q != nil {
		r.Doubtful, r.Tries, r.Released = q.doubtful, q.tries, q.released
	}
	return r
}

// ObserveRecords replaces the records in the store. It returns the number of requests that they release.
func (t *Table) ObserveRecords(now time.Time, records []Record) (released int) {
	before := t.records
	t.records = make(map[ggscore.SuspectID]bool, len(records))
	for _, r := range records {
		t.records[r.Suspect] = true
		if !before[r.Suspect] {
			t.Adopt(now, r)
		}
		if t.observeRecord(now, r) {
			released++
		}
	}
	for id, q := range t.quarantined {
		switch {
		case t.records[id]:
		case !now.Before(q.until):
			delete(t.quarantined, id)
		case now.Sub(q.at) >= recordTime:
			q.own = true
		}
	}
	return released
}

// observeRecord applies what the store says of a suspect in quarantine, and reports whether that releases it.
func (t *Table) observeRecord(now time.Time, r Record) bool {
	q := t.quarantined[r.Suspect]
	if q == nil {
		return false
	}
	if r.Tries > q.tries {
		// Its outcome is known to the VM that made it.
		q.tries, q.dueAt, q.changed = r.Tries, now.Add(halfOpenInterval), q.changed && q.released
	}
	if !q.changed {
		q.doubtful = r.Doubtful
	}
	if !r.Released || q.released {
		return false
	}
	t.release(now, r.Suspect, q)
	return true
}

// Adopt puts a suspect into quarantine that another VM has in quarantine.
func (t *Table) Adopt(now time.Time, r Record) {
	if t.quarantined[r.Suspect] == nil && len(t.quarantined) < maxQuarantined {
		t.quarantined[r.Suspect] = &quarantine{
			at: now, until: now.Add(quarantineTime), doubtful: r.Doubtful, tries: r.Tries, dueAt: now.Add(halfOpenDelay),
		}
	}
}

// Recorded records that a suspect has a record, this VM's or a peer's.
func (t *Table) Recorded(id ggscore.SuspectID) { t.records[id] = true }

// Written records that the record of a suspect says what this VM knows.
func (t *Table) Written(id ggscore.SuspectID) {
	t.Recorded(id)
	if q := t.quarantined[id]; q != nil {
		q.changed = false
	}
}

// Changed returns the suspects whose record has to be written again.
func (t *Table) Changed() []ggscore.SuspectID {
	var ids []ggscore.SuspectID
	for id, q := range t.quarantined {
		if q.changed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Expired returns the suspects with a record whose quarantine has ended.
func (t *Table) Expired(now time.Time) []ggscore.SuspectID {
	var ids []ggscore.SuspectID
	for id := range t.records {
		if q := t.quarantined[id]; q != nil && q.expired(now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// expired reports whether a quarantine's record is to be deleted. That of a released one tells all VMs so first.
func (q *quarantine) expired(now time.Time) bool {
	if q.released {
		return now.Sub(q.until) >= releaseTime
	}
	return !now.Before(q.until)
}

// Quarantined returns the suspects in recorded quarantine with the time that is left.
func (t *Table) Quarantined(now time.Time) map[ggscore.SuspectID]time.Duration {
	ids := map[ggscore.SuspectID]time.Duration{}
	for id, q := range t.quarantined {
		if now.Before(q.until) {
			ids[id] = q.until.Sub(now)
		}
	}
	return ids
}
