package ggsedge

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/io/ggsexchange"
)

// A listCodec decodes an entry whose value is "ready", "leaving", the name of a base model after
// "model:", or a number of slots after "slots:".
type listCodec struct{ Codec }

func (listCodec) Instance(e ggscore.Entry) (ggscore.Instance, error) {
	i := ggscore.Instance{
		ID: ggscore.EndpointID(strings.TrimPrefix(string(e.Key), "list/")), Service: "s", Slots: 1,
		Addr: netip.MustParseAddrPort("127.0.0.1:1"), Leaving: string(e.Value) == "leaving",
	}
	if m, ok := strings.CutPrefix(string(e.Value), "model:"); ok {
		i.Models = []ggscore.ResidentModel{{Name: ggscore.BaseModel(m)}}
	}
	if n, ok := strings.CutPrefix(string(e.Value), "slots:"); ok {
		i.Slots = len(n)
	}
	return i, nil
}

// position returns a position in the store's only epoch.
func position(r ggscore.StoreRevision) ggscore.StorePosition {
	return ggscore.StorePosition{Revision: r}
}

func listEdge() *Edge {
	return listEdgeAt(func() time.Time { return time.Unix(1_000, 0) })
}

func listEdgeAt(now func() time.Time) *Edge {
	return New(Options{VM: "vm", Keys: Keys{Instances: "list/", Own: "own"}}, Parts{
		Codec: listCodec{}, Log: log.NewNopLogger(), Now: now, Monotonic: now, Pool: ggsexchange.NewPool(ggsexchange.Options{Now: now}),
	})
}

func entries(first, second string) []ggscore.Entry {
	return []ggscore.Entry{{Key: "list/a", Value: []byte(first)}, {Key: "list/b", Value: []byte(second)}}
}

// Guards against a change that is found during a resync but not announced. With only the first
// change and a fresh age announced, no other VM read the list for over a second, and a runner got
// requests 2.6 s after it had announced its departure.
func TestSecondChangeIsAnnounced(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := listEdge()
	ctx := context.Background()
	e.setInstances(ctx, partReading{entries: entries("ready", "ready"), at: position(490), read: e.Now()})
	e.listProgress.ObservePeer(position(500), 0)
	e.setInstances(ctx, partReading{entries: entries("leaving", "leaving"), at: position(510), read: e.Now()})
	at, _ := e.listProgress.Announcement()
	c.Assert(at.Before(position(510)), qt.IsFalse, qt.Commentf("announced %s", at))

	// Without a change, no new position is announced. Otherwise two VMs would make each other
	// read the list forever.
	e.setInstances(ctx, partReading{entries: entries("leaving", "leaving"), at: position(520), read: e.Now()})
	again, _ := e.listProgress.Announcement()
	c.Assert(again, qt.Equals, at)
}

// Guards against endpoints that all VMs but the one that reads the list take for empty, or for smaller
// than they are, after the announced change that they have read.
func TestChangedEntryIsReadByVMsThatDoNotReadTheListThemselves(t *testing.T) {
	t.Parallel()
	for name, changed := range map[string]string{"model loaded": "model:m", "slots": "slots:xx"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			ctx := context.Background()
			reader, other := listEdge(), listEdge()
			other.peers["reader"] = &member{}
			for _, e := range []*Edge{reader, other} {
				e.setInstances(ctx, partReading{entries: entries("ready", "ready"), at: position(10), read: e.Now()})
			}
			sequence := uint64(0)
			tell := func() {
				sequence++
				h := reader.heartbeat()
				h.VM, h.Sequence = "reader", sequence
				other.receiveHeartbeat(netip.AddrPort{}, h)
			}
			tell()
			c.Assert(other.listBehind(), qt.IsFalse)
			reader.setInstances(ctx, partReading{entries: entries(changed, "ready"), at: position(20), read: reader.Now()})
			tell()
			c.Assert(other.listBehind(), qt.IsTrue)
		})
	}
}

