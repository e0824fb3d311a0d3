package ggsexchange

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	ggscore "greengageslip/core"
	"greengageslip/io/ggsconn"
)

// DefaultDialTimeout covers two opening packets between regions and a margin. An endpoint that
// hasn't accepted a connection by then is down or unreachable.
const DefaultDialTimeout = 600 * time.Millisecond

// TCP keep-alive of connections without traffic. An endpoint that lost power or network neither
// answers nor closes its connections. A request that waits for its answer would fail only at its
// deadline, and a request that was written to it can't be sent to another endpoint any more. With
// these values, the connection is closed after 4 s without a packet from the endpoint.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// userTimeout is the TCP_USER_TIMEOUT, which bounds how long sent bytes may stay unacknowledged.
// Without it, a connection to a peer behind a network partition hangs for minutes. While it is
// set, it also decides when keep-alive probes give up, instead of their count.
const userTimeout = keepAliveIdle + keepAliveCount*keepAliveInterval

// A DirectDialer opens TCP connections that detect an unreachable endpoint within seconds.
type DirectDialer struct{ dialer net.Dialer }

var _ ggscore.Dialer = (*DirectDialer)(nil)

// NewDirectDialer returns a DirectDialer. A zero timeout means DefaultDialTimeout.
func NewDirectDialer(timeout time.Duration) *DirectDialer {
	return &DirectDialer{dialer: net.Dialer{
		Timeout: cmp.Or(timeout, DefaultDialTimeout), Control: setUserTimeout, KeepAliveConfig: keepAliveConfig(),
	}}
}

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// DetectLoss makes an accepted connection detect an unreachable peer as dialed ones do.
func DetectLoss(c *net.TCPConn) error {
	if err := c.SetKeepAliveConfig(keepAliveConfig()); err != nil {
		return err
	}
	r, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout("", "", r)
}

// Dial implements ggscore.Dialer.
func (d *DirectDialer) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	c, err := d.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	return ggsconn.DetectReset(c), nil
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}
