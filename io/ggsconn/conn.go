package ggsconn

import (
	"net"
	"sync"
	"sync/atomic"
)

// A conn records whether the current request has written anything. It has only the methods of
// net.Conn: a ReadFrom promoted from the TCP connection would write without being recorded.
type conn struct {
	net.Conn
	received atomic.Int64

	mu      sync.Mutex
	written bool
	sealed  bool
}

// Write implements net.Conn. It records the write beforehand, because a write that fails may have
// sent some bytes.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.recordWrite(); err != nil {
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

// startRequest clears the record of the previous request.
func (c *conn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
}

func (c *conn) recordWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return &SealedError{}
	}
	c.written = true
	return nil
}

// seal blocks all further writes and reports whether the current request wrote anything. Without
// seal, the write goroutine of net/http could still send a request that was already reported to the
// caller as not sent.
func (c *conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}
