package ggscrash

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsquarantine"
	"greengageslip/io/ggslog"
	"greengageslip/io/ggsrecord"
)

// Options configures a Tracker. All fields but Crashes and TimeOfDay are required.
type Options struct {
	VM ggscore.VMID
	// Prefix is the prefix of the records' keys.
	Prefix ggscore.Key
	// Crashes is the prefix of the VMs' records of crashes, empty to store none. TimeOfDay is the clock that VMs
	// compare for their age.
	Crashes   ggscore.Key
	TimeOfDay func() time.Time
	Store     ggsrecord.Store
	Reporter  ggscore.CrashReporter
	Reader    ggscore.CrashReader
	// Epoch returns the store's epoch.
	Epoch func() ggscore.StoreEpoch
	// RetryPause returns the pause after a number of consecutive failed calls of the store.
	RetryPause func(failures int) time.Duration
	Now        func() time.Time
	Log        log.Logger
}

// A Tracker follows under which requests endpoints crash. It is safe for concurrent use.
type Tracker struct {
	options Options
	// due wakes the loop that writes and deletes records.
	due   chan struct{}
	start *start
	// crashed wakes the loop that stores crashes.
	crashed chan struct{}

	mu    sync.Mutex
	table *ggsquarantine.Table
	// revisions are those of the records in the store, as last read or written.
	revisions map[ggscore.SuspectID]ggscore.StoreRevision
}

// NewTracker returns a Tracker that knows of no crashes.
func NewTracker(o Options) *Tracker {
	return &Tracker{
		options: o, due: make(chan struct{}, 1), start: newStart(), crashed: make(chan struct{}, 1), table: ggsquarantine.NewTable(o.VM),
		revisions: map[ggscore.SuspectID]ggscore.StoreRevision{},
	}
}

// Check returns a *ggsquarantine.QuarantinedError if one of a request's suspects crashes endpoints. The request
// is queued if Sent was called for it.
func (t *Tracker) Check(ids []ggscore.SuspectID, queued bool) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	err := t.table.Check(now, ids, queued)
	if err != nil && len(t.table.Unrecorded(now)) > 0 {
		t.wake()
	}
	return err
}

// Suspected reports whether endpoints crashed repeatedly under one of a request's suspects.
func (t *Tracker) Suspected(ids []ggscore.SuspectID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Suspected(t.options.Now(), ids)
}

// CrashedUnder reports whether an endpoint is known to have crashed under a request.
func (t *Tracker) CrashedUnder(ids []ggscore.SuspectID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Crashed(t.options.Now(), ids)
}

// Sent records that a request is sent to an endpoint. Ended has to follow.
func (t *Tracker) Sent(ids []ggscore.SuspectID) {
	t.report(func(now time.Time) ggscore.CrashReport {
		t.table.RecordSent(now, ids)
		return t.table.ReportTries(now, ids)
	})
}

// Ended records that a request is no longer under way at an endpoint.
func (t *Tracker) Ended(ids []ggscore.SuspectID) {
	t.report(func(now time.Time) ggscore.CrashReport {
		t.table.RecordEnded(ids)
		return t.table.ReportTries(now, ids)
	})
}

// Answered records a success for suspects.
func (t *Tracker) Answered(ids ...ggscore.SuspectID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.RecordAnswer(t.options.Now(), ids...)
}

// EndpointAnswered records that an endpoint answered a request that was sent at a time.
func (t *Tracker) EndpointAnswered(id ggscore.EndpointID, sentAt time.Time) {
	t.report(func(now time.Time) ggscore.CrashReport { return t.table.RecordAnswered(now, id, sentAt) })
}

// EndpointAnsweredOver records that an endpoint answered a request that was sent at a time over a connection that had been
// open since another.
func (t *Tracker) EndpointAnsweredOver(id ggscore.EndpointID, opened, sentAt time.Time) {
	t.withdraw(func(now time.Time) ggscore.CrashReport { return t.table.RecordAnsweredOver(now, id, opened, sentAt) })
}

// EndpointRuns records that a process which started at a time served an endpoint when it was asked.
func (t *Tracker) EndpointRuns(id ggscore.EndpointID, startedAt, askedAt time.Time) {
	t.withdraw(func(now time.Time) ggscore.CrashReport { return t.table.RecordProcess(now, id, startedAt, askedAt) })
}

