// Package ggsexchange sends single HTTP/1.1 requests to endpoints over pooled connections. For
// each failure it reports whether the request can have reached the endpoint.
//
// # Usage
//
//	p := ggsexchange.NewPool(ggsexchange.Options{Now: time.Now})
//	defer p.Close()
//	a, err := p.Do(ctx, ggsexchange.Request{
//		Addr: addr, Method: "POST", URI: "/x", Host: "h", Header: h, Body: b, ID: id,
//	})
//	// *ggscore.CallError: NotSent is set if nothing can have reached the endpoint
//	defer a.Close()
//	n, err := a.Body.Read(buf)
//
// A connection is reused only after an answer with explicit framing (Content-Length or chunks)
// that was read to its end, and only if the endpoint has sent nothing since. The client of
// net/http repeats some requests on its own and doesn't report which bytes were written. This
// package sends each request at most once.
//
// An exchange ends with its context, or Request.Linger later.
//
// # Locks
//
// Pool.mu and lingeringCloser.mu are leaf locks: no other lock is taken and no blocking I/O is done while one is
// held.
package ggsexchange
