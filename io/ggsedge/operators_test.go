package ggsedge

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsgossip"
)

func TestOperatorsLagCountsFromTheFirstAnnouncement(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := listEdge()
	now := e.Now()
	e.Now = func() time.Time { return now }
	e.peers["peer"] = &member{}
	announce := func(at ggscore.StorePosition) {
		e.peers["peer"].sequence = 0
		e.receiveHeartbeat(netip.AddrPort{}, ggscore.Heartbeat{VM: "peer", Sequence: 1, Progress: ggscore.StoreProgress{OperatorsAt: at}})
	}
	e.recordOperatorsRead(position(10), nil)
	announce(position(10))
	now = now.Add(time.Second)
	c.Assert(e.operatorsLag(), qt.Equals, time.Duration(0))
	announce(position(12))
	now = now.Add(time.Second)
	announce(position(14))
	now = now.Add(time.Second)
	e.recordOperatorsRead(position(12), nil)
	c.Assert(e.operatorsLag(), qt.Equals, 2*time.Second)
	e.recordOperatorsRead(position(14), nil)
	c.Assert(e.operatorsLag(), qt.Equals, time.Duration(0))
}

// A stalledStore answers snapshots and no watches.
type stalledStore struct {
	Store
	watches   chan struct{}
	snapshots atomic.Int32
}

func (s *stalledStore) Watch(
	ctx context.Context, _ ggscore.Key, _ ggscore.StorePosition, _ time.Duration,
) ([]ggscore.Entry, ggscore.StorePosition, error) {
	s.watches <- struct{}{}
	<-ctx.Done()
	return nil, ggscore.StorePosition{}, ctx.Err()
}

func (s *stalledStore) Snapshot(context.Context, ggscore.Key, bool) ([]ggscore.Entry, ggscore.StorePosition, error) {
	s.snapshots.Add(1)
	return []ggscore.Entry{{Key: "op/config", Revision: 12}}, position(13), nil
}

// Guards against a VM that misses a change for as long as its stalled watch waits.
func TestStalledWatchIsPreempted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, checkStalledWatchIsPreempted)
}

func checkStalledWatchIsPreempted(t *testing.T) {
	c := qt.New(t)
	e, s := listEdge(), &stalledStore{watches: make(chan struct{}, 1)}
	e.Store = s
	e.peers["peer"] = &member{}
	e.recordOperatorsRead(position(10), nil)
	ctx, cancel := context.WithTimeout(context.Background(), 4*ggsgossip.WatchGrace)
	defer cancel()
	go func() {
		<-s.watches
		e.receiveHeartbeat(netip.AddrPort{}, ggscore.Heartbeat{VM: "peer", Sequence: 1, Progress: ggscore.StoreProgress{OperatorsAt: position(12)}})
	}()
	at := position(10)
	es, next, err := e.operators(ctx, &at)
	c.Assert(err, qt.IsNil)
	c.Assert(es, qt.HasLen, 1)
	c.Assert(next, qt.Equals, position(13))
}

// Guards against a VM that takes snapshots over and over for a revision that the store doesn't
// have.
func TestAnnouncedRevisionIsReadOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e, s := listEdge(), &stalledStore{watches: make(chan struct{}, 1)}
	e.Store = s
	e.peers["peer"] = &member{}
	e.recordOperatorsRead(position(10), nil)
	e.receiveHeartbeat(netip.AddrPort{}, ggscore.Heartbeat{VM: "peer", Sequence: 1, Progress: ggscore.StoreProgress{OperatorsAt: position(99)}})
	at := position(10)
	es, next, err := e.operators(context.Background(), &at)
	c.Assert(err, qt.IsNil)
	e.recordOperatorsRead(next, es)
	e.receiveHeartbeat(netip.AddrPort{}, ggscore.Heartbeat{VM: "peer", Sequence: 2, Progress: ggscore.StoreProgress{OperatorsAt: position(99)}})
	ctx, cancel := context.WithTimeout(context.Background(), 2*ggsgossip.WatchGrace)
	defer cancel()
	at = next
	_, _, err = e.operators(ctx, &at)
	c.Assert(err, qt.Equals, context.DeadlineExceeded)
	c.Assert(s.snapshots.Load(), qt.Equals, int32(1))
}
