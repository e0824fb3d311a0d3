// Package ggsowners maintains the ownership of a failure domain's endpoints in the
// platform's key-value service. Each dispatcher renews a lease and takes over groups of
// endpoints by compare-and-swap. The package performs the I/O for the state machines of
// ggsowner.
//
// # Usage
//
//	o := ggsowners.New(store, clock, self, options, logger)
//	o.SetEndpoints(ids)          // endpoints of this domain
//	o.SetCandidates(holders)     // live dispatchers of this domain
//	o.SetVMs(now, vms)           // the platform's list of VMs
//	o.Subscribe(func() { ... })  // called after changes of modes or pins
//	go o.Run(ctx)
//	o.Observe(report)            // for each report of a runner
//	fence, err := o.Check(now, endpoint, adapter, ggscore.OrderLoad)
//
// A planned stop calls Release, finishes the requests in progress, then calls Leave.
//
// # Keys
//
// The key owners/DOMAIN/GROUP holds a group's record. The key dispatchers/DOMAIN/VM is
// attached to the lease of a VM's dispatcher, so the key exists while the lease is held.
//
// A record that can't be decoded, because another program wrote to its key, is logged with its key
// as recordUnreadable. Its owner replaces it, or another dispatcher after UnreadableTimeout.
//
// # Calls of the platform's service
//
// A dispatcher renews its lease every RenewInterval. Every PollInterval it reads the records
// of the groups that it is a candidate for, and the lease keys of their owners. It reads the records
// of its own groups several times in each UnreadableTimeout, and writes a group's record when the
// adapters on the group's runners change.
//
// # Locks
//
// Owners.mu is the only lock. It is never held during I/O or while subscribers run.
package ggsowners
