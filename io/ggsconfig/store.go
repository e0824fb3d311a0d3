package ggsconfig

import (
	"context"

	"github.com/go-kit/log"

	ggscore "greengageslip/core"
)

// A DryRunStore reads a store and writes nothing. A write succeeds if the store would
// accept it now.
type DryRunStore struct{ reader ggscore.Reader }

var _ EditorStore = (*DryRunStore)(nil)

// NewDryRunStore returns a DryRunStore over a reader.
func NewDryRunStore(r ggscore.Reader) *DryRunStore { return &DryRunStore{reader: r} }

// Delete implements ggscore.Writer.
func (s *DryRunStore) Delete(ctx context.Context, k ggscore.Key, prev ggscore.StoreRevision) error {
	_, err := s.check(ctx, k, prev)
	return err
}

// Get implements ggscore.Reader.
func (s *DryRunStore) Get(ctx context.Context, k ggscore.Key) (ggscore.Entry, error) {
	return s.reader.Get(ctx, k)
}

// List implements ggscore.Reader.
func (s *DryRunStore) List(ctx context.Context, prefix ggscore.Key) ([]ggscore.Entry, error) {
	return s.reader.List(ctx, prefix)
}

// Put implements ggscore.Writer. It writes nothing and returns a made-up revision.
func (s *DryRunStore) Put(
	ctx context.Context, k ggscore.Key, _ []byte, prev ggscore.StoreRevision, _ ggscore.LeaseID,
) (ggscore.StoreRevision, error) {
	return s.check(ctx, k, prev)
}

func (s *DryRunStore) check(
	ctx context.Context, k ggscore.Key, prev ggscore.StoreRevision,
) (ggscore.StoreRevision, error) {
	n, err := s.reader.Get(ctx, k)
	if err != nil {
		return 0, err
	}
	if n.Revision != prev {
		return 0, &ggscore.ConflictError{Key: k, Want: prev, Have: n.Revision}
	}
	return n.Revision + 1, nil
}

// A LoggedStore logs each call to a store.
type LoggedStore struct {
	store  EditorStore
	logger log.Logger
}

var _ EditorStore = (*LoggedStore)(nil)

// NewLoggedStore returns a LoggedStore over a store.
func NewLoggedStore(s EditorStore, l log.Logger) *LoggedStore {
	return &LoggedStore{store: s, logger: l}
}

// Delete implements ggscore.Writer.
func (s *LoggedStore) Delete(ctx context.Context, k ggscore.Key, prev ggscore.StoreRevision) error {
	err := s.store.Delete(ctx, k, prev)
	s.log("keyDeleted", k, prev, err)
	return err
}

// Get implements ggscore.Reader.
func (s *LoggedStore) Get(ctx context.Context, k ggscore.Key) (ggscore.Entry, error) {
	n, err := s.store.Get(ctx, k)
	s.log("keyRead", k, n.Revision, err)
	return n, err
}

// List implements ggscore.Reader.
func (s *LoggedStore) List(ctx context.Context, prefix ggscore.Key) ([]ggscore.Entry, error) {
	l, err := s.store.List(ctx, prefix)
	s.log("keysListed", prefix, 0, err)
	return l, err
}

// Put implements ggscore.Writer.
func (s *LoggedStore) Put(
	ctx context.Context, k ggscore.Key, value []byte, prev ggscore.StoreRevision, l ggscore.LeaseID,
) (ggscore.StoreRevision, error) {
	r, err := s.store.Put(ctx, k, value, prev, l)
	s.log("keyPut", k, r, err)
	return r, err
}

func (s *LoggedStore) log(event string, k ggscore.Key, r ggscore.StoreRevision, err error) {
	pairs := []any{"event", event, "key", k, "storeRevision", uint64(r)}
	if err != nil {
		pairs = append(pairs, "err", err)
	}
	_ = s.logger.Log(pairs...)
}
