package ggsconn

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// resetDelay is how long the end of a connection waits for a write in progress, which fails if the connection was reset, or the
// peer has closed it in both directions.
const resetDelay = 200 * time.Millisecond

// An orderedConn tells the end of a connection from a reset that a write has met first. The system reports a reset once. What is
// read after it looks like an orderly end, so that part of an answer that ends with its connection would be taken for all of it.
type orderedConn struct {
	net.Conn
	// writing counts the writes in progress, and failed is set once one has failed.
	writing atomic.Int32
	failed  atomic.Bool
	// written has a value after each write.
	written chan struct{}
}

var _ syscall.Conn = (*orderedConn)(nil)

// DetectReset returns a connection that one goroutine may read while another one writes, whose reads fail with a *ResetError
// instead of io.EOF if it was reset.
func DetectReset(c net.Conn) net.Conn {
	return &orderedConn{Conn: c, written: make(chan struct{}, 1)}
}

// Write implements net.Conn.
func (c *orderedConn) Write(p []byte) (int, error) {
	c.writing.Add(1)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.Store(true)
	}
	c.writing.Add(-1)
	select {
	case c.written <- struct{}{}:
	default:
	}
	return n, err
}

// Read implements net.Conn.
func (c *orderedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.wasReset() {
		err = &ResetError{}
	}
	return n, err
}

// NetConn returns the connection that c wraps.
func (c *orderedConn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn.
func (c *orderedConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return s.SyscallConn()
}

// wasReset reports whether the connection, from which nothing more can be read, was reset. A peer that closes its direction and
// reads on resets nothing; one that closes both does once it is written to.
func (c *orderedConn) wasReset() bool {
	if c.writing.Load() > 0 {
		c.awaitWrite()
	}
	return c.failed.Load()
}

// awaitWrite waits until a write has ended or resetDelay has passed.
func (c *orderedConn) awaitWrite() {
	t := time.NewTimer(resetDelay)
	defer t.Stop()
	for c.writing.Load() > 0 {
		select {
		case <-c.written:
		case <-t.C:
			return
		}
	}
}
