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

// silenceSteps is how often a silence is looked at while it lasts.
const silenceSteps = 8

// cancelWhenSilent cancels with a *SilentError once nothing has arrived for the silence.
// It returns when the context ends.
func (c *countedConn) cancelWhenSilent(ctx context.Context, silence time.Duration, cancel context.CancelCauseFunc) {
	t := time.NewTicker(silence / silenceSteps)
	defer t.Stop()
	received, silent := c.received.Load(), 0
	for silent < silenceSteps {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		silent++
		if now := c.received.Load(); now != received {
			received, silent = now, 0
		}
	}
	cancel(&SilentError{Silence: silence})
}
