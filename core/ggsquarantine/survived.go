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
	// withdrawnTime is how long a withdrawn crash is remembered. VMs that don't know of it yet go on reporting
	// the crash with others under the same request.
	withdrawnTime = time.Minute
	// maxWithdrawn bounds the withdrawn crashes.
	maxWithdrawn = 1 << 12
)

// An ownCrash is the end of a connection under a request of this VM, taken for a crash of its endpoint.
type ownCrash struct {
	at time.Time
	// listedAt is the start of the process as this VM knew it.
	listedAt time.Time
	crashes  []ggscore.Crash
}

// A withdrawal is a crash under a request that was none.
type withdrawal struct {
	at time.Time
	// aliveAt is when the process is known to have lived.
	aliveAt time.Time
	// own is set if this VM has withdrawn it.
	own bool
}

type withdrawnCrash struct {
	suspect ggscore.SuspectID
	process process
}

func withdrawnCrashOf(c ggscore.Crash) withdrawnCrash { return withdrawnCrash{c.Suspect, processOf(c)} }

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
	return t.withdrawOwn(now, id, sentAt, func(c ownCrash) bool {
		return opened.Add(survivedMargin).Before(c.at) && c.at.Before(sentAt)
	})
}

// RecordProcess records that a process which started at a time served an endpoint when it was asked. It outlived the ends
// of connections before, and the report for the peers withdraws them.
func (t *Table) RecordProcess(now time.Time, id ggscore.EndpointID, startedAt, askedAt time.Time) ggscore.CrashReport {
	return t.withdrawOwn(now, id, askedAt, func(c ownCrash) bool {
		return c.listedAt.Equal(startedAt) && c.at.Before(askedAt)
	})
}

// withdrawOwn withdraws the chosen crashes of an endpoint, whose process lived at a time.
func (t *Table) withdrawOwn(now time.Time, id ggscore.EndpointID, aliveAt time.Time, chosen func(ownCrash) bool) ggscore.CrashReport {
	r := ggscore.CrashReport{VM: t.vm, AliveAt: aliveAt}
	cs := t.own[id]
	if len(cs) == 0 {
		return r
	}
	var withdrawn []ggscore.Crash
	t.own[id] = slices.DeleteFunc(cs, func(c ownCrash) bool {
		if !chosen(c) {
			return false
		}
		withdrawn = append(withdrawn, c.crashes...)
		return true
	})
	if len(t.own[id]) == 0 {
		delete(t.own, id)
	}
	for _, c := range withdrawn {
		if !t.claims(c) {
			r.Withdrawn = append(r.Withdrawn, c)
			t.withdraw(now, c, withdrawal{at: now, aliveAt: aliveAt, own: true})
		}
	}
	return r
}

// claims reports whether a crash is one under a request of this VM that hasn't turned out to be none.
func (t *Table) claims(c ggscore.Crash) bool {
	return slices.ContainsFunc(t.own[c.Endpoint], func(o ownCrash) bool {
		return slices.ContainsFunc(o.crashes, func(own ggscore.Crash) bool { return withdrawnCrashOf(own) == withdrawnCrashOf(c) })
	})
}

// observeWithdrawn records the crashes that a peer withdraws. This VM finds out by itself about those that it has seen.
func (t *Table) observeWithdrawn(now time.Time, r ggscore.CrashReport) {
	for _, c := range r.Withdrawn {
		if !t.claims(c) {
			t.withdraw(now, c, withdrawal{at: now, aliveAt: r.AliveAt})
		}
	}
}

// wasWithdrawn reports whether a crash that a peer reports was withdrawn. The peer learns of it by the reply, from the
// VM that has withdrawn it.
func (t *Table) wasWithdrawn(now time.Time, c ggscore.Crash, reply *ggscore.CrashReport) bool {
	w, ok := t.withdrawn[withdrawnCrashOf(c)]
	if !ok || now.Sub(w.at) >= withdrawnTime {
		return false
	}
	if w.own {
		reply.Withdrawn, reply.AliveAt = append(reply.Withdrawn, c), w.aliveAt
	}
	return true
}

// withdraw takes back a crash that was none, and ends a quarantine that rested on it.
func (t *Table) withdraw(now time.Time, c ggscore.Crash, w withdrawal) {
	p := processOf(c)
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
	if !isRequest(c.Suspect) {
		return
	}
	if len(t.withdrawn) >= maxWithdrawn {
		clear(t.withdrawn)
	}
	t.withdrawn[withdrawnCrashOf(c)] = w
	t.recordLived(now, c, w.aliveAt)
}

// recordLived records that a process lived on after its crash was reported, so that the next one is another.
func (t *Table) recordLived(now time.Time, c ggscore.Crash, aliveAt time.Time) {
	p, ok := t.crashed[c.Endpoint]
	switch {
	case !ok:
		p = crashedProcess{listedAt: c.StartedAt, startedAt: c.StartedAt, at: now}
	case p.startedAt.UnixMilli() != c.StartedAt.UnixMilli() || !p.aliveAt.IsZero():
		return
	}
	p.aliveAt = aliveAt
	t.setCrashed(c.Endpoint, p)
}
