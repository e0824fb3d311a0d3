// Package ggsshares carries out the orders of ggsshare on the platform's
// key-value service, so that a busy group borrows loads from idle ones.
//
// # Usage
//
//	s := ggsshares.New(store, clock, ggsshares.DefaultOptions(vm), logger)
//	s.Subscribe(func() { … })     // the share may have changed
//	go s.Run(ctx)
//	s.SetPlan(group, plan)        // from the list of VMs and the document
//	s.SetLease(id, expires)       // the VM's lease, less the longest load
//	s.SetOwner(true)              // while the VM owns its group's endpoints
//	s.SetDemand(units)
//	scheduler.SetLoadShare(now, s.Share(now)) // right before each load
//
// # Keys
//
// loads/UNIT is a borrowed unit under its borrower's lease, its value the
// borrower's VM. loads/wanted says that a borrower found no unit free.
//
// # Locks
//
// The lock of Shares is a leaf. It is never held during I/O or while
// subscribers run, so that Share may be called under other locks.
package ggsshares
