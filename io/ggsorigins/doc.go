// Package ggsorigins keeps records of where streams began, and finds at which service and software version a resumed
// one goes on. core/ggsorigin decides.
//
// # Usage
//
//	t := ggsorigins.NewTracker(ggsorigins.Options{Peers: peers, ListComplete: complete, …})
//	t.ObserveRoutes(routes)              // each configuration
//	t.ObserveList(instances)             // each reading of the list of endpoints
//	t.Record(route, instance, request)   // before a stream's first event is sent
//	t.Observe(origins)                   // from a peer
//	origin, source, err := t.Resolve(ctx, route, service, request)
//	reply := t.Reply(request, service)   // for a peer that asks
//
// # Locks
//
// Tracker.mu is a leaf lock: no other lock is taken and no I/O is done while it is held.
package ggsorigins
