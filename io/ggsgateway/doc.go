// Package ggsgateway faces callers: it resolves each request on the document
// in force, sends it to the dispatcher that owns a suitable runner and relays
// the answer.
//
// # Usage
//
//	g := ggsgateway.New(ggsgateway.Options{VM: vm, Region: region}, parts)
//	server := &http.Server{Handler: g.Handler()}
//	err := g.Run(ctx) // follows dispatchers until ctx ends
//	g.Drain()         // refuses new requests; server.Shutdown waits for the rest
//
// # Requests
//
// POST /v1/chat/completions takes the OpenAI shape. The headers X-Market and
// X-Service name market and service; "model" names the adapter, as "name" for
// the current version or "name@version". POST
// /v1/services/SERVICE/OPERATION calls a plain service. Idempotency-Key marks a
// request that runs at most once; an operation that the document calls
// non-idempotent needs one. Idempotency-First-Send: true says that the key was
// never sent before: only then can a refusal for want of the platform's service
// say notRun, since an earlier sending may have run.
//
// # Answers
//
// A refusal is {"error":{"type","message","outcome","requestId",
// "retryAfterMillis"}}. outcome is "notRun", "done" or "unknown". The status
// goes by the type:
//
//	400 badRequest
//	404 unknownMarket, unknownAdapter, unknownService
//	409 keyInUse, keyExpired
//	413 tooLarge
//	422 keyReused
//	429 overLimit
//	502 endpoint, broken, wrongAdapter, internal
//	503 noCapacity, stopping, platformAway, noDocument, adapterMissing, cancelled
//
// A streamed answer that breaks ends with an event
// "error" that holds the same object; an answer that isn't streamed and breaks
// after its first megabyte ends with its connection. X-Load-Stall is the time,
// such as "12ms", that the request waited for its adapter to arrive.
//
// # Locks
//
// Gateway.mu guards the router, the limiter, the retry budgets and the table
// of dispatchers. It is a leaf: nothing is called out under it.
package ggsgateway
