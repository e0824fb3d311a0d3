// Package ggsexchange makes single HTTP/1.1 exchanges with endpoints over kept
// connections, and says exactly what an exchange that failed may have done.
//
// # Usage
//
//	p := ggsexchange.NewPool(ggsexchange.Options{Now: time.Now})
//	defer p.Close()
//	a, err := p.Do(ctx, ggsexchange.Request{Addr: addr, Method: "POST", URI: "/x", Host: "h", Header: h, Body: b, ID: id})
//	// *ggscore.CallError: NotSent says that nothing can have reached the endpoint
//	defer a.Close()
//	n, err := a.Body.Read(buf)
//
// A connection is used again only after an answer that had an end of its own,
// with nothing behind it, and only while the endpoint has sent nothing since.
// net/http's client sends some requests once more by itself and hides which
// bytes were written; here a request goes out at most once.
//
// # Locks
//
// Pool.mu is a leaf: nothing is locked and no I/O is done under it.
package ggsexchange
