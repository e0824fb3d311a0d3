package ggsvms

import (
	"context"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	ggscore "greengageslip/core"
)

// A platform is a list of VMs that may be away.
type platform struct {
	vms  []ggscore.VM
	away bool
	read int
}

func (p *platform) ListVMs(context.Context) ([]ggscore.VM, error) {
	p.read++
	if p.away {
		return nil, &ggscore.StoreUnavailableError{}
	}
	return p.vms, nil
}

// A direct asks followers without a network.
type direct map[Peer]*Follower

func (d direct) VMs(_ context.Context, p Peer, g ggscore.Digest) (Answer, error) {
	return d[p].answer(g), nil
}

// A membership asks its follower for the list, as the programs' do.
type membership struct {
	follower *Follower
	reads    bool
	reader   Peer
}

func (m membership) Reads() bool {
	_, _ = m.follower.List()
	return m.reads
}

func (m membership) Readers() []Peer { return []Peer{m.reader} }
func (m membership) Others() []Peer  { return nil }

// A world is a reader and a follower that asks it.
type world struct {
	now      time.Time
	platform *platform
	reader   *Follower
	asker    *Follower
}

func newWorld() *world {
	w := &world{now: time.Unix(1000, 0), platform: &platform{vms: []ggscore.VM{{ID: "a"}}}}
	clock := func() time.Time { return w.now }
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	peers := direct{}
	w.reader = New(w.platform, peers, Options{Interval: time.Second}, clock, log.NewNopLogger())
	w.reader.SetMembers(membership{follower: w.reader, reads: true, reader: addr})
	w.asker = New(w.platform, peers, Options{Interval: time.Second}, clock, log.NewNopLogger())
	w.asker.SetMembers(membership{follower: w.asker, reader: addr})
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

// A VM that started while the platform was away had no list, so that it served
// nothing, although its peers knew all VMs.
func TestListComesFromPeers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld()
	ctx := context.Background()
	c.Assert(w.reader.read(ctx), qt.IsTrue)
	w.platform.away = true
	c.Assert(w.asker.read(ctx), qt.IsFalse)
	w.asker.ask(ctx, 0)
	c.Assert(idOf(w.asker), qt.Equals, ggscore.VMID("a"))
}

// Each of hundreds of processes read the whole list from the platform every
// second, which took most of the calls that it allows.
func TestOnlyReadersCallThePlatform(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld()
	ctx := context.Background()
	c.Assert(w.reader.read(ctx), qt.IsTrue)
	w.asker.ask(ctx, 0)
	for range 5 {
		c.Assert(w.asker.read(ctx), qt.IsFalse)
		w.asker.ask(ctx, 0)
	}
	c.Assert(w.platform.read, qt.Equals, 1)
}

// A VM that had been leaving for long got new work again: a peer that was cut
// off from the platform served the list that it had read before.
func TestOlderListIsNotTaken(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld()
	ctx := context.Background()
	c.Assert(w.reader.read(ctx), qt.IsTrue)
	w.now = w.now.Add(time.Minute)
	w.platform.vms = []ggscore.VM{{ID: "b"}}
	c.Assert(w.asker.read(ctx), qt.IsTrue)
	w.asker.ask(ctx, 0)
	c.Assert(idOf(w.asker), qt.Equals, ggscore.VMID("b"))

	w.now = w.now.Add(time.Minute)
	w.platform.vms = []ggscore.VM{{ID: "c"}}
	c.Assert(w.reader.read(ctx), qt.IsTrue)
	w.asker.ask(ctx, 0)
	c.Assert(idOf(w.asker), qt.Equals, ggscore.VMID("c"))
}

// The list that a platform gave at its start was empty. Its readers knew nobody
// then, each took another for the reader, and the deployment stayed empty.
func TestEmptyOrOldListIsReadAgain(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld()
	ctx := context.Background()
	w.platform.vms = nil
	c.Assert(w.asker.read(ctx), qt.IsTrue)
	w.now = w.now.Add(time.Second)
	w.platform.vms = []ggscore.VM{{ID: "a"}}
	c.Assert(w.asker.read(ctx), qt.IsTrue)
	c.Assert(idOf(w.asker), qt.Equals, ggscore.VMID("a"))

	// Later nobody reads, since all take others for the readers.
	w.now = w.now.Add(time.Hour)
	w.platform.vms = []ggscore.VM{{ID: "b"}}
	for range 1000 {
		if w.asker.read(ctx) {
			break
		}
	}
	c.Assert(idOf(w.asker), qt.Equals, ggscore.VMID("b"))
}

func TestSubscribersHearOfChangesOnly(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld()
	var heard []ggscore.VMID
	w.asker.Subscribe(func(vms []ggscore.VM) { heard = append(heard, vms[0].ID) })
	for _, id := range []ggscore.VMID{"a", "a", "b"} {
		w.now = w.now.Add(time.Second)
		w.platform.vms = []ggscore.VM{{ID: id}}
		c.Assert(w.reader.read(context.Background()), qt.IsTrue)
		w.asker.ask(context.Background(), 0)
	}
	c.Assert(heard, qt.DeepEquals, []ggscore.VMID{"a", "b"})
}
