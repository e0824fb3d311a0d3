package ggsexchange

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	ggscore "greengageslip/core"
	"greengageslip/io/ggsconn"
)

// Defaults of Options.
const (
	// DefaultIdleTimeout is how long an idle connection is kept if the endpoint doesn't announce
	// its own timeout.
	DefaultIdleTimeout = 20 * time.Second
	// DefaultBufferBytes fits the heads of most answers and the events of a stream.
	DefaultBufferBytes = 4 << 10
)

// idleMargin is subtracted from the idle timeout that an endpoint announces, so that no request is
// sent while the endpoint closes the connection. It covers a round trip between regions and the
// granularity of the announced time.
const idleMargin = 700 * time.Millisecond

// Options configures a Pool. Zero fields take their defaults. Now is required.
type Options struct {
	// Dialer opens the connections. The default is a DirectDialer.
	Dialer      ggscore.Dialer
	IdleTimeout time.Duration
	BufferBytes int
	// ResetOnClose resets connections instead of closing them in order, also at the end of the process. What was written and hasn't
	// reached the endpoint is then never sent again.
	ResetOnClose bool
	// Now is the clock for the idle timeouts.
	Now func() time.Time
}

// A Pool opens connections to endpoints and reuses idle ones. It is safe for concurrent use.
type Pool struct {
	options Options

	mu    sync.Mutex
	hosts map[netip.AddrPort]*hostConns
	// dials counts the attempts to open a connection.
	dials int64
}

// hostConns are the connections to one address, guarded by Pool.mu. open counts the connections in
// use and the idle ones.
type hostConns struct {
	idle []*conn
	open int
}

// A conn is a connection that may be reused until the time reusableUntil.
type conn struct {
	net.Conn
	addr          netip.AddrPort
	r             *bufio.Reader
	headLimit     *limitedReader
	reusableUntil time.Time
	reused        bool
	openedAt      time.Time
	carried       requestRing
}

// NewPool returns a pool without connections.
func NewPool(o Options) *Pool {
	if o.Dialer == nil {
		o.Dialer = NewDirectDialer(0)
	}
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.BufferBytes = cmp.Or(o.BufferBytes, DefaultBufferBytes)
	return &Pool{options: o, hosts: map[netip.AddrPort]*hostConns{}}
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	var all []*conn
	for _, h := range p.hosts {
		all = append(all, h.idle...)
		h.open -= len(h.idle)
		h.idle = nil
	}
	p.mu.Unlock()
	for _, c := range all {
		_ = c.Close()
	}
}

// Dials returns the number of attempts to open a connection.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// CloseIdle closes the idle connections to the address of an endpoint that no longer exists.
func (p *Pool) CloseIdle(addr netip.AddrPort) {
	p.mu.Lock()
	h := p.hosts[addr]
	if h == nil {
		p.mu.Unlock()
		return
	}
	gone := h.idle
	h.idle = nil
	h.open -= len(gone)
	if h.open == 0 {
		delete(p.hosts, addr)
	}
	p.mu.Unlock()
	for _, c := range gone {
		_ = c.Close()
	}
}

// OpenConns returns the number of open connections to an address, idle ones included.
func (p *Pool) OpenConns(addr netip.AddrPort) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[addr]; h != nil {
		return h.open
	}
	return 0
}

// get returns the most recently used idle connection that hasn't carried the request, or opens a new one.
func (p *Pool) get(ctx context.Context, addr netip.AddrPort, id ggscore.RequestID, limit int) (*conn, error) {
	for {
		c, err := p.take(addr, id, limit)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if c.reusable() {
			return c, nil
		}
		p.discard(c)
	}
	nc, err := p.options.Dialer.Dial(ctx, addr)
	if err != nil {
		p.release(addr)
		return nil, err
	}
	if t, ok := ggsconn.TCPConn(nc); ok && p.options.ResetOnClose {
		if err := t.SetLinger(0); err != nil {
			_ = nc.Close()
			p.release(addr)
			return nil, err
		}
	}
	b := &limitedReader{r: nc}
	return &conn{Conn: nc, addr: addr, openedAt: p.options.Now(), headLimit: b, r: bufio.NewReaderSize(b, p.options.BufferBytes)}, nil
}

// take returns an idle connection that hasn't carried the request. Without one, it returns nil and counts a new
// connection, which the caller must open or release.
func (p *Pool) take(addr netip.AddrPort, id ggscore.RequestID, limit int) (*conn, error) {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	if h == nil {
		h = &hostConns{}
		p.hosts[addr] = h
	}
	h.closeExpired(now)
	for n := len(h.idle) - 1; n >= 0; n-- {
		if c := h.idle[n]; !c.carried.has(id) {
			h.idle = slices.Delete(h.idle, n, n+1)
			return c, nil
		}
	}
	if limit > 0 && h.open >= limit {
		if len(h.idle) == 0 {
			return nil, &ConnLimitError{Addr: addr, Limit: limit}
		}
		h.closeOldest()
	}
	h.open++
	p.dials++
	return nil, nil
}

// closeExpired closes the idle connections that are no longer reusable. Pool.mu is held.
func (h *hostConns) closeExpired(now time.Time) {
	h.idle = slices.DeleteFunc(h.idle, func(c *conn) bool {
		if now.Before(c.reusableUntil) {
			return false
		}
		h.open--
		_ = c.Close()
		return true
	})
}

// closeOldest closes the idle connection that was used least recently. Pool.mu is held.
func (h *hostConns) closeOldest() {
	_ = h.idle[0].Close()
	h.idle = h.idle[1:]
	h.open--
}

// put returns a connection to the pool for another exchange.
func (p *Pool) put(c *conn, idleTimeout time.Duration) {
	c.reused = true
	c.reusableUntil = p.options.Now().Add(idleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.addr]
	if h == nil {
		_ = c.Close()
		return
	}
	h.idle = append(h.idle, c)
}

// discard closes a connection and releases it.
func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.release(c.addr)
}

func (p *Pool) release(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	if h == nil {
		return
	}
	h.open--
	if h.open <= 0 && len(h.idle) == 0 {
		delete(p.hosts, addr)
	}
}

// reusable reports whether the connection is usable and the endpoint has sent nothing, not even a
// close, since the last answer.
//
// If the endpoint sent a second answer to the previous request, the next caller would receive
// another caller's bytes. If the endpoint closed the connection, the next request would fail with
// an unknown outcome. Peeking at the socket detects both before anything is written.
func (c *conn) reusable() bool {
	if n, ok := c.Conn.(ggscore.EndpointConn); ok && !n.Usable() {
		return false
	}
	t, ok := c.Conn.(syscall.Conn)
	if !ok || c.r.Buffered() > 0 {
		return false
	}
	rc, err := t.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	var b [1]byte
	err = rc.Read(func(fd uintptr) bool {
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = e == unix.EAGAIN
		return true
	})
	return err == nil && reusable
}

// tunneled reports whether the connection goes through another VM.
func (c *conn) tunneled() bool {
	n, ok := c.Conn.(ggscore.EndpointConn)
	return ok && n.Tunneled()
}

// showsEnd reports whether the end of the connection's bytes is the endpoint's.
func (c *conn) showsEnd() bool {
	n, ok := c.Conn.(ggscore.EndpointConn)
	return !ok || n.ShowsEnd()
}
