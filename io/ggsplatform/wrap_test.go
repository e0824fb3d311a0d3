package ggsplatform_test

import (
	"context"
	"expvar"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakebench"
	"greengageslip/fakes/ggsfakeplatform"
	"greengageslip/io/ggsplatform"
)

func TestMeteredCounts(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBench(c, nil)
	ctx := ggsfakebench.Context(c)
	counts := new(expvar.Map).Init()
	s := ggsplatform.NewMetered(b.client, counts)

	l, err := s.Grant(ctx, time.Minute)
	c.Assert(err, qt.IsNil)
	r, err := s.Put(ctx, "k", nil, 0, l)
	c.Assert(err, qt.IsNil)
	_, err = s.Put(ctx, "k", nil, 0, l)
	c.Assert(err, qt.IsNotNil)
	c.Assert(s.Delete(ctx, "k", r), qt.IsNil)
	c.Assert(s.Renew(ctx, l), qt.IsNil)
	c.Assert(s.Revoke(ctx, l), qt.IsNil)
	_, err = s.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	_, err = s.List(ctx, "")
	c.Assert(err, qt.IsNil)
	_, _, err = s.Watch(ctx, "k", 0, 0)
	c.Assert(err, qt.IsNil)
	_, err = ggsplatform.NewMeteredLister(b.client, counts).ListVMs(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(counts.String(), qt.Equals, `{"errors": 1, "reads": 3, "watches": 1, "writes": 6}`)
}

// Guards against a process that uses up the platform's rate limit, because it reads many sections
// when it starts. Calls beyond its share must wait, and calls that can't proceed before their
// deadline must fail without being sent.
func TestLimitedFailsWithoutSending(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBench(c, nil)
	s := ggsplatform.NewLimited(b.client, 0.001, 0.001)
	ctx := ggsfakebench.Context(c)
	_, err := s.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	_, err = s.Put(ctx, "k", nil, 0, 0)
	c.Assert(err, qt.IsNil)

	var busy *ggscore.StoreBusyError
	_, err = s.Get(ctx, "k")
	c.Assert(err, qt.ErrorAs, &busy)
	_, err = s.List(ctx, "k")
	c.Assert(err, qt.ErrorAs, &busy)
	_, _, err = s.Watch(ctx, "k", 0, 0)
	c.Assert(err, qt.ErrorAs, &busy)
	_, err = s.Put(ctx, "k", nil, 0, 0)
	c.Assert(err, qt.ErrorAs, &busy)
	_, err = s.Grant(ctx, time.Second)
	c.Assert(err, qt.ErrorAs, &busy)
	c.Assert(s.Delete(ctx, "k", 1), qt.ErrorAs, &busy)
	c.Assert(s.Renew(ctx, 1), qt.ErrorAs, &busy)
	c.Assert(s.Revoke(ctx, 1), qt.ErrorAs, &busy)
	c.Assert(b.platform.Calls(), qt.Equals, ggsfakeplatform.Calls{Reads: 1, Writes: 1})

	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	_, err = s.Get(cancelled, "k")
	c.Assert(err, qt.ErrorIs, context.Canceled)
}

func TestReadOnlyRefusesWrites(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBench(c, nil)
	ctx := ggsfakebench.Context(c)
	s := ggsplatform.NewReadOnly(b.client)
	_, err := s.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	var refused *ggsplatform.ReadOnlyError
	_, err = s.Put(ctx, "k", nil, 0, 0)
	c.Assert(err, qt.ErrorAs, &refused)
	c.Assert(refused.Key, qt.Equals, ggscore.Key("k"))
	_, err = s.Grant(ctx, time.Second)
	c.Assert(err, qt.ErrorAs, &refused)
	c.Assert(s.Delete(ctx, "k", 1), qt.ErrorAs, &refused)
	c.Assert(s.Renew(ctx, 1), qt.ErrorAs, &refused)
	c.Assert(s.Revoke(ctx, 1), qt.ErrorAs, &refused)
	c.Assert(b.platform.Calls().Writes, qt.Equals, uint64(0))
}
