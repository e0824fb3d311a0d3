package ggsowners

import (
	"context"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"go.uber.org/goleak"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsowner"
	"greengageslip/fakes/ggsfakebench"
	"greengageslip/fakes/ggsfakeplatform"
	"greengageslip/io/ggsplatform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	runner       = ggscore.EndpointID("runner-1")
	incarnationA = "01900000-0000-7000-8000-000000000001"
	incarnationB = "01900000-0000-7000-8000-000000000002"
	incarnationC = "01900000-0000-7000-8000-000000000003"
)

func adapter(name string) ggscore.AdapterRef { return ggscore.AdapterRef{Name: name, Version: "v1"} }

// A bench is a fake platform service with a clock that the test advances.
type bench struct {
	c        *qt.C
	ctx      context.Context //nolint:containedctx // The test's own.
	clock    *ggsfakebench.Clock
	platform *ggsfakeplatform.Platform
	addr     netip.AddrPort
	busy     atomic.Bool
	all      []ggsowner.Holder
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{c: qt.New(t), ctx: ggsfakebench.Context(t), clock: ggsfakebench.NewClock()}
	b.platform = ggsfakebench.NewPlatform(b.clock.Now)
	b.addr = ggsfakebench.AddrOf(t, ggsfakebench.Serve(t, b.platform.Handler()))
	return b
}

// dispatcher returns a dispatcher's Owners with a lease. The test calls its steps.
func (b *bench) dispatcher(vm ggscore.VMID, incarnation string) *Owners {
	client := ggsplatform.NewClient(b.addr)
	b.c.Cleanup(client.Close)
	opts := DefaultOptions("cr-central-a")
	opts.Busy = func([]ggscore.EndpointID) bool { return b.busy.Load() }
	h := ggsowner.Holder{VM: vm, Incarnation: incarnation}
	o := New(client, b.clock.Now, h, opts, log.NewNopLogger())
	o.SetEndpoints([]ggscore.EndpointID{runner})
	b.all = append(b.all, h)
	o.SetCandidates(b.all)
	b.c.Assert(o.Renew(b.ctx), qt.IsNil)
	return o
}

func (b *bench) check(o *Owners, name string, k ggscore.OrderKind) error {
	_, err := o.Check(b.clock.Now(), runner, adapter(name), k)
	return err
}

// owner returns a dispatcher that owns the runner and uses an adapter on it.
func (b *bench) owner() *Owners {
	o := b.dispatcher("vm-a", incarnationA)
	o.Poll(b.ctx)
	b.c.Assert(b.check(o, "deposits", ggscore.OrderLoad), qt.IsNil)
	o.serveAll(b.ctx)
	b.c.Assert(b.check(o, "deposits", ggscore.OrderDispatch), qt.IsNil)
	return o
}

// Guards against an outage of a domain whose dispatcher can't reach the platform. Until
// another dispatcher takes over, the owner must serve the adapters that the record protects
// and send no other orders.
func TestPartitionedOwnerServesProtectedAdapters(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	o := b.owner()
	b.platform.SetFaults(ggsfakeplatform.Faults{Outage: true})
	b.clock.Advance(time.Hour)
	b.c.Assert(o.Renew(b.ctx), qt.IsNotNil)
	o.Poll(b.ctx)
	b.c.Assert(o.Mode(b.clock.Now(), runner), qt.Equals, ggscore.ModeResidentOnly)
	b.c.Assert(b.check(o, "deposits", ggscore.OrderDispatch), qt.IsNil)
	b.c.Assert(b.check(o, "deposits", ggscore.OrderUnload), qt.ErrorMatches, "not the owner.*")
	b.c.Assert(b.check(o, "rules", ggscore.OrderLoad), qt.ErrorMatches, "not the owner.*")
	b.platform.SetFaults(ggsfakeplatform.Faults{})
	b.c.Assert(o.Renew(b.ctx), qt.IsNotNil)
	b.c.Assert(o.Renew(b.ctx), qt.IsNil)
	o.Poll(b.ctx)
	b.c.Assert(o.Mode(b.clock.Now(), runner), qt.Equals, ggscore.ModeFull)
}

