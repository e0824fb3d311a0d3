package ggsconn

import (
	"net"
	"sync"
	"sync/atomic"
)

// A conn notes whether the request that it carries has written anything. It has
// the methods of net.Conn only: a ReadFrom that it took over from a TCP
// connection would write past the notes.
type conn struct {
	net.Conn
	received atomic.Int64

	mu     sync.Mutex
	wrote  bool
	sealed bool
}

// Write implements net.Conn. The note is made before the write, as a write
// that fails may have sent some bytes.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.note(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// begin starts the notes of a new request.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
}

func (c *conn) note() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return &SealedError{}
	}
	c.wrote = true
	return nil
}

// seal forbids all further writes and reports whether there was one. Without
// it net/http's writing goroutine could still send a request that its caller
// was already told had not been sent.
func (c *conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.wrote
}
