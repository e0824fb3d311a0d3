package ggsroute_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsroute"
)

// A fleet is the size of a deployment. A group is a dispatcher with its runners.
type fleet struct {
	groups, runners, adapters int
}

func (f fleet) String() string {
	return fmt.Sprintf("groups=%d/runners=%d/adapters=%d", f.groups, f.groups*f.runners, f.adapters)
}

// sizes returns the deployment sizes of the benchmarks, which show how costs grow: a small
// deployment, the design limit of 340 groups, and two sizes between.
func sizes() []fleet {
	return []fleet{
		{groups: 3, runners: 4, adapters: 3_000},
		{groups: 34, runners: 8, adapters: 20_000},
		{groups: 170, runners: 8, adapters: 100_000},
		{groups: 340, runners: 8, adapters: 200_000},
	}
}

const slotsPerRunner = 8

// refs returns the adapters' references.
func (f fleet) refs() []ggscore.AdapterRef {
	refs := make([]ggscore.AdapterRef, f.adapters)
	for i := range refs {
		refs[i] = ggscore.AdapterRef{Name: fmt.Sprintf("market-%02d-adapter-%06d", i%40, i), Version: "v1"}
	}
	return refs
}

// region returns a group's region: one of two, or one of three in the smallest
// deployment.
func (f fleet) region(g int) ggscore.Region {
	if f.groups <= 3 {
		return ggscore.Region(fmt.Sprintf("region-%d", g))
	}
	return ggscore.Region(fmt.Sprintf("region-%d", g%2))
}

// summary returns a group's summary with half of the batch in use and every
// adapter slot filled.
func (f fleet) summary(g int, seq uint64, refs []ggscore.AdapterRef) *ggscore.DispatcherSummary {
	s := &ggscore.DispatcherSummary{
		VM:          ggscore.VMID(fmt.Sprintf("vm-%03d", g)),
		Region:      f.region(g),
		Incarnation: "i1",
		Sequence:    seq,
	}
	for i := range f.runners {
		first := (g*f.runners + i) * slotsPerRunner % (len(refs) - slotsPerRunner)
		s.Runners = append(s.Runners, ggscore.RunnerSummary{
			Endpoint:     ggscore.EndpointID(fmt.Sprintf("runner-%04d", g*f.runners+i)),
			Service:      service,
			Mode:         ggscore.ModeFull,
			Slots:        slotsPerRunner,
			Running:      slotsPerRunner / 2,
			AdapterSlots: slotsPerRunner,
			Resident:     refs[first : first+slotsPerRunner],
		})
	}
	return s
}

// router returns a router with summaries of the whole fleet.
func (f fleet) router(refs []ggscore.AdapterRef) *ggsroute.Router {
	r := ggsroute.New(ggsroute.Options{Region: "region-0", Seed: 1})
	r.SetPolicy(at(0), ggscore.PolicySpec{CrossRegionPrice: 100 * time.Millisecond, LoadsPerSecond: 4})
	for g := range f.groups {
		r.Update(at(0), f.summary(g, 1, refs))
	}
	return r
}

// requests returns requests for adapters in a Zipf distribution.
func (f fleet) requests(refs []ggscore.AdapterRef) []*ggscore.Request {
	z := rand.NewZipf(rand.New(rand.NewPCG(1, 2)), 1.1, 1, uint64(len(refs)-1))
	list := make([]*ggscore.Request, 4096)
	for i := range list {
		list[i] = &ggscore.Request{Service: service, Adapter: refs[z.Uint64()]}
	}
	return list
}

func BenchmarkRoute(b *testing.B) {
	for _, f := range sizes() {
		refs := f.refs()
		r := f.router(refs)
		for name, list := range map[string][]*ggscore.Request{
			"zipf":   f.requests(refs),
			"absent": {{Service: service, Adapter: refs[len(refs)-1]}},
		} {
			b.Run(fmt.Sprintf("%s/%s", f, name), func(b *testing.B) {
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					if _, err := r.Route(at(0), list[i%len(list)], nil); err != nil {
						b.Fatal(err)
					}
					i++
				}
			})
		}
	}
}

func BenchmarkSentEnded(b *testing.B) {
	for _, f := range sizes() {
		refs := f.refs()
		r := f.router(refs)
		c, err := r.Route(at(0), &ggscore.Request{Service: service, Adapter: refs[0]}, nil)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(f.String(), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.Sent(at(0), c)
				r.Ended(at(0), c, ggsroute.End{Held: time.Second})
			}
		})
	}
}

func BenchmarkUpdate(b *testing.B) {
	for _, f := range sizes() {
		refs := f.refs()
		r := f.router(refs)
		s := f.summary(0, 1, refs)
		b.Run(f.String(), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Sequence++
				r.Update(at(0), s)
			}
		})
	}
}

// BenchmarkRouterMemory reports the heap size of a router's state, in bytes.
func BenchmarkRouterMemory(b *testing.B) {
	for _, f := range sizes() {
		refs := f.refs()
		b.Run(f.String(), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				r := f.router(refs)
				b.ReportMetric(float64(heap()-before), "stateBytes")
				runtime.KeepAlive(r)
			}
		})
	}
}

// heap returns the bytes in use after a collection.
func heap() int64 {
	runtime.GC()
	m := runtime.MemStats{}
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
