package ggsedge

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsepoch"
	"greengageslip/io/ggslog"
)

// The sources from which a VM learns of a new epoch.
const (
	epochByStore = "store"
	epochByPeer  = "peer"
)

// An epochs is what a VM knows of the store's epoch.
type epochs struct {
	log log.Logger
	now func() time.Time
	// changed is called after each change, without the lock held.
	changed func(epochChange)

	// mu guards what follows and is a leaf.
	mu      sync.Mutex
	tracker *ggsepoch.Tracker
	// ignored are the reasons for which named epochs were ignored, each logged once.
	ignored map[ggsepoch.Reason]bool
	// last is the position of the last answer, since when the current epoch was learnt.
	last  ggscore.StorePosition
	since time.Time
}

// An epochChange says how a VM learnt of a new epoch.
type epochChange struct {
	from, to ggscore.StoreEpoch
	// revision is that of the last answer in the epoch before.
	revision ggscore.StoreRevision
	by       string
}

func newEpochs(l log.Logger, now func() time.Time, changed func(epochChange)) *epochs {
	return &epochs{log: l, now: now, changed: changed, tracker: ggsepoch.NewTracker(), ignored: map[ggsepoch.Reason]bool{}}
}

// enter notes that a new epoch was learnt. epochs.mu is held.
func (e *epochs) enter(from ggscore.StoreEpoch, by string) epochChange {
	e.since = e.now()
	return epochChange{from: from, to: e.tracker.Current(), revision: e.last.Revision, by: by}
}

// learntAt returns the current epoch, and when it was learnt.
func (e *epochs) learntAt() (ggscore.StoreEpoch, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Current(), e.since
}

// current returns the current epoch.
func (e *epochs) current() ggscore.StoreEpoch {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Current()
}

// learn takes an epoch that a peer knows.
func (e *epochs) learn(to ggscore.StoreEpoch) {
	e.mu.Lock()
	from := e.tracker.Current()
	changed := e.tracker.ObservePeer(to)
	var c epochChange
	if changed {
		c = e.enter(from, epochByPeer)
	}
	e.mu.Unlock()
	if changed {
		e.changed(c)
	}
}

// answer takes the position that an answer of the store named.
func (e *epochs) answer(sent ggscore.StoreEpoch, at ggscore.StorePosition, stale bool) ggsepoch.Answer {
	e.mu.Lock()
	from := e.tracker.Current()
	a := e.tracker.Answer(sent, at.Epoch, stale)
	var c epochChange
	if a.Changed {
		c = e.enter(from, epochByStore)
	}
	if !a.Late && at.Revision > 0 {
		e.last = ggscore.StorePosition{Epoch: a.Epoch, Revision: at.Revision}
	}
	first := a.Ignored != ggsepoch.ReasonNone && !e.ignored[a.Ignored]
	if first {
		e.ignored[a.Ignored] = true
	}
	e.mu.Unlock()
	if first {
		_ = level.Warn(e.log).Log("event", ggslog.EventStoreEpochIgnored, "reason", a.Ignored, "named", at.Epoch, "current", a.Epoch)
	}
	if a.Changed {
		e.changed(c)
	}
	return a
}

// epochChanged has all that was read in the epoch before read anew. It takes no lock.
func (e *Edge) epochChanged(c epochChange) {
	if c.from > 0 {
		_ = level.Info(e.Log).Log("event", ggslog.EventStoreEpochChanged, "from", c.from, "to", c.to, "revision", c.revision, "by", c.by)
	}
	notify(e.listNotified)
	notify(e.operatorsNotified)
	notify(e.membersNotified)
}

// resyncTime returns how long this VM took to read the store in the current epoch, or has
// taken so far. Edge.mu is held.
func (e *Edge) resyncTime() time.Duration {
	c, since := e.epochs.learntAt()
	if since.IsZero() {
		return 0
	}
	if e.resynced != c {
		return e.Now().Sub(since)
	}
	return e.resyncTook
}

// noteResynced notes that list, operators' entries and records were read in the current epoch.
// Edge.mu is held.
func (e *Edge) noteResynced() {
	c, since := e.epochs.learntAt()
	k, _ := e.keeper.Epoch()
	if e.resynced == c || e.listRead.Epoch != c || e.operatorsRead.Epoch != c || k != c {
		return
	}
	e.resynced, e.resyncTook = c, e.Now().Sub(since)
	_ = level.Info(e.Log).Log("event", ggslog.EventStoreResynced, "epoch", c, "took", e.resyncTook)
}

// begun returns the first position of the current epoch.
func (e *epochs) begun() ggscore.StorePosition {
	if c := e.current(); c > 0 {
		return ggscore.StorePosition{Epoch: c, Revision: 1}
	}
	return ggscore.StorePosition{}
}
