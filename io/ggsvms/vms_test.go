package ggsvms

import (
	"bytes"
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	ggscore "greengageslip/core"
)

// A platform serves a list of VMs. It counts the readings and can be unreachable.
type platform struct {
	vms         []ggscore.VM
	unreachable bool
	reads       int
	// skipped are the errors of entries that can't be read.
	skipped []error
}

func (p *platform) ListVMs(context.Context) ([]ggscore.VM, error) {
	p.reads++
	if p.unreachable {
		return nil, &ggscore.StoreUnavailableError{}
	}
	if len(p.skipped) > 0 {
		return p.vms, &ggscore.PartialListError{Skipped: p.skipped}
	}
	return p.vms, nil
}

// directPeers queries followers without a network.
type directPeers map[Peer]*Follower

func (d directPeers) VMs(_ context.Context, p Peer, g ggscore.Digest) (Answer, error) {
	return d[p].answer(g), nil
}

// A membership calls its follower's List, as the memberships of the programs do.
type membership struct {
	follower *Follower
	reads    bool
	reader   Peer
}

func (m membership) IsReader() bool {
	_, _ = m.follower.List()
	return m.reads
}

func (m membership) Readers() []Peer { return []Peer{m.reader} }
func (m membership) Others() []Peer  { return nil }

// A fixture has a reader, and a querier that requests the list from the reader.
type fixture struct {
	now      time.Time
	platform *platform
	reader   *Follower
	querier  *Follower
}

func newFixture() *fixture {
	w := &fixture{now: time.Unix(1000, 0), platform: &platform{vms: []ggscore.VM{{ID: "a"}}}}
	clock := func() time.Time { return w.now }
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	peers := directPeers{}
	w.reader = New(w.platform, peers, Options{Interval: time.Second}, clock, log.NewNopLogger())
	w.reader.SetMembers(membership{follower: w.reader, reads: true, reader: addr})
	w.querier = New(w.platform, peers, Options{Interval: time.Second}, clock, log.NewNopLogger())
	w.querier.SetMembers(membership{follower: w.querier, reader: addr})
	peers[addr] = w.reader
	return w
}

func idOf(f *Follower) ggscore.VMID {
	vms, known := f.List()
	if !known {
		return ""
	}
	return vms[0].ID
}

// Guards against a VM that serves nothing for lack of a list: it starts while the platform is
// unreachable, although its peers have the list.
func TestListComesFromPeers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newFixture()
	ctx := context.Background()
	c.Assert(w.reader.read(ctx), qt.IsTrue)
	w.platform.unreachable = true
	c.Assert(w.querier.read(ctx), qt.IsFalse)
	w.querier.queryPeer(ctx, 0)
	c.Assert(idOf(w.querier), qt.Equals, ggscore.VMID("a"))
}

// Guards against exhausting the platform's rate limit: if each of hundreds of processes reads the
// whole list every second, this takes most of the allowed calls.
func TestOnlyReadersCallThePlatform(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newFixture()
	ctx := context.Background()
	c.Assert(w.reader.read(ctx), qt.IsTrue)
	w.querier.queryPeer(ctx, 0)
	for range 5 {
		c.Assert(w.querier.read(ctx), qt.IsFalse)
		w.querier.queryPeer(ctx, 0)
	}
	c.Assert(w.platform.reads, qt.Equals, 1)
}

// Guards against new work for a VM that has been leaving for long: a peer that can't reach the
// platform serves the list that it read earlier.
func TestOlderListIsIgnored(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newFixture()
	ctx := context.Background()
	c.Assert(w.reader.read(ctx), qt.IsTrue)
	w.now = w.now.Add(time.Minute)
	w.platform.vms = []ggscore.VM{{ID: "b"}}
	c.Assert(w.querier.read(ctx), qt.IsTrue)
	w.querier.queryPeer(ctx, 0)
	c.Assert(idOf(w.querier), qt.Equals, ggscore.VMID("b"))

	w.now = w.now.Add(time.Minute)
	w.platform.vms = []ggscore.VM{{ID: "c"}}
	c.Assert(w.reader.read(ctx), qt.IsTrue)
	w.querier.queryPeer(ctx, 0)
	c.Assert(idOf(w.querier), qt.Equals, ggscore.VMID("c"))
}

// Guards against a deployment that stays empty: the platform's first list is empty, so that no
// process knows a peer to query, and later each process takes others for the readers.
func TestEmptyOrStaleListIsReread(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newFixture()
	ctx := context.Background()
	w.platform.vms = nil
	c.Assert(w.querier.read(ctx), qt.IsTrue)
	w.now = w.now.Add(time.Second)
	w.platform.vms = []ggscore.VM{{ID: "a"}}
	c.Assert(w.querier.read(ctx), qt.IsTrue)
	c.Assert(idOf(w.querier), qt.Equals, ggscore.VMID("a"))

	// No process is a reader, because each takes others for the readers.
	w.now = w.now.Add(time.Hour)
	w.platform.vms = []ggscore.VM{{ID: "b"}}
	for range 1000 {
		if w.querier.read(ctx) {
			break
		}
	}
	c.Assert(idOf(w.querier), qt.Equals, ggscore.VMID("b"))
}

func TestSubscribersAreNotifiedOfChangesOnly(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newFixture()
	var received []ggscore.VMID
	w.querier.Subscribe(func(vms []ggscore.VM) { received = append(received, vms[0].ID) })
	for _, id := range []ggscore.VMID{"a", "a", "b"} {
		w.now = w.now.Add(time.Second)
		w.platform.vms = []ggscore.VM{{ID: id}}
		c.Assert(w.reader.read(context.Background()), qt.IsTrue)
		w.querier.queryPeer(context.Background(), 0)
	}
	c.Assert(received, qt.DeepEquals, []ggscore.VMID{"a", "b"})
}

// Guards against a process that follows no list any more, or has none after its start, because of one entry.
func TestListWithAnUnreadableEntryIsFollowed(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var b bytes.Buffer
	p := &platform{vms: []ggscore.VM{{ID: "r1"}}, skipped: []error{&ggscore.InvalidFieldError{Field: "addr", Reason: "port 0"}}}
	f := New(p, nil, Options{Interval: time.Second}, func() time.Time { return time.Unix(1_000, 0) }, log.NewLogfmtLogger(&b))
	for range 3 {
		c.Assert(f.read(context.Background()), qt.IsTrue)
	}
	vms, known := f.List()
	c.Assert(known, qt.IsTrue)
	c.Assert(vms, qt.HasLen, 1)
	c.Assert(strings.Count(b.String(), "event=vmsUnreadable"), qt.Equals, 1, qt.Commentf("%s", b.String()))
	p.skipped = nil
	c.Assert(f.read(context.Background()), qt.IsTrue)
	c.Assert(strings.Count(b.String(), "event=vmsUnreadable"), qt.Equals, 2)
}
