// Package ggsengine is the HTTP client for endpoints. An endpoint is a model engine or a
// plain service.
//
// # Usage
//
//	c := ggsengine.NewClient(ggsengine.DefaultSettings())
//	defer c.Close()
//	err := c.Run(ctx, addr, request, func(k ggscore.Chunk) error { return send(k) })
//	var f *ggscore.CallError
//	if errors.As(err, &f) && f.NotSent {
//		// the request has not run and won't run: it may be sent to another endpoint
//	}
//
// Each call sends its request at most once. The package prevents net/http from sending a
// request twice: bodies can't be rewound (see ggsconn.Body), redirects aren't followed,
// and a non-idempotent request never uses a connection that was used before.
//
// CallError.NotSent is set in three cases only:
//
//   - No byte of the request was written to a connection, as recorded by ggsconn.
//   - The engine answered 404 with the kind adapterNotLoaded.
//   - The endpoint answered 408, 421, 429 or 503 with the outcome notRun.
//
// An answer is complete when its stream ended with the event [DONE], or when its body
// ended at its Content-Length or at its last HTTP chunk. A body that ends with its
// connection is complete if it is a JSON object or array of up to 1 MiB. Any other end is
// a CallError of kind broken, even if all bytes of the answer were received.
//
// The sink is called with the chunks of an answer in order and from one goroutine. Each
// chunk of a stream is one event with its raw bytes. Only the last chunk has Final set.
// If Run or Call fails after some chunks, no final chunk was passed to the sink.
//
// An order that could not be sent returns an *ggscore.OrderRefusedError with status zero
// and had no effect.
//
// Requests to endpoints have the headers X-Request-Id and X-Priority (0 is the most
// urgent). Requests with an idempotency key to plain services also have Idempotency-Key.
// An answer whose X-Request-Id is present and differs from the request's is a CallError of
// kind broken, regardless of its status and body. An answer without one proves nothing about
// the run.
package ggsengine
