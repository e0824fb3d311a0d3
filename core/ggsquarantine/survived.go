package ggsquarantine

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
)

const (
	// survivedMargin is how long before a crash a connection has to be open to show that its endpoint's process
	// outlived it: the end of another connection may arrive late.
	survivedMargin = 100 * time.Millisecond
	// maxOwnCrashes bounds the crashes of one endpoint under requests of this VM that may turn out to be none.
	maxOwnCrashes = 64
)

// An ownCrash is the end of a connection under a request of this VM, taken for a crash of its endpoint.
type ownCrash struct {
	at time.Time
	// listedAt is the start of the process as this VM knew it.
	listedAt time.Time
	crashes  []ggscore.Crash
}

// addOwnCrash adds a crash, and drops those that no longer count.
func (t *Table) addOwnCrash(id ggscore.EndpointID, c ownCrash) {
	if len(t.own) >= maxCrashed {
		clear(t.own)
	}
	cs := slices.DeleteFunc(t.own[id], func(o ownCrash) bool { return c.at.Sub(o.at) >= requestCrashPeriod })
	cs = append(cs, c)
	t.own[id] = cs[max(len(cs)-maxOwnCrashes, 0):]
}

// RecordAnsweredOver records that an endpoint answered a request that was sent at a time over a connection that had
// been open since another. The process that had accepted it outlived the ends of other connections in between. The
// report for the peers withdraws them.
func (t *Table) RecordAnsweredOver(now time.Time, id ggscore.EndpointID, opened, sentAt time.Time) ggscore.CrashReport {
	return t.withdrawOwn(now, id, func(c ownCrash) bool {
		return opened.Add(survivedMargin).Before(c.at) && c.at.Before(sentAt)
	})
}

// RecordProcess records that a process which started at a time served an endpoint when it was asked. It outlived the ends
// of connections before, and the report for the peers withdraws them.
func (t *Table) RecordProcess(now time.Time, id ggscore.EndpointID, startedAt, askedAt time.Time) ggscore.CrashReport {
	return t.withdrawOwn(now, id, func(c ownCrash) bool {
		return c.listedAt.Equal(startedAt) && c.at.Before(askedAt)
	})
}

// withdrawOwn withdraws the chosen crashes of an endpoint.
func (t *Table) withdrawOwn(now time.Time, id ggscore.EndpointID, chosen func(ownCrash) bool) ggscore.CrashReport {
	r := ggscore.CrashReport{VM: t.vm}
	cs := t.own[id]
	if len(cs) == 0 {
		return r
	}
	t.own[id] = slices.DeleteFunc(cs, func(c ownCrash) bool {
		if !chosen(c) {
			return false
		}
		r.Withdrawn = append(r.Withdrawn, c.crashes...)
		return true
	})
	if len(t.own[id]) == 0 {
		delete(t.own, id)
	}
	for _, c := range r.Withdrawn {
		t.withdraw(now, c)
	}
	if len(r.Withdrawn) > 0 {
		delete(t.crashed, id)
	}
	return r
}

// withdraw takes back a crash that was none, and ends a quarantine that rested on it.
func (t *Table) withdraw(now time.Time, c ggscore.Crash) {
	p := process{c.Endpoint, c.StartedAt.UnixMilli()}
	if s := t.suspects[c.Suspect]; s != nil {
		delete(s.crashes, p)
		if len(s.crashes) < suspectCrashes {
			delete(t.repeated, c.Suspect)
		}
		if len(s.crashes) < minCrashes {
			s.since = time.Time{}
		}
		if len(s.crashes) == 0 {
			t.drop(c.Suspect)
		}
	}
	if q := t.quarantined[c.Suspect]; q != nil {
		delete(q.crashes, p)
		if len(q.crashes) < minCrashes && now.Before(q.until) {
			q.until = now
		}
	}
	t.unanswered = nil
}
