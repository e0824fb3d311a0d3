// Package ggscrash keeps requests that crash endpoints from them. It feeds core/ggsquarantine, which decides,
// with what this VM's requests and its peers' reports tell, and keeps the records of its decisions in the store.
//
// # Usage
//
//	t := ggscrash.NewTracker(ggscrash.Options{VM: vm, Store: store, Reporter: peers, …})
//	go t.Run(ctx)                    // learns from peers, writes and deletes records
//	t.Join(addrs)                    // the peers, as soon as they are known
//	t.AwaitStart(ctx)                // a request waits until the VM has learned from its peers
//	err := t.Check(ids, false)       // *ggsquarantine.QuarantinedError: refuse, not run
//	t.Sent(ids)
//	crashed := t.CrashedUnder(ids)   // wait longer for the request's end
//	t.Crashed(broken, ids...)        // which ends the try; or Answered, Abandoned
//	t.Ended(ids)
//	t.Observe(report)                // from a peer
//	t.Greet(vm)                      // a peer that may have missed reports
//	reports, complete := t.Known()   // for a peer that starts
//	t.ObserveRecords(records)        // from the store
//	ok := t.Claim(ctx, suspect)      // a half-open try of a request in quarantine
//	t.Release(suspect)               // it was answered
//
// # Locks
//
// Tracker.mu is a leaf lock: no other lock is taken and no I/O is done while it is held.
package ggscrash
