package ggsshares

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"go.uber.org/goleak"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsshare"
	"greengageslip/fakes/ggsfakeplatform"
	"greengageslip/io/ggsplatform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	drivers = 3
	ttl     = 8 * time.Second
	margin  = 2 * time.Second
	stepBy  = 100 * time.Millisecond
	static  = 2
	all     = 24
)

var limit = ggscore.LoadShare{LoadsPerSecond: 4, InTransit: all} //nolint:gochecknoglobals // a constant of the tests

// bench is a platform and three drivers on a clock of the test, which drives
// them step by step.
type bench struct {
	c        *qt.C
	ctx      context.Context //nolint:containedctx // The test's own.
	platform *ggsfakeplatform.Platform
	store    *ggsplatform.Client
	now      atomic.Int64
	shares   []*Shares
	leases   []ggscore.LeaseID
	renewed  []time.Time
	frozen   map[int]bool
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{
		c: qt.New(t), frozen: map[int]bool{},
		leases: make([]ggscore.LeaseID, drivers), renewed: make([]time.Time, drivers),
	}
	b.now.Store(time.Unix(1_800_000_000, 0).UnixNano())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	b.c.Cleanup(cancel)
	b.ctx = ctx
	o := ggsfakeplatform.DefaultOptions()
	o.Now = b.clock
	o.WritesPerSecond, o.ReadsPerSecond = 0, 0
	b.platform = ggsfakeplatform.New(o)
	s := httptest.NewServer(b.platform.Handler())
	b.c.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	a, err := netip.ParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	b.c.Assert(err, qt.IsNil)
	b.store = ggsplatform.NewClient(a)
	b.c.Cleanup(b.store.Close)
	for i := range drivers {
		p := DefaultOptions(ggscore.VMID(fmt.Sprintf("vm-%d", i)))
		p.Seed = uint64(i + 1)
		d := New(b.store, b.clock, p, log.NewNopLogger())
		d.SetPlan(i, ggsshare.NewPlan(limit, drivers))
		d.SetOwner(true)
		b.shares = append(b.shares, d)
	}
	return b
}

func (b *bench) clock() time.Time { return time.Unix(0, b.now.Load()) }

// renew keeps a driver's lease, as ggsowners does.
func (b *bench) renew(i int) {
	sent := b.clock()
	if sent.Sub(b.renewed[i]) < ttl/3 {
		return
	}
	var err error
	if b.leases[i] == 0 {
		b.leases[i], err = b.store.Grant(b.ctx, ttl)
	} else if err = b.store.Renew(b.ctx, b.leases[i]); err != nil && !b.away() {
		b.leases[i] = 0
	}
	if err == nil {
		b.renewed[i] = sent
		b.shares[i].SetLease(b.leases[i], sent.Add(ttl-margin))
	}
}

func (b *bench) away() bool {
	_, err := b.store.Get(b.ctx, "any")
	return err != nil
}

// pass lets time go by and checks in each step that the shares, as each driver
// sees its own, don't pass the limit.
func (b *bench) pass(d time.Duration) {
	b.c.Helper()
	for end := b.clock().Add(d); b.clock().Before(end); b.now.Add(int64(stepBy)) {
		for i, s := range b.shares {
			if !b.frozen[i] {
				b.renew(i)
				s.round(b.ctx)
			}
		}
		sum := 0
		for _, s := range b.shares {
			sum += s.Share(b.clock()).InTransit
		}
		b.c.Assert(sum <= all, qt.IsTrue, qt.Commentf("shares sum up to %d", sum))
	}
}

func (b *bench) share(i int) int { return b.shares[i].Share(b.clock()).InTransit }

func (b *bench) records() []ggscore.Entry {
	es, err := b.store.List(b.ctx, prefix)
	b.c.Assert(err, qt.IsNil)
	return es
}

