package ggsquarantine

import (
	"cmp"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

const (
	// maxKnown bounds the suspects that a VM tells another VM of, and maxStored those that it stores.
	maxKnown  = 256
	maxStored = 64
	// fleet stands for all VMs together in reports for a VM that starts.
	fleet ggscore.VMID = ""
)

// Known returns what this VM knows of crashes and of the suspects' uses at all VMs, in a report for each suspect, those
// with most crashes first. It serves VMs that start.
func (t *Table) Known(now time.Time) []ggscore.CrashReport {
	es := t.knownQuarantined(now, func(*quarantine) bool { return true })
	for id, s := range t.suspects {
		if n := t.countCrashes(now, id, s); n >= suspectCrashes || n > 0 && isRequest(id) {
			es = append(es, known{id, s})
		}
	}
	rs := reportsOf(now, fleet, es)
	for i, r := range rs {
		id := r.Crashes[0].Suspect
		u := t.ownUse(now, id)
		if s := t.suspects[id]; s != nil {
			u = t.use(now, id, s)
		}
		u.Pending = 0
		addUse(&rs[i], id, u)
	}
	return rs
}

// KnownRepeated returns reports of the requests under which endpoints crashed repeatedly, at least once at this VM, and
// of those in quarantine. It serves VMs that missed reports.
func (t *Table) KnownRepeated(now time.Time) []ggscore.CrashReport {
	es := t.knownQuarantined(now, func(q *quarantine) bool { return q.own })
	for id, s := range t.repeated {
		if s.own && isRequest(id) && t.crashesAgainst(now, id, s) >= suspectCrashes {
			es = append(es, known{id, s})
		}
	}
	return reportsOf(now, t.vm, es)
}

// KnownRequests returns a report for each request under which endpoints crashed, those with most crashes first. It serves
// VMs that start after all have restarted.
func (t *Table) KnownRequests(now time.Time) []ggscore.CrashReport {
	var es []known
	for _, e := range t.knownQuarantined(now, func(*quarantine) bool { return true }) {
		if isRequest(e.id) {
			es = append(es, e)
		}
	}
	for id, s := range t.suspects {
		if isRequest(id) && t.crashesAgainst(now, id, s) > 0 {
			es = append(es, known{id, s})
		}
	}
	rs := reportsOf(now, fleet, es)
	return rs[:min(len(rs), maxStored)]
}

// A known is a suspect in a report for another VM.
type known struct {
	id ggscore.SuspectID
	*suspect
}

// knownQuarantined returns the suspects in quarantine that are chosen and whose crashes are known.
func (t *Table) knownQuarantined(now time.Time, chosen func(*quarantine) bool) []known {
	var es []known
	for id, q := range t.quarantined {
		if now.Before(q.until) && len(q.crashes) > 0 && chosen(q) {
			es = append(es, known{id, &suspect{crashes: q.crashes}})
		}
	}
	return es
}

// reportsOf returns a report for each suspect, those with most crashes first.
func reportsOf(now time.Time, vm ggscore.VMID, es []known) []ggscore.CrashReport {
	slices.SortFunc(es, func(a, b known) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.lastCrash(now), b.lastCrash(now)))
	})
	var rs []ggscore.CrashReport
	for _, e := range es[:min(len(es), maxKnown)] {
		rs = append(rs, ggscore.CrashReport{VM: vm, Crashes: e.reported(e.id)})
	}
	return rs
}
