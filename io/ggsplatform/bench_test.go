package ggsplatform_test

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakebench"
	"greengageslip/fakes/ggsfakelink"
	"greengageslip/io/ggsplatform"
)

// benchLink returns a client that is connected to an unlimited fake platform directly, and a
// client that is connected over a link, which counts the bytes.
func benchLink(c *qt.C) (direct, linked *ggsplatform.Client, l *ggsfakelink.Link) {
	s := ggsfakebench.Serve(c, ggsfakebench.NewPlatform(nil).Handler())
	direct = ggsplatform.NewClient(ggsfakebench.AddrOf(c, s))
	l = ggsfakelink.New(ggsfakebench.AddrOf(c, s))
	n, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- l.Serve(ctx, n) }()
	linked = ggsplatform.NewClient(netip.MustParseAddrPort(n.Addr().String()))
	c.Cleanup(func() {
		direct.Close()
		linked.Close()
		cancel()
		c.Check(<-served, qt.IsNil)
	})
	return direct, linked, l
}

// BenchmarkCalls measures the time and allocations of a call, including those of the fake
// platform, and the bytes above TCP.
func BenchmarkCalls(b *testing.B) {
	ctx := context.Background()
	for name, prepare := range map[string]func(*qt.C, *ggsplatform.Client) func() error{
		"get": func(_ *qt.C, cl *ggsplatform.Client) func() error {
			return func() error {
				_, err := cl.Get(ctx, "owner/domain/r1")
				return err
			}
		},
		"put200B": func(c *qt.C, cl *ggsplatform.Client) func() error {
			value := bytes.Repeat([]byte("x"), 200)
			var last ggscore.StoreRevision
			e, err := cl.Get(ctx, "owner/domain/r1")
			c.Assert(err, qt.IsNil)
			last = e.Revision
			return func() error {
				r, err := cl.Put(ctx, "owner/domain/r1", value, last, 0)
				last = r
				return err
			}
		},
		"renew": func(c *qt.C, cl *ggsplatform.Client) func() error {
			l, err := cl.Grant(ctx, time.Hour)
			c.Assert(err, qt.IsNil)
			return func() error { return cl.Renew(ctx, l) }
		},
		"watchEmpty": func(_ *qt.C, cl *ggsplatform.Client) func() error {
			return func() error {
				_, _, err := cl.Watch(ctx, "section/", 0, 0)
				return err
			}
		},
	} {
		b.Run(name, func(b *testing.B) {
			c := qt.New(b)
			direct, linked, l := benchLink(c)
			do := prepare(c, direct)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if err := do(); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			do = prepare(c, linked)
			c.Assert(do(), qt.IsNil)
			before := l.Stats()
			for range linkCalls {
				c.Assert(do(), qt.IsNil)
			}
			after := l.Stats()
			b.ReportMetric(float64(after.BytesToTarget-before.BytesToTarget)/linkCalls, "sentB/op")
			b.ReportMetric(float64(after.BytesFromTarget-before.BytesFromTarget)/linkCalls, "receivedB/op")
		})
	}
}

// linkCalls is the number of calls over the link.
const linkCalls = 100
