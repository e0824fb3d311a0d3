package ggsrpc_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"greengageslip/io/ggsrpc"
)

// EchoArgs is exported since net/rpc asks for it.
type EchoArgs struct{ Text string }

type refusedError struct{}

func (*refusedError) Error() string { return "refused" }

type echo struct{ hold chan struct{} }

func (e *echo) Echo(a *EchoArgs, r *EchoArgs) error {
	r.Text = a.Text
	return nil
}

func (e *echo) Hold(_ *EchoArgs, _ *EchoArgs) error {
	<-e.hold
	return nil
}

func (e *echo) Refuse(_ *EchoArgs, _ *EchoArgs) error { return &refusedError{} }

func serve(ctx context.Context, c *qt.C, e *echo) (netip.AddrPort, chan error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := ggsrpc.NewServer()
	c.Assert(s.Register("Echo", e), qt.IsNil)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	return netip.MustParseAddrPort(l.Addr().String()), done
}

func TestCall(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	e := &echo{hold: make(chan struct{})}
	addr, done := serve(ctx, c, e)
	p := ggsrpc.NewPool(ggsrpc.PoolOptions{})

	var r EchoArgs
	c.Assert(p.Call(ctx, addr, "Echo.Echo", &EchoArgs{Text: "a"}, &r), qt.IsNil)
	c.Assert(r.Text, qt.Equals, "a")

	var remote *ggsrpc.RemoteError
	c.Assert(errors.As(p.Call(ctx, addr, "Echo.Refuse", &EchoArgs{}, &r), &remote), qt.IsTrue)
	c.Assert(remote.Text, qt.Equals, "refused")

	short, cancelShort := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancelShort()
	var broken *ggsrpc.BrokenError
	c.Assert(errors.As(p.Call(short, addr, "Echo.Hold", &EchoArgs{}, &EchoArgs{}), &broken), qt.IsTrue)
	close(e.hold)

	cancel()
	c.Assert(<-done, qt.IsNil)
	c.Assert(errors.As(p.Call(context.Background(), addr, "Echo.Echo", &EchoArgs{}, &r), &broken), qt.IsTrue)
	var dial *ggsrpc.DialError
	c.Assert(errors.As(p.Call(context.Background(), addr, "Echo.Echo", &EchoArgs{}, &r), &dial), qt.IsTrue)
	c.Assert(p.Close(), qt.IsNil)
}
