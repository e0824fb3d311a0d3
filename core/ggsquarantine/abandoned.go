package ggsquarantine

import (
	"maps"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

const (
	// abandonedPeriod is how long an abandoned request may be the cause of its endpoint's silence: until the
	// list has dropped an endpoint that writes no more entries.
	abandonedPeriod = 10 * time.Second
	// lateCrashPeriod is how long an endpoint may work on an abandoned request, and crash under it.
	lateCrashPeriod = 500 * time.Millisecond
	// undecidedPeriod is how long other tries of a request wait for one of which nobody knows whether its endpoint
	// has survived it: until the list has dropped an endpoint that fell silent.
	undecidedPeriod = 5 * time.Second
	// maxAbandoned bounds the abandoned requests of one endpoint.
	maxAbandoned = 64
)

// An abandonedTry is a request that was given up before its endpoint had ended it.
type abandonedTry struct {
	startedAt time.Time
	sentAt    time.Time
	endedAt   time.Time
	// survived is set if the endpoint has answered a request that was sent when it no longer worked on this one.
	survived bool
}

// RecordAbandoned records that a request sent at a time was given up before its endpoint had ended it.
func (t *Table) RecordAbandoned(now, sentAt time.Time, b BrokenRequest) {
	request := requestOf(b.Suspects)
	if request == "" {
		return
	}
	tries := t.abandoned[b.Endpoint]
	if tries == nil {
		if len(t.abandoned) >= maxCrashed {
			clear(t.abandoned)
		}
		tries = map[ggscore.SuspectID]abandonedTry{}
		t.abandoned[b.Endpoint] = tries
	}
	maps.DeleteFunc(tries, func(_ ggscore.SuspectID, a abandonedTry) bool {
		return now.Sub(a.sentAt) >= abandonedPeriod || a.survived && now.Sub(a.endedAt) >= lateCrashPeriod
	})
	if len(tries) < maxAbandoned {
		tries[request] = abandonedTry{startedAt: b.StartedAt, sentAt: sentAt, endedAt: now}
	}
}

// recordSurvived records that an endpoint has answered a request that was sent at a time. It survives the requests on
// which it no longer worked then, and which are returned.
func (t *Table) recordSurvived(id ggscore.EndpointID, sentAt time.Time) (survived []ggscore.SuspectID) {
	tries := t.abandoned[id]
	for r, a := range tries {
		if !a.survived && sentAt.After(a.endedAt.Add(lateCrashPeriod)) {
			a.survived = true
			tries[r] = a
			survived = append(survived, r)
		}
	}
	return survived
}

// undecided returns the number of this VM's abandoned tries of a request of which it doesn't know yet whether their
// endpoints have survived them.
func (t *Table) undecided(now time.Time, id ggscore.SuspectID) int {
	n := 0
	for _, tries := range t.abandoned {
		if a, ok := tries[id]; ok && !a.survived && now.Sub(a.endedAt) < undecidedPeriod {
			n++
		}
	}
	return n
}

// RecordGone records that an endpoint's process is gone without having announced it, and returns the report for
// the peers. It crashed under the abandoned requests after which it answered no other.
func (t *Table) RecordGone(now time.Time, id ggscore.EndpointID, startedAt time.Time) ggscore.CrashReport {
	return t.chargeAbandoned(now, id, func(a abandonedTry) bool {
		return !a.survived && a.startedAt.Equal(startedAt) && now.Sub(a.sentAt) < abandonedPeriod
	})
}

// RecordDown records that an endpoint has crashed, as its connections show, and returns the report for the
// peers. It crashed under the requests that were abandoned lately, too.
func (t *Table) RecordDown(now time.Time, id ggscore.EndpointID) ggscore.CrashReport {
	return t.chargeAbandoned(now, id, func(a abandonedTry) bool { return now.Sub(a.endedAt) < lateCrashPeriod })
}

// chargeAbandoned records a crash under the abandoned requests of an endpoint that are chosen, and forgets them.
func (t *Table) chargeAbandoned(now time.Time, id ggscore.EndpointID, chosen func(abandonedTry) bool) ggscore.CrashReport {
	report := ggscore.CrashReport{VM: t.vm}
	tries := t.abandoned[id]
	for _, request := range slices.Sorted(maps.Keys(tries)) {
		a := tries[request]
		if !chosen(a) {
			continue
		}
		delete(tries, request)
		r := t.recordCrash(now, BrokenRequest{Endpoint: id, StartedAt: a.startedAt, Suspects: []ggscore.SuspectID{request}})
		mergeReport(&report, r)
	}
	if len(tries) == 0 {
		delete(t.abandoned, id)
	}
	return report
}

func mergeReport(to *ggscore.CrashReport, r ggscore.CrashReport) {
	to.Crashes = append(to.Crashes, r.Crashes...)
	if len(r.Withdrawn) > 0 {
		to.Withdrawn, to.AliveAt = append(to.Withdrawn, r.Withdrawn...), r.AliveAt
	}
	for s, u := range r.Uses {
		addUse(to, s, u)
	}
}
