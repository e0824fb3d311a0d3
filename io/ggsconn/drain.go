package ggsconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// drainInterval is the time between looks at the connections of a server that stops.
	drainInterval = 20 * time.Millisecond
	// drainHeadTimeout bounds the rest of a head that begins to arrive while its connection is closed.
	drainHeadTimeout = 10 * time.Second
)

// A Drainer ends the connections of a server that stops. In contrast to http.Server.Shutdown it closes none on which a request
// arrives, not even one that has been idle until then, and doesn't wait for connections on which nothing has arrived yet.
type Drainer struct {
	mu    sync.Mutex
	conns map[*drainConn]struct{}
}

// NewDrainer returns a Drainer of the server's connections. The server must accept them from Listener.
func NewDrainer(s *http.Server) *Drainer {
	d := &Drainer{conns: map[*drainConn]struct{}{}}
	s.ConnState = d.observe
	return d
}

// Listener returns a listener whose connections the Drainer ends.
func (d *Drainer) Listener(l net.Listener) net.Listener { return &drainListener{Listener: l} }

func (d *Drainer) observe(n net.Conn, s http.ConnState) {
	c, ok := n.(*drainConn)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch s {
	case http.StateNew:
		d.conns[c] = struct{}{}
	case http.StateIdle:
		c.await()
	case http.StateClosed, http.StateHijacked:
		delete(d.conns, c)
	case http.StateActive:
	}
}

// Drain closes the connections on which nothing arrives, and returns the number of those that are left: zero once all have ended,
// else when the context ends. The server must accept no more connections.
func (d *Drainer) Drain(ctx context.Context) int {
	t := time.NewTicker(drainInterval)
	defer t.Stop()
	for {
		left := d.interruptIdle()
		if left == 0 {
			return 0
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return left
		}
	}
}

// interruptIdle interrupts the connections that wait for a request, and returns the number of all connections.
func (d *Drainer) interruptIdle() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		c.interruptIdle()
	}
	return len(d.conns)
}

type drainListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *drainListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &drainConn{Conn: c}, nil
}

// A drainConn knows whether something has arrived since it began to wait for a request. Its lock is a leaf.
type drainConn struct {
	net.Conn

	mu sync.Mutex
	// received is set if something has arrived, and interrupted if reads fail until then.
	received    bool
	interrupted bool
}

// Read implements net.Conn. What arrives just as the connection is interrupted is read to its end: net/http would answer half of
// a head with status 400.
func (c *drainConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.received = true
		if c.interrupted {
			c.interrupted = false
			// An error means that the connection has ended, as the next read finds.
			_ = c.SetReadDeadline(time.Now().Add(drainHeadTimeout)) //nolint:forbidigo // a deadline of the network
		}
	}
	return n, err
}

// NetConn returns the connection that c wraps.
func (c *drainConn) NetConn() net.Conn { return c.Conn }

// await records that the connection waits for a request.
func (c *drainConn) await() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = false
}

// interruptIdle lets reads fail if the connection waits for a request, which closes it.
func (c *drainConn) interruptIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.received {
		return
	}
	c.interrupted = true
	// An error means that the connection has ended.
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// TCPConn returns the TCP connection that c is or wraps.
func TCPConn(c net.Conn) (t *net.TCPConn, ok bool) {
	for {
		w, wraps := c.(interface{ NetConn() net.Conn })
		if !wraps {
			t, ok = c.(*net.TCPConn)
			return t, ok
		}
		c = w.NetConn()
	}
}
