// Package ggswire holds the wire forms of what gateways and dispatchers tell
// each other over net/rpc, and maps them by hand to the domain's types.
//
// # Usage
//
//	args := ggswire.SubmitArgs{Request: ggswire.FromRequest(r)}
//	err := pool.Call(ctx, addr, ggswire.MethodSubmit, &args, &reply)
//	f := reply.Failure.Failure() // nil when the request was taken
//
// Instants never cross processes, since clocks differ: a request carries the
// time that is left of its budget.
package ggswire
