package ggsclaims

import (
	"time"

	"greengageslip/core/ggsclaim"
)

// Options set a Committer's limits.
type Options struct {
	Limits ggsclaim.Limits
	// Workers is the number of shards served at once.
	Workers int
	// CallTimeout bounds a call of the platform's service. A write that takes
	// longer is ambiguous.
	CallTimeout time.Duration
	// RetryAfter is how long the platform's service is taken to be away after
	// a call failed; meanwhile claims are refused without a call.
	RetryAfter time.Duration
	// Linger is how long an outcome waits for others of its shard.
	Linger time.Duration
	// SweepEvery is how often forgotten epochs are looked for.
	SweepEvery time.Duration
	// MaxPending bounds the operations that wait.
	MaxPending int
}

// DefaultOptions returns the options for a retention of keys.
func DefaultOptions(retention time.Duration) Options {
	return Options{
		Limits:      ggsclaim.DefaultLimits(retention),
		Workers:     8,
		CallTimeout: time.Second,
		RetryAfter:  time.Second,
		Linger:      100 * time.Millisecond,
		SweepEvery:  5 * time.Minute,
		MaxPending:  20_000,
	}
}
