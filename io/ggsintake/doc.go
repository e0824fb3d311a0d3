// Package ggsintake bounds what clients cost a process at all of its listeners, from the acceptance of a connection on: open
// connections, heads as they arrive and as they are parsed, bodies, places in flight, and answers that aren't read.
//
// # Usage
//
//	i := ggsintake.New(ggsintake.Options{Limits: limits, Now: now, Log: log})
//	server := &http.Server{Handler: i.Handler(handler, refuse)}
//	i.Follow(server)                         // the states of its connections
//	server.Serve(i.HTTPListener("callers", l))
//
//	b, err := ggsintake.ReadAll(ctx, r, length) // in a handler: memory is drawn before it is taken
//
//	release, err := i.Draw(bytes)             // memory that outlives a client's connection
//	c, err := i.Listener("rpc", l).Accept()   // without net/http: ggsintake.Conn
//
// ggsbudget decides who gives way while a resource is short. A connection that does is closed; a request whose body is being read
// is refused instead, as one that has not run.
//
// An answer of which its client reads nothing for AnswerTimeout is given up in any case.
//
// # Locks
//
// Intake.mu is a leaf lock: no I/O is done and no other lock is taken while it is held.
package ggsintake
