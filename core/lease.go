package ggscore

import "time"

// A FenceNumber orders the owners of an endpoint: a later owner's is greater.
type FenceNumber uint64

// A Lease is an ownership as its holder knows it. Expires is on the holder's
// monotonic clock and already less the margin for the platform's clock.
type Lease struct {
	Owner   VMID
	Fence   FenceNumber
	Expires time.Time
}

// HeldAt reports whether the lease is held at now.
func (l Lease) HeldAt(now time.Time) bool { return now.Before(l.Expires) }
