package ggsrpc

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// A countedConn counts the bytes that arrive.
type countedConn struct {
	net.Conn
	received atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// cancelWhenSilent cancels with a *SilentError once nothing has arrived for the silence.
// It returns when the context ends.
func (c *countedConn) cancelWhenSilent(ctx context.Context, silence time.Duration, cancel context.CancelCauseFunc) {
	t := time.NewTicker(silence)
	defer t.Stop()
	received := c.received.Load()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := c.received.Load()
		if now == received {
			cancel(&SilentError{Silence: silence})
			return
		}
		received = now
	}
}
