package ggsnode

import (
	"testing"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsmember"
)

// One domain loaded at the whole weight store's rate while the others had their
// thirds: its dispatcher had adopted the document before it knew the list of
// VMs, took itself for the only domain and kept that share.
func TestLoadShareRequiresTheListOfVMs(t *testing.T) {
	t.Parallel()
	d := &ggscore.Document{Policy: ggscore.PolicySpec{LoadsPerSecond: 6, LoadsInTransit: 24}}
	vm := func(r ggscore.VMRole, n ggscore.Domain) ggscore.VM { return ggscore.VM{Role: r, Domain: n} }
	for name, tc := range map[string]struct {
		vms  []ggscore.VM
		want ggscore.LoadShare
	}{
		"no list":           {nil, ggscore.LoadShare{}},
		"entry VMs only":    {[]ggscore.VM{vm(ggscore.RoleEntry, "a")}, ggscore.LoadShare{}},
		"one domain":        {[]ggscore.VM{vm(ggscore.RoleEndpoint, "a")}, ggscore.LoadShare{LoadsPerSecond: 6, InTransit: 24}},
		"two of three gone": {[]ggscore.VM{vm(ggscore.RoleEndpoint, "a"), vm(ggscore.RoleEntry, "b")}, ggscore.LoadShare{LoadsPerSecond: 6, InTransit: 24}},
		"three domains": {
			[]ggscore.VM{vm(ggscore.RoleEndpoint, "a"), vm(ggscore.RoleEndpoint, "b"), vm(ggscore.RoleEndpoint, "c")},
			ggscore.LoadShare{LoadsPerSecond: 2, InTransit: 8},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			qt.New(t).Assert(loadShareOf(tc.vms, d), qt.Equals, tc.want)
		})
	}
}

// Endpoints were out of reach for seconds after a VM was replaced: the new VM's
// dispatcher was heard of and took them over before the platform listed it, and
// gateways follow listed dispatchers only.
func TestUnlistedDispatcherIsNoOwnerCandidate(t *testing.T) {
	t.Parallel()
	member := func(id ggscore.VMID, leaving bool, incarnation string) ggsmember.Member {
		return ggsmember.Member{VM: id, Leaving: leaving, Incarnation: incarnation}
	}
	vms := []ggscore.VM{
		{ID: "listed", Role: ggscore.RoleEntry},
		{ID: "runner", Role: ggscore.RoleEndpoint},
	}
	for name, tc := range map[string]struct {
		member ggsmember.Member
		want   int
	}{
		"listed":     {member("listed", false, "1"), 1},
		"unlisted":   {member("new", false, "1"), 0},
		"leaving":    {member("listed", true, "1"), 0},
		"not heard":  {member("listed", false, ""), 0},
		"no entryVM": {member("runner", false, "1"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			qt.New(t).Assert(ownerCandidates([]ggsmember.Member{tc.member}, vms), qt.HasLen, tc.want)
		})
	}
}
