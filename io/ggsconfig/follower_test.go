package ggsconfig_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
	"greengageslip/io/ggsconfig"
	"greengageslip/io/ggsrpc"
)

// eventTimeout bounds every wait for an event.
const eventTimeout = 20 * time.Second

// A network is a set of processes that follow the document. Each failure domain can be
// partitioned from the other domains and from the platform.
type network struct {
	mu          sync.Mutex
	members     []ggsconfig.Member
	nodes       map[netip.AddrPort]*ggsconfig.Follower
	partitioned map[ggscore.Domain]bool
	// repair is the processes' Repair store; nil disables the repair.
	repair ggsconfig.EditorStore
	// sectionDelay is the latency of the platform's answers to reads of sections.
	sectionDelay time.Duration
}

// Members implements ggsconfig.MemberLister.
func (n *network) Members() []ggsconfig.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]ggsconfig.Member(nil), n.members...)
}

func (n *network) setPartitioned(d ggscore.Domain, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[d] = partitioned
}

// A link is the peer client of one process.
type link struct {
	network *network
	domain  ggscore.Domain
}

func (l *link) Head(
	_ context.Context, addr netip.AddrPort, have ggsdocument.Head,
) (ggsdocument.Head, bool, error) {
	f, err := l.follower(addr)
	if err != nil {
		return ggsdocument.Head{}, false, err
	}
	h := f.Head()
	return h, h.Revision > have.Revision, nil
}

func (l *link) Section(_ context.Context, addr netip.AddrPort, d ggscore.Digest) ([]byte, error) {
	f, err := l.follower(addr)
	if err != nil {
		return nil, err
	}
	var r ggsconfig.SectionReply
	if err = ggsconfig.NewService(f).Section(&ggsconfig.SectionArgs{Digest: d}, &r); err != nil || !r.Found {
		return nil, &ggsconfig.MissingSectionError{Digest: d}
	}
	z, err := gzip.NewReader(bytes.NewReader(r.Packed))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(z)
}

func (l *link) follower(addr netip.AddrPort) (*ggsconfig.Follower, error) {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	f := l.network.nodes[addr]
	for _, m := range l.network.members {
		if m.Addr == addr && m.Domain != l.domain && (l.network.partitioned[m.Domain] || l.network.partitioned[l.domain]) {
			f = nil
		}
	}
	if f == nil {
		return nil, &ggsconfig.PeerError{Addr: addr, Cause: &causeError{}}
	}
	return f, nil
}

// A domainStore is the platform's service as reached from one failure domain.
type domainStore struct {
	*faultyStore
	network *network
	domain  ggscore.Domain
}

func (s *domainStore) unreachable() bool {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	return s.network.partitioned[s.domain]
}

func (s *domainStore) Get(ctx context.Context, k ggscore.Key) (ggscore.Entry, error) {
	if k != ggsconfig.HeadKey {
		t := time.NewTimer(s.network.sectionDelay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return ggscore.Entry{}, &ggscore.StoreUnavailableError{Cause: ctx.Err()}
		}
	}
	if s.unreachable() {
		return ggscore.Entry{}, &ggscore.StoreUnavailableError{Cause: &causeError{}}
	}
	return s.faultyStore.Get(ctx, k)
}

func (s *domainStore) Watch(
	ctx context.Context, k ggscore.Key, after ggscore.StoreRevision, d time.Duration,
) ([]ggscore.Entry, ggscore.StoreRevision, error) {
	l, r, err := s.faultyStore.Watch(ctx, k, after, d)
	if s.unreachable() {
		return nil, 0, &ggscore.StoreUnavailableError{Cause: &causeError{}}
	}
	return l, r, err
}

func newNetwork() *network {
	return &network{nodes: map[netip.AddrPort]*ggsconfig.Follower{}, partitioned: map[ggscore.Domain]bool{}}
}

