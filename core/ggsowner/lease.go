package ggsowner

import (
	"time"

	ggscore "greengageslip/core"
)

// Limits set the times of a lease.
type Limits struct {
	// TTL is how long the platform holds a lease after a renewal arrived.
	TTL time.Duration
	// Margin is how much earlier the holder stops. It covers the time that an
	// order is under way and the difference in rate of the two clocks over
	// TTL.
	Margin time.Duration
}

// A Lease is a VM's lease as its holder knows it.
type Lease struct {
	limits  Limits
	id      ggscore.LeaseID
	expires time.Time
}

// NewLease returns a Lease that isn't held.
func NewLease(l Limits) Lease { return Lease{limits: l} }

// Granted reports a lease that was asked for at sent and is in force.
func (l *Lease) Granted(id ggscore.LeaseID, sent time.Time) {
	l.id = id
	l.expires = time.Time{}
	l.Renewed(sent)
}

// HeldAt reports whether the lease is certainly held. A holder that was paused
// still believes that it is the owner; its next order would evict an adapter
// that the new owner uses. The platform counts from when a renewal arrived, the
// holder from before it was sent and less the margin, so that the holder stops
// first however long answers or pauses take. The monotonic clock stands still
// while a VM is suspended, so that the wall clock has to agree: stepped back,
// it is overruled by the monotonic one; stepped on, it ends the lease early.
func (l *Lease) HeldAt(now time.Time) bool {
	return l.id != 0 && now.Before(l.expires) && now.Round(0).Before(l.expires.Round(0))
}

// ID returns the lease's identifier, or zero.
func (l *Lease) ID() ggscore.LeaseID { return l.id }

// Lost reports that the platform no longer knows the lease.
func (l *Lease) Lost() { *l = Lease{limits: l.limits} }

// Renewed reports a renewal that was sent at that time and succeeded.
func (l *Lease) Renewed(sent time.Time) {
	if e := sent.Add(l.limits.TTL - l.limits.Margin); e.After(l.expires) {
		l.expires = e
	}
}
