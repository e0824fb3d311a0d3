package ggsplatform

import (
	"context"
	"time"

	ggscore "greengageslip/core"
)

// A ReadOnly is a store whose writes and lease calls fail with a *ReadOnlyError.
type ReadOnly struct {
	ggscore.Reader
	ggscore.Watcher
}

var _ ggscore.Store = (*ReadOnly)(nil)

// NewReadOnly returns a ReadOnly over a store.
func NewReadOnly(s ggscore.Store) *ReadOnly {
	return &ReadOnly{Reader: s, Watcher: s}
}

// Delete implements ggscore.Writer.
func (r *ReadOnly) Delete(_ context.Context, k ggscore.Key, _ ggscore.StoreRevision) error {
	return &ReadOnlyError{Key: k}
}

// Grant implements ggscore.Leaser.
func (r *ReadOnly) Grant(context.Context, time.Duration) (ggscore.LeaseID, error) {
	return 0, &ReadOnlyError{}
}

// Put implements ggscore.Writer.
func (r *ReadOnly) Put(
	_ context.Context, k ggscore.Key, _ []byte, _ ggscore.StoreRevision, _ ggscore.LeaseID,
) (ggscore.StoreRevision, error) {
	return 0, &ReadOnlyError{Key: k}
}

// Renew implements ggscore.Leaser.
func (r *ReadOnly) Renew(context.Context, ggscore.LeaseID) error { return &ReadOnlyError{} }

// Revoke implements ggscore.Leaser.
func (r *ReadOnly) Revoke(context.Context, ggscore.LeaseID) error { return &ReadOnlyError{} }