// start adds a process and runs its follower until the test ends.
func (n *network) start(c *qt.C, s *faultyStore, vm ggscore.VMID, d ggscore.Domain) *ggsconfig.Follower {
	n.mu.Lock()
	addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(len(n.members)+1))
	n.members = append(n.members, ggsconfig.Member{VM: vm, Domain: d, Addr: addr})
	f := ggsconfig.NewFollower(ggsconfig.FollowerOptions{
		Self: vm, Domain: d, Members: n,
		Store:        &domainStore{faultyStore: s, network: n, domain: d},
		Peers:        &link{network: n, domain: d},
		Repair:       n.repair,
		WatchTimeout: 50 * time.Millisecond,
		PollInterval: 2 * time.Millisecond,
	})
	n.nodes[addr] = f
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	c.Cleanup(func() {
		cancel()
		c.Check(<-done, qt.IsNil)
	})
	return f
}

// await waits until a follower has adopted revision r.
func await(c *qt.C, f *ggsconfig.Follower, r ggscore.Revision) {
	c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	for l := f.Subscribe(ctx); ; {
		select {
		case d := <-l:
			if d.Revision >= r {
				c.Assert(d.Revision, qt.Equals, r)
				return
			}
		case <-ctx.Done():
			c.Fatalf("revision %d is not in force within the timeout: have %d", r, f.Head().Revision)
		}
	}
}

// awaitHead waits until the platform's head has revision r.
func awaitHead(c *qt.C, s *faultyStore, r ggscore.Revision) {
	c.Helper()
	poll(c, "the platform's head doesn't have the revision", func() bool {
		e, err := s.Get(context.Background(), ggsconfig.HeadKey)
		c.Assert(err, qt.IsNil)
		h, err := ggsconfig.DecodeHead(e.Value)
		c.Assert(err, qt.IsNil)
		return h.Revision == r
	})
}

// awaitRefused waits until a follower has refused a head.
func awaitRefused(c *qt.C, f *ggsconfig.Follower) {
	c.Helper()
	poll(c, "no head was refused", func() bool { return f.State().Refused > 0 })
}

func poll(c *qt.C, failure string, done func() bool) {
	c.Helper()
	deadline := time.NewTimer(eventTimeout)
	defer deadline.Stop()
	t := time.NewTicker(time.Millisecond)
	defer t.Stop()
	for !done() {
		select {
		case <-deadline.C:
			c.Fatal(failure)
		case <-t.C:
		}
	}
}

// Guards against a change that doesn't reach each of nine VMs in three domains within seconds, and
// against more than two watches per domain.
func TestFollowersGetChange(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	n := newNetwork()
	var all []*ggsconfig.Follower
	for _, d := range []ggscore.Domain{"a", "b", "c"} {
		for _, i := range []string{"1", "2", "3"} {
			all = append(all, n.start(c, s, ggscore.VMID(string(d)+i), d))
		}
	}
	for _, f := range all {
		await(c, f, 2)
	}
	apply(c, s, edit("market/cr", marketText("v2", "asistente"), 2, "a"))
	watching := 0
	for _, f := range all {
		await(c, f, 3)
		c.Assert(f.Current().Markets["cr"].Adapters["deposits"].Current, qt.Equals, ggscore.Version("v2"))
		if f.State().Watching {
			watching++
		}
	}
	c.Assert(watching <= 6, qt.IsTrue)
}

// Guards against a return to a lower revision after the platform is restored from an old copy.
// Processes must follow again once the platform's head has a higher revision than theirs.
func TestFollowerRefusesLowerHead(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	old := s.snapshot()
	apply(c, s, edit("market/cr", marketText("v2", "asistente"), 2, "a"))
	f := newNetwork().start(c, s, "a1", "a")
	await(c, f, 3)
	s.restore(old)
	awaitRefused(c, f)
	c.Assert(f.Current().Revision, qt.Equals, ggscore.Revision(3))
	apply(c, s, edit("market/wa", marketText("w1", "asistente"), 0, "b"))
	apply(c, s, edit("market/wa", marketText("w2", "asistente"), 3, "d"))
	await(c, f, 4)
}

