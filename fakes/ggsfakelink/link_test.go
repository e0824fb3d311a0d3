package ggsfakelink_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"greengageslip/fakes/ggsfakelink"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A testLink is a link to an echo server.
type testLink struct {
	link *ggsfakelink.Link
	addr string
}

func listen(c *qt.C) net.Listener {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	return n
}

func echo(n net.Listener) {
	for {
		k, err := n.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = io.Copy(k, k)
			_ = k.Close()
		}()
	}
}

func newTestLink(c *qt.C) *testLink {
	target, front := listen(c), listen(c)
	go echo(target)
	l := ggsfakelink.New(netip.MustParseAddrPort(target.Addr().String()))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Serve(ctx, front) }()
	c.Cleanup(func() {
		cancel()
		c.Check(<-ended, qt.IsNil)
		c.Check(target.Close(), qt.IsNil)
	})
	return &testLink{link: l, addr: front.Addr().String()}
}

func (b *testLink) dial(c *qt.C) net.Conn {
	k, err := net.Dial("tcp", b.addr)
	c.Assert(err, qt.IsNil)
	c.Assert(k.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil) //nolint:forbidigo // bounds the test only
	c.Cleanup(func() { _ = k.Close() })
	return k
}

func send(c *qt.C, k net.Conn, text string) {
	c.Helper()
	_, err := io.WriteString(k, text)
	c.Assert(err, qt.IsNil)
}

func receive(c *qt.C, k net.Conn, text string) {
	c.Helper()
	b := make([]byte, len(text))
	_, err := io.ReadFull(k, b)
	c.Assert(err, qt.IsNil)
	c.Assert(string(b), qt.Equals, text)
}

func TestForwardsBothDirections(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestLink(c)
	b.link.SetFaults(ggsfakelink.Faults{Delay: time.Millisecond})
	k := b.dial(c)
	long := strings.Repeat("long ", 20000)
	send(c, k, long)
	receive(c, k, long)
	c.Assert(k.(*net.TCPConn).CloseWrite(), qt.IsNil)
	_, err := k.Read(make([]byte, 1))
	c.Assert(err, qt.Equals, io.EOF)
	c.Assert(b.link.Stats(), qt.Equals, ggsfakelink.Stats{Conns: 1, BytesToTarget: 100000, BytesFromTarget: 100000})
}

// Checks a partition between two failure domains: bytes sent during the partition arrive
// after it on the same connection.
func TestStallHoldsBytes(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestLink(c)
	k := b.dial(c)
	send(c, k, "before")
	receive(c, k, "before")
	b.link.SetFaults(ggsfakelink.Faults{Stall: true})
	send(c, k, "during")
	late := b.dial(c)
	send(c, late, "new")
	c.Assert(b.link.Stats().BytesToTarget, qt.Equals, uint64(6))
	b.link.SetFaults(ggsfakelink.Faults{})
	receive(c, k, "during")
	receive(c, late, "new")
}

func TestRefuseClosesConnections(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestLink(c)
	k := b.dial(c)
	send(c, k, "before")
	receive(c, k, "before")
	b.link.SetFaults(ggsfakelink.Faults{Refuse: true})
	for _, k := range []net.Conn{k, b.dial(c)} {
		_, err := k.Read(make([]byte, 1))
		c.Assert(err, qt.IsNotNil)
	}
	b.link.SetFaults(ggsfakelink.Faults{})
	k = b.dial(c)
	send(c, k, "after")
	receive(c, k, "after")
}

func TestFaultsRequests(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := ggsfakelink.New(netip.MustParseAddrPort("127.0.0.1:1"))
	for body, want := range map[string]int{`{"delay":"8ms"}`: 200, `{"delay":"long"}`: 400, `{`: 400} {
		w := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/v1/faults", strings.NewReader(body))
		l.Handler().ServeHTTP(w, r)
		c.Assert(w.Code, qt.Equals, want)
	}
}

func TestBandwidthIsSharedByConnections(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestLink(c)
	b.link.SetFaults(ggsfakelink.Faults{BytesPerSecond: 400_000})
	begun := time.Now() //nolint:forbidigo // measures real time
	var wg sync.WaitGroup
	for range 2 {
		k := b.dial(c)
		text := strings.Repeat("x", 50_000)
		wg.Go(func() { _, _ = io.WriteString(k, text) })
		wg.Go(func() { _, _ = io.ReadFull(k, make([]byte, len(text))) })
	}
	wg.Wait()
	took := time.Since(begun) //nolint:forbidigo // measures real time
	c.Assert(took >= 240*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
}
