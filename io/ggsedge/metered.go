package ggsedge

import (
	"context"
	"time"

	ggscore "greengageslip/core"
)

// Names of the store's calls in metrics.
const (
	callSnapshot      = "snapshot"
	callStaleSnapshot = "staleSnapshot"
	callWatch         = "watch"
	callTxn           = "txn"
)

// A meteredStore counts the calls of a store by their names.
type meteredStore struct {
	Store
	count func(call string)
}

var _ Store = (*meteredStore)(nil)

// Snapshot implements ggscore.Snapshotter.
func (m *meteredStore) Snapshot(ctx context.Context, prefix ggscore.Key, stale bool) ([]ggscore.Entry, ggscore.StorePosition, error) {
	if stale {
		m.count(callStaleSnapshot)
	} else {
		m.count(callSnapshot)
	}
	return m.Store.Snapshot(ctx, prefix, stale)
}

// Watch implements ggscore.HistoryWatcher.
func (m *meteredStore) Watch(
	ctx context.Context, prefix ggscore.Key, after ggscore.StorePosition, wait time.Duration,
) ([]ggscore.Entry, ggscore.StorePosition, error) {
	m.count(callWatch)
	return m.Store.Watch(ctx, prefix, after, wait)
}

// Txn implements ggscore.Txner.
func (m *meteredStore) Txn(ctx context.Context, t ggscore.Txn) (ggscore.StorePosition, error) {
	m.count(callTxn)
	return m.Store.Txn(ctx, t)
}
