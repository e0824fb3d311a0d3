// Package ggsengine is the client of endpoints: model engines and plain
// services, over HTTP.
//
// # Usage
//
//	c := ggsengine.NewClient(ggsengine.DefaultSettings())
//	defer c.Close()
//	err := c.Run(ctx, addr, request, func(k ggscore.Chunk) error { return send(k) })
//	var f *ggscore.CallError
//	if errors.As(err, &f) && f.NotSent {
//		// the request has not run and won't: it may go elsewhere
//	}
//
// A call is made once. Three ways of net/http to make it twice are closed:
// bodies can't be rewound (see ggsconn.Body), redirects aren't followed, and
// non-idempotent requests never take a connection that was used before.
//
// CallError.NotSent is set in three cases only. No byte of the request was
// written, which the connection itself proves; the engine answered 404 with
// the kind adapterNotLoaded; or the endpoint answered 503 with the outcome
// notRun. An answer is whole when its stream ended in [DONE], or its body
// reached its Content-Length or its last HTTP chunk. Any other end is a
// CallError of kind broken, also after all bytes came.
//
// Pieces reach the sink in order and from one goroutine. Of a stream each
// piece is one event with its raw bytes; exactly the last has Final set. Where
// Run or Call fails after some pieces, no final piece was given.
//
// An order that could not be sent is an *ggscore.OrderRefusedError with status
// zero: it had no effect.
//
// Headers sent to endpoints: X-Request-Id, X-Priority (0 is most urgent),
// and to plain services Idempotency-Key. An answer whose X-Request-Id is there
// and differs is a CallError of kind broken, whatever it says.
package ggsengine
