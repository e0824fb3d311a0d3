// Package ggswire defines the messages between gateways and dispatchers over
// net/rpc, and converts them to and from the types of package ggscore.
//
// # Usage
//
//	args := ggswire.SubmitArgs{Request: ggswire.FromRequest(r)}
//	err := pool.Call(ctx, addr, ggswire.MethodSubmit, &args, &reply)
//	f := reply.Failure.Failure() // nil if the request was accepted
//
// Messages have no absolute times, since clocks differ between processes. A request
// carries the remaining time of its budget.
package ggswire
