// Package ggsconn provides HTTP transports that can prove that a failed request wrote nothing,
// watchdogs that cancel calls whose peers send no bytes for too long, connections that tell a reset
// from an end, a check of answers' heads, and a handler whose aborted answers are incomplete for all
// callers.
//
// # Usage
//
//	t := ggsconn.NewTransport(ggsconn.DefaultOptions())
//	ctx, f := ggsconn.Track(ctx)
//	resp, err := t.RoundTrip(req.WithContext(ctx))
//	if err != nil && f.NothingWritten() {
//		// the peer can't have received a byte of the request
//	}
//
//	ctx, w := ggsconn.NewWatchdog(ctx, timeout, timeout)
//	defer w.Stop()
//	resp, err := client.Do(req.WithContext(ctx))
//	b, err := io.ReadAll(w.Reader(resp.Body)) // as long as bytes arrive
//
//	c = ggsconn.DetectReset(c) // reads fail with a *ResetError after a reset that a write has met
//	err = ggsconn.CheckHead(resp) // *InvalidHeadError: net/http accepts more than HTTP/1 allows
//
//	server := &http.Server{Handler: ggsconn.ResetOnAbort(handler)}
//
// net/http doesn't report whether a failed request reached its connection: a trace reports when a
// request was written completely, but not whether its first byte was. The connections of this
// package record their own writes. NothingWritten first blocks further writes to the connections,
// so that its result remains valid.
//
// Callers must use bodies that net/http can't rewind (see Body). Otherwise net/http repeats a
// request on its own when a reused connection breaks.
//
// # Locks
//
// RequestTracker.mu is locked before conn.mu. Neither is held during I/O.
package ggsconn
