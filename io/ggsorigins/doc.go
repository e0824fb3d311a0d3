// Package ggsorigins keeps records of where streams began, and finds at which service and software version a resumed
// one goes on. core/ggsorigin decides.
//
// # Usage
//
//	t := ggsorigins.NewTracker(ggsorigins.Options{Peers: peers, Store: store, ListComplete: complete, …})
//	go t.Run(ctx)                        // maintains the records in the store
//	t.ObserveRoutes(routes)              // each configuration
//	t.ObserveList(instances)             // each reading of the list of endpoints
//	v := t.Begin(route, service)         // the version at which a new stream has to begin, empty for any
//	v = t.Announce(route, instance, id)  // before a stream's request is sent; it stays at the version v
//	t.Record(route, instance, request)   // before a stream's first event is sent
//	t.Observe(origins)                   // from a peer
//	origin, source, err := t.Resolve(ctx, route, service, request)
//	reply := t.Reply(request, service)   // for a peer that asks
//
// # Records
//
// Two records outlast the VMs. The register lists the software versions at which streams of each service can have
// begun. Each VM keeps a journal of the streams that it sends to endpoints while the register lists several versions
// of their service. Both are read for a resumed stream of which no live VM knows.
//
// # Locks
//
// Tracker.mu is a leaf lock: no other lock is taken and no I/O is done while it is held.
package ggsorigins
