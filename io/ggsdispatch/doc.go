// Package ggsdispatch runs the requests that gateways submit to a dispatcher, on the
// endpoints that the dispatcher owns.
//
// # Usage
//
//	d := ggsdispatch.New(ggsdispatch.Options{Self: vm, RequestWorkers: 256}, parts)
//	err := server.Register("Dispatch", ggsdispatch.NewService(ctx, d))
//	err = d.Run(ctx)   // until ctx ends
//	d.BeginDrain()     // refuses new requests and fails the queued ones as not run
//	err = d.Drain(ctx) // waits for the requests in progress
//
// All scheduling decisions are made by a ggscore.Scheduler, which performs no I/O and
// has no clock. A Dispatcher passes events and the time to the Scheduler, executes the
// Scheduler's orders, and reports their results to the Scheduler. Two worker pools of
// fixed size execute the orders: one runs requests, the other loads and unloads
// adapters on runners.
//
// # Streams
//
// The answer to each request is one stream of numbered chunks. A gateway pulls chunks
// by sequence number, which acknowledges all chunks with lower numbers. After a failed
// call the gateway pulls again from the first number that it has not received, so that
// no chunk is skipped or repeated.
//
// # Locks
//
// Dispatcher.mu guards the scheduler and the tables of jobs and endpoints. stream.mu
// and orderQueue.mu may be locked while Dispatcher.mu is held, and no other lock is
// acquired under them. Memory is given back, but not drawn, while Dispatcher.mu is held. No goroutine blocks or does I/O while it holds Dispatcher.mu.
package ggsdispatch
