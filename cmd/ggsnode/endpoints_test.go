package ggsnode

import (
	"testing"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsmember"
)

// Guards against a domain that keeps the full load rate of the weight store while the others have
// their shares: its dispatcher applied the document before it knew the list of VMs, and counted
// itself as the only domain.
func TestLoadShareRequiresTheListOfVMs(t *testing.T) {
	t.Parallel()
	d := &ggscore.Document{Policy: ggscore.PolicySpec{LoadsPerSecond: 6, LoadsInTransit: 24}}
	vm := func(r ggscore.VMRole, n ggscore.Domain) ggscore.VM { return ggscore.VM{Role: r, Domain: n} }
	for name, tc := range map[string]struct {
		vms  []ggscore.VM
		want ggscore.LoadShare
	}{
		"no list":                         {nil, ggscore.LoadShare{}},
		"entry VMs only":                  {[]ggscore.VM{vm(ggscore.RoleEntry, "a")}, ggscore.LoadShare{}},
		"one domain":                      {[]ggscore.VM{vm(ggscore.RoleEndpoint, "a")}, ggscore.LoadShare{LoadsPerSecond: 6, InTransit: 24}},
		"endpoints in one of two domains": {[]ggscore.VM{vm(ggscore.RoleEndpoint, "a"), vm(ggscore.RoleEntry, "b")}, ggscore.LoadShare{LoadsPerSecond: 6, InTransit: 24}},
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

// Guards against endpoints that are unreachable for seconds after the replacement of a VM: the new
// dispatcher is known by its heartbeats and takes them over before the platform lists it, and
// gateways know only listed dispatchers.
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
		"listed":       {member("listed", false, "1"), 1},
		"unlisted":     {member("new", false, "1"), 0},
		"leaving":      {member("listed", true, "1"), 0},
		"no heartbeat": {member("listed", false, ""), 0},
		"no entry VM":  {member("runner", false, "1"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			qt.New(t).Assert(ownerCandidates([]ggsmember.Member{tc.member}, vms), qt.HasLen, tc.want)
		})
	}
}
