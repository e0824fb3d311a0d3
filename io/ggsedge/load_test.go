package ggsedge

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsfencing"
	"greengageslip/io/ggsrpc"
)

// A stalledFirstListener is a listener that doesn't serve its first connection.
type stalledFirstListener struct {
	net.Listener
	accepted atomic.Bool
}

func (m *stalledFirstListener) Accept() (net.Conn, error) {
	c, err := m.Listener.Accept()
	if err != nil || m.accepted.Swap(true) {
		return c, err
	}
	return m.Listener.Accept()
}

// A loadedOwner answers like a peer that holds each adapter already.
type loadedOwner struct{}

func (loadedOwner) Ensure(_ *EnsureArgs, r *EnsureReply) error {
	r.Version = 3
	return nil
}

// Guards against keeping a stalled connection to a peer. Every load at the peer's runners
// waited 0.9 s and failed for as long as both processes ran.
func TestStalledConnectionToAPeerIsReplaced(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := ggsrpc.NewServer()
	c.Assert(s.Register("Placement", loadedOwner{}), qt.IsNil)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, &stalledFirstListener{Listener: l}) }()

	e := listEdge()
	e.Calls = ggsrpc.NewPool(ggsrpc.PoolOptions{})
	e.ownership.Observe(e.Now(), position(1), ggsfencing.Reading{Records: []ggsfencing.Record{{Endpoint: "r", Owner: "peer", Revision: 1}}})
	e.peers["peer"] = &member{controlAddr: netip.MustParseAddrPort(l.Addr().String())}
	loadOnce := func() error {
		g := &pendingLoad{done: make(chan struct{})}
		e.load(ctx, load{endpoint: "r", target: ggscore.ModelAdapter{Model: "m", Adapter: "a"}}, g)
		<-g.done
		return g.err
	}
	c.Assert(loadOnce(), qt.IsNotNil)
	c.Assert(loadOnce(), qt.IsNil)
	c.Assert(e.Calls.Close(), qt.IsNil)
	cancel()
	c.Assert(<-done, qt.IsNil)
}
