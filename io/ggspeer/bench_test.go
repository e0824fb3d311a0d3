package ggspeer

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsrelay"
)

// fleetSummary returns a relay's summary of all domains, with the given numbers of VMs and of
// endpoints that process requests.
func fleetSummary(vms, endpoints int) ggscore.Summary {
	s := ggscore.Summary{From: "front-domain-a-1@10.0.0.1", Domain: "domain-a", Fleet: true, Sequence: 1000, Started: 1 << 60, LiveWhole: true}
	const domains = 6
	for i := range vms {
		h := ggsrelay.Hash(ggscore.VMID(fmt.Sprint(i)))
		s.Live = append(s.Live, h)
		if i%domains == 0 {
			s.Included = append(s.Included, ggscore.IncludedHeartbeat{VM: h, Sequence: 1000})
		}
	}
	for i := range endpoints {
		id := ggscore.EndpointID(fmt.Sprintf("i-%010d", i))
		s.InFlight = append(s.InFlight, ggscore.InFlight{Endpoint: id, Count: 8, Ended: 1})
		for n := range 6 {
			a := ggscore.ModelAdapter{Model: "daka510000", Adapter: fmt.Sprintf("a%d", 100*i+n)}
			if i%domains == 0 {
				s.Uses = append(s.Uses, ggscore.Use{Endpoint: id, Target: a, Active: true})
			}
			if n == 0 {
				s.Demand = append(s.Demand, ggscore.Demand{Target: a, Count: 1})
			}
		}
	}
	return s
}

// BenchmarkFleetSummary decodes the summary that a VM receives 13 times per second.
func BenchmarkFleetSummary(b *testing.B) {
	for _, n := range []struct{ vms, endpoints int }{{30, 10}, {100, 34}, {195, 68}, {410, 2700}} {
		b.Run(fmt.Sprintf("%dVMs", n.vms), func(b *testing.B) {
			p, err := cbor.Marshal(summaryWireOf(fleetSummary(n.vms, n.endpoints)))
			if err != nil {
				b.Fatal(err)
			}
			h := Handler{Summary: func(netip.AddrPort, ggscore.Summary) {}}
			p = append([]byte{kindSummary}, p...)
			for b.Loop() {
				if !h.handle(netip.AddrPort{}, p) {
					b.Fatal("handler dropped the summary")
				}
			}
			b.ReportMetric(float64(len(p)), "bytes")
		})
	}
}
