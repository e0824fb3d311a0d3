// Package ggsconn makes HTTP transports that can prove that a failed request
// wrote nothing, and bounds calls by their peers' silence.
//
// # Usage
//
//	t := ggsconn.NewTransport(ggsconn.DefaultOptions())
//	ctx, f := ggsconn.Track(ctx)
//	resp, err := t.RoundTrip(req.WithContext(ctx))
//	if err != nil && f.NothingWritten() {
//		// the peer can't have seen a byte of the request
//	}
//
//	ctx, dog := ggsconn.NewWatchdog(ctx, timeout, timeout)
//	defer dog.Stop()
//	resp, err := client.Do(req.WithContext(ctx))
//	b, err := io.ReadAll(dog.Reader(resp.Body)) // as long as bytes come
//
// net/http doesn't tell whether a failed request reached its connection: a
// trace reports when a request was written whole, not whether its first byte
// left. Connections of this package note their own writes. NothingWritten
// closes them to further writes first, so that its answer stays true.
//
// A request carries no more than one try. Callers give a body that net/http
// can't rewind (see Body), for otherwise net/http repeats requests by itself
// where a reused connection breaks.
//
// Locks: Flight.mu, then conn.mu; neither is held during I/O.
package ggsconn
