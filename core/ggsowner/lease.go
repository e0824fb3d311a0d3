package ggsowner

import (
	"time"

	ggscore "greengageslip/core"
)

// Limits are the durations of a lease.
type Limits struct {
	// TTL is how long the platform keeps a lease after it received a renewal.
	TTL time.Duration
	// Margin is how much earlier the holder regards the lease as expired. It
	// covers the time that an order is in transit, and the drift between the
	// clocks of holder and platform over TTL.
	Margin time.Duration
}

// A Lease is the holder's state of its VM's lease.
type Lease struct {
	limits  Limits
	id      ggscore.LeaseID
	expires time.Time
}

// NewLease returns a Lease that isn't held.
func NewLease(l Limits) Lease { return Lease{limits: l} }

// Granted records a lease that was requested at the time sent and granted.
func (l *Lease) Granted(id ggscore.LeaseID, sent time.Time) {
	l.id = id
	l.expires = time.Time{}
	l.Renewed(sent)
}

// HeldAt reports whether the lease is certainly held.
//
// It guards against a holder that was paused and still regards itself as the
// owner: its next order would evict an adapter that the new owner uses. The
// platform counts the TTL from the arrival of a renewal. The holder counts it from
// before the renewal was sent, less the margin, so that the lease ends at the
// holder first, however long answers or pauses take.
//
// Both the monotonic and the wall clock must be before the expiry, because the
// monotonic clock stops while a VM is suspended. If the wall clock is set back, the
// monotonic clock still ends the lease. If it is set forward, the lease ends early.
func (l *Lease) HeldAt(now time.Time) bool {
	return l.id != 0 && now.Before(l.expires) && now.Round(0).Before(l.expires.Round(0))
}

// ID returns the lease's identifier, or zero.
func (l *Lease) ID() ggscore.LeaseID { return l.id }

// Lost records that the platform no longer has the lease.
func (l *Lease) Lost() { *l = Lease{limits: l.limits} }

// Renewed records a successful renewal that was sent at the time sent.
func (l *Lease) Renewed(sent time.Time) {
	if e := sent.Add(l.limits.TTL - l.limits.Margin); e.After(l.expires) {
		l.expires = e
	}
}
