package ggsedge

import (
	"fmt"
	"strings"
	"testing"

	ggscore "greengageslip/core"
)

// BenchmarkPackList reports the bytes of the list of endpoints as a relay sends it to a VM.
func BenchmarkPackList(b *testing.B) {
	for _, n := range []int{15, 68, 2700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			es := make([]ggscore.Entry, 0, n)
			for i := range n {
				adapters := make([]string, 0, 16)
				for a := range 16 {
					adapters = append(adapters, fmt.Sprintf("%q", fmt.Sprintf("a%d@%d", (i*7919+a*104729)%200_000, 1+a%3)))
				}
				es = append(es, ggscore.Entry{
					Key: ggscore.Key(fmt.Sprintf("servers/i-%010x", i*2654435761)), Revision: ggscore.StoreRevision(i),
					Value: fmt.Appendf(nil, `{"service":"llm","address":"10.%d.%d.%d:8080","zone":"z%d","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"models":[{"name":"m51000","version":1,"adapters":[%s]}],"seq":%d,"born":%d}`,
						i%4, i/250, i%250, i%6, strings.Join(adapters, ","), i*31, 1_780_000_000_000+i*977),
				})
			}
			var packed []byte
			for b.Loop() {
				var err error
				if packed, err = packEntries(es); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(packed)), "packedBytes")
		})
	}
}
