// Package ggsconfig keeps the operators' document in the platform's key-value
// service and brings it to every process.
//
// # Usage
//
//	e := ggsconfig.NewEditor(store, ggsconfig.EditorOptions{})
//	a, err := e.Apply(ctx, ggsconfig.Edit{Section: "market/cr", Text: text, ReadAt: 12, By: "ana", ID: id})
//
//	f := ggsconfig.NewFollower(ggsconfig.FollowerOptions{Self: self, Store: store, Peers: peers, Members: members})
//	go f.Run(ctx)
//	d := f.Current() // nil until there is a document
//
//	err = server.Register(ggsconfig.ServiceName, ggsconfig.NewService(f))
//	peers := ggsconfig.NewPeers(pool)
//
// # Storage
//
// The key config/sections/DIGEST holds a section's text under the hexadecimal
// SHA-256 of it and never changes. The key config/head holds the head, as JSON by gzip.
// A change is accepted by one compare-and-swap of config/head, so that changes
// of different sections that are only jointly invalid can't both be accepted.
//
// # Following
//
// A few VMs of each domain watch config/head; the others poll those. Every VM
// also polls a VM elsewhere now and then, so that a domain that is cut off
// from the platform still follows through its peers. No process goes back to a
// lower revision.
//
// # Locks
//
// Follower.mu is a leaf: no call is made and no other lock is taken under it.
package ggsconfig
