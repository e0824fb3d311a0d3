package ggsconn

import (
	"bytes"
	"context"
	"io"
	"net/http/httptrace"
	"sync"
)

// A RequestTracker tracks the connections that one request uses. It is safe for concurrent use.
type RequestTracker struct {
	mu    sync.Mutex
	conns []*conn
	// untracked is set if the request used a connection that isn't of this package.
	untracked bool
}

// Track returns a context for one request and the RequestTracker that tracks it.
func Track(ctx context.Context) (context.Context, *RequestTracker) {
	f := &RequestTracker{}
	t := &httptrace.ClientTrace{GotConn: f.gotConn}
	return httptrace.WithClientTrace(ctx, t), f
}

// Body returns a request body that net/http can't rewind. If the body is rewindable or absent,
// net/http repeats a request on its own when a reused connection breaks, provided that its method
// is GET or that it has an Idempotency-Key header. A non-idempotent request, such as
// the release of a deposit, would then run twice. For the same reason, Body also wraps an empty body.
func Body(b []byte) io.ReadCloser {
	return io.NopCloser(struct{ io.Reader }{bytes.NewReader(b)})
}

// NothingWritten reports whether no byte of the request was written, nor will be. It must be called
// only after the request failed, because it blocks further writes to the request's connections.
func (t *RequestTracker) NothingWritten() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	none := !t.untracked
	for _, c := range t.conns {
		if c.seal() {
			none = false
		}
	}
	return none
}

// Received returns the number of bytes received on the request's connections, including the bytes
// of earlier requests.
func (t *RequestTracker) Received() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var n int64
	for _, c := range t.conns {
		n += c.received.Load()
	}
	return n
}

func (t *RequestTracker) gotConn(i httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := i.Conn.(*conn)
	if !ok {
		t.untracked = true
		return
	}
	c.startRequest()
	t.conns = append(t.conns, c)
}
