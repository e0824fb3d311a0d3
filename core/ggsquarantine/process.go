package ggsquarantine

import (
	"time"

	ggscore "greengageslip/core"
)

// maxCrashed bounds the endpoints that are known to have crashed.
const maxCrashed = 1 << 12

// A crashedProcess is an endpoint's process that crashed. An endpoint may start again under its ID before the VM
// learns of its new process.
type crashedProcess struct {
	// listedAt is the start of the process as the VM knew it, and startedAt that by which its crash is told
	// from those of others.
	listedAt  time.Time
	startedAt time.Time
	at        time.Time
	// aliveAt is when a request was sent that the endpoint accepted after the crash, zero if there is none.
	aliveAt time.Time
}

// RecordAnswered records that an endpoint answered a request that was sent at a time. It returns the report for the
// peers.
func (t *Table) RecordAnswered(now time.Time, id ggscore.EndpointID, sentAt time.Time) ggscore.CrashReport {
	t.RecordAlive(id, sentAt)
	return t.ReportTries(now, t.recordSurvived(id, sentAt))
}

// RecordAlive records that an endpoint accepted a connection for a request, or answered it.
func (t *Table) RecordAlive(id ggscore.EndpointID, sentAt time.Time) {
	c, ok := t.crashed[id]
	if ok && c.aliveAt.IsZero() && sentAt.After(c.at) {
		c.aliveAt = sentAt
		t.crashed[id] = c
	}
}

// observeProcess records the crash of an endpoint's process that a peer reports.
func (t *Table) observeProcess(now time.Time, reported *ggscore.Crash) {
	c, ok := t.crashed[reported.Endpoint]
	switch {
	case !ok:
		c = crashedProcess{listedAt: reported.StartedAt, startedAt: reported.StartedAt, at: now}
	case reported.StartedAt.After(c.startedAt):
		c.startedAt, c.at, c.aliveAt = reported.StartedAt, now, time.Time{}
	default:
		c.listedAt = earlier(c.listedAt, reported.StartedAt)
	}
	t.setCrashed(reported.Endpoint, c)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (t *Table) setCrashed(id ggscore.EndpointID, c crashedProcess) {
	if len(t.crashed) >= maxCrashed {
		clear(t.crashed)
	}
	t.crashed[id] = c
}

// recordProcess records the crash of an endpoint's process, and returns the process's start. That in the VM's
// list may be the one of the process before.
func (t *Table) recordProcess(now time.Time, b *BrokenRequest) time.Time {
	c, ok := t.crashed[b.Endpoint]
	switch {
	case !ok || !c.listedAt.Equal(b.StartedAt):
		c = crashedProcess{listedAt: b.StartedAt, startedAt: b.StartedAt, at: now}
	case !c.aliveAt.IsZero():
		c = crashedProcess{listedAt: b.StartedAt, startedAt: c.aliveAt, at: now}
	}
	t.setCrashed(b.Endpoint, c)
	return c.startedAt
}
