package ggstunnel

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"

	ggscore "greengageslip/core"
)

// A conn is a connection to an endpoint, direct or through a peer. It records when a request was
// written that waits for an answer, and when bytes arrived last.
type conn struct {
	net.Conn
	dialer *Dialer
	addr   netip.AddrPort
	// peer is the VM that the connection goes through, empty for a direct connection.
	peer ggscore.VMID
	once sync.Once
	// waitingSince and received are Unix times in nanoseconds, zero for never.
	waitingSince atomic.Int64
	received     atomic.Int64
}

var (
	_ ggscore.EndpointConn = (*conn)(nil)
	_ syscall.Conn         = (*conn)(nil)
)

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Store(c.dialer.options.Now().UnixNano())
		c.waitingSince.Store(0)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.waitingSince.CompareAndSwap(0, c.dialer.options.Now().UnixNano())
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { c.dialer.forget(c) })
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return syscallConn(c.Conn) }

// Tunneled implements ggscore.EndpointConn.
func (c *conn) Tunneled() bool { return c.peer != "" }

// ShowsEnd implements ggscore.EndpointConn.
func (c *conn) ShowsEnd() bool {
	_, framed := c.Conn.(*framedConn)
	return framed || !c.Tunneled()
}

// Usable implements ggscore.EndpointConn. Direct connections aren't usable while the endpoint's path
// is broken, and tunnels aren't once a direct dial has succeeded or their peer is stopping.
func (c *conn) Usable() bool {
	if f, framed := c.Conn.(*framedConn); framed && f.stopping.Load() {
		return false
	}
	return c.dialer.usable(c)
}
