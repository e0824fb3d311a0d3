package ggsrpc

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
)

const defaultDialTimeout = time.Second

// PoolOptions configures a Pool.
type PoolOptions struct {
	// DialTimeout bounds the time to open a connection. Zero means one second.
	DialTimeout time.Duration
	// Dialer opens connections. Without one they are TCP connections.
	Dialer ggscore.Dialer
}

// A Pool keeps one connection to each called process. It is safe for concurrent use.
type Pool struct {
	options PoolOptions
	mu      sync.Mutex
	clients map[netip.AddrPort]*client
}

// A client is a connection to a process.
type client struct {
	*rpc.Client
	conn *countingConn
}

// NewPool returns an empty Pool.
func NewPool(o PoolOptions) *Pool {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	return &Pool{options: o, clients: make(map[netip.AddrPort]*client)}
}

// Call calls a method of the process at addr and waits for its answer or the end of the context.
// The reply must not be read after an error.
func (p *Pool) Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error {
	c, err := p.client(ctx, addr)
	if err != nil {
		return &DialError{Addr: addr, Cause: err}
	}
	return p.wait(ctx, addr, c, c.Go(method, args, reply, make(chan *rpc.Call, 1)))
}

// CallLong is like Call, but for an answer whose length grows with the amount of data. It has no
// time limit of its own while bytes arrive on the connection, and fails once none have arrived for
// idleTimeout. If it fails so, or ctx ends, the connection is closed so that the rest of the
// answer isn't sent.
func (p *Pool) CallLong(ctx context.Context, idleTimeout time.Duration, addr netip.AddrPort, method string, args, reply any) error {
	dial, cancelDial := context.WithTimeout(ctx, idleTimeout)
	defer cancelDial()
	c, err := p.client(dial, addr)
	if err != nil {
		return &DialError{Addr: addr, Cause: err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	go c.conn.cancelWhenIdle(ctx, idleTimeout, cancel)
	err = p.wait(ctx, addr, c, call)
	if err != nil && ctx.Err() != nil {
		p.drop(addr, c)
	}
	return err
}

// wait waits for the answer to a call.
func (p *Pool) wait(ctx context.Context, addr netip.AddrPort, c *client, call *rpc.Call) error {
	select {
	case <-ctx.Done():
		return &BrokenError{Addr: addr, Method: call.ServiceMethod, Cause: context.Cause(ctx)}
	case <-call.Done:
	}
	if call.Error == nil {
		return nil
	}
	if s := rpc.ServerError(""); errors.As(call.Error, &s) {
		return &RemoteError{Addr: addr, Method: call.ServiceMethod, Text: string(s)}
	}
	p.drop(addr, c)
	return &BrokenError{Addr: addr, Method: call.ServiceMethod, Cause: call.Error}
}

// Close closes all connections.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.clients {
		_ = c.Close()
		delete(p.clients, a)
	}
	return nil
}

// CloseConn closes the connection to addr, whose process no longer exists.
func (p *Pool) CloseConn(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.clients[addr]; c != nil {
		_ = c.Close()
		delete(p.clients, addr)
	}
}

func (p *Pool) client(ctx context.Context, addr netip.AddrPort) (*client, error) {
	p.mu.Lock()
	c := p.clients[addr]
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	conn, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	counting := &countingConn{Conn: &limitedConn{Conn: conn}}
	n := &client{Client: rpc.NewClient(counting), conn: counting}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c = p.clients[addr]; c != nil {
		_ = n.Close()
		return c, nil
	}
	p.clients[addr] = n
	return n, nil
}

func (p *Pool) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	if p.options.Dialer != nil {
		return p.options.Dialer.Dial(ctx, addr)
	}
	d := net.Dialer{Timeout: p.options.DialTimeout}
	return d.DialContext(ctx, "tcp", addr.String())
}

func (p *Pool) drop(addr netip.AddrPort, c *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[addr] == c {
		delete(p.clients, addr)
	}
	_ = c.Close()
}
