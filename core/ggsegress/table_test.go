package ggsegress_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsegress"
)

func at(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

func endpoint(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(n >> 8), byte(n)}), 80)
}

// tunnelPeers returns VMs in the given number of failure domains, two of which make a region.
func tunnelPeers(vms, domains int) []ggscore.TunnelPeer {
	ps := make([]ggscore.TunnelPeer, 0, vms)
	for i := range vms {
		ps = append(ps, ggscore.TunnelPeer{
			VM: ggscore.VMID(fmt.Sprintf("vm-%03d", i)), Domain: domain(i % domains),
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000),
		})
	}
	return ps
}

func domain(n int) ggscore.Domain { return ggscore.Domain(fmt.Sprintf("d%d", n)) }

func regions(domains int) map[ggscore.Domain]ggscore.Region {
	rs := map[ggscore.Domain]ggscore.Region{}
	for n := range domains {
		rs[domain(n)] = ggscore.Region(fmt.Sprintf("r%d", n/2))
	}
	return rs
}

// newTable returns the table of one of 9 VMs.
func newTable() *ggsegress.Table {
	t := ggsegress.NewTable(ggsegress.Options{Domain: domain(0), Regions: regions(3), Seed: 1})
	t.SetPeers(tunnelPeers(9, 3)[1:])
	return t
}

const peerVM = ggscore.VMID("vm-001")

// Guards against endpoints that count as failed because of this VM's own path, and against paths
// that count as broken because of an endpoint.
func TestOnlyASecondPathShowsThatTheFirstIsBroken(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		events            func(g *ggsegress.Table)
		blocked, isolated bool
	}{
		"endpoint down": {events: func(g *ggsegress.Table) {
			g.DirectFailed(at(0), endpoint(1))
			g.PeerFailed(at(0), peerVM)
			g.AllFailed(at(0), endpoint(1))
		}},
		"peer reaches the endpoint": {blocked: true, events: func(g *ggsegress.Table) {
			g.DirectFailed(at(0), endpoint(1))
			g.PeerConnected(at(time.Second), endpoint(1), peerVM)
		}},
		"direct dial fails after a peer's": {blocked: true, events: func(g *ggsegress.Table) {
			g.PeerConnected(at(0), endpoint(1), peerVM)
			g.DirectFailed(at(time.Second), endpoint(1))
		}},
		"peer reaches the endpoint much later": {events: func(g *ggsegress.Table) {
			g.DirectFailed(at(0), endpoint(1))
			g.PeerConnected(at(time.Minute), endpoint(1), peerVM)
		}},
		"two endpoints": {blocked: true, isolated: true, events: func(g *ggsegress.Table) {
			for n := range 2 {
				g.DirectFailed(at(time.Second), endpoint(n))
				g.PeerConnected(at(time.Second), endpoint(n), peerVM)
			}
		}},
		"two endpoints, another one sends": {blocked: true, events: func(g *ggsegress.Table) {
			for n := range 2 {
				g.DirectFailed(at(time.Second), endpoint(n))
				g.PeerConnected(at(time.Second), endpoint(n), peerVM)
				g.Received(at(time.Second))
			}
		}},
		"all paths work again": {events: func(g *ggsegress.Table) {
			for n := range 2 {
				g.DirectFailed(at(time.Second), endpoint(n))
				g.PeerConnected(at(time.Second), endpoint(n), peerVM)
			}
			g.DirectConnected(at(2*time.Second), endpoint(0))
		}},
		"endpoint removed": {events: func(g *ggsegress.Table) {
			g.DirectFailed(at(0), endpoint(1))
			g.PeerConnected(at(0), endpoint(1), peerVM)
			g.SetEndpoints([]netip.AddrPort{endpoint(0)})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			g := newTable()
			tc.events(g)
			c.Check(g.Blocked(endpoint(1)), qt.Equals, tc.blocked)
			c.Check(g.Isolated(), qt.Equals, tc.isolated)
			c.Check(g.Plan(at(3*time.Second), endpoint(1)).Direct, qt.Equals, !tc.blocked)
		})
	}
}

// Guards against peers that are asked again and again about an endpoint that is down.
func TestPeersAreAskedLessOftenAboutAnEndpointThatIsDown(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	g := newTable()
	asked := 0
	for d := time.Duration(0); d < 10*time.Second; d += 100 * time.Millisecond {
		p := g.Plan(at(d), endpoint(0))
		c.Assert(p.Direct, qt.IsTrue)
		g.DirectFailed(at(d), endpoint(0))
		if len(p.Peers) > 0 {
			asked++
			g.AllFailed(at(d), endpoint(0))
		}
	}
	// The pauses between questions are 0.3, 0.6 and then 1 s.
	c.Assert(asked <= 12, qt.IsTrue, qt.Commentf("asked %d times", asked))
}

