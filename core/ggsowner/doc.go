// Package ggsowner decides which dispatcher owns a group of endpoints, and what
// the owner may do with the endpoints at the moment.
//
// The platform's key-value service stores one record per group. The record holds
// the owner, a fencing token that grows with each change of owner or lease, and the
// adapters that the owner protects on each endpoint. The record isn't bound to a
// lease, so that it never expires. Each VM has one lease of its own, and the record
// names the owner's lease.
//
// # Usage
//
//	l := ggsowner.NewLease(limits)
//	l.Granted(id, sent)
//	l.Renewed(sent) // after each successful renewal
//
//	g := ggsowner.NewGroup(self)
//	g.SetCandidate(first)
//	g.Invalidate()
//	for s := g.Next(now, &l); s.Kind != ggsowner.StepIdle; s = g.Next(now, &l) {
//		// do the I/O, then call RecordRead, LeaseRead, WriteDone or IOFailed
//	}
//	fence, err := g.Check(now, &l, endpoint, adapter, ggscore.OrderDispatch)
//
// # Safety
//
// Only the holder of the lease that the record names sends orders other than
// dispatches. Another VM takes the group over only after the platform has reported
// this lease as expired, or after the owner has released the record. Takeover and
// release are compare-and-swap writes of the record. The holder counts the lease's
// time to live from before it sent the renewal, less a margin, on the monotonic
// clock, so that its lease ends before the platform allows a takeover.
//
// An owner whose lease isn't confirmed continues to serve the adapters that the record protects,
// but sends no other orders. A new owner treats these adapters as pinned, which means that it
// doesn't evict them, until the earlier owner is known to have stopped. A request is dispatched
// only if the record protects its adapter, also while the lease is held, so that runs that began
// before the lease expired are protected too.
//
// The package has no clock, goroutine or lock of its own: callers pass the time,
// do the I/O and serialize the calls.
package ggsowner
