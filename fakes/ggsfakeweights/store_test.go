package ggsfakeweights_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakebench"
	"greengageslip/fakes/ggsfakeweights"
)

// Checks that loads take proportionally longer while more loads are in transit than
// Options.LoadsAtFullSpeed, and longer at a lower Faults.Speed.
func TestLoadsInTransitSlowDownLoads(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := ggsfakeweights.New(ggsfakeweights.Options{LoadsAtFullSpeed: 2, LoadTime: 20 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c.Assert(s.LoadTime(), qt.Equals, 20*time.Millisecond)

	held, release := context.WithCancel(ctx)
	s.SetFaults(ggsfakeweights.Faults{Speed: 1e-6})
	var wg sync.WaitGroup
	for range 5 {
		wg.Go(func() { _ = s.Fetch(held, ggscore.AdapterRef{Name: "b"}) })
	}
	for s.Stats().InTransit < 5 {
		c.Assert(ctx.Err(), qt.IsNil)
	}
	s.SetFaults(ggsfakeweights.Faults{})
	c.Assert(s.LoadTime(), qt.Equals, 50*time.Millisecond)
	s.SetFaults(ggsfakeweights.Faults{Speed: 0.5})
	c.Assert(s.LoadTime(), qt.Equals, 100*time.Millisecond)
	release()
	wg.Wait()
	c.Assert(s.Stats(), qt.Equals, ggsfakeweights.Stats{MaxInTransit: 5})
}

func TestFailuresOverHTTP(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := ggsfakeweights.New(ggsfakeweights.Options{Burst: 1})
	cl := ggsfakeweights.NewClient(ggsfakebench.AddrOf(c, ggsfakebench.Serve(c, s.Handler())))
	defer cl.Close()
	s.SetFaults(ggsfakeweights.Faults{FailNext: 1})
	ctx := context.Background()
	var failed *ggsfakeweights.StatusError
	c.Assert(cl.Fetch(ctx, ggscore.AdapterRef{Name: "a"}), qt.ErrorAs, &failed)
	c.Assert(cl.Fetch(ctx, ggscore.AdapterRef{Name: "a"}), qt.IsNil)
	c.Assert(s.Stats(), qt.Equals, ggsfakeweights.Stats{Loads: 1, Failures: 1, MaxInTransit: 1})
}