// Guards against a VM that never reads the list itself and keeps what no announcement covers.
func TestListIsReadFromTimeToTimeWithoutAnAnnouncement(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := time.Unix(1_000, 0)
	e := listEdgeAt(func() time.Time { return now })
	e.setInstances(context.Background(), partReading{entries: entries("ready", "ready"), at: position(10), read: now})
	now = now.Add(15 * time.Second)
	e.listObserved = now
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c.Assert(e.waitForList(ctx), qt.IsTrue)
	c.Assert(ctx.Err(), qt.IsNil)
}

// Guards against one read of the list per change. Runners that start one after the other each
// change the list, and 65 VMs read it 266 times a second.
func TestConsecutiveChangesAreReadTogether(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		read        time.Duration
		least, most time.Duration
	}{
		"read just now":                    {0, minResyncInterval - 50*time.Millisecond, minResyncInterval + 300*time.Millisecond},
		"read one minimum interval before": {minResyncInterval, 0, 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			e := listEdge()
			e.Now = time.Now //nolint:forbidigo // the wait is in real time
			e.setInstances(context.Background(), partReading{entries: entries("ready", "ready"), at: position(490), read: e.Now()})
			e.listReadTime = e.listReadTime.Add(-tc.read)
			e.listProgress.ObservePeer(position(500), 0)
			notify(e.listNotified)
			begun := e.Now()
			c.Assert(e.waitForList(context.Background()), qt.IsTrue)
			took := e.Now().Sub(begun)
			c.Assert(took >= tc.least && took <= tc.most, qt.IsTrue, qt.Commentf("%s", took))
		})
	}
}

// Guards against connections for orders that stay open after their endpoints are gone.
func TestOrderConnectionsOfGoneEndpointsAreClosed(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := listEdge()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	defer server.Close()
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	e.OrderPool = ggsexchange.NewPool(ggsexchange.Options{Now: e.Now})
	defer e.OrderPool.Close()
	a, err := e.OrderPool.Do(context.Background(), ggsexchange.Request{Addr: addr, Method: http.MethodGet, URI: "/", Host: "h"})
	c.Assert(err, qt.IsNil)
	a.Close()
	c.Assert(e.OrderPool.OpenConns(addr), qt.Equals, 1)
	e.table.SetInstances(e.Now(), []ggscore.Instance{{ID: "gone", Addr: addr}})
	e.setInstances(context.Background(), partReading{entries: entries("ready", "ready"), at: position(1), read: e.Now()})
	c.Assert(e.OrderPool.OpenConns(addr), qt.Equals, 0)
}

// A spoiledCodec can't read entries whose value is "spoiled".
type spoiledCodec struct{ listCodec }

func (c spoiledCodec) Instance(e ggscore.Entry) (ggscore.Instance, error) {
	if string(e.Value) == "spoiled" {
		return ggscore.Instance{}, &NotReadyError{Reason: "spoiled"}
	}
	return c.listCodec.Instance(e)
}

// Guards against an entry that nobody follows and of which no operator learns, or learns at each reading of the list.
func TestUnreadableEntriesAreLoggedOnceAndShown(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := listEdge()
	e.Codec = spoiledCodec{}
	var b bytes.Buffer
	e.Log = level.NewFilter(log.NewLogfmtLogger(&b), level.AllowWarn())
	for r := range 3 {
		e.setInstances(context.Background(), partReading{entries: entries("spoiled", "ready"), at: position(ggscore.StoreRevision(r + 1))})
	}
	c.Assert(strings.Count(b.String(), "event=entryUnreadable key=list/a"), qt.Equals, 1, qt.Commentf("%s", b.String()))
	c.Assert(e.State().Unreadable, qt.HasLen, 1)
	e.setInstances(context.Background(), partReading{entries: entries("ready", "ready"), at: position(9)})
	c.Assert(strings.Count(b.String(), "event=entryReadable key=list/a"), qt.Equals, 1, qt.Commentf("%s", b.String()))
	c.Assert(e.State().Unreadable, qt.HasLen, 0)
}