// Guards against an owner that evicts adapters which a paused earlier owner still uses, or
// the reverse. The lease expires before the takeover, the next owner pins the adapters, and
// the pins are removed once the earlier owner has certainly stopped.
func TestTakeoverAfterLeaseExpiry(t *testing.T) {
	t.Parallel()
	for name, stop := range map[string]func(*bench, *Owners, *Owners){
		"earlier owner resumed and is idle": func(b *bench, old, _ *Owners) {
			b.busy.Store(true)
			old.Poll(b.ctx)
			b.c.Assert(b.check(old, "deposits", ggscore.OrderDispatch), qt.ErrorMatches, "not the owner.*")
			b.busy.Store(false)
			old.Poll(b.ctx)
		},
		"earlier owner was restarted": func(b *bench, _, next *Owners) {
			next.SetCandidates([]ggsowner.Holder{{VM: "vm-a", Incarnation: incarnationC}, next.self})
		},
		"VM of the earlier owner is gone": func(b *bench, _, next *Owners) {
			next.SetVMs(b.clock.Now(), []ggscore.VM{{ID: "vm-a"}, {ID: "vm-b"}})
			next.SetVMs(b.clock.Now(), []ggscore.VM{{ID: "vm-b"}})
			next.Poll(b.ctx)
			b.c.Assert(next.Pins(runner), qt.HasLen, 1)
			b.clock.Advance(2 * time.Minute)
			b.c.Assert(next.Renew(b.ctx), qt.IsNotNil)
			b.c.Assert(next.Renew(b.ctx), qt.IsNil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			old := b.owner()
			next := b.dispatcher("vm-b", incarnationB)
			next.Poll(b.ctx)
			b.c.Assert(next.Mode(b.clock.Now(), runner), qt.Equals, ggscore.ModeNone)
			b.clock.Advance(8 * time.Second)
			b.c.Assert(b.check(old, "deposits", ggscore.OrderUnload), qt.ErrorMatches, "not the owner.*")
			b.c.Assert(next.Renew(b.ctx), qt.IsNil)
			next.Poll(b.ctx)
			b.c.Assert(next.Mode(b.clock.Now(), runner), qt.Equals, ggscore.ModeNone)
			b.clock.Advance(2 * time.Second)
			next.Poll(b.ctx)
			b.c.Assert(next.Mode(b.clock.Now(), runner), qt.Equals, ggscore.ModeFull)
			b.c.Assert(next.Pins(runner), qt.DeepEquals, []ggscore.AdapterRef{adapter("deposits")})
			b.c.Assert(b.check(next, "deposits", ggscore.OrderUnload), qt.ErrorMatches, ".*pinned by vm-a")
			stop(b, old, next)
			next.Poll(b.ctx)
			b.c.Assert(next.Pins(runner), qt.HasLen, 0)
			b.c.Assert(b.check(next, "deposits", ggscore.OrderUnload), qt.IsNil)
		})
	}
}

// Guards against a planned stop that delays requests for seconds. A released group must be
// taken over at once, with the adapters of runs in progress pinned.
func TestPlannedStopHandsOverAtOnce(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	old := b.owner()
	next := b.dispatcher("vm-b", incarnationB)
	b.busy.Store(true)
	ctx, cancel := context.WithCancel(b.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = old.Run(ctx)
	}()
	b.c.Assert(old.Release(b.ctx), qt.IsNil)
	next.Poll(b.ctx)
	b.c.Assert(next.Mode(b.clock.Now(), runner), qt.Equals, ggscore.ModeFull)
	b.c.Assert(next.Pins(runner), qt.HasLen, 1)
	b.busy.Store(false)
	b.c.Assert(old.Leave(b.ctx), qt.IsNil)
	cancel()
	<-done
	next.Poll(b.ctx)
	b.c.Assert(next.Pins(runner), qt.HasLen, 0)
}

// Guards against a planned stop of a domain's last dispatcher that waits for a takeover
// forever.
func TestLastDispatcherLeaves(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	o := b.owner()
	ctx, cancel := context.WithCancel(b.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = o.Run(ctx)
	}()
	b.c.Assert(o.Release(b.ctx), qt.IsNil)
	b.c.Assert(o.Leave(b.ctx), qt.IsNil)
	cancel()
	<-done
	next := b.dispatcher("vm-b", incarnationB)
	next.Poll(b.ctx)
	b.c.Assert(next.Mode(b.clock.Now(), runner), qt.Equals, ggscore.ModeFull)
	b.c.Assert(next.Pins(runner), qt.HasLen, 0)
}

