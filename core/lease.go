package ggscore

import "time"

// A FencingToken orders the owners of an endpoint: each later owner has a greater token.
type FencingToken uint64

// A Lease is an ownership as its holder knows it. Expires is a time on the holder's monotonic
// clock, from which the margin for clock differences to the platform is already subtracted.
type Lease struct {
	Owner   VMID
	Fence   FencingToken
	Expires time.Time
}

// HeldAt reports whether the lease is held at now.
func (l Lease) HeldAt(now time.Time) bool { return now.Before(l.Expires) }
