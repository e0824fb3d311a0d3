package ggsedge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
)

// An epochStore adds the epoch to the positions that a store's answers name. It returns errors
// for answers of an epoch that has ended, and for answers to calls that refer to positions of
// another epoch.
type epochStore struct {
	Store
	epochs *epochState
}

var _ Store = (*epochStore)(nil)

// Snapshot implements ggscore.Snapshotter.
func (s *epochStore) Snapshot(ctx context.Context, prefix ggscore.Key, stale bool) ([]ggscore.Entry, ggscore.StorePosition, error) {
	sent := s.epochs.current()
	es, at, err := s.Store.Snapshot(ctx, prefix, stale)
	at, err = s.checkEpoch(sent, at, stale, err)
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
	at, err = s.checkEpoch(sent, at, false, err)
	if err == nil && at.Epoch != after.Epoch {
		err = &ggscore.HistoryCompactedError{After: after}
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
	at, err = s.checkEpoch(sent, at, false, err)
	var conflict *ggscore.TxnConflictError
	if at.Epoch != t.Epoch && (err == nil || errors.As(err, &conflict)) {
		err = &ggscore.EpochChangedError{From: t.Epoch, To: at.Epoch}
	}
	return at, err
}

// checkEpoch returns the position of an answer with its epoch, and an error for an answer that
// must be discarded. A call that got no answer names no epoch.
func (s *epochStore) checkEpoch(
	sent ggscore.StoreEpoch, at ggscore.StorePosition, stale bool, err error,
) (ggscore.StorePosition, error) {
	if err != nil && at.Epoch == 0 {
		return ggscore.StorePosition{Epoch: sent}, err
	}
	a := s.epochs.observeAnswer(sent, at, stale)
	if a.Late && err == nil {
		err = &ggscore.LateAnswerError{Named: at.Epoch, Current: a.Epoch}
	}
	at.Epoch = a.Epoch
	return at, err
}
