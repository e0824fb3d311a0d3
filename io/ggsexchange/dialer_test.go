package ggsexchange_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"greengageslip/io/ggsconn"
	"greengageslip/io/ggsexchange"
)

// Guards against connections that are closed after one lost keep-alive probe: a set
// TCP_USER_TIMEOUT decides when probes give up, whatever their number.
func TestKeepAliveGivesUpAfterTwoLostProbes(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	n, err := ggsexchange.NewDirectDialer(0).Dial(context.Background(), netip.MustParseAddrPort(l.Addr().String()))
	c.Assert(err, qt.IsNil)
	defer func() { _ = n.Close() }()
	tcp, ok := ggsconn.TCPConn(n)
	c.Assert(ok, qt.IsTrue)
	r, err := tcp.SyscallConn()
	c.Assert(err, qt.IsNil)
	option := func(name int, unit time.Duration) time.Duration {
		var v int
		var err error
		c.Assert(r.Control(func(fd uintptr) { v, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }), qt.IsNil)
		c.Assert(err, qt.IsNil)
		return time.Duration(v) * unit
	}
	userTimeout := option(unix.TCP_USER_TIMEOUT, time.Millisecond)
	idle, interval := option(unix.TCP_KEEPIDLE, time.Second), option(unix.TCP_KEEPINTVL, time.Second)
	c.Assert(userTimeout >= idle+2*interval, qt.IsTrue, qt.Commentf("%s, %s idle, %s between probes", userTimeout, idle, interval))
}
