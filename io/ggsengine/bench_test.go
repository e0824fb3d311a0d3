package ggsengine_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakeengine"
)

// BenchmarkStream measures the time per event of a stream of 200 events without delays.
// The time includes engine and client.
func BenchmarkStream(b *testing.B) {
	const events = 200
	c := qt.New(b)
	n := newFixture(c, func(o *ggsfakeengine.Options) { o.FirstToken, o.TokenInterval = 0, 0 })
	n.engine.Preload(adapterA())
	r := request("q1", adapterA(), events-1)
	got := 0
	sink := func(ggscore.Chunk) error {
		got++
		return nil
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if err := n.client.Run(context.Background(), n.addr, r, sink); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	c.Assert(got, qt.Equals, events*b.N)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(got), "ns/event")
}

// BenchmarkReport measures the time of one report.
func BenchmarkReport(b *testing.B) {
	c := qt.New(b)
	n := newFixture(c, nil)
	n.engine.Preload(adapterA())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := n.client.Report(context.Background(), n.addr); err != nil {
			b.Fatal(err)
		}
	}
}
