package ggspermit_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggspermit"
)

// Guards against an issuer that doesn't learn of requests that were sent before it became the issuer.
func TestRenewalsFollowTheIssuer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := ggspermit.NewHolder("vm", 100)
	issuer := ggscore.VMID("")
	renewals := func(d time.Duration) []ggspermit.Renewal {
		return h.Renewals(at(d), func(ggscore.EndpointID) ggscore.VMID { return issuer })
	}
	unlimited, waiting, ended := h.Begin(endpoint), h.Begin(endpoint), h.Begin(endpoint)
	h.Sent(at(0), unlimited)
	h.Sent(at(0), ended)
	h.Asked(at(0), waiting, "x")
	c.Assert(h.End(at(0), ended), qt.Equals, ggscore.VMID(""))
	c.Assert(renewals(0), qt.HasLen, 0)

	want := func(to ggscore.VMID, asking []uint64, inFlight ...uint64) []ggspermit.Renewal {
		return []ggspermit.Renewal{{Issuer: to, PermitRenewal: ggscore.PermitRenewal{
			VM: "vm", Endpoint: endpoint, InFlight: inFlight, Asking: asking, Through: ended.Number,
		}}}
	}
	issuer = "x"
	for _, d := range []time.Duration{0, 300 * time.Millisecond} {
		c.Assert(renewals(d), qt.DeepEquals, want("x", []uint64{waiting.Number}, unlimited.Number))
	}
	c.Assert(renewals(ggspermit.RenewInterval/2), qt.HasLen, 0)
	h.Sent(at(ggspermit.RenewInterval/2), waiting)
	later := ggspermit.RenewInterval + 300*time.Millisecond
	c.Assert(renewals(later), qt.DeepEquals, want("x", nil, unlimited.Number, waiting.Number))
	issuer = "y"
	c.Assert(renewals(later), qt.DeepEquals, want("y", nil, unlimited.Number, waiting.Number))
	c.Assert(h.End(at(later), waiting), qt.Equals, ggscore.VMID("y"))
	c.Assert(renewals(later+300*time.Millisecond), qt.DeepEquals, want("y", nil, unlimited.Number))
	c.Assert(renewals(later+300*time.Millisecond), qt.HasLen, 0)
	c.Assert(h.Holds(waiting), qt.IsFalse)
	c.Assert(h.Holds(unlimited), qt.IsTrue)
}

// Guards against a VM that is suspended between an ask and its decision, and then uses an expired permit.
func TestOldDecisionsAreNotUsed(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := ggspermit.NewHolder("vm", 100)
	p := h.Begin(endpoint)
	h.Asked(at(0), p, "x")
	c.Check(h.Granted(at(ggspermit.MaxWait), p), qt.IsTrue)
	c.Check(h.Granted(at(ggspermit.PermitTTL-ggspermit.RenewInterval), p), qt.IsFalse)
}

// Guards against issuers that all change when one VM leaves, and against those far from their endpoint.
func TestIssuerOf(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var ms []ggspermit.Member
	for n := range 60 {
		d := n % 6
		ms = append(ms, ggspermit.Member{
			VM: ggscore.VMID(fmt.Sprintf("vm-%02d", n)), Domain: ggscore.Domain(fmt.Sprintf("d%d", d)), Region: ggscore.Region(fmt.Sprintf("r%d", d/2)),
		})
	}
	issued := map[ggscore.VMID]int{}
	moved := 0
	for n := range 600 {
		e := ggscore.EndpointID(fmt.Sprintf("p%d", n))
		vm := ggspermit.IssuerOf(e, "d2", "r1", ms)
		issued[vm]++
		if other := ggspermit.IssuerOf(e, "d2", "r1", ms[3:]); other != vm {
			moved++
		}
	}
	c.Check(issued, qt.HasLen, 10)
	c.Check(moved, qt.Equals, issued["vm-02"])
	c.Check(ggspermit.IssuerOf("p", "d2", "r1", nil), qt.Equals, ggscore.VMID(""))
	for name, tc := range map[string]struct {
		members []ggspermit.Member
		want    ggscore.VMID
	}{
		"same domain":  {members: []ggspermit.Member{ms[0], ms[2], ms[3]}, want: "vm-02"},
		"same region":  {members: []ggspermit.Member{ms[0], ms[1], ms[3]}, want: "vm-03"},
		"other region": {members: []ggspermit.Member{ms[0]}, want: "vm-00"},
	} {
		c.Check(ggspermit.IssuerOf("p", "d2", "r1", tc.members), qt.Equals, tc.want, qt.Commentf("%s", name))
	}
}
