package ggsexchange

import (
	"context"
	"net"
	"sync"
	"time"
)

// A lingeringCloser closes a connection a time after a context has ended, unless it is stopped before. The time may
// grow meanwhile.
type lingeringCloser struct {
	conn   net.Conn
	unhook func() bool
	linger func() time.Duration

	mu    sync.Mutex
	begun bool
	timer *time.Timer
	// done is set once the connection was closed, or must no longer be closed.
	done bool
}

// closeAfter closes a connection the given time after the context has ended.
func closeAfter(ctx context.Context, c net.Conn, linger func() time.Duration) *lingeringCloser {
	l := &lingeringCloser{conn: c, linger: linger}
	l.unhook = context.AfterFunc(ctx, l.begin)
	return l
}

// begin closes the connection after its time.
func (l *lingeringCloser) begin() {
	l.mu.Lock()
	begun := l.begun
	l.begun = true
	l.mu.Unlock()
	if !begun {
		l.wait(0)
	}
}

// wait closes the connection once its time has passed, of which a part has passed already.
func (l *lingeringCloser) wait(passed time.Duration) {
	d := l.linger()
	if d <= passed {
		l.close()
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.done {
		l.timer = time.AfterFunc(d-passed, func() { l.wait(d) })
	}
}

// close closes the connection, unless the closer was stopped.
func (l *lingeringCloser) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.done {
		l.done = true
		_ = l.conn.Close()
	}
}

// stop keeps the connection from being closed, and reports whether it wasn't closed before.
func (l *lingeringCloser) stop() bool {
	l.unhook()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timer != nil {
		l.timer.Stop()
	}
	kept := !l.done
	l.done = true
	return kept
}
