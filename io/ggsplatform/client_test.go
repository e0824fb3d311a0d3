package ggsplatform_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakebench"
	"greengageslip/fakes/ggsfakelink"
	"greengageslip/fakes/ggsfakeplatform"
	"greengageslip/io/ggsplatform"
)

// A bench is a fake platform and a client of it.
type bench struct {
	clock    *ggsfakebench.Clock
	platform *ggsfakeplatform.Platform
	server   *httptest.Server
	client   *ggsplatform.Client
}

func newBench(c *qt.C, configure func(*ggsfakeplatform.Options)) *bench {
	k := ggsfakebench.NewClock()
	o := ggsfakeplatform.DefaultOptions()
	o.Now = k.Now
	if configure != nil {
		configure(&o)
	}
	p := ggsfakeplatform.New(o)
	s := ggsfakebench.Serve(c, p.Handler())
	cl := ggsplatform.NewClient(ggsfakebench.AddrOf(c, s))
	c.Cleanup(cl.Close)
	return &bench{clock: k, platform: p, server: s, client: cl}
}

func TestCompareAndSwap(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBench(c, nil)
	ctx := ggsfakebench.Context(c)

	missing, err := b.client.Get(ctx, "a/1")
	c.Assert(err, qt.IsNil)
	c.Assert(missing, qt.DeepEquals, ggscore.Entry{Key: "a/1"})

	r1, err := b.client.Put(ctx, "a/1", []byte("one"), 0, 0)
	c.Assert(err, qt.IsNil)
	_, err = b.client.Put(ctx, "a/1", []byte("two"), 0, 0)
	var conflict *ggscore.ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Assert(*conflict, qt.Equals, ggscore.ConflictError{Key: "a/1", Want: 0, Have: r1})

	r2, err := b.client.Put(ctx, "a/1", []byte("two"), r1, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(r2 > r1, qt.IsTrue)
	_, err = b.client.Put(ctx, "b", nil, 0, 0)
	c.Assert(err, qt.IsNil)

	es, err := b.client.List(ctx, "a/")
	c.Assert(err, qt.IsNil)
	c.Assert(es, qt.DeepEquals, []ggscore.Entry{{Key: "a/1", Value: []byte("two"), Revision: r2}})

	c.Assert(b.client.Delete(ctx, "a/1", r1), qt.ErrorAs, &conflict)
	c.Assert(b.client.Delete(ctx, "a/1", r2), qt.IsNil)
	es, err = b.client.List(ctx, "a/")
	c.Assert(err, qt.IsNil)
	c.Assert(es, qt.HasLen, 0)
}

func TestLeaseExpires(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBench(c, nil)
	ctx := ggsfakebench.Context(c)

	l, err := b.client.Grant(ctx, 3*time.Second)
	c.Assert(err, qt.IsNil)
	_, err = b.client.Put(ctx, "owner/r1", []byte("vm-1"), 0, l)
	c.Assert(err, qt.IsNil)
	b.clock.Advance(2 * time.Second)
	c.Assert(b.client.Renew(ctx, l), qt.IsNil)
	b.clock.Advance(2 * time.Second)
	e, err := b.client.Get(ctx, "owner/r1")
	c.Assert(err, qt.IsNil)
	c.Assert(e.Lease, qt.Equals, l)

	b.clock.Advance(time.Second)
	e, err = b.client.Get(ctx, "owner/r1")
	c.Assert(err, qt.IsNil)
	c.Assert(e.Revision, qt.Equals, ggscore.StoreRevision(0))
	var expired *ggscore.LeaseExpiredError
	c.Assert(b.client.Renew(ctx, l), qt.ErrorAs, &expired)
	c.Assert(expired.Lease, qt.Equals, l)
	_, err = b.client.Put(ctx, "owner/r2", nil, 0, l)
	c.Assert(err, qt.ErrorAs, &expired)
}

func TestRevokeDeletesKeys(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBench(c, nil)
	ctx := ggsfakebench.Context(c)

	l, err := b.client.Grant(ctx, time.Minute)
	c.Assert(err, qt.IsNil)
	r, err := b.client.Put(ctx, "k", []byte("v"), 0, l)
	c.Assert(err, qt.IsNil)
	c.Assert(b.client.Revoke(ctx, l), qt.IsNil)
	es, upTo, err := b.client.Watch(ctx, "k", r, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(es, qt.DeepEquals, []ggscore.Entry{{Key: "k", Revision: r + 1}})
	c.Assert(upTo, qt.Equals, r+1)
}

func TestWatchWaitsForChange(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBench(c, nil)
	ctx := ggsfakebench.Context(c)

	r1, err := b.client.Put(ctx, "w/1", []byte("x"), 0, 0)
	c.Assert(err, qt.IsNil)
	type answer struct {
		entries []ggscore.Entry
		upTo    ggscore.StoreRevision
		err     error
	}
	got := make(chan answer, 1)
	go func() {
		es, upTo, err := b.client.Watch(ctx, "w/", r1, 10*time.Second)
		got <- answer{es, upTo, err}
	}()
	_, err = b.client.Put(ctx, "other", nil, 0, 0)
	c.Assert(err, qt.IsNil)
	r3, err := b.client.Put(ctx, "w/2", []byte("y"), 0, 0)
	c.Assert(err, qt.IsNil)
	a := <-got
	c.Assert(a.err, qt.IsNil)
	c.Assert(a.entries, qt.DeepEquals, []ggscore.Entry{{Key: "w/2", Value: []byte("y"), Revision: r3}})
	c.Assert(a.upTo, qt.Equals, r3)

	es, upTo, err := b.client.Watch(ctx, "w/", r3, time.Millisecond)
	c.Assert(err, qt.IsNil)
	c.Assert(es, qt.HasLen, 0)
	c.Assert(upTo, qt.Equals, r3)
}

// Guards against a write that is reported as failed although it took effect, because its answer is
// lost with the connection. An operator would repeat it over another operator's later change.
func TestLostAnswerIsAmbiguous(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBench(c, nil)
	ctx := ggsfakebench.Context(c)

	b.platform.SetFaults(ggsfakeplatform.Faults{LoseWriteAnswers: 1, LosePrefix: "section/"})
	_, err := b.client.Put(ctx, "other", nil, 0, 0)
	c.Assert(err, qt.IsNil)
	_, err = b.client.Put(ctx, "section/a", []byte("new"), 0, 0)
	var ambiguous *ggscore.AmbiguousWriteError
	c.Assert(err, qt.ErrorAs, &ambiguous)
	c.Assert(ambiguous.Key, qt.Equals, ggscore.Key("section/a"))
	e, err := b.client.Get(ctx, "section/a")
	c.Assert(err, qt.IsNil)
	c.Assert(string(e.Value), qt.Equals, "new")
}

// Guards against callers that rely on a read after a write whose answer was lost. The read shows no
// effect, the write takes effect later, and the caller would claim a key twice.
func TestDelayedWriteTakesEffectLate(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBench(c, nil)
	ctx := ggsfakebench.Context(c)

	b.platform.SetFaults(ggsfakeplatform.Faults{DelayWrites: 1, Delay: 2 * time.Second})
	_, err := b.client.Put(ctx, "k", []byte("late"), 0, 0)
	var ambiguous *ggscore.AmbiguousWriteError
	c.Assert(err, qt.ErrorAs, &ambiguous)
	e, err := b.client.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(e.Revision, qt.Equals, ggscore.StoreRevision(0))
	b.clock.Advance(2 * time.Second)
	e, err = b.client.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(string(e.Value), qt.Equals, "late")
}

// Guards against ambiguous errors while the platform is down. Each call must fail at once and without
// effect, so that a claim can be refused as not run.
func TestUnavailableIsDefinite(t *testing.T) {
	t.Parallel()
	for name, stop := range map[string]func(*bench){
		"answers 503":         func(b *bench) { b.platform.SetFaults(ggsfakeplatform.Faults{Outage: true}) },
		"refuses connections": func(b *bench) { b.server.CloseClientConnections(); b.server.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			b := newBench(c, nil)
			ctx := ggsfakebench.Context(c)
			stop(b)
			var unavailable *ggscore.StoreUnavailableError
			_, err := b.client.Put(ctx, "k", nil, 0, 0)
			c.Assert(err, qt.ErrorAs, &unavailable)
			_, err = b.client.Get(ctx, "k")
			c.Assert(err, qt.ErrorAs, &unavailable)
			_, _, err = b.client.Watch(ctx, "k", 0, time.Second)
			c.Assert(err, qt.ErrorAs, &unavailable)
		})
	}
}

// Guards against a definite error for a write that the platform accepts but doesn't answer before
// the caller cancels. The write may still take effect.
func TestUnansweredWriteIsAmbiguous(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBench(c, nil)
	b.platform.SetFaults(ggsfakeplatform.Faults{Hang: true})
	ctx, cancel := context.WithCancel(ggsfakebench.Context(c))
	ended := make(chan error, 2)
	go func() {
		_, err := b.client.Put(ctx, "k", nil, 0, 0)
		ended <- err
		_, err = b.client.Get(ctx, "k")
		ended <- err
	}()
	for b.platform.Calls().Writes == 0 {
		c.Assert(ctx.Err(), qt.IsNil)
	}
	cancel()
	err := <-ended
	var ambiguous *ggscore.AmbiguousWriteError
	c.Assert(err, qt.ErrorAs, &ambiguous)
	c.Assert(err, qt.ErrorIs, context.Canceled)
	var unavailable *ggscore.StoreUnavailableError
	c.Assert(<-ended, qt.ErrorAs, &unavailable)
}

func TestRateLimit(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBench(c, func(o *ggsfakeplatform.Options) { o.WritesPerSecond = 4 })
	ctx := ggsfakebench.Context(c)
	_, err := b.client.Put(ctx, "a", nil, 0, 0)
	c.Assert(err, qt.IsNil)
	_, err = b.client.Put(ctx, "b", nil, 0, 0)
	var busy *ggscore.StoreBusyError
	c.Assert(err, qt.ErrorAs, &busy)
	b.clock.Advance(250 * time.Millisecond)
	_, err = b.client.Put(ctx, "b", nil, 0, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(b.platform.Calls().Refused, qt.Equals, uint64(1))
}

func TestValueTooLarge(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBench(c, nil)
	ctx := ggsfakebench.Context(c)
	_, err := b.client.Put(ctx, "k", make([]byte, 1<<20), 0, 0)
	c.Assert(err, qt.IsNil)
	_, err = b.client.Put(ctx, "l", make([]byte, 1<<20+1), 0, 0)
	var refused *ggsplatform.RefusedError
	c.Assert(err, qt.ErrorAs, &refused)
	c.Assert(refused.Status, qt.Equals, http.StatusRequestEntityTooLarge)
}

func TestListOfVMsIsDelayed(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBench(c, func(o *ggsfakeplatform.Options) { o.VMLag = 5 * time.Second })
	ctx := ggsfakebench.Context(c)
	v := ggscore.VM{
		ID: "r1", Role: ggscore.RoleEndpoint, State: ggscore.VMLeaving, Region: "perth", Domain: "perth-a",
		Addr: netip.MustParseAddrPort("127.0.0.1:9001"), Service: "assist-llm",
	}
	b.platform.SetVMs([]ggscore.VM{v})
	vs, err := b.client.ListVMs(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(vs, qt.HasLen, 0)
	b.clock.Advance(5 * time.Second)
	vs, err = b.client.ListVMs(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(vs, qt.HasLen, 1)
	c.Assert(vs[0], qt.Equals, v)
}

// Guards against a list of VMs that nobody follows any more because of one entry.
func TestOddEntriesOfTheListOfVMsAreSkipped(t *testing.T) {
	t.Parallel()
	const entry = `{"id":"r2","role":"endpoint","state":"live","region":"perth","domain":"perth-a","addr":"127.0.0.1:9002","service":"s"}`
	v := ggscore.VM{
		ID: "r1", Role: ggscore.RoleEndpoint, State: ggscore.VMLive, Region: "perth", Domain: "perth-a",
		Addr: netip.MustParseAddrPort("127.0.0.1:9001"), Service: "s",
	}
	for name, odd := range map[string]string{
		"a number":       "7",
		"null":           "null",
		"a list":         "[]",
		"nested":         `{"id":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + "}",
		"number too big": strings.Replace(entry, `"r2"`, "1e999", 1),
		"unknown role":   strings.Replace(entry, `"endpoint"`, `"cook"`, 1),
		"unknown state":  strings.Replace(entry, `"live"`, `"asleep"`, 1),
		"port 70000":     strings.Replace(entry, ":9002", ":70000", 1),
		"port 0":         strings.Replace(entry, ":9002", ":0", 1),
		"no address":     strings.Replace(entry, "127.0.0.1:9002", "", 1),
		"any address":    strings.Replace(entry, "127.0.0.1", "0.0.0.0", 1),
		"no domain":      strings.Replace(entry, `"domain":"perth-a",`, "", 1),
		"long ID":        strings.Replace(entry, "r2", strings.Repeat("r", 129), 1),
		"ID has lines":   strings.Replace(entry, "r2", `r\r\n2`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			b := newBench(c, nil)
			b.platform.SetVMs([]ggscore.VM{v})
			b.platform.SetOddVMs(odd)
			vs, err := b.client.ListVMs(ggsfakebench.Context(c))
			var partial *ggscore.PartialListError
			c.Assert(err, qt.ErrorAs, &partial)
			c.Assert(partial.Skipped, qt.HasLen, 1)
			c.Assert(len(err.Error()) < 1000, qt.IsTrue)
			c.Assert(vs, qt.HasLen, 1)
			c.Assert(vs[0], qt.Equals, v)
		})
	}
}

// Guards against calls that time out and are repeated forever because CallTimeout bounds a whole
// answer. An answer may take longer than CallTimeout on a slow link.
func TestLongAnswerOnSlowLink(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBench(c, nil)
	ctx, cancel := context.WithCancel(ggsfakebench.Context(c))
	value := bytes.Repeat([]byte("x"), 300_000)
	_, err := b.client.Put(ctx, "a", value, 0, 0)
	c.Assert(err, qt.IsNil)

	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	k := ggsfakelink.New(ggsfakebench.AddrOf(c, b.server))
	k.SetFaults(ggsfakelink.Faults{BytesPerSecond: 500_000})
	done := make(chan error, 1)
	go func() { done <- k.Serve(ctx, l) }()
	s := ggsplatform.DefaultSettings()
	s.CallTimeout = 300 * time.Millisecond
	slow := ggsplatform.NewClientWithSettings(netip.MustParseAddrPort(l.Addr().String()), s)

	e, err := slow.Get(ctx, "a")
	c.Assert(err, qt.IsNil)
	c.Assert(e.Value, qt.HasLen, len(value))
	slow.Close()
	cancel()
	c.Assert(<-done, qt.IsNil)
}
