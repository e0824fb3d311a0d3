// Package ggsedge serves callers' requests at an entry VM: it finds the route, chooses an
// endpoint, has a missing adapter loaded, sends the request and forwards the answer.
//
// Inputs are callers' requests, the store's entries (configuration, adapter versions, list of
// endpoints, ownership records) and the peers' heartbeats, summaries and notices. Outputs are
// the answers to callers, this VM's records in the store, its datagrams to peers, and the
// placement orders to the endpoints that it owns.
//
// # Usage
//
//	e := ggsedge.New(options, parts)
//	go e.Run(ctx)                    // follows the store and the peers, sends orders
//	server := &http.Server{Handler: e}
//	ready := e.Ready()
//	e.Drain(ctx, times)              // during a stop: Ready returns an error from now on
//	e.Release(ctx)                   // releases this VM's endpoints to other VMs
//
// # Answers
//
// An endpoint's answer is forwarded unchanged. The edge's own answers are plain text:
//
//	400  the request has no ID, or a name of a model that is too long, or its body can't be read
//	404  no route matches
//	413  the body is longer than the configuration allows
//	431  the header is longer than the configuration allows
//	502  the request may have run and its answer is lost
//	503  the request has not run and never will; Retry-After says when to retry
//	504  the deadline has passed and the request may have run
//
// # Files
//
// handler.go admits a request, attempt.go sends it, and relay.go forwards the answer.
// placement.go has adapters loaded, and worker.go sends the orders to owned endpoints.
// turns.go schedules prompts, and signals.go processes rate limits and departures that
// endpoints announce. operators.go and follow.go read the operators' entries and the list of
// endpoints, lastconfig.go keeps the last configuration in the store, defects.go what can't be
// read, members.go reads the VMs' records, and control.go writes store heartbeats and
// claims. heartbeats.go exchanges state with other VMs, and parts.go serves the relays'
// readings of the store to other VMs. paths.go handles broken network paths to endpoints.
//
// Two kinds of heartbeats exist: datagrams to peers, and store heartbeats, which are writes
// of this VM's record in the store.
//
// # Locks
//
// Edge.configMu is held while a configuration is brought into force, and is locked before Edge.mu.
//
// Edge.mu guards the state that decisions use. While it is held, no network call is made, and
// epochState.mu and the lock of Parts.Paths are the only other locks that are taken. Both are
// leaves.
package ggsedge