// withdraw sends the report of crashes that were none, and has those that remain stored.
func (t *Tracker) withdraw(change func(now time.Time) ggscore.CrashReport) {
	t.mu.Lock()
	r := change(t.options.Now())
	t.mu.Unlock()
	if len(r.Withdrawn) == 0 {
		return
	}
	_ = level.Info(t.options.Log).Log("event", ggslog.EventCrashesWithdrawn, "endpoint", r.Withdrawn[0].Endpoint, "crashes", len(r.Withdrawn))
	t.options.Reporter.ReportCrashes(r)
	notify(t.crashed)
	t.wake()
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// EndpointAccepted records that an endpoint accepted a connection for a request that was sent at a time.
func (t *Tracker) EndpointAccepted(id ggscore.EndpointID, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.RecordAlive(id, sentAt)
}

// Abandoned records that a request sent at a time was given up before its endpoint had ended it.
func (t *Tracker) Abandoned(sentAt time.Time, b ggsquarantine.BrokenRequest) {
	t.report(func(now time.Time) ggscore.CrashReport {
		t.table.RecordAbandoned(now, sentAt, b)
		return t.table.ReportTries(now, b.Suspects)
	})
}

// Crashed records that an endpoint crashed under a request, which ended the try of the suspects. It is no longer under way when
// the crash is judged: what is under way counts for a part of its prompt.
func (t *Tracker) Crashed(b ggsquarantine.BrokenRequest, ended ...ggscore.SuspectID) {
	t.reportCrash(func(now time.Time) ggscore.CrashReport {
		t.table.RecordEnded(ended)
		return t.table.RecordCrash(now, b)
	})
	t.report(func(now time.Time) ggscore.CrashReport { return t.table.ReportTries(now, ended) })
}

// EndpointDown records that an endpoint refuses connections.
func (t *Tracker) EndpointDown(id ggscore.EndpointID) {
	t.reportCrash(func(now time.Time) ggscore.CrashReport { return t.table.RecordDown(now, id) })
}

// EndpointGone records that an endpoint's process is gone without having announced it.
func (t *Tracker) EndpointGone(id ggscore.EndpointID, startedAt time.Time) {
	t.reportCrash(func(now time.Time) ggscore.CrashReport { return t.table.RecordGone(now, id, startedAt) })
}

// Observe records a peer's report.
func (t *Tracker) Observe(r ggscore.CrashReport) {
	t.report(func(now time.Time) ggscore.CrashReport { return t.table.ObserveReport(now, r) })
}

// report sends the report that a change of the table makes necessary, unless it is empty. It returns the number of
// crashes in the report.
func (t *Tracker) report(change func(now time.Time) ggscore.CrashReport) int {
	t.mu.Lock()
	r := change(t.options.Now())
	t.mu.Unlock()
	if len(r.Crashes) > 0 || len(r.Uses) > 0 || len(r.Withdrawn) > 0 {
		t.options.Reporter.ReportCrashes(r)
	}
	return len(r.Crashes)
}

// reportCrash is report for crashes under requests of this VM, which it stores.
func (t *Tracker) reportCrash(change func(now time.Time) ggscore.CrashReport) {
	if t.report(change) == 0 {
		return
	}
	notify(t.crashed)
	t.wake()
}

// Advance confirms quarantines that have lasted for their time, and has their records written.
func (t *Tracker) Advance() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	t.table.Advance(now)
	if len(t.table.Unrecorded(now)) > 0 || len(t.table.Changed()) > 0 {
		t.wake()
	}
}

// Quarantined returns the suspects in quarantine with the time that is left.
func (t *Tracker) Quarantined() map[ggscore.SuspectID]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Quarantined(t.options.Now())
}

// Count returns the number of requests in quarantine, or that of parts of prompts.
func (t *Tracker) Count(requests bool) int {
	n := 0
	for id := range t.Quarantined() {
		if _, ok := id.Request(); ok == requests {
			n++
		}
	}
	return n
}

// Len returns the number of entries in memory.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Len()
}

// wake has the records written that are due.
func (t *Tracker) wake() { notify(t.due) }

// Run learns from the store and from peers what they know of crashes, stores the crashes of this VM's requests, writes
// the records of suspects in quarantine, and deletes those whose quarantine has ended, until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return t.readStored(ctx) })
	g.Go(func() error { return t.maintainStored(ctx) })
	g.Go(func() error { return t.learn(ctx) })
	g.Go(func() error { return t.maintainRecords(ctx) })
	return g.Wait()
}

// maintainRecords writes and deletes records when they are due.
func (t *Tracker) maintainRecords(ctx context.Context) error {
	for {
		select {
		case <-t.due:
		case <-ctx.Done():
			return nil
		}
		for failures := 1; !t.writeDue(ctx); failures++ {
			if !pause(ctx, t.options.RetryPause(failures)) {
				return nil
			}
		}
	}
}

// pause waits for a time. It returns false if the context ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
