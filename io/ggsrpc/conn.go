package ggsrpc

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// A countingConn counts the bytes that it receives.
type countingConn struct {
	net.Conn
	received atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// idleChecks is the number of checks for received bytes within one idle timeout.
const idleChecks = 8

// minProgressBytes is the number of bytes that must arrive within an idle timeout. A trickle without end would keep a call waiting
// forever otherwise.
const minProgressBytes = 4 << 10

// cancelWhenIdle calls cancel with an *IdleTimeoutError once fewer than minProgressBytes have arrived for idleTimeout,
// and returns. It also returns when the context ends.
func (c *countingConn) cancelWhenIdle(ctx context.Context, idleTimeout time.Duration, cancel context.CancelCauseFunc) {
	t := time.NewTicker(idleTimeout / idleChecks)
	defer t.Stop()
	received, idle := c.received.Load(), 0
	for idle < idleChecks {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		idle++
		if now := c.received.Load(); now-received >= minProgressBytes {
			received, idle = now, 0
		}
	}
	cancel(&IdleTimeoutError{IdleTimeout: idleTimeout})
}
