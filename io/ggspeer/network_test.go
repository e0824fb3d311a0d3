package ggspeer_test

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengageslip/io/ggspeer"
)

// Guards against buffers that grow to megabytes for clients that don't read their answers, or send what isn't read.
func TestBuffersOfAcceptedConnectionsAreBounded(t *testing.T) {
	t.Parallel()
	// The system doubles what is asked for.
	const mostSending = 2 * 64 << 10
	c := qt.New(t)
	l, err := ggspeer.Network{}.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	n, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = n.Close() }()
	a, err := l.Accept()
	c.Assert(err, qt.IsNil)
	defer func() { _ = a.Close() }()
	r, err := a.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	for name, tc := range map[string]struct{ option, most int }{
		"receiving": {syscall.SO_RCVBUF, ggspeer.UnreadBytes},
		"sending":   {syscall.SO_SNDBUF, mostSending},
	} {
		c.Assert(r.Control(func(fd uintptr) {
			size, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, tc.option)
			c.Check(err, qt.IsNil)
			c.Check(size <= tc.most, qt.IsTrue, qt.Commentf("%s: %d bytes", name, size))
		}), qt.IsNil)
	}
}
