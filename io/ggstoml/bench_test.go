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

// sectionAdapters is the number of adapters in a market's section: about as
// many as a megabyte takes.
const sectionAdapters = 5000

// marketOf returns the text of a market with so many adapters.
func marketOf(m, adapters int) []byte {
	var b strings.Builder
	for i := range adapters {
		fmt.Fprintf(&b, "[[adapters]]\nname = \"market-%d-adapter-%05d\"\nbaseModel = \"base-%d\"\n"+
			"versions = [\"v1\", \"v2\"]\ncurrent = \"v2\"\n\n", m, i, i%3)
	}
	b.WriteString("[[uses]]\nservice = \"chat\"\ndeadline = \"5s\"\n")
	return []byte(b.String())
}

// BenchmarkParseAdapters parses documents of several sizes and reports what a
// parsed adapter holds in memory (bytes/adapter) and takes to parse.
func BenchmarkParseAdapters(b *testing.B) {
	for _, n := range []int{3_000, 50_000, 100_000, 200_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) { benchmarkParse(b, n) })
	}
}

func benchmarkParse(b *testing.B, n int) {
	texts := map[ggscore.SectionName][]byte{}
	size := 0
	for m := 0; m*sectionAdapters < n; m++ {
		t := marketOf(m, min(sectionAdapters, n-m*sectionAdapters))
		texts[ggscore.SectionName("market/m"+strconv.Itoa(m))] = t
		size += len(t)
	}
	for b.Loop() {
		b.StopTimer()
		before := heap()
		b.StartTimer()
		l := parseAll(b, texts)
		b.StopTimer()
		held := heap() - before
		runtime.KeepAlive(l)
		b.ReportMetric(float64(held)/float64(n), "bytes/adapter")
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

// heap returns the bytes that are in use after a collection.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
