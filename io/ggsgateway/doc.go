// Package ggsgateway serves the callers' HTTP requests. A Gateway resolves each
// request with the current document, sends the request to a dispatcher that owns
// a suitable runner, and relays the answer.
//
// # Usage
//
//	g := ggsgateway.New(ggsgateway.Options{VM: vm, Region: region}, parts)
//	server := &http.Server{Handler: g.Handler()}
//	err := g.Run(ctx) // polls the dispatchers' summaries until ctx ends
//	g.Drain(ctx, times) // during a stop: refuses new requests, and ends all others at the end
//
// # Requests
//
// POST /v1/chat/completions accepts the OpenAI format. The headers X-Market and
// X-Service name the market and the service. The member "model" names the adapter,
// as "name" for the current version or as "name@version".
//
// POST /v1/services/SERVICE/OPERATION calls a plain service. A request with the
// header Idempotency-Key runs at most once. An operation that the document marks
// as non-idempotent requires this header. Idempotency-First-Send: true asserts that
// the key was never sent before. While the platform's service is unavailable, the
// gateway refuses with the outcome notRun only if this header is set, since an
// earlier request with the same key may have run.
//
// # Answers
//
// A failure is sent as {"error":{"type","message","outcome","requestId",
// "retryAfterMillis"}}. The outcome is "notRun", "done" or "unknown". The type
// determines the HTTP status:
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
// 429 and 503 are sent with the outcome notRun only. With another outcome, the status is 504 for
// cancelled and 502 otherwise.
//
// A streamed answer that fails after its start ends with an event "error" that
// contains the same object. For an answer that isn't streamed and fails after its
// first megabyte, the gateway closes the connection. The header X-Load-Stall is
// the time, such as "12ms", that the request waited for its adapter to be loaded.
//
// # Locks
//
// Gateway.mu guards the router, the limiter, the retry budgets, the circuit
// breakers and the table of dispatchers. No other lock is acquired and no call to
// another process is made while Gateway.mu is held.
package ggsgateway
