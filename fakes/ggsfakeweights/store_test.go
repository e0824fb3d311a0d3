package ggsfakeweights_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakeweights"
)

// Loads beyond the transit limit take proportionally longer. Only the lower
// bound is checked, since a busy machine may add to it.
func TestCrowdSlowsLoads(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := ggsfakeweights.New(ggsfakeweights.Options{InTransit: 2, LoadTime: 20 * time.Millisecond})
	ctx := context.Background()
	first := time.Now()
	c.Assert(s.Fetch(ctx, ggscore.AdapterRef{Name: "a"}), qt.IsNil)
	c.Assert(time.Since(first) >= 20*time.Millisecond, qt.IsTrue)

	held, release := context.WithCancel(ctx)
	s.SetFaults(ggsfakeweights.Faults{Speed: 1e-6})
	var wg sync.WaitGroup
	for range 5 {
		wg.Go(func() { _ = s.Fetch(held, ggscore.AdapterRef{Name: "b"}) })
	}
	for s.Stats().InTransit < 5 {
		c.Assert(time.Since(first) < 10*time.Second, qt.IsTrue)
	}
	s.SetFaults(ggsfakeweights.Faults{})
	start := time.Now()
	c.Assert(s.Fetch(ctx, ggscore.AdapterRef{Name: "c"}), qt.IsNil)
	c.Assert(time.Since(start) >= 60*time.Millisecond, qt.IsTrue)
	release()
	wg.Wait()
	c.Assert(s.Stats().MaxInTransit, qt.Equals, 6)
}

func TestFailuresOverHTTP(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := ggsfakeweights.New(ggsfakeweights.Options{AtOnce: 1})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	cl := ggsfakeweights.NewClient(netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")))
	defer cl.Close()
	s.SetFaults(ggsfakeweights.Faults{FailNext: 1})
	ctx := context.Background()
	var failed *ggsfakeweights.StatusError
	c.Assert(cl.Fetch(ctx, ggscore.AdapterRef{Name: "a"}), qt.ErrorAs, &failed)
	c.Assert(cl.Fetch(ctx, ggscore.AdapterRef{Name: "a"}), qt.IsNil)
	c.Assert(s.Stats(), qt.Equals, ggsfakeweights.Stats{Loads: 1, Failures: 1, MaxInTransit: 1})
}
