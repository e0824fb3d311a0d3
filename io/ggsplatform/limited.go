package ggsplatform

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	ggscore "greengageslip/core"
)

// A Limited limits the rates of calls to a store to this process's share of the platform's
// rate limits. A watch counts as a read. A call waits for the limiter until its context's
// deadline. A call that couldn't proceed before the deadline fails at once with a
// *ggscore.StoreBusyError.
type Limited struct {
	store  ggscore.Store
	reads  *rate.Limiter
	writes *rate.Limiter
}

var _ ggscore.Store = (*Limited)(nil)

// NewLimited returns a store that limits the calls of s to the rates. The calls of half a
// second are allowed as a burst.
func NewLimited(s ggscore.Store, readsPerSecond, writesPerSecond float64) *Limited {
	return &Limited{store: s, reads: newLimiter(readsPerSecond), writes: newLimiter(writesPerSecond)}
}

// Delete implements ggscore.Writer.
func (l *Limited) Delete(ctx context.Context, k ggscore.Key, prev ggscore.StoreRevision) error {
	if err := acquire(ctx, l.writes); err != nil {
		return err
	}
	return l.store.Delete(ctx, k, prev)
}

// Get implements ggscore.Reader.
func (l *Limited) Get(ctx context.Context, k ggscore.Key) (ggscore.Entry, error) {
	if err := acquire(ctx, l.reads); err != nil {
		return ggscore.Entry{}, err
	}
	return l.store.Get(ctx, k)
}

// Grant implements ggscore.Leaser.
func (l *Limited) Grant(ctx context.Context, ttl time.Duration) (ggscore.LeaseID, error) {
	if err := acquire(ctx, l.writes); err != nil {
		return 0, err
	}
	return l.store.Grant(ctx, ttl)
}

// List implements ggscore.Reader.
func (l *Limited) List(ctx context.Context, prefix ggscore.Key) ([]ggscore.Entry, error) {
	if err := acquire(ctx, l.reads); err != nil {
		return nil, err
	}
	return l.store.List(ctx, prefix)
}

// Put implements ggscore.Writer.
func (l *Limited) Put(
	ctx context.Context, k ggscore.Key, value []byte, prev ggscore.StoreRevision, id ggscore.LeaseID,
) (ggscore.StoreRevision, error) {
	if err := acquire(ctx, l.writes); err != nil {
		return 0, err
	}
	return l.store.Put(ctx, k, value, prev, id)
}

// Renew implements ggscore.Leaser.
func (l *Limited) Renew(ctx context.Context, id ggscore.LeaseID) error {
	if err := acquire(ctx, l.writes); err != nil {
		return err
	}
	return l.store.Renew(ctx, id)
}

// Revoke implements ggscore.Leaser.
func (l *Limited) Revoke(ctx context.Context, id ggscore.LeaseID) error {
	if err := acquire(ctx, l.writes); err != nil {
		return err
	}
	return l.store.Revoke(ctx, id)
}

// Watch implements ggscore.Watcher.
func (l *Limited) Watch(
	ctx context.Context, prefix ggscore.Key, after ggscore.StoreRevision, wait time.Duration,
) ([]ggscore.Entry, ggscore.StoreRevision, error) {
	if err := acquire(ctx, l.reads); err != nil {
		return nil, 0, err
	}
	return l.store.Watch(ctx, prefix, after, wait)
}

// burstDivisor divides the rate per second for the burst size.
const burstDivisor = 2

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/burstDivisor)))
}

// acquire waits until the limiter permits a call. After an error, the call wasn't sent.
func acquire(ctx context.Context, l *rate.Limiter) error {
	err := l.Wait(ctx)
	if err == nil {
		return nil
	}
	if cause := context.Cause(ctx); cause != nil {
		return &ggscore.StoreUnavailableError{Cause: cause}
	}
	return &ggscore.StoreBusyError{}
}
