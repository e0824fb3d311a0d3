package ggsedge

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsplace"
	"greengageslip/core/ggsrelay"
	"greengageslip/core/ggsretry"
)

const (
	benchVMs       = 195
	benchEndpoints = 68
)

// benchEdge returns a VM of a large deployment that knows all VMs and endpoints.
func benchEdge() *Edge {
	e := listEdge()
	e.Now = time.Now //nolint:forbidigo // the benchmark's clock
	e.options.Domain = "d0"
	e.node = ggsrelay.NewNode(ggsrelay.Options{Self: e.options.relayMember()})
	for i := range benchVMs - 1 {
		e.peers[ggscore.VMID(fmt.Sprintf("front-%03d", i))] = &member{
			datagramAddr: netip.MustParseAddrPort("127.0.0.1:9"), domain: ggscore.Domain(fmt.Sprintf("d%d", i%6)), capacity: 4, lastSeen: e.Now(),
		}
	}
	e.node.SetMembers(e.relayMembers())
	e.table.SetInstances(time.Time{}, benchInstances())
	for _, i := range e.table.Instances("") {
		e.table.SetLoadable(i.ID, true)
	}
	return e
}

func benchInstances() []ggscore.Instance {
	var list []ggscore.Instance
	for i := range benchEndpoints {
		m := ggscore.ResidentModel{Name: "m"}
		for n := range 11 {
			m.Adapters = append(m.Adapters, ggscore.ResidentVersion{Adapter: fmt.Sprintf("a%d", 100*i+n), Version: 1})
		}
		list = append(list, ggscore.Instance{
			ID: ggscore.EndpointID(fmt.Sprintf("i-%010d", i)), Service: "s", Slots: 16, Models: []ggscore.ResidentModel{m},
		})
	}
	return list
}

// benchView returns the state of the deployment that a VM reads from a relay's summary, with every
// endpoint in use.
func benchView(e *Edge) ggsrelay.View {
	v := ggsrelay.View{CountsValid: true}
	for vm := range e.peers {
		v.VMs = append(v.VMs, vm)
	}
	for _, i := range benchInstances() {
		v.InFlight = append(v.InFlight, ggscore.InFlight{Endpoint: i.ID, Count: 4, Ended: 1})
		v.Demand = append(v.Demand, ggscore.Demand{Target: ggscore.ModelAdapter{Model: "m", Adapter: "a7"}, Count: 1})
	}
	return v
}

func BenchmarkLargeFleet(b *testing.B) {
	for name, run := range map[string]func(e *Edge) func(){
		"heartbeat": func(e *Edge) func() {
			return func() { e.heartbeat() }
		},
		"view": func(e *Edge) func() {
			v := benchView(e)
			return func() { e.applyView(v) }
		},
		"choose": func(e *Edge) func() {
			q := ggsplace.Query{Service: "s", Engine: &ggscore.EngineSpec{AdapterSlots: 11}, Target: ggscore.ModelAdapter{Model: "m", Adapter: "a703"}}
			return func() {
				c, err := e.table.Choose(e.Now(), q)
				if err != nil {
					b.Fatal(err)
				}
				e.table.Sent(e.Now(), c.Instance.ID)
				e.table.Ended(e.Now(), c.Instance.ID, ggsretry.ResultNeutral)
			}
		},
		"live peers": func(e *Edge) func() {
			return func() { e.livePeers() }
		},
		"list": func(e *Edge) func() {
			l := benchInstances()
			return func() { e.table.SetInstances(time.Time{}, l) }
		},
		"claims": func(e *Edge) func() {
			return func() { e.writeClaims(b.Context()) }
		},
	} {
		b.Run(name, func(b *testing.B) {
			f := run(benchEdge())
			b.ReportAllocs()
			for b.Loop() {
				f()
			}
		})
	}
}