// Guards against a VM that goes on using tunnels after its paths work again.
func TestBrokenPathsAreProbed(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	g := newTable()
	g.SetEndpoints([]netip.AddrPort{endpoint(0), endpoint(1), endpoint(2)})
	for n := range 3 {
		g.DirectFailed(at(0), endpoint(n))
		g.PeerConnected(at(0), endpoint(n), peerVM)
	}
	seen := map[netip.AddrPort]int{}
	for d := time.Duration(0); d < 6*time.Second; d += 100 * time.Millisecond {
		if a, ok := g.NextProbe(at(d)); ok {
			seen[a]++
		}
	}
	c.Assert(seen, qt.DeepEquals, map[netip.AddrPort]int{endpoint(0): 2, endpoint(1): 2, endpoint(2): 2})
	g.DirectConnected(at(6*time.Second), endpoint(2))
	_, ok := g.NextProbe(at(8 * time.Second))
	c.Assert(ok, qt.IsFalse)
}

// Guards against a VM that uses tunnels for ever because the endpoints by which it learned that its
// paths are broken are gone.
func TestIsolatedVMProbesNewEndpoints(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	g := newTable()
	g.SetEndpoints([]netip.AddrPort{endpoint(0), endpoint(1)})
	for n := range 2 {
		g.DirectFailed(at(0), endpoint(n))
		g.PeerConnected(at(0), endpoint(n), peerVM)
	}
	c.Assert(g.Isolated(), qt.IsTrue)
	g.SetEndpoints([]netip.AddrPort{endpoint(7)})
	a, ok := g.NextProbe(at(5 * time.Second))
	c.Assert(ok, qt.IsTrue)
	c.Assert(a, qt.Equals, endpoint(7))
	g.DirectConnected(at(6*time.Second), a)
	c.Assert(g.Blocked(a), qt.IsFalse)
}

// A fleet is a number of VMs, the first of which have no path to the endpoints.
type fleet struct {
	tables   []*ggsegress.Table
	isolated int
	// carried counts the tunnels that each VM opened for others, refused the requests for a
	// tunnel that isolated VMs refused.
	carried []int
	refused int
	opened  int
}

func newFleet(vms, domains, isolated int) *fleet {
	f := &fleet{isolated: isolated, carried: make([]int, vms)}
	ps := tunnelPeers(vms, domains)
	for i := range vms {
		g := ggsegress.NewTable(ggsegress.Options{Domain: domain(i % domains), Regions: regions(domains), Seed: uint64(i)})
		g.SetPeers(append(append([]ggscore.TunnelPeer(nil), ps[:i]...), ps[i+1:]...))
		f.tables = append(f.tables, g)
	}
	return f
}

// open has an isolated VM open a tunnel, and reports success.
func (f *fleet) open(now time.Time, i int, addr netip.AddrPort) bool {
	g := f.tables[i]
	p := g.Plan(now, addr)
	if p.Direct {
		g.DirectFailed(now, addr)
	}
	for _, n := range p.Peers {
		var vm int
		if _, err := fmt.Sscanf(string(n.VM), "vm-%d", &vm); err != nil {
			return false
		}
		if vm < f.isolated {
			f.refused++
			g.PeerUnavailable(now, n.VM)
			continue
		}
		f.carried[vm]++
		f.opened++
		g.PeerConnected(now, addr, n.VM)
		return true
	}
	return false
}

// Guards against a partition that floods the other VMs, or one of them, with tunnels.
func TestTunnelsAreSpreadOverThePeers(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct{ vms, domains, isolated int }{
		"9 VMs, 1 isolated":           {vms: 9, domains: 3, isolated: 1},
		"9 VMs, 6 isolated":           {vms: 9, domains: 3, isolated: 6},
		"65 VMs, 22 isolated":         {vms: 65, domains: 6, isolated: 22},
		"65 VMs, 44 isolated":         {vms: 65, domains: 6, isolated: 44},
		"195 VMs, 65 isolated":        {vms: 195, domains: 6, isolated: 65},
		"195 VMs, 130 isolated":       {vms: 195, domains: 6, isolated: 130},
		"195 VMs, all of one but one": {vms: 195, domains: 6, isolated: 194},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newFleet(tc.vms, tc.domains, tc.isolated)
			const perSecond, length = 5, 4
			failed := 0
			for s := range length * perSecond {
				for i := range tc.isolated {
					if !f.open(at(time.Duration(s)*time.Second/perSecond), i, endpoint((s*7+i)%20)) {
						failed++
					}
				}
			}
			most := 0
			for _, n := range f.carried {
				most = max(most, n)
			}
			even := float64(f.opened) / float64(tc.vms-tc.isolated)
			t.Logf("%d tunnels, %.2f refused for each, busiest peer %d, %.1f times the mean, %d not opened",
				f.opened, float64(f.refused)/float64(max(f.opened, 1)), most, float64(most)/max(even, 1), failed)
			if tc.vms-tc.isolated > 1 {
				c.Check(f.refused <= f.opened, qt.IsTrue)
				c.Check(failed <= f.opened/50, qt.IsTrue)
			}
			c.Check(most < f.opened || tc.vms-tc.isolated == 1, qt.IsTrue)
			if tc.isolated > 1 {
				c.Check(float64(most) <= 4*even, qt.IsTrue)
			}
		})
	}
}
