package ggsclaim

import "time"

// Limits bound the size and the lifetime of claims.
type Limits struct {
	// Retention is how long a key is kept after its issue.
	Retention time.Duration
	// Margin is the maximum difference between the wall clocks of VMs. Keys are granted
	// until Retention minus Margin after their issue, and epochs are deleted when all their
	// keys are older than Retention plus Margin. A VM with a slow clock therefore can't
	// grant a key that a VM with a fast clock has already deleted.
	Margin time.Duration
	// InProgress is how long a claim without an outcome counts as in progress; after that the
	// outcome counts as unknown. InProgress exceeds every request's deadline.
	InProgress time.Duration
	// ShardBytes bounds the size of a shard's value.
	ShardBytes int
	// BodyBytes is the largest response that is stored with an outcome.
	BodyBytes int
	// BodyBudgetBytes bounds the total size of the responses in a shard.
	BodyBudgetBytes int
}

// DefaultLimits returns the limits for a retention. ShardBytes leaves room below the
// platform's maximum value size of 1 MB.
func DefaultLimits(retention time.Duration) Limits {
	return Limits{
		Retention:       retention,
		Margin:          30 * time.Second,
		InProgress:      10 * time.Minute,
		ShardBytes:      768 << 10,
		BodyBytes:       2 << 10,
		BodyBudgetBytes: 256 << 10,
	}
}

// MaxEpochs returns the maximum number of epochs that hold keys at the same time.
func (l Limits) MaxEpochs() int {
	return int((l.Retention+3*l.Margin)/EpochLength) + 2
}

// Expired reports whether a key issued at that time may no longer be granted.
func (l Limits) Expired(now, issued time.Time) bool {
	return !now.Before(l.GrantBefore(issued))
}

// GrantBefore returns the time until which a key may be granted.
func (l Limits) GrantBefore(issued time.Time) time.Time {
	return issued.Add(l.Retention - l.Margin)
}

// EpochExpired reports whether an epoch may be deleted.
func (l Limits) EpochExpired(now time.Time, epoch int64) bool {
	end := time.UnixMilli((epoch + 1) * EpochLength.Milliseconds())
	return now.After(end.Add(l.Retention + l.Margin))
}

// MaxStoreBytes returns the maximum size of all shards in the platform's key-value
// service.
func (l Limits) MaxStoreBytes() int64 {
	return int64(l.MaxEpochs()) * Shards * int64(l.ShardBytes)
}
