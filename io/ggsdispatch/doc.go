// Package ggsdispatch runs the requests that gateways hand to the dispatcher
// that owns a group of endpoints.
//
// # Usage
//
//	d := ggsdispatch.New(ggsdispatch.Options{Self: vm, Workers: 256}, parts)
//	err := server.Register("Dispatch", ggsdispatch.NewService(ctx, d))
//	err = d.Run(ctx)   // until ctx ends
//	err = d.Drain(ctx) // refuses new work, waits for all in progress
//
// The decisions are the Scheduler's, which is pure. This package feeds it
// events and the time, carries out its orders with two fixed pools of workers
// (one for requests, one for orders to runners) and reports their ends back.
//
// # Streams
//
// Each request has one stream of numbered pieces. A gateway pulls the pieces
// by number and so acknowledges those below; after a broken connection it asks
// again from the number that it needs, so that no piece is skipped or repeated.
//
// # Locks
//
// Dispatcher.mu guards the scheduler and the tables of jobs and endpoints;
// stream.mu and orderQueue.mu are leaves below it: Dispatcher.mu is locked
// first. Nothing waits, calls or writes while it holds Dispatcher.mu.
package ggsdispatch
