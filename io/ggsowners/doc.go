// Package ggsowners keeps the ownership of a failure domain's endpoints in the
// platform's key-value service, by the decisions of ggsowner.
//
// # Usage
//
//	o := ggsowners.New(store, clock, self, options, logger)
//	o.SetEndpoints(ids)        // of the own domain
//	o.SetCandidates(holders)   // live dispatchers of the own domain
//	o.SetVMs(now, vms)         // the platform's list
//	o.Subscribe(func() { … })  // modes or pins may have changed
//	go o.Run(ctx)
//	o.Observe(report)          // each report of a runner
//	fence, err := o.Check(now, endpoint, adapter, ggscore.OrderLoad)
//
// A planned stop calls Release, finishes what is in progress, then calls Leave.
//
// # Keys
//
// owners/DOMAIN/GROUP holds a group's record and dispatchers/DOMAIN/VM stands
// under a VM's lease: it is there while the lease is in force.
//
// # Calls of the platform's service
//
// A dispatcher renews one lease every RenewEvery. It reads the records of the
// groups that would fall to it, and their owners' lease keys, every PollEvery.
// It writes a record when adapters on its runners change.
//
// The lock of Owners is the only one; it is never held during I/O or while
// subscribers run.
package ggsowners
