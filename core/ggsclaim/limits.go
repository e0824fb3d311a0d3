package ggsclaim

import "time"

// Limits bound what claims keep and for how long.
type Limits struct {
	// Retention is how long a key is kept after its issue.
	Retention time.Duration
	// Margin is the difference that wall clocks of our VMs may have. Keys are
	// taken until Retention less Margin after their issue, and epochs are
	// deleted when all their keys are older than Retention and Margin: a VM
	// whose clock is slow can't grant a key that a VM whose clock is fast has
	// already forgotten.
	Margin time.Duration
	// InProgress is how long a claim counts as running. It exceeds every
	// request's deadline; later its outcome is unknown.
	InProgress time.Duration
	// ShardBytes bounds a shard's value.
	ShardBytes int
	// BodyBytes is the largest answer that is kept with an outcome.
	BodyBytes int
	// BodyBudgetBytes bounds the answers that a shard keeps.
	BodyBudgetBytes int
}

// DefaultLimits returns the limits for a retention, with room below the
// platform's largest value of 1 MB.
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

// Epochs returns how many epochs hold keys at once, at most.
func (l Limits) Epochs() int {
	return int((l.Retention+3*l.Margin)/EpochLength) + 2
}

// Expired reports whether a key issued at that time may no longer be granted.
func (l Limits) Expired(now, issued time.Time) bool {
	return !now.Before(l.GrantBefore(issued))
}

// GrantBefore returns the time up to which a key may be granted.
func (l Limits) GrantBefore(issued time.Time) time.Time {
	return issued.Add(l.Retention - l.Margin)
}

// Forgotten reports whether an epoch may be deleted.
func (l Limits) Forgotten(now time.Time, epoch int64) bool {
	end := time.UnixMilli((epoch + 1) * EpochLength.Milliseconds())
	return now.After(end.Add(l.Retention + l.Margin))
}

// StateBytes returns the most that all shards can hold in the platform's
// service.
func (l Limits) StateBytes() int64 {
	return int64(l.Epochs()) * Shards * int64(l.ShardBytes)
}
