// Package ggsfakesite stands in for the users' platform: its metadata store and
// its endpoints, in their own dialect.
//
// # Usage
//
//	s := ggsfakesite.NewStore()
//	s.Put("op/config", config)
//	r := ggsfakesite.NewEndpoint(ggsfakesite.EndpointOptions{ID: "i-1", Service: "models", Engine: true, Now: time.Now})
//	s.Put("servers/i-1", r.Entry(addr, "zone"))
//	s.SetAway(true)                  // calls are answered 503
//	r.SetFault(func(q ggsfakesite.Query) ggsfakesite.Fault { … })
//	runs := r.Runs()                 // by the identity of the request
//
// Store and Endpoint are http.Handlers. Both bound nothing: tests say what
// fails.
//
// # Locks
//
// Store.mu and Endpoint.mu are leaves.
package ggsfakesite
