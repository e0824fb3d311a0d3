// Package ggsfakesite is a test double of the users' platform. It implements the
// platform's HTTP protocol for the metadata store and for the endpoints.
//
// # Usage
//
//	s := ggsfakesite.NewStore()
//	s.Put("op/config", config)
//	r := ggsfakesite.NewEndpoint(ggsfakesite.EndpointOptions{
//		ID: "i-1", Service: "models", Engine: true, Now: time.Now,
//	})
//	s.Put("servers/i-1", r.Entry(addr, "zone", false))
//	s.SetUnavailable(true)           // every call is answered with status 503
//	r.SetFault(func(q ggsfakesite.Query) ggsfakesite.Fault { … })
//	runs := r.Runs()                 // number of runs by request ID
//
// Store and Endpoint are http.Handlers. Neither limits rates, sizes or connections.
// Calls fail only where a test sets a fault.
//
// # Locks
//
// Store.mu and Endpoint.mu are leaf locks: no other lock is taken while one of them is held.
package ggsfakesite
