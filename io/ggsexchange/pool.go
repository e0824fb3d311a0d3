package ggsexchange

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Defaults of Options.
const (
	// DefaultDialTimeout is two opening packets between regions and a margin:
	// an endpoint that doesn't take a connection by then is down or cut off.
	DefaultDialTimeout = 600 * time.Millisecond
	// DefaultIdle is how long a connection is kept where the endpoint doesn't
	// say how long it does.
	DefaultIdle = 20 * time.Second
	// DefaultBufferBytes holds most answers' heads and a stream's events.
	DefaultBufferBytes = 4 << 10
)

// idleMargin is taken off the time for which an endpoint keeps an idle
// connection, so that no request crosses its close: a round trip between
// regions and the granularity of the told time.
const idleMargin = 700 * time.Millisecond

// userTimeout bounds how long written bytes stay unacknowledged. A peer behind
// a partition answers nothing, and without it a connection hangs for minutes.
const userTimeout = 3 * time.Second

// Probes of connections on which nothing moves. An endpoint that went dark, or a
// connection that went silent, answers nothing and closes nothing: a request that
// waits for it would learn so at its deadline, and one that is written to it can't
// be sent elsewhere any more. Four seconds of silence end the connection.
const (
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// An Options sets a Pool. Zero fields take their defaults.
type Options struct {
	DialTimeout time.Duration
	Idle        time.Duration
	BufferBytes int
	// Now is the clock that idle connections go by.
	Now func() time.Time
}

// A Pool keeps connections to endpoints.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu    sync.Mutex
	hosts map[netip.AddrPort]*host
	// dials counts the connections that were made.
	dials int64
}

// A host is the connections to one address. It is guarded by Pool.mu.
type host struct {
	idle []*conn
	open int
}

// A conn is a connection and the time until which it may be used again.
type conn struct {
	net.Conn
	addr  netip.AddrPort
	r     *bufio.Reader
	bound *boundedReader
	until time.Time
	used  bool
}

// NewPool returns a pool without connections. Options.Now is to be set.
func NewPool(o Options) *Pool {
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.Idle = cmp.Or(o.Idle, DefaultIdle)
	o.BufferBytes = cmp.Or(o.BufferBytes, DefaultBufferBytes)
	p := &Pool{options: o, hosts: map[netip.AddrPort]*host{}}
	p.dialer = net.Dialer{
		Timeout: o.DialTimeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
	return p
}

// Close ends the idle connections.
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

// Dials returns the number of connections that were made.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Forget ends the idle connections to an address whose endpoint is gone.
func (p *Pool) Forget(addr netip.AddrPort) {
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

// Open returns the number of connections to an address.
func (p *Pool) Open(addr netip.AddrPort) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[addr]; h != nil {
		return h.open
	}
	return 0
}

// get returns a connection, the one that was used last where there is one.
func (p *Pool) get(ctx context.Context, addr netip.AddrPort, limit int) (*conn, error) {
	for {
		c, err := p.take(addr, limit)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if c.quiet() {
			return c, nil
		}
		p.discard(c)
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		p.release(addr)
		return nil, err
	}
	b := &boundedReader{r: nc}
	return &conn{Conn: nc, addr: addr, bound: b, r: bufio.NewReaderSize(b, p.options.BufferBytes)}, nil
}

// take returns an idle connection, or nil with a place for a new one.
func (p *Pool) take(addr netip.AddrPort, limit int) (*conn, error) {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	if h == nil {
		h = &host{}
		p.hosts[addr] = h
	}
	for n := len(h.idle); n > 0; n = len(h.idle) {
		c := h.idle[n-1]
		h.idle = h.idle[:n-1]
		if now.Before(c.until) {
			return c, nil
		}
		h.open--
		_ = c.Close()
	}
	if limit > 0 && h.open >= limit {
		return nil, &ConnLimitError{Addr: addr, Limit: limit}
	}
	h.open++
	p.dials++
	return nil, nil
}

// put keeps a connection for another exchange.
func (p *Pool) put(c *conn, keep time.Duration) {
	c.used = true
	c.until = p.options.Now().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.addr]
	if h == nil {
		_ = c.Close()
		return
	}
	h.idle = append(h.idle, c)
}

// discard closes a connection for good.
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

// quiet reports whether the endpoint has sent nothing since the last answer.
//
// A second answer to the request before, or the endpoint's close, would meet
// the next request: its caller would get another's bytes, or a failure that
// leaves open whether it ran. A peek sees both before anything is written.
func (c *conn) quiet() bool {
	t, ok := c.Conn.(*net.TCPConn)
	if !ok || c.r.Buffered() > 0 {
		return false
	}
	rc, err := t.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = rc.Read(func(fd uintptr) bool {
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = e == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// setUserTimeout bounds the wait for acknowledgements on a new socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}