// Guards against an owner that relies on a protection that may not be recorded, or that loses the
// runner, because the answers to its writes are lost.
func TestLostAnswersAreReadBack(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	o := b.dispatcher("vm-a", incarnationA)
	b.platform.SetFaults(ggsfakeplatform.Faults{LoseWriteAnswers: 1, LosePrefix: "owners/"})
	o.Poll(b.ctx)
	b.c.Assert(o.Mode(b.clock.Now(), runner), qt.Equals, ggscore.ModeNone)
	o.Poll(b.ctx)
	b.c.Assert(o.Mode(b.clock.Now(), runner), qt.Equals, ggscore.ModeFull)
	b.platform.SetFaults(ggsfakeplatform.Faults{LoseWriteAnswers: 1, LosePrefix: "owners/"})
	o.Observe(ggscore.RunnerReport{Endpoint: runner, Resident: []ggscore.ResidentAdapter{{Ref: adapter("rules")}}})
	o.serveAll(b.ctx)
	b.c.Assert(b.check(o, "rules", ggscore.OrderDispatch), qt.ErrorMatches, ".*not protected.*")
	o.serveAll(b.ctx)
	b.c.Assert(b.check(o, "rules", ggscore.OrderDispatch), qt.IsNil)
}

// Guards against a group that nobody owns, or that two own, after its record was damaged.
func TestUnreadableRecordIsReplaced(t *testing.T) {
	t.Parallel()
	for name, bad := range map[string]string{
		"no text of ours": "\x00\xff", "odd adapter": `{"protected":{"r":["@"]}}`, "lease out of range": `{"lease":1e99}`,
		"deep": strings.Repeat("[", 20_000),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			old, next := b.owner(), b.dispatcher("vm-b", incarnationB)
			fence, err := old.Check(b.clock.Now(), runner, adapter("deposits"), ggscore.OrderDispatch)
			b.c.Assert(err, qt.IsNil)
			b.spoil(old, bad)
			b.pass(old.opts.UnreadableTimeout, old, next)
			b.c.Assert(old.Mode(b.clock.Now(), runner), qt.Equals, ggscore.ModeFull)
			b.c.Assert(next.Mode(b.clock.Now(), runner), qt.Equals, ggscore.ModeNone)
			b.c.Assert(b.check(old, "rules", ggscore.OrderLoad), qt.IsNil)
			old.serveAll(b.ctx)
			b.c.Assert(b.check(old, "rules", ggscore.OrderDispatch), qt.IsNil)

			b.spoil(old, bad)
			b.pass(old.opts.UnreadableTimeout/2, next)
			b.c.Assert(next.Mode(b.clock.Now(), runner), qt.Equals, ggscore.ModeNone)
			restarted := b.dispatcher("vm-b", incarnationC)
			restarted.SetCandidates([]ggsowner.Holder{restarted.self})
			b.pass(old.opts.UnreadableTimeout, restarted)
			b.c.Assert(restarted.Mode(b.clock.Now(), runner), qt.Equals, ggscore.ModeNone)
			b.pass(old.opts.PollInterval, restarted)
			later, err := restarted.Check(b.clock.Now(), runner, adapter("rules"), ggscore.OrderLoad)
			b.c.Assert(err, qt.IsNil)
			b.c.Assert(later > fence, qt.IsTrue)
		})
	}
}

// spoil replaces the record of the group as another writer may.
func (b *bench) spoil(o *Owners, value string) {
	e, err := o.store.Get(b.ctx, o.groups[0].key)
	b.c.Assert(err, qt.IsNil)
	_, err = o.store.Put(b.ctx, e.Key, []byte(value), e.Revision, 0)
	b.c.Assert(err, qt.IsNil)
}

// pass renews and polls in steps of PollInterval until d has passed.
func (b *bench) pass(d time.Duration, os ...*Owners) {
	for ; d > 0; d -= os[0].opts.PollInterval {
		b.clock.Advance(os[0].opts.PollInterval)
		for _, o := range os {
			b.c.Assert(o.Renew(b.ctx), qt.IsNil)
			o.Poll(b.ctx)
		}
	}
}

// Guards against a record that can't be decoded and is treated as empty, because its pins would be
// lost.
func TestBadRecordIsNotTakenOver(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	o := b.dispatcher("vm-a", incarnationA)
	_, err := o.store.Put(b.ctx, "owners/cr-central-a/0", []byte(`{"protected":{"r":["@"]}}`), 0, 0)
	b.c.Assert(err, qt.IsNil)
	o.Poll(b.ctx)
	b.c.Assert(o.Mode(b.clock.Now(), runner), qt.Equals, ggscore.ModeNone)
}
