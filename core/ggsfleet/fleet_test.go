package ggsfleet_test

import (
	"net/netip"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsfleet"
)

func TestEndpoints(t *testing.T) {
	t.Parallel()
	d := &ggscore.Document{Services: map[ggscore.Service]ggscore.ServiceSpec{
		"assist": {Name: "assist", Slots: 8, AdapterSlots: 4, ChecksFence: true},
	}}
	a := netip.MustParseAddrPort("127.0.0.1:9000")
	vm := func(id ggscore.VMID, r ggscore.VMRole, s ggscore.VMState, n ggscore.Domain, v ggscore.Service) ggscore.VM {
		return ggscore.VM{ID: id, Role: r, State: s, Region: "r", Domain: n, Addr: a, Service: v}
	}
	for name, tc := range map[string]struct {
		vms  []ggscore.VM
		want []ggscore.Endpoint
	}{
		"entry VMs are not endpoints": {vms: []ggscore.VM{vm("e", ggscore.RoleEntry, ggscore.VMLive, "a", "")}},
		"other domains are omitted":   {vms: []ggscore.VM{vm("x", ggscore.RoleEndpoint, ggscore.VMLive, "b", "assist")}},
		"unknown service":             {vms: []ggscore.VM{vm("x", ggscore.RoleEndpoint, ggscore.VMLive, "a", "none")}},
		"ordered, with leaving": {
			vms: []ggscore.VM{
				vm("y", ggscore.RoleEndpoint, ggscore.VMLeaving, "a", "assist"),
				vm("x", ggscore.RoleEndpoint, ggscore.VMLive, "a", "assist"),
			},
			want: []ggscore.Endpoint{
				{ID: "x", Service: "assist", Region: "r", Domain: "a", Addr: a, Slots: 8, AdapterSlots: 4, ChecksFence: true},
				{ID: "y", Service: "assist", Region: "r", Domain: "a", Addr: a, Slots: 8, AdapterSlots: 4, ChecksFence: true, Leaving: true},
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := ggsfleet.Endpoints(tc.vms, d, "a")
			qt.New(t).Assert(slices.Equal(got, tc.want), qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}
