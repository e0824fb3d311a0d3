package ggsrpc

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"net"
	"net/netip"
	"net/rpc"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"greengageslip/core/ggsbudget"
	"greengageslip/io/ggsintake"
)

const (
	codecWait = 5 * time.Second
	callers   = ggsbudget.Class("rpc")
)

// clock is that of the network's deadlines.
var clock = time.Now //nolint:forbidigo,gochecknoglobals // as above

// Guards against definitions of types that are taken for messages, whose memory is given back, however they are cut.
func TestDefinitionsOfTypes(t *testing.T) {
	t.Parallel()
	type inner struct{ A, B string }
	type outer struct {
		Inner []inner
		M     map[string]int
	}
	var b bytes.Buffer
	e := gob.NewEncoder(&b)
	qt.Assert(t, e.Encode(rpc.Request{ServiceMethod: "A.B"}), qt.IsNil)
	qt.Assert(t, e.Encode(outer{Inner: []inner{{A: "a"}}, M: map[string]int{"a": 1}}), qt.IsNil)
	qt.Assert(t, e.Encode(7), qt.IsNil)
	for name, piece := range map[string]int{"byte by byte": 1, "in pieces": 7, "at once": 4096} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var defines []bool
			l := &limitedConn{
				Conn: &sink{r: bytes.NewReader(b.Bytes())},
				announce: func(uint64) error {
					defines = append(defines, false)
					return nil
				},
				define: func(uint64) error {
					defines[len(defines)-1] = true
					return nil
				},
			}
			var err error
			for p := make([]byte, piece); err == nil; {
				_, err = l.Read(p)
			}
			c.Assert(errors.Is(err, io.EOF), qt.IsTrue)
			// rpc.Request, then outer with inner, its slice and the map, then a number.
			c.Assert(defines, qt.DeepEquals, []bool{true, false, true, true, true, true, false, false})
		})
	}
}

// WaitArgs is exported because net/rpc requires it.
type WaitArgs struct {
	X   int
	ctx context.Context //nolint:containedctx // as in the product
}

// SetContext implements ContextSetter.
func (a *WaitArgs) SetContext(ctx context.Context) { a.ctx = ctx }

type waiter struct{ begun, ended chan struct{} }

// Wait waits until the connection of the call ends.
func (w *waiter) Wait(a *WaitArgs, _ *int) error {
	w.begun <- struct{}{}
	<-a.ctx.Done()
	w.ended <- struct{}{}
	return nil
}

// startWaiter starts a server whose clients may take a number of bytes.
func startWaiter(t *testing.T, limit int64) (w *waiter, addr netip.AddrPort) {
	t.Helper()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	i := ggsintake.New(ggsintake.Options{
		Limits: ggsbudget.Limits{Bytes: limit, BodyBytes: limit, ConnBytes: 1, Conns: map[ggsbudget.Class]int{callers: 4}}, Now: clock, Log: log.NewNopLogger(),
	})
	w = &waiter{begun: make(chan struct{}, 8), ended: make(chan struct{}, 8)}
	s := NewServer()
	s.SetMaxCalls(limit)
	c.Assert(s.Register("Waiter", w), qt.IsNil)
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, i.Listener(callers, l)) }()
	t.Cleanup(func() {
		cancel()
		c.Check(<-done, qt.IsNil)
		c.Check(i.Usage(), qt.Equals, ggsbudget.Usage{})
	})
	return w, netip.MustParseAddrPort(l.Addr().String())
}

// Guards against calls that wait on, and keep their memory, after their connection has ended.
func TestCallsEndWithTheirConnections(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w, addr := startWaiter(t, 1<<20)
	p := NewPool(PoolOptions{})
	ctx, cancel := context.WithTimeout(context.Background(), codecWait)
	defer cancel()
	var broken *BrokenError
	failed := make(chan error, 1)
	go func() { failed <- p.Call(ctx, addr, "Waiter.Wait", &WaitArgs{X: 1}, new(int)) }()
	<-w.begun
	c.Assert(p.Close(), qt.IsNil)
	c.Assert(errors.As(<-failed, &broken), qt.IsTrue)
	select {
	case <-w.ended:
	case <-ctx.Done():
		c.Fatal("the call waits on")
	}
}

// Guards against messages that take memory for as many bytes as they announce before it is drawn.
func TestAnnouncedMessageWithoutMemoryIsRefused(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	_, addr := startWaiter(t, 1<<20)
	n, err := net.Dial("tcp", addr.String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = n.Close() }()
	c.Assert(n.SetDeadline(clock().Add(codecWait)), qt.IsNil)
	_, err = n.Write([]byte("\xfd\x90\x00\x00")) // the length of a message of 9 MB
	c.Assert(err, qt.IsNil)
	_, err = n.Read(make([]byte, 1))
	c.Assert(errors.Is(err, io.EOF), qt.IsTrue, qt.Commentf("%v", err))
}

// Guards against clients that end the process by a message whose length or type isn't a number.
func TestMalformedNumbersEndTheConnectionOnly(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	_, addr := startWaiter(t, 1<<20)
	for first := range 256 {
		for name, message := range map[string][]byte{"length": {byte(first)}, "type": {5, byte(first)}} {
			n, err := net.Dial("tcp", addr.String())
			c.Assert(err, qt.IsNil)
			c.Assert(n.SetDeadline(clock().Add(codecWait)), qt.IsNil)
			_, err = n.Write(append(message, make([]byte, 8)...))
			c.Assert(err, qt.IsNil)
			c.Assert(n.(*net.TCPConn).CloseWrite(), qt.IsNil)
			_, err = io.Copy(io.Discard, n)
			var timeout net.Error
			c.Assert(errors.As(err, &timeout) && timeout.Timeout(), qt.IsFalse, qt.Commentf("%s %d", name, first))
			_ = n.Close()
		}
	}
}

// Guards against bytes behind a refused message that are taken for the beginning of another.
func TestNothingIsReadBehindARefusedMessage(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	refused := &MessageTooLongError{Limit: 1}
	l := &limitedConn{Conn: &sink{r: bytes.NewReader([]byte{5, 1, 2, 3, 4, 5, 5})}, announce: func(uint64) error { return refused }}
	for range 3 {
		n, err := l.Read(make([]byte, 4))
		c.Assert(n, qt.Equals, 0)
		c.Assert(err, qt.Equals, error(refused))
	}
}

// Guards against calls without number from one connection, each of which takes memory until it has ended.
func TestCallsWithoutMemoryAreRefused(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	_, addr := startWaiter(t, 2*callBytes)
	p := NewPool(PoolOptions{})
	ctx, cancel := context.WithTimeout(context.Background(), codecWait)
	defer cancel()
	refused := make(chan error, 3)
	for range 3 {
		go func() { refused <- p.Call(ctx, addr, "Waiter.Wait", &WaitArgs{X: 1}, new(int)) }()
	}
	var remote *RemoteError
	err := <-refused
	c.Assert(errors.As(err, &remote), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(remote.Text, qt.Contains, "memory for clients exhausted")
	c.Assert(p.Close(), qt.IsNil)
	for range 2 {
		c.Assert(<-refused, qt.IsNotNil)
	}
}
