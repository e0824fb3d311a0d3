package ggspeer_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	ggscore "greengageslip/core"
	"greengageslip/io/ggspeer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestBeatArrivesWhole(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	addr := freeAddr(c)
	conn, err := ggspeer.Listen(ctx, addr)
	c.Assert(err, qt.IsNil)
	got := make(chan ggspeer.Beat, 1)
	done := make(chan error, 1)
	go func() { done <- conn.Run(ctx, func(b ggspeer.Beat) { got <- b }) }()

	a := ggscore.ModelAdapter{Model: "m", Adapter: "a7"}
	want := ggspeer.Beat{
		VM: "vm", Sequence: 3, Started: 9, Relay: ggscore.RelayDomains, ListedAt: 4, OperatedAt: 5, ListAge: 6 * time.Millisecond,
		Flights:  []ggspeer.Flight{{Endpoint: "r1", Count: 4, Ended: 3, Failed: 2}},
		Holdings: []ggspeer.Holding{{Endpoint: "r1", Held: []ggscore.AdapterVersion{{Target: a, Version: 2}}, Whole: true, Waiting: 1, Room: 3}},
		Uses:     []ggspeer.Use{{Endpoint: "r1", Target: a, Count: 5, Active: true}},
	}
	// Another writer's bytes must not stop the reading.
	u, err := (&net.Dialer{}).DialContext(ctx, "udp", addr.String())
	c.Assert(err, qt.IsNil)
	for _, b := range []string{"garbage", "\x87\x00"} {
		_, err = u.Write([]byte(b))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(u.Close(), qt.IsNil)
	c.Assert(conn.Send(want, []netip.AddrPort{addr}), qt.IsNil)
	c.Assert(<-got, qt.DeepEquals, want)
	c.Assert(conn.Dropped(), qt.Equals, int64(2))
	cancel()
	c.Assert(<-done, qt.IsNil)
}

func freeAddr(c *qt.C) netip.AddrPort {
	l, err := (&net.ListenConfig{}).ListenPacket(context.Background(), "udp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.LocalAddr().String())
}
