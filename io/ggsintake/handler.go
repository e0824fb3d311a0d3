package ggsintake

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"greengageslip/core/ggsbudget"
)

// minBodyBytes is the first step in which memory for a body is taken. A body whose length is known and isn't above shortBodyBytes is
// taken in one step.
const (
	minBodyBytes   = 8 << 10
	shortBodyBytes = 64 << 10
)

// unreadTimeout bounds the wait for the rest of a body that the handler hasn't read.
const unreadTimeout = time.Second

// Follow follows the states of a server's connections, which must come from a Listener. It must be called after others have set
// the server's ConnState.
func (*Intake) Follow(s *http.Server) {
	before := s.ConnState
	s.ConnState = func(n net.Conn, st http.ConnState) {
		if before != nil {
			before(n, st)
		}
		c := unwrap(n)
		if c == nil {
			return
		}
		switch st {
		case http.StateNew:
			c.http.Store(true)
		case http.StateActive:
			c.serving.Store(true)
			c.work()
		case http.StateIdle:
			c.idle()
		case http.StateHijacked:
			c.http.Store(false)
		case http.StateClosed:
		}
	}
	s.ConnContext = func(ctx context.Context, n net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, unwrap(n))
	}
}

// Handler returns a handler whose requests take places in flight. Requests that don't fit are passed to refuse with a
// *ggsbudget.FullError. Without refuse they take no places.
func (*Intake) Handler(h http.Handler, refuse func(http.ResponseWriter, *http.Request, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		if r.Body != nil && r.Body != http.NoBody {
			b := &body{ReadCloser: r.Body, conn: c}
			defer b.leave()
			if refuse == nil {
				// Handlers without places read no bodies.
				b.leave()
			}
			// net/http looks at the body of its own request.
			copied := *r
			copied.Body = b
			r = &copied
		}
		if refuse != nil {
			if err := c.begin(); err != nil {
				w.Header().Set("Connection", "close")
				refuse(w, r, err)
				return
			}
		}
		h.ServeHTTP(w, r)
	})
}

// A body records what the process waits for while a request's body is read.
type body struct {
	io.ReadCloser
	conn    *Conn
	waiting bool
	// ended is set once the body was read to its end, or can't be.
	ended bool
}

// Read implements io.Reader. It fails with an *InterruptedError if the client has to give way.
func (b *body) Read(p []byte) (int, error) {
	if !b.waiting {
		b.waiting = true
		b.conn.Await(ggsbudget.WaitBody)
	}
	n, err := b.ReadCloser.Read(p)
	b.conn.Advance(n)
	if err != nil {
		b.waiting, b.ended = false, true
		b.conn.work()
		// The end may have come just then, but the connection can't be read any more.
		if b.conn.interrupted() {
			err = &InterruptedError{}
		}
	}
	return n, err
}

// leave bounds the time for a body that the handler hasn't read to its end. net/http reads on, even if it closes the connection.
func (b *body) leave() {
	if b.ended {
		return
	}
	b.conn.Await(ggsbudget.WaitBody)
	// An error means that the connection has ended.
	_ = b.conn.SetReadDeadline(b.conn.intake.now().Add(unreadTimeout))
}

// ReadAll reads a request's body, whose length is -1 if it is unknown. The memory is drawn before it is taken, and given back at the
// end of the request. The error is a *ggsbudget.FullError or that of the reader.
func ReadAll(ctx context.Context, r io.Reader, length int64) ([]byte, error) {
	c := connOf(ctx)
	var b []byte
	for {
		if len(b) == cap(b) {
			if int64(len(b)) == length {
				return b, readEnd(r)
			}
			var err error
			if b, err = grow(c, b, length); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == io.EOF { //nolint:errorlint // io.Reader returns io.EOF itself
			return b, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// readEnd returns nil at the end of a body.
func readEnd(r io.Reader) error {
	n, err := io.ReadFull(r, make([]byte, 1))
	if n == 0 && err == io.EOF { //nolint:errorlint // io.ReadFull returns io.EOF itself
		return nil
	}
	return err
}

// grow returns a copy of b with twice the capacity, but not beyond the body's length.
func grow(c *Conn, b []byte, length int64) ([]byte, error) {
	n := max(2*int64(cap(b)), minBodyBytes)
	if length >= 0 && (n > length || length <= shortBodyBytes) {
		n = length
	}
	if c != nil {
		if err := c.Draw(ggsbudget.KindBody, n); err != nil {
			return nil, err
		}
		defer c.Return(ggsbudget.KindBody, int64(cap(b)))
	}
	return append(make([]byte, 0, n), b...), nil
}