func TestBusyBorrowsAndGivesBack(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	told := atomic.Int32{}
	b.shares[0].Subscribe(func() { told.Add(1) })
	b.pass(time.Second)
	b.c.Assert(b.share(0), qt.Equals, static)
	b.shares[0].SetDemand(100)
	b.pass(2 * time.Second)
	b.c.Assert(b.share(0), qt.Equals, all-(drivers-1)*static)
	b.c.Assert(b.share(1), qt.Equals, static)
	b.c.Assert(told.Load() > 0, qt.IsTrue)
	b.shares[0].SetDemand(0)
	b.pass(4 * time.Second)
	b.c.Assert(b.share(0), qt.Equals, static)
	b.c.Assert(b.records(), qt.HasLen, 0)
}

// Everyone's loads slow down: a dispatcher froze while it had borrowed all,
// others borrowed after its lease, and it woke in the belief that it still had
// them.
func TestFrozenBorrowerLosesItsUnits(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	b.shares[0].SetDemand(100)
	b.pass(2 * time.Second)
	b.frozen[0] = true
	b.shares[1].SetDemand(100)
	b.pass(2 * ttl)
	b.c.Assert(b.share(0), qt.Equals, static)
	b.c.Assert(b.share(1), qt.Equals, all-(drivers-1)*static)
	b.frozen[0] = false
	b.shares[1].SetDemand(0)
	b.pass(3 * ttl)
	b.c.Assert(b.share(0), qt.Equals, all-(drivers-1)*static)
}

// Loads pass the weight store's limits after answers of the platform got lost:
// a unit was written, or deleted, and its borrower didn't hear of it.
func TestLostAnswersAndOutages(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]ggsfakeplatform.Faults{
		"answers lost":  {LoseWriteAnswers: 30, LosePrefix: string(prefix)},
		"writes late":   {DelayWrites: 30, Delay: 3 * time.Second, LosePrefix: string(prefix)},
		"outage":        {Outage: true},
		"no fault here": {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			for i := range drivers {
				b.shares[i].SetDemand(100)
				b.pass(2 * time.Second)
			}
			b.platform.SetFaults(f)
			for i := range 2 * drivers {
				b.shares[i%drivers].SetDemand(100 * (i / drivers))
				b.pass(3 * time.Second)
			}
			b.pass(ttl)
			if f.Outage {
				for i := range drivers {
					b.c.Assert(b.share(i), qt.Equals, static)
				}
			}
			b.platform.SetFaults(ggsfakeplatform.Faults{})
			for i := range drivers {
				b.shares[i].SetDemand(0)
			}
			b.pass(3 * ttl)
			b.c.Assert(b.records(), qt.HasLen, 0)
		})
	}
}

// All domains wait for loads on a quarter of the limits: a borrower gave its
// units back while the platform refused calls for a moment, and renewed the
// lease that kept their records ever after.
func TestRefusedDeleteIsRepeated(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	b.shares[0].SetDemand(10)
	b.pass(2 * time.Second)
	b.c.Assert(b.records(), qt.HasLen, 10-static)
	b.shares[0].SetDemand(0)
	b.pass(time.Second)
	b.platform.SetFaults(ggsfakeplatform.Faults{Outage: true})
	b.pass(1500 * time.Millisecond)
	b.platform.SetFaults(ggsfakeplatform.Faults{})
	b.c.Assert(b.records(), qt.HasLen, 10-static)
	b.pass(ttl)
	b.c.Assert(b.leases[0] != 0, qt.IsTrue)
	b.c.Assert(b.records(), qt.HasLen, 0)
}

// A domain stands still with a lease and work for it: the loop that borrows
// doesn't wake, or doesn't end with its process.
func TestRunBorrowsUntilItsContextEnds(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	b.renew(0)
	ctx, cancel := context.WithCancel(b.ctx)
	ended := make(chan error, 1)
	borrowed := make(chan struct{}, 1)
	s := b.shares[0]
	s.Subscribe(func() {
		if s.Share(b.clock()).InTransit == all-(drivers-1)*static {
			borrowed <- struct{}{}
		}
	})
	go func() { ended <- s.Run(ctx) }()
	s.SetDemand(100)
	<-borrowed
	cancel()
	b.c.Assert(<-ended, qt.IsNil)
}