// Guards against the loss of changes that the restored copy of the platform lacks. Without repair,
// the next change gets a revision that all processes refuse, and a later change with a higher
// revision reverts the change that the copy lacks.
func TestFollowerRepairsRestoredPlatform(t *testing.T) {
	t.Parallel()
	for name, restored := range map[string]bool{"old copy": true, "empty": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := filledStore(c)
			old := s.snapshot()
			if !restored {
				old = map[ggscore.Key]ggscore.Entry{}
			}
			apply(c, s, edit("market/cr", marketText("v2", "asistente"), 2, "a"))
			n := newNetwork()
			n.repair = s
			f, g := n.start(c, s, "a1", "a"), n.start(c, s, "b1", "b")
			await(c, f, 3)
			await(c, g, 3)
			s.restore(old)
			awaitHead(c, s, 3)
			apply(c, s, edit("market/wa", marketText("w1", "asistente"), 3, "b"))
			for _, f := range []*ggsconfig.Follower{f, g} {
				await(c, f, 4)
				c.Assert(f.Current().Markets["cr"].Adapters["deposits"].Current, qt.Equals, ggscore.Version("v2"))
				c.Assert(f.Current().Markets["wa"].Adapters["deposits"].Current, qt.Equals, ggscore.Version("w1"))
			}
		})
	}
}

// Guards against a document that nobody can change, and that is lost with its last reader, once its head is spoiled.
func TestFollowerReplacesUnreadableHead(t *testing.T) {
	t.Parallel()
	packed := func(text string) []byte {
		var b bytes.Buffer
		w := gzip.NewWriter(&b)
		_, _ = w.Write([]byte(text))
		_ = w.Close()
		return b.Bytes()
	}
	for name, tc := range map[string]struct {
		value []byte
		kept  bool
	}{
		"no gzip":       {value: []byte("]")},
		"empty":         {value: []byte{}},
		"deeply nested": {value: packed(strings.Repeat("[", 20000))},
		"too large":     {value: packed(`{"revision":99999999999999999999}`)},
		"another type":  {value: packed(`{"revision":7,"sections":"none"}`)},
		"a newer form":  {value: packed(`{"revision":7,"somethingNew":1}`), kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			ctx := context.Background()
			s := filledStore(c)
			n := newNetwork()
			n.repair = s
			f := n.start(c, s, "a1", "a")
			await(c, f, 2)
			e, err := s.Get(ctx, ggsconfig.HeadKey)
			c.Assert(err, qt.IsNil)
			spoiled, err := s.Put(ctx, ggsconfig.HeadKey, tc.value, e.Revision, 0)
			c.Assert(err, qt.IsNil)
			if tc.kept {
				poll(c, "the head wasn't read", func() bool { return f.State().PlatformUnavailable })
				e, err = s.Get(ctx, ggsconfig.HeadKey)
				c.Assert(err, qt.IsNil)
				c.Assert(e.Revision, qt.Equals, spoiled)
				return
			}
			poll(c, "the head wasn't replaced", func() bool {
				e, err := s.Get(ctx, ggsconfig.HeadKey)
				c.Assert(err, qt.IsNil)
				return e.Revision > spoiled
			})
			awaitHead(c, s, 2)
			// All VMs that remember the document may be lost now.
			await(c, newNetwork().start(c, s, "b1", "b"), 2)
			apply(c, s, edit("market/cr", marketText("v2", "asistente"), 2, "a"))
		})
	}
}

// Guards against a repair that overwrites a change: after a restore from an older copy, the
// platform accepts a change before a follower with the newer document has read the restored head.
func TestFollowerDoesNotRepairForkedHead(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	old := s.snapshot()
	apply(c, s, edit("market/cr", marketText("v2", "asistente"), 2, "a"))
	apply(c, s, edit("market/cr", marketText("v3", "asistente"), 3, "b"))
	n := newNetwork()
	n.repair = s
	f := n.start(c, s, "a1", "a")
	await(c, f, 4)
	n.setPartitioned("a", true)
	s.restore(old)
	apply(c, s, edit("market/wa", marketText("w1", "asistente"), 0, "other"))
	n.setPartitioned("a", false)
	poll(c, "the lower head was not counted as unrepaired", func() bool { return f.State().Unrepaired > 0 })
	c.Assert(headOf(c, s).Sections["market/wa"].Change, qt.Equals, ggsdocument.ChangeID("other"))
	c.Assert(f.Current().Revision, qt.Equals, ggscore.Revision(4))
}

