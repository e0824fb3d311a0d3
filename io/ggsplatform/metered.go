package ggsplatform

import (
	"context"
	"expvar"
	"time"

	ggscore "greengageslip/core"
)

// A Metered counts the calls to a store by the category of the platform's rate limits.
type Metered struct {
	store  ggscore.Store
	counts *expvar.Map
}

// A MeteredLister counts the reads of the list of VMs.
type MeteredLister struct {
	lister ggscore.VMLister
	counts *expvar.Map
}

var (
	_ ggscore.Store    = (*Metered)(nil)
	_ ggscore.VMLister = (*MeteredLister)(nil)
)

// NewMetered returns a store that counts its calls in the map, under the names reads,
// writes, watches and errors. A conflict counts as an error.
func NewMetered(s ggscore.Store, counts *expvar.Map) *Metered {
	return &Metered{store: s, counts: counts}
}

// NewMeteredLister returns a lister that counts its calls in the map, under the names reads
// and errors.
func NewMeteredLister(l ggscore.VMLister, counts *expvar.Map) *MeteredLister {
	return &MeteredLister{lister: l, counts: counts}
}

// Delete implements ggscore.Writer.
func (m *Metered) Delete(ctx context.Context, k ggscore.Key, prev ggscore.StoreRevision) error {
	err := m.store.Delete(ctx, k, prev)
	count(m.counts, countWrites, err)
	return err
}

// Get implements ggscore.Reader.
func (m *Metered) Get(ctx context.Context, k ggscore.Key) (ggscore.Entry, error) {
	e, err := m.store.Get(ctx, k)
	count(m.counts, countReads, err)
	return e, err
}

// Grant implements ggscore.Leaser.
func (m *Metered) Grant(ctx context.Context, ttl time.Duration) (ggscore.LeaseID, error) {
	l, err := m.store.Grant(ctx, ttl)
	count(m.counts, countWrites, err)
	return l, err
}

// List implements ggscore.Reader.
func (m *Metered) List(ctx context.Context, prefix ggscore.Key) ([]ggscore.Entry, error) {
	es, err := m.store.List(ctx, prefix)
	count(m.counts, countReads, err)
	return es, err
}

// Put implements ggscore.Writer.
func (m *Metered) Put(
	ctx context.Context, k ggscore.Key, value []byte, prev ggscore.StoreRevision, l ggscore.LeaseID,
) (ggscore.StoreRevision, error) {
	r, err := m.store.Put(ctx, k, value, prev, l)
	count(m.counts, countWrites, err)
	return r, err
}

// Renew implements ggscore.Leaser.
func (m *Metered) Renew(ctx context.Context, l ggscore.LeaseID) error {
	err := m.store.Renew(ctx, l)
	count(m.counts, countWrites, err)
	return err
}

// Revoke implements ggscore.Leaser.
func (m *Metered) Revoke(ctx context.Context, l ggscore.LeaseID) error {
	err := m.store.Revoke(ctx, l)
	count(m.counts, countWrites, err)
	return err
}

// Watch implements ggscore.Watcher.
func (m *Metered) Watch(
	ctx context.Context, prefix ggscore.Key, after ggscore.StoreRevision, wait time.Duration,
) ([]ggscore.Entry, ggscore.StoreRevision, error) {
	es, r, err := m.store.Watch(ctx, prefix, after, wait)
	count(m.counts, countWatches, err)
	return es, r, err
}

// ListVMs implements ggscore.VMLister.
func (m *MeteredLister) ListVMs(ctx context.Context) ([]ggscore.VM, error) {
	vs, err := m.lister.ListVMs(ctx)
	count(m.counts, countReads, err)
	return vs, err
}

func count(counts *expvar.Map, name string, err error) {
	counts.Add(name, 1)
	if err != nil {
		counts.Add(countErrors, 1)
	}
}

// The names of the counters.
const (
	countReads   = "reads"
	countWrites  = "writes"
	countWatches = "watches"
	countErrors  = "errors"
)
