package ggsconfig

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const maxPause = 500 * time.Millisecond

// A pauser makes the growing, jittered pauses between tries.
type pauser struct{ backOff *backoff.ExponentialBackOff }

func newPauser(first time.Duration) *pauser {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = first
	b.MaxInterval = max(maxPause, first)
	b.Multiplier = 2
	b.RandomizationFactor = 0.5
	b.Reset()
	return &pauser{backOff: b}
}

// pause waits and reports whether the context lasted.
func (p *pauser) pause(ctx context.Context) bool {
	return wait(ctx, p.backOff.NextBackOff())
}

func (p *pauser) reset() { p.backOff.Reset() }

// wait waits and reports whether the context lasted.
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