// Guards against a VM that starts while the platform is unavailable and doesn't adopt the highest
// revision of its peers.
func TestFollowerStartsWithPlatformUnavailable(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	n := newNetwork()
	first := n.start(c, s, "a1", "a")
	await(c, first, 2)
	s.setUnavailable(true)
	second := n.start(c, s, "b1", "b")
	await(c, second, 2)
	c.Assert(second.State().From, qt.Equals, "a1")
}

// Guards against a domain that loses its document while it is partitioned from the platform and the
// other domains, or that misses a change accepted meanwhile once the partition heals.
func TestFollowerPartitionHeals(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	n := newNetwork()
	a, b := n.start(c, s, "a1", "a"), n.start(c, s, "b1", "b")
	await(c, a, 2)
	await(c, b, 2)
	n.setPartitioned("b", true)
	apply(c, s, edit("market/cr", marketText("v2", "asistente"), 2, "x"))
	await(c, a, 3)
	c.Assert(b.Current().Revision, qt.Equals, ggscore.Revision(2))
	n.setPartitioned("b", false)
	await(c, b, 3)
}

// Guards against a domain that misses changes because it can't reach the platform. It must receive
// them from the other domains.
func TestFollowerThroughOtherDomain(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s, unreachable := filledStore(c), newFaultyStore()
	unreachable.setUnavailable(true)
	n := newNetwork()
	a := n.start(c, s, "a1", "a")
	b1, b2 := n.start(c, unreachable, "b1", "b"), n.start(c, unreachable, "b2", "b")
	for _, f := range []*ggsconfig.Follower{a, b1, b2} {
		await(c, f, 2)
	}
	apply(c, s, edit("market/cr", marketText("v2", "asistente"), 2, "x"))
	for _, f := range []*ggsconfig.Follower{a, b1, b2} {
		await(c, f, 3)
	}
}

// Guards against reads of large sections that time out and restart forever. This would happen if
// CallTimeout bounded them.
func TestFollowerReadsSectionBeyondCallTimeout(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	n := newNetwork()
	n.sectionDelay = 1500 * time.Millisecond
	await(c, n.start(c, filledStore(c), "a1", "a"), 2)
}

func TestPeers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	f := newNetwork().start(c, s, "a1", "a")
	await(c, f, 2)

	ctx, cancel := context.WithCancel(context.Background())
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	r := ggsrpc.NewServer()
	c.Assert(r.Register(ggsconfig.ServiceName, ggsconfig.NewService(f)), qt.IsNil)
	done := make(chan error, 1)
	go func() { done <- r.Serve(ctx, l) }()
	pool := ggsrpc.NewPool(ggsrpc.PoolOptions{})
	defer func() {
		c.Check(pool.Close(), qt.IsNil)
		cancel()
		c.Check(<-done, qt.IsNil)
	}()
	p, addr := ggsconfig.NewPeers(pool), netip.MustParseAddrPort(l.Addr().String())

	h, newer, err := p.Head(ctx, addr, ggsdocument.Head{})
	c.Assert(err, qt.IsNil)
	c.Assert(newer, qt.IsTrue)
	c.Assert(h.Equal(f.Head()), qt.IsTrue)

	// A caller whose head belongs to another history gets the whole head.
	fork, err := ggsdocument.Head{}.Accept(ggsdocument.Change{ID: "f", Section: "services"})
	c.Assert(err, qt.IsNil)
	h, newer, err = p.Head(ctx, addr, fork)
	c.Assert(err, qt.IsNil)
	c.Assert(newer, qt.IsTrue)
	c.Assert(h.Equal(f.Head()), qt.IsTrue)

	_, newer, err = p.Head(ctx, addr, f.Head())
	c.Assert(err, qt.IsNil)
	c.Assert(newer, qt.IsFalse)
	text, err := p.Section(ctx, addr, h.Sections["services"].Digest)
	c.Assert(err, qt.IsNil)
	c.Assert(string(text), qt.Equals, servicesText)
	_, err = p.Section(ctx, addr, ggscore.Digest{})
	var missing *ggsconfig.MissingSectionError
	c.Assert(errors.As(err, &missing), qt.IsTrue)
}
