// Package ggsconfig stores the operators' document in the platform's key-value service
// and distributes it to every process. An Editor validates and writes changes. A
// Follower adopts new revisions from the platform or from peers and publishes the
// latest document to its subscribers.
//
// # Usage
//
//	e := ggsconfig.NewEditor(store, ggsconfig.EditorOptions{})
//	a, err := e.Apply(ctx, ggsconfig.Edit{
//		Section: "market/cr", Text: text, BaseRevision: 12, By: "ana", ID: id,
//	})
//
//	f := ggsconfig.NewFollower(ggsconfig.FollowerOptions{
//		Self: self, Store: store, Peers: peers, Members: members,
//	})
//	go f.Run(ctx)
//	d := f.Current() // nil until there is a document
//
//	err = server.Register(ggsconfig.ServiceName, ggsconfig.NewService(f))
//	peers := ggsconfig.NewPeers(pool)
//
// # Storage
//
// The key config/sections/DIGEST holds a section's text. DIGEST is the hexadecimal
// SHA-256 of the text, so the value of a key never changes. The key config/head holds
// the head as JSON compressed with gzip. One compare-and-swap of config/head accepts a
// change, so two changes of different sections that are invalid only in combination
// can't both be accepted.
//
// # Following
//
// A few VMs of each failure domain watch config/head, and the other VMs of the domain
// poll these watchers. Every VM also polls other VMs at a lower rate, and watchers poll
// VMs of other domains, so that a domain without access to the platform still receives
// changes from peers. No process returns to a lower revision.
//
// # Locks
//
// Follower.mu is a leaf lock: its holder makes no remote call and takes no other lock.
package ggsconfig
