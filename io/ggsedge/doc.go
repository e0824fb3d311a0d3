// Package ggsedge serves callers' requests at an entry VM: it finds the route,
// chooses an endpoint, has the adapter loaded where it is missing, passes the
// request on and relays the answer.
//
// # Usage
//
//	e := ggsedge.New(options, parts)
//	go e.Run(ctx)                    // follows store and peers, gives orders
//	server := &http.Server{Handler: e}
//	ready := e.Ready()
//	e.Drain()                        // before the stop: not ready any more
//	e.Release(ctx)                   // endpoints go over to other VMs
//
// # Answers
//
// An endpoint's answer is passed on as it came. The edge's own are plain text:
//
//	400  the request bears no identity, or its body can't be read
//	404  no route matches
//	413  the body is longer than the configuration allows
//	431  the head is longer than the configuration allows
//	502  the request may have run and its answer is lost
//	503  the request has not run and never will; Retry-After says when to come back
//	504  the time is over and the request may have run
//
// # Following a request
//
// handler.go admits it, attempt.go sends it, relay.go passes the answer on;
// placement.go has adapters loaded, turns.go has prompts wait for each other, and
// operators.go and follow.go keep what the decisions go by; heartbeats.go exchanges it
// with other VMs, and parts.go has relays read the store for the others.
//
// # Locks
//
// Edge.mu guards the tables of decisions and is a leaf: no I/O is done and
// nothing else is locked under it.
package ggsedge
