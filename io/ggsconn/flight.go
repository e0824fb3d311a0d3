package ggsconn

import (
	"bytes"
	"context"
	"io"
	"net/http/httptrace"
	"sync"
)

// A Flight follows one request over the connections that it is given.
type Flight struct {
	mu     sync.Mutex
	conns  []*conn
	opaque bool
}

// Track returns a context for one request and the flight that follows it.
func Track(ctx context.Context) (context.Context, *Flight) {
	f := &Flight{}
	t := &httptrace.ClientTrace{GotConn: f.gotConn}
	return httptrace.WithClientTrace(ctx, t), f
}

// Body returns a request body that net/http can't rewind. Given a body that it
// can rewind, or none, net/http sends a request again by itself when a reused
// connection breaks, if its method is GET or it has an Idempotency-Key header:
// a deposit release would run twice. An empty body is hidden as well.
func Body(b []byte) io.ReadCloser {
	return io.NopCloser(struct{ io.Reader }{bytes.NewReader(b)})
}

// NothingWritten reports whether no byte of the request was written, nor will
// be. It is to be called only after the request failed: the connections of the
// request can't be written afterwards.
func (f *Flight) NothingWritten() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	none := !f.opaque
	for _, c := range f.conns {
		if c.seal() {
			none = false
		}
	}
	return none
}

// Received returns the bytes that have arrived on the request's connections, those of
// earlier requests included.
func (f *Flight) Received() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var n int64
	for _, c := range f.conns {
		n += c.received.Load()
	}
	return n
}

func (f *Flight) gotConn(i httptrace.GotConnInfo) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := i.Conn.(*conn)
	if !ok {
		f.opaque = true
		return
	}
	c.begin()
	f.conns = append(f.conns, c)
}
