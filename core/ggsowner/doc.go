// Package ggsowner decides who owns a group of endpoints, and what an owner
// may do with them now.
//
// A group's record stands in the platform's key-value service: its owner, a
// fencing number that grows with each change of owner, and the adapters that
// the owner protects on each endpoint. It stands under no lease, so that
// nothing of it vanishes. The lease is the owner's alone, one a VM, and the
// record names it.
//
// # Usage
//
//	l := ggsowner.NewLease(limits)
//	l.Granted(id, sent)
//	l.Renewed(sent) // each time that a renewal succeeded
//
//	g := ggsowner.NewGroup(self)
//	g.Want(first)
//	g.Poll()
//	for s := g.Next(now, l); s.Kind != ggsowner.StepIdle; s = g.Next(now, l) {
//		// read or write, then report by RecordRead, LeaseRead, WriteDone or Away
//	}
//	fence, err := g.Check(now, l, endpoint, adapter, ggscore.OrderDispatch)
//
// # Why it holds
//
// Only the holder of the lease that the record names gives orders. Another VM
// takes the record over only after the platform said that this lease lapsed,
// or after the owner released the record; both go through compare-and-swap of
// the record. The holder counts its lease from before the renewal was sent,
// less a margin, on the monotonic clock, so that it stops earlier than the
// platform lets another begin.
//
// An owner whose lease is not confirmed goes on serving the adapters that the
// record protects and gives no orders. A new owner takes these as pinned until
// the earlier one is known to have stopped. An adapter is used only after the
// record protects it, also with the lease held: a run that began before the
// lease lapsed is thereby covered too.
//
// The package holds no clock, no goroutine and no lock.
package ggsowner
