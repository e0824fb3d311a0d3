package ggsconfig

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const maxBackoff = 500 * time.Millisecond

// A retryBackoff waits between attempts, with exponential backoff and jitter.
type retryBackoff struct{ backOff *backoff.ExponentialBackOff }

func newRetryBackoff(first time.Duration) *retryBackoff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = first
	b.MaxInterval = max(maxBackoff, first)
	b.Multiplier = 2
	b.RandomizationFactor = 0.5
	b.Reset()
	return &retryBackoff{backOff: b}
}

// waitNext waits for the next backoff and reports false if the context ended first.
func (b *retryBackoff) waitNext(ctx context.Context) bool {
	return wait(ctx, b.backOff.NextBackOff())
}

func (b *retryBackoff) reset() { b.backOff.Reset() }

// wait waits for d and reports false if the context ended first.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
