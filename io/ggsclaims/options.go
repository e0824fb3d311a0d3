package ggsclaims

import (
	"time"

	"greengageslip/core/ggsclaim"
)

// Options configures a Committer.
type Options struct {
	Limits ggsclaim.Limits
	// Workers is the number of shards served concurrently.
	Workers int
	// CallTimeout bounds each call of the platform's service. A write that times out is
	// ambiguous.
	CallTimeout time.Duration
	// RetryAfter is the time after a failed call during which the platform's service
	// counts as unavailable. Claims are answered without a call during that time.
	RetryAfter time.Duration
	// OutcomeDelay is the longest delay of an outcome for batching with others of its shard.
	OutcomeDelay time.Duration
	// SweepInterval is the mean interval between sweeps of expired epochs.
	SweepInterval time.Duration
	// MaxPending is the number of pending operations at which new claims are refused. At
	// twice that number, outcomes are dropped.
	MaxPending int
}

// DefaultOptions returns the default options for a retention period of keys.
func DefaultOptions(retention time.Duration) Options {
	return Options{
		Limits:        ggsclaim.DefaultLimits(retention),
		Workers:       8,
		CallTimeout:   time.Second,
		RetryAfter:    time.Second,
		OutcomeDelay:  100 * time.Millisecond,
		SweepInterval: 5 * time.Minute,
		MaxPending:    20_000,
	}
}
