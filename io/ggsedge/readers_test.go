package ggsedge

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/io/ggsrpc"
)

// largeEdge returns a VM of a large deployment that hears all others, and is no reader.
func largeEdge(reader netip.AddrPort) *Edge {
	e := listEdge()
	e.options.VM, e.options.Domain = "vm-99", "d"
	e.Calls = ggsrpc.NewPool(ggsrpc.PoolOptions{})
	for n := range 40 {
		e.peers[ggscore.VMID(fmt.Sprintf("vm-%d", n))] = &member{calls: reader, domain: "d", heard: e.Now()}
	}
	return e
}

// serveReader serves calls of an edge, and returns where and what ends it.
func serveReader(c *qt.C, r *Edge) (netip.AddrPort, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := ggsrpc.NewServer()
	c.Assert(s.Register("Placement", NewPlacement(ctx, r)), qt.IsNil)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	return netip.MustParseAddrPort(l.Addr().String()), func() {
		cancel()
		c.Assert(<-done, qt.IsNil)
	}
}

// A runner says that it leaves. One VM sees it and tells all, and 69 VMs read the whole
// list from the store, for each runner that starts or stops. Two of a domain do now, and
// the others have it from them, the leaving of it too.
func TestListComesFromAReader(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		told ggscore.StoreRevision
		has  bool
	}{
		"the reader has read as much": {told: 500, has: true},
		"the reader is behind":        {told: 600, has: false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			ctx := context.Background()
			r := listEdge()
			r.setInstances(ctx, entries("leaving", "ready"), 500)
			addr, stop := serveReader(c, r)
			defer stop()
			e := largeEdge(addr)
			defer func() { c.Assert(e.Calls.Close(), qt.IsNil) }()
			e.setInstances(ctx, entries("ready", "ready"), 490)
			e.listTold = tc.told
			c.Assert(e.reads(), qt.IsFalse)
			c.Assert(e.listFromReader(ctx), qt.Equals, tc.has)
			leaving := 0
			for _, i := range e.table.Instances("") {
				if i.Leaving {
					leaving++
				}
			}
			c.Assert(leaving, qt.Equals, map[bool]int{true: 1, false: 0}[tc.has])
			c.Assert(e.listRead, qt.Equals, map[bool]ggscore.StoreRevision{true: 500, false: 490}[tc.has])
		})
	}
}

// The reader is killed, or stands still. The others ask the store before callers notice.
func TestReaderThatDoesntAnswer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := largeEdge(netip.MustParseAddrPort("127.0.0.1:1"))
	defer func() { c.Assert(e.Calls.Close(), qt.IsNil) }()
	e.listTold = 500
	begun := time.Now() //nolint:forbidigo // the wait is in real time
	c.Assert(e.listFromReader(context.Background()), qt.IsFalse)
	c.Assert(time.Since(begun) < 2500*time.Millisecond, qt.IsTrue) //nolint:forbidigo // the same
}

// An operator changes the configuration. A VM that asks the reader in the moment in which
// it takes the change must not hear that all was read, and get what was before.
func TestOperatorsEntriesComeFromAReader(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	ctx := context.Background()
	r := listEdge()
	r.options.Keys.Operators = "op/"
	old := ggscore.Entry{Key: "op/x", Value: []byte("1"), Revision: 10}
	changed := ggscore.Entry{Key: "op/x", Value: []byte("2"), Revision: 20}
	r.keepOperators([]ggscore.Entry{old})
	r.readOperators(10, []ggscore.Entry{old})
	addr, stop := serveReader(c, r)
	defer stop()
	e := largeEdge(addr)
	defer func() { c.Assert(e.Calls.Close(), qt.IsNil) }()
	e.operatorsTold = 20

	_, _, ok := e.operatorsFromReader(ctx, 10)
	c.Assert(ok, qt.IsFalse)
	r.keepOperators([]ggscore.Entry{changed})
	r.readOperators(25, []ggscore.Entry{changed})
	es, next, ok := e.operatorsFromReader(ctx, 10)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next, qt.Equals, ggscore.StoreRevision(25))
	c.Assert(es, qt.DeepEquals, []ggscore.Entry{changed})
	es, _, ok = e.operatorsFromReader(ctx, 20)
	c.Assert(ok, qt.IsTrue)
	c.Assert(es, qt.HasLen, 0)
}

// Two VMs of a domain read, those with the widest links, and all of them where few hear
// each other.
func TestReadersOfADomain(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := largeEdge(netip.MustParseAddrPort("127.0.0.1:1"))
	e.peers["vm-7"].link, e.peers["vm-8"].link, e.peers["vm-9"].link = 200, 200, 200
	c.Assert(e.readers(), qt.DeepEquals, []ggscore.VMID{"vm-7", "vm-8"})
	e.peers["vm-7"].heard = e.Now().Add(-heardMaxAge)
	c.Assert(e.readers(), qt.DeepEquals, []ggscore.VMID{"vm-8", "vm-9"})
	for n := range 40 {
		if n > 5 {
			delete(e.peers, ggscore.VMID(fmt.Sprintf("vm-%d", n)))
		}
	}
	c.Assert(e.reads(), qt.IsTrue)
}
