package ggsconfig_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"github.com/google/uuid"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
	"greengageslip/io/ggsconfig"
	"greengageslip/io/ggstoml"
)

// sectionAdapters is the number of adapters in a market's section. Their text is
// about one megabyte.
const sectionAdapters = 5000

func largeMarket(m, adapters int) []byte {
	var b strings.Builder
	for i := range adapters {
		// Regular names would compress better than names in production.
		h := sha256.Sum256([]byte(fmt.Sprint(m, i)))
		fmt.Fprintf(&b, "[[adapters]]\nname = \"summary-%x\"\nbaseModel = \"base-8b\"\n"+
			"versions = [\"v1\", \"v2\"]\ncurrent = \"v2\"\n\n", h[:6])
	}
	b.WriteString("[[uses]]\nservice = \"asistente\"\ndeadline = \"5s\"\n")
	return []byte(b.String())
}

// BenchmarkFollower adopts documents of several sizes and reports a process's memory
// (bytes/adapter) and the compressed text that a peer sends (packedBytes/adapter).
func BenchmarkFollower(b *testing.B) {
	for _, n := range []int{3_000, 50_000, 100_000, 200_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) { benchmarkFollower(b, n) })
	}
}

func benchmarkFollower(b *testing.B, n int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := newFaultyStore()
	mustApply(b, s, edit("services", []byte(servicesText), 0, "s"))
	last := ggscore.Revision(1)
	for m := 0; m*sectionAdapters < n; m++ {
		t := largeMarket(m, min(sectionAdapters, n-m*sectionAdapters))
		last = mustApply(b, s, edit(ggscore.SectionName("market/m"+strconv.Itoa(m)), t, 0, "m"+strconv.Itoa(m)))
	}
	before := heapBytes()
	f := ggsconfig.NewFollower(ggsconfig.FollowerOptions{
		Self: "a1", Domain: "a", Store: s, Members: newNetwork(),
	})
	documents := f.Subscribe(ctx)
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	if d := <-documents; d.Revision != last {
		b.Fatalf("revision %d was adopted, not %d", d.Revision, last)
	}
	inMemory := heapBytes() - before
	packed := 0
	for _, s := range f.Head().Sections {
		packed += len(f.PackedSection(s.Digest))
	}
	for b.Loop() {
		_ = f.Current()
	}
	b.ReportMetric(float64(inMemory)/float64(n), "bytes/adapter")
	b.ReportMetric(float64(packed)/float64(n), "packedBytes/adapter")
	cancel()
	if err := <-done; err != nil {
		b.Fatal(err)
	}
	runtime.KeepAlive(f)
}

// BenchmarkHead reports the size of a head (headBytes) with a full history, by number
// of sections, and the time to decode it. Each watcher reads the head at each change.
func BenchmarkHead(b *testing.B) {
	for _, n := range []int{10, 45, 100, 400} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			h := ggsdocument.Head{}
			for i := range n + ggsdocument.HistoryLength {
				var err error
				h, err = h.Accept(ggsdocument.Change{
					ID:           ggsdocument.ChangeID(uuid.NewString()),
					Section:      ggscore.SectionName(fmt.Sprint("market/m", i%n)),
					Digest:       ggsdocument.DigestOf([]byte(strconv.Itoa(i))),
					BaseRevision: h.Revision, By: "ana",
				})
				if err != nil {
					b.Fatal(err)
				}
			}
			e := ggsconfig.EncodeHead(h)
			for b.Loop() {
				if _, err := ggsconfig.DecodeHead(e); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(e)), "headBytes")
		})
	}
}

// BenchmarkAdopt measures the cost per process of a change of one market's section, in
// documents of several sizes.
func BenchmarkAdopt(b *testing.B) {
	for _, n := range []int{5_000, 50_000, 100_000, 200_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) { benchmarkAdopt(b, n) })
	}
}

func benchmarkAdopt(b *testing.B, n int) {
	f := ggsdocument.NewFollower(ggstoml.Codec{})
	h := ggsdocument.Head{}
	texts := map[ggscore.Digest][]byte{}
	change := func(n ggscore.SectionName, t []byte) {
		d := ggsdocument.DigestOf(t)
		texts[d] = t
		var err error
		if h, err = h.Accept(ggsdocument.Change{Section: n, Digest: d, BaseRevision: h.Revision}); err != nil {
			b.Fatal(err)
		}
	}
	adopt := func() {
		_, err := f.Offer(h)
		for _, d := range f.Missing() {
			if err == nil {
				_, err = f.Deliver(d, texts[d])
			}
		}
		if err != nil || f.Head().Revision != h.Revision {
			b.Fatal(err, f.Head().Revision)
		}
	}
	change("services", []byte(servicesText))
	for m := 0; m*sectionAdapters < n; m++ {
		change(ggscore.SectionName("market/m"+strconv.Itoa(m)), largeMarket(m, sectionAdapters))
	}
	adopt()
	next, previous := largeMarket(0, sectionAdapters), largeMarket(n, sectionAdapters)
	for b.Loop() {
		next, previous = previous, next
		change("market/m0", next)
		adopt()
	}
}

func mustApply(b *testing.B, s ggsconfig.EditorStore, d ggsconfig.Edit) ggscore.Revision {
	b.Helper()
	a, err := newEditor(s).Apply(context.Background(), d)
	if err != nil {
		b.Fatal(err)
	}
	return a.Revision
}

// heapBytes returns the bytes of heap objects that remain after garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
