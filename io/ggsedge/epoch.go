package ggsedge

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
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
	// changed is called after each change, without a lock held.
	changed func(from, to ggscore.StoreEpoch, by string)

	// mu guards what follows and is a leaf.
	mu      sync.Mutex
	tracker *ggsepoch.Tracker
	// ignored are the reasons for which named epochs were ignored, each logged once.
	ignored map[ggsepoch.Reason]bool
}

func newEpochs(l log.Logger, changed func(from, to ggscore.StoreEpoch, by string)) *epochs {
	return &epochs{log: l, changed: changed, tracker: ggsepoch.NewTracker(), ignored: map[ggsepoch.Reason]bool{}}
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
	changed := e.tracker.Learn(to)
	e.mu.Unlock()
	if changed {
		e.changed(from, to, epochByPeer)
	}
}

// answer takes the epoch that an answer of the store named.
func (e *epochs) answer(sent, named ggscore.StoreEpoch, stale bool) ggsepoch.Answer {
	e.mu.Lock()
	from := e.tracker.Current()
	a := e.tracker.Answer(sent, named, stale)
	first := a.Ignored != ggsepoch.ReasonNone && !e.ignored[a.Ignored]
	if first {
		e.ignored[a.Ignored] = true
	}
	e.mu.Unlock()
	if first {
		_ = level.Warn(e.log).Log("event", ggslog.EventStoreEraIgnored, "reason", a.Ignored, "named", named, "current", a.Epoch)
	}
	if a.Changed {
		e.changed(from, a.Epoch, epochByStore)
	}
	return a
}

// epochChanged has all that was read in the epoch before read anew. It takes no lock.
func (e *Edge) epochChanged(from, to ggscore.StoreEpoch, by string) {
	_ = level.Info(e.Log).Log("event", ggslog.EventStoreEraChanged, "from", from, "to", to, "by", by)
	notify(e.listNotified)
	notify(e.operatorsNotified)
	notify(e.membersNotified)
}

// begun returns the first position of the current epoch.
func (e *epochs) begun() ggscore.StorePosition {
	if c := e.current(); c > 0 {
		return ggscore.StorePosition{Epoch: c, Revision: 1}
	}
	return ggscore.StorePosition{}
}

// An epochStore passes on a store's answers with the epoch that they are of. Answers of an
// epoch that has ended, and those to what was read in another, are errors.
type epochStore struct {
	Store
	epochs *epochs
}

var _ Store = (*epochStore)(nil)

// Snapshot implements ggscore.Snapshotter.
func (s *epochStore) Snapshot(ctx context.Context, prefix ggscore.Key, stale bool) ([]ggscore.Entry, ggscore.StorePosition, error) {
	sent := s.epochs.current()
	es, at, err := s.Store.Snapshot(ctx, prefix, stale)
	at, err = s.place(sent, at, stale, err)
	if err != nil {
		return nil, at, err
	}
	return es, at, nil
}

// Watch implements ggscore.HistoryWatcher.
func (s *epochStore) Watch(
	ctx context.Context, prefix ggscore.Key, after ggscore.StorePosition, wait time.Duration,
) ([]ggscore.Entry, ggscore.StorePosition, error) {
	sent := s.epochs.current()
	es, at, err := s.Store.Watch(ctx, prefix, after, wait)
	at, err = s.place(sent, at, false, err)
	if err == nil && at.Epoch != after.Epoch {
		err = &ggscore.HistoryGoneError{After: after}
	}
	if err != nil {
		return nil, at, err
	}
	return es, at, nil
}

// Txn implements ggscore.Txner.
func (s *epochStore) Txn(ctx context.Context, t ggscore.Txn) (ggscore.StorePosition, error) {
	sent := s.epochs.current()
	if t.Epoch != sent {
		return ggscore.StorePosition{Epoch: sent}, &ggscore.EpochChangedError{From: t.Epoch, To: sent}
	}
	at, err := s.Store.Txn(ctx, t)
	at, err = s.place(sent, at, false, err)
	var conflict *ggscore.TxnConflictError
	if at.Epoch != t.Epoch && (err == nil || errors.As(err, &conflict)) {
		err = &ggscore.EpochChangedError{From: t.Epoch, To: at.Epoch}
	}
	return at, err
}

// place returns the position that an answer is of, and an error for one that changes nothing.
// A call without an answer names no epoch.
func (s *epochStore) place(
	sent ggscore.StoreEpoch, at ggscore.StorePosition, stale bool, err error,
) (ggscore.StorePosition, error) {
	if err != nil && at.Epoch == 0 {
		return ggscore.StorePosition{Epoch: sent}, err
	}
	a := s.epochs.answer(sent, at.Epoch, stale)
	if a.Late && err == nil {
		err = &ggscore.LateAnswerError{Named: at.Epoch, Current: a.Epoch}
	}
	at.Epoch = a.Epoch
	return at, err
}
