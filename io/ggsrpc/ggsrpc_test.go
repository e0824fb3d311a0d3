package ggsrpc_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakelink"
	"greengageslip/io/ggsrpc"
)

// EchoArgs is exported because net/rpc requires it.
type EchoArgs struct{ Text string }

type refusedError struct{}

func (*refusedError) Error() string { return "refused" }

type echo struct{ hold chan struct{} }

const longBytes = 600_000

func (e *echo) Echo(a *EchoArgs, r *EchoArgs) error {
	r.Text = a.Text
	return nil
}

func (e *echo) Hold(_ *EchoArgs, _ *EchoArgs) error {
	<-e.hold
	return nil
}

func (e *echo) Long(_ *EchoArgs, r *EchoArgs) error {
	r.Text = strings.Repeat("x", longBytes)
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

// Guards against long answers that never complete because the total time of a call is bounded. Only
// the time without received bytes may be bounded.
func TestLongAnswerMayExceedIdleTimeout(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	addr, done := serve(ctx, c, &echo{})
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	k := ggsfakelink.New(addr)
	linkDone := make(chan error, 1)
	go func() { linkDone <- k.Serve(ctx, l) }()
	p := ggsrpc.NewPool(ggsrpc.PoolOptions{})
	const idleTimeout = 200 * time.Millisecond
	k.SetFaults(ggsfakelink.Faults{BytesPerSecond: 1_000_000})
	at := netip.MustParseAddrPort(l.Addr().String())

	var r EchoArgs
	c.Assert(p.CallLong(ctx, idleTimeout, at, "Echo.Long", &EchoArgs{}, &r), qt.IsNil)
	c.Assert(r.Text, qt.HasLen, longBytes)

	k.SetFaults(ggsfakelink.Faults{Stall: true})
	var idle *ggsrpc.IdleTimeoutError
	err = p.CallLong(ctx, idleTimeout, at, "Echo.Long", &EchoArgs{}, &EchoArgs{})
	c.Assert(errors.As(err, &idle), qt.IsTrue, qt.Commentf("%v", err))

	c.Assert(p.Close(), qt.IsNil)
	cancel()
	c.Assert(<-done, qt.IsNil)
	c.Assert(<-linkDone, qt.IsNil)
}
