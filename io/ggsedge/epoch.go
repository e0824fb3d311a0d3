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

// Sources from which a VM learns of a new epoch.
const (
	epochFromStore = "store"
	epochFromPeer  = "peer"
)

// An epochState tracks the current epoch of the store.
type epochState struct {
	log log.Logger
	now func() time.Time
	// changed is called after each change, without mu held.
	changed func(epochChange)

	// mu guards the fields below and is a leaf lock.
	mu      sync.Mutex
	tracker *ggsepoch.Tracker
	// ignored has the reasons for which epochs in answers were ignored. Each is logged once.
	ignored map[ggsepoch.Reason]bool
	// lastPosition is the position of the last answer. since is when this VM learned of the
	// current epoch.
	lastPosition ggscore.StorePosition
	since        time.Time
}

// An epochChange describes how a VM learned of a new epoch.
type epochChange struct {
	from, to ggscore.StoreEpoch
	// revision is that of the last answer in the previous epoch.
	revision ggscore.StoreRevision
	by       string
}

func newEpochState(l log.Logger, now func() time.Time, changed func(epochChange)) *epochState {
	return &epochState{log: l, now: now, changed: changed, tracker: ggsepoch.NewTracker(), ignored: map[ggsepoch.Reason]bool{}}
}

// recordChange records that the current epoch has changed. epochState.mu is held.
func (e *epochState) recordChange(from ggscore.StoreEpoch, by string) epochChange {
	e.since = e.now()
	return epochChange{from: from, to: e.tracker.Current(), revision: e.lastPosition.Revision, by: by}
}

// currentSince returns the current epoch, and when this VM learned of it.
func (e *epochState) currentSince() (ggscore.StoreEpoch, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Current(), e.since
}

// current returns the current epoch.
func (e *epochState) current() ggscore.StoreEpoch {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Current()
}

// observePeer processes the epoch that a peer knows.
func (e *epochState) observePeer(to ggscore.StoreEpoch) {
	e.mu.Lock()
	from := e.tracker.Current()
	changed := e.tracker.ObservePeer(to)
	var c epochChange
	if changed {
		c = e.recordChange(from, epochFromPeer)
	}
	e.mu.Unlock()
	if changed {
		e.changed(c)
	}
}

// observeAnswer processes the position that an answer of the store names. sent is the current
// epoch at the time of the call.
func (e *epochState) observeAnswer(sent ggscore.StoreEpoch, at ggscore.StorePosition, stale bool) ggsepoch.Answer {
	e.mu.Lock()
	from := e.tracker.Current()
	a := e.tracker.Answer(sent, at.Epoch, stale)
	var c epochChange
	if a.Changed {
		c = e.recordChange(from, epochFromStore)
	}
	if !a.Late && at.Revision > 0 {
		e.lastPosition = ggscore.StorePosition{Epoch: a.Epoch, Revision: at.Revision}
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

// epochChanged makes the loops read again whatever was read in the previous epoch. It takes only leaf
// locks.
func (e *Edge) epochChanged(c epochChange) {
	if c.from > 0 {
		_ = level.Info(e.Log).Log("event", ggslog.EventStoreEpochChanged, "from", c.from, "to", c.to, "revision", c.revision, "by", c.by)
	}
	notify(e.listNotified)
	notify(e.operatorsNotified)
	notify(e.membersNotified)
	e.origins.Reread()
}

// resyncTime returns how long this VM took to read the store in the current epoch, or has
// taken so far. Edge.mu is held.
func (e *Edge) resyncTime() time.Duration {
	c, since := e.epochs.currentSince()
	if since.IsZero() {
		return 0
	}
	if e.resyncedEpoch != c {
		return e.Now().Sub(since)
	}
	return e.resyncDuration
}

// recordResync records the end of the resync, which is when the list, the operators' entries
// and the VMs' own records were all read in the current epoch. Edge.mu is held.
func (e *Edge) recordResync() {
	c, since := e.epochs.currentSince()
	k, _ := e.ownership.Epoch()
	if e.resyncedEpoch == c || e.listProgress.ReadAt().Epoch != c || e.operatorsRead.Epoch != c || k != c {
		return
	}
	e.resyncedEpoch, e.resyncDuration = c, e.Now().Sub(since)
	_ = level.Info(e.Log).Log("event", ggslog.EventStoreResynced, "epoch", c, "took", e.resyncDuration)
}

// start returns the first position of the current epoch, zero if no epoch is known.
func (e *epochState) start() ggscore.StorePosition {
	if c := e.current(); c > 0 {
		return ggscore.StorePosition{Epoch: c, Revision: 1}
	}
	return ggscore.StorePosition{}
}
