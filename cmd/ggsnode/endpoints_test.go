package ggsnode

import (
	"testing"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsshare"
)

// One domain loaded at the whole weight store's rate while the others had their
// parts: its dispatcher had adopted the document before it knew the list of
// VMs, took itself for the only domain and kept that share.
func TestShareNeedsTheListOfVMs(t *testing.T) {
	t.Parallel()
	limit := ggscore.LoadShare{LoadsPerSecond: 6, InTransit: 24}
	d := &ggscore.Document{Policy: ggscore.PolicySpec{LoadsPerSecond: 6, LoadsInTransit: 24}}
	vm := func(r ggscore.VMRole, n ggscore.Domain) ggscore.VM { return ggscore.VM{Role: r, Domain: n} }
	for name, tc := range map[string]struct {
		vms    []ggscore.VM
		group  int
		groups int
		static ggscore.LoadShare
	}{
		"no list":           {nil, -1, 0, ggscore.LoadShare{}},
		"entry VMs only":    {[]ggscore.VM{vm(ggscore.RoleEntry, "b")}, -1, 0, ggscore.LoadShare{}},
		"others only":       {[]ggscore.VM{vm(ggscore.RoleEndpoint, "a")}, -1, 1, ggscore.LoadShare{}},
		"one domain":        {[]ggscore.VM{vm(ggscore.RoleEndpoint, "b")}, 0, 1, ggscore.LoadShare{LoadsPerSecond: 1.5, InTransit: 6}},
		"two of three gone": {[]ggscore.VM{vm(ggscore.RoleEndpoint, "b"), vm(ggscore.RoleEntry, "a")}, 0, 1, ggscore.LoadShare{LoadsPerSecond: 1.5, InTransit: 6}},
		"three domains": {
			[]ggscore.VM{vm(ggscore.RoleEndpoint, "c"), vm(ggscore.RoleEndpoint, "b"), vm(ggscore.RoleEndpoint, "a"), vm(ggscore.RoleEndpoint, "b")},
			1, 3,
			ggscore.LoadShare{LoadsPerSecond: 0.5, InTransit: 2},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			group, plan := planOf(tc.vms, d, "b")
			c.Assert(group, qt.Equals, tc.group)
			c.Assert(plan, qt.Equals, ggsshare.NewPlan(limit, tc.groups))
			c.Assert(plan.Share(plan.Static(group)), qt.Equals, tc.static)
		})
	}
}
