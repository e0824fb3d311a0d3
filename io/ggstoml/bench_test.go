package ggstoml_test

import (
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"testing"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
	"greengageslip/io/ggstoml"
)

// sectionAdapters is the number of adapters in a market's section. Their text is
// about one megabyte.
const sectionAdapters = 5000

// largeMarket returns the text of market m with a number of adapters.
func largeMarket(m, adapters int) []byte {
	var b strings.Builder
	for i := range adapters {
		fmt.Fprintf(&b, "[[adapters]]\nname = \"market-%d-adapter-%05d\"\nbaseModel = \"base-%d\"\n"+
			"versions = [\"v1\", \"v2\"]\ncurrent = \"v2\"\n\n", m, i, i%3)
	}
	b.WriteString("[[uses]]\nservice = \"chat\"\ndeadline = \"5s\"\n")
	return []byte(b.String())
}

// BenchmarkParseAdapters parses documents of several sizes and reports, per adapter, the
// memory (bytes/adapter), the text size (textBytes/adapter) and the time (ns/adapter).
func BenchmarkParseAdapters(b *testing.B) {
	for _, n := range []int{3_000, 50_000, 100_000, 200_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) { benchmarkParse(b, n) })
	}
}

func benchmarkParse(b *testing.B, n int) {
	texts := map[ggscore.SectionName][]byte{}
	size := 0
	for m := 0; m*sectionAdapters < n; m++ {
		t := largeMarket(m, min(sectionAdapters, n-m*sectionAdapters))
		texts[ggscore.SectionName("market/m"+strconv.Itoa(m))] = t
		size += len(t)
	}
	for b.Loop() {
		b.StopTimer()
		before := heapBytes()
		b.StartTimer()
		l := parseAll(b, texts)
		b.StopTimer()
		inMemory := heapBytes() - before
		runtime.KeepAlive(l)
		b.ReportMetric(float64(inMemory)/float64(n), "bytes/adapter")
		b.StartTimer()
	}
	b.ReportMetric(float64(size)/float64(n), "textBytes/adapter")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/adapter")
}

func parseAll(b *testing.B, texts map[ggscore.SectionName][]byte) []*ggsdocument.Section {
	var l []*ggsdocument.Section
	for n, t := range texts {
		s, err := ggstoml.Codec{}.ParseSection(n, t)
		if err != nil {
			b.Fatal(err)
		}
		l = append(l, s)
	}
	return l
}

// heapBytes returns the bytes of heap objects that remain after garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
