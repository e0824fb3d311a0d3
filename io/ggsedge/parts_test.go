package ggsedge

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsgossip"
	"greengageslip/core/ggspath"
	"greengageslip/core/ggsrelay"
	"greengageslip/io/ggsrpc"
)

const (
	fleetSize = 40
	configKey = ggscore.Key("op/config")
)

// follower returns a VM of a large deployment whose relays answer at the address.
func follower(s Store, relay netip.AddrPort) *Edge {
	e := listEdge()
	e.options.Domain, e.options.Keys.Operators = "d", "op/"
	e.node = ggsrelay.NewNode(ggsrelay.Options{Self: e.options.relayMember()})
	e.Store, e.Calls = s, ggsrpc.NewPool(ggsrpc.PoolOptions{})
	for i := range fleetSize {
		p := &member{controlAddr: relay, domain: "d", capacity: uint64(1 << (2 * (i % 10)))}
		e.peers[ggscore.VMID(fmt.Sprintf("peer-%d", i))] = p
	}
	e.node.SetMembers(e.relayMembers())
	e.lastSummary, e.operatorsObserved = e.Now(), e.Now()
	e.listed = true
	e.paths.Store(ggspath.NewTable(&ggscore.RoutingConfig{}))
	e.recordOperatorsRead(position(10), nil)
	e.announceOperators(e.Now(), position(12))
	return e
}

// serveParts serves the parts that a VM has read, and returns its address.
func serveParts(ctx context.Context, c *qt.C, e *Edge) (netip.AddrPort, chan error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := ggsrpc.NewServer()
	c.Assert(s.Register("Placement", NewPlacement(ctx, e)), qt.IsNil)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	return netip.MustParseAddrPort(l.Addr().String()), done
}

// Guards against hundreds of VMs that each read the same change from the store.
func TestFollowerReadsPartsFromARelay(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		relayAt   ggscore.StorePosition
		snapshots int32
	}{
		"the relay has read the change": {position(12), 0},
		"the relay is behind":           {position(11), 1},
		"the relay has read nothing":    {position(0), 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			relay := listEdge()
			relay.options.Keys.Operators = "op/"
			relay.Now = time.Now //nolint:forbidigo // the relay waits in real time
			value := []byte(strings.Repeat("routes ", 1000))
			relay.keepOperators([]ggscore.Entry{{Key: configKey, Value: value, Revision: 12}})
			relay.recordOperatorsRead(tc.relayAt, nil)
			addr, done := serveParts(ctx, c, relay)
			s := &stalledStore{watches: make(chan struct{}, 1)}
			e := follower(s, addr)
			at := position(10)
			es, next, err := e.operators(ctx, &at)
			c.Assert(err, qt.IsNil)
			c.Assert(next.Before(position(12)), qt.IsFalse)
			c.Assert(es, qt.HasLen, 1)
			c.Assert(s.snapshots.Load(), qt.Equals, tc.snapshots)
			if tc.snapshots == 0 {
				c.Assert(es[0].Value, qt.DeepEquals, value)
			}
			c.Assert(e.Calls.Close(), qt.IsNil)
			cancel()
			c.Assert(<-done, qt.IsNil)
		})
	}
}

// Guards against VMs that keep calling a failing store although their relays can reach it.
func TestFollowerReadsFromRelayAfterStoreFailure(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	relay := listEdge()
	relay.options.Keys.Operators = "op/"
	relay.keepOperators([]ggscore.Entry{{Key: configKey, Revision: 12}})
	relay.recordOperatorsRead(position(12), nil)
	addr, done := serveParts(ctx, c, relay)
	s := &stalledStore{watches: make(chan struct{}, 1)}
	e := follower(s, addr)
	at := position(0)
	_, next, err := e.operators(ctx, &at)
	c.Assert(err, qt.IsNil)
	c.Assert(next, qt.Equals, position(12))
	c.Assert(s.snapshots.Load(), qt.Equals, int32(0))
	c.Assert(e.Calls.Close(), qt.IsNil)
	cancel()
	c.Assert(<-done, qt.IsNil)
}

// Guards against VMs that wait for relays which no longer reach the store.
func TestFollowerWatchesWhenNoRelayReads(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &stalledStore{watches: make(chan struct{}, 1)}
	e := follower(s, netip.AddrPort{})
	e.recordOperatorsRead(position(12), nil)
	e.operatorsObserved = e.Now().Add(-ggsgossip.MaxOperatorsAge)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-s.watches
		cancel()
	}()
	at := position(12)
	_, _, err := e.operators(ctx, &at)
	c.Assert(err, qt.Equals, context.Canceled)
	c.Assert(e.Calls.Close(), qt.IsNil)
}

func TestPackedEntriesRoundTrip(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	want := []ggscore.Entry{{Key: "a", Value: []byte("x"), Revision: 3}, {Key: "b", Revision: 4}}
	b, err := packEntries(want)
	c.Assert(err, qt.IsNil)
	got, err := unpackEntries(b)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, want)
	for name, bad := range map[string][]byte{"nothing": nil, "garbage": []byte("garbage"), "cut short": b[:len(b)/2]} {
		_, err := unpackEntries(bad)
		c.Assert(err, qt.IsNotNil, qt.Commentf("%s", name))
	}
}

// A hookCodec calls a function while it decodes a configuration.
type hookCodec struct {
	listCodec
	decoding func()
}

func (h hookCodec) Config(ggscore.Entry) (*ggscore.RoutingConfig, error) {
	h.decoding()
	return &ggscore.RoutingConfig{Version: 2}, nil
}

// Guards against a relay that hands out entries from before a change with the position after it, so that the VMs that
// read from it never ask for the change again.
func TestPartIsAsNewAsItsPosition(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := listEdge()
	e.options.Keys.Operators, e.options.Keys.Config = "op/", configKey
	e.recordOperatorsRead(position(10), nil)
	decoded := false
	e.Codec = hookCodec{decoding: func() {
		decoded = true
		r, err := e.localPart("op/")
		c.Check(err, qt.IsNil)
		c.Check(r.entries, qt.HasLen, 0)
		c.Check(r.at, qt.Equals, position(10))
	}}
	e.applyOperators(position(12), []ggscore.Entry{{Key: configKey, Value: []byte("{}"), Revision: 11}})
	c.Assert(decoded, qt.IsTrue)
	r, err := e.localPart("op/")
	c.Assert(err, qt.IsNil)
	c.Check(r.entries, qt.HasLen, 1)
	c.Check(r.at, qt.Equals, position(12))
}
