package ggsregistry_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsregistry"
)

func fullEntry() ggsregistry.Entry {
	return ggsregistry.Entry{Revision: 7, Instance: ggscore.Instance{
		ID: "e", Service: "s", Domain: "d", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 4, Software: "v1",
		StartedAt: time.UnixMilli(1), Sequence: 3, Models: []ggscore.ResidentModel{{Name: "m", Adapters: []ggscore.ResidentVersion{{Adapter: "a", Version: 1}}}},
	}}
}

// Guards against a changed field of an entry that VMs which don't read the list themselves never learn.
func TestDigestCoversTheFieldsOfAnEntry(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		change func(*ggscore.Instance)
		same   bool
	}{
		"id":             {change: func(i *ggscore.Instance) { i.ID = "f" }},
		"service":        {change: func(i *ggscore.Instance) { i.Service = "t" }},
		"failure domain": {change: func(i *ggscore.Instance) { i.Domain = "f" }},
		"address":        {change: func(i *ggscore.Instance) { i.Addr = netip.MustParseAddrPort("127.0.0.1:2") }},
		"slots":          {change: func(i *ggscore.Instance) { i.Slots = 5 }},
		"leaving":        {change: func(i *ggscore.Instance) { i.Leaving = true }},
		"software":       {change: func(i *ggscore.Instance) { i.Software = "v2" }},
		"start":          {change: func(i *ggscore.Instance) { i.StartedAt = time.UnixMilli(2) }},
		"no model":       {change: func(i *ggscore.Instance) { i.Models = nil }},
		"another model":  {change: func(i *ggscore.Instance) { i.Models = []ggscore.ResidentModel{{Name: "n"}} }},
		"second model":   {change: func(i *ggscore.Instance) { i.Models = append(i.Models, ggscore.ResidentModel{Name: "n"}) }},
		"orders":         {change: func(i *ggscore.Instance) { i.Sequence++ }, same: true},
		"adapters":       {change: func(i *ggscore.Instance) { i.Models[0].Adapters = nil }, same: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			e := fullEntry()
			before := ggsregistry.DigestOf([]ggsregistry.Entry{e})
			tc.change(&e.Instance)
			e.Revision++
			c.Assert(ggsregistry.DigestOf([]ggsregistry.Entry{e}) == before, qt.Equals, tc.same)
		})
	}
}

// Guards against digests that differ between VMs that have read the same entries in another order.
func TestDigestDoesNotDependOnTheOrderOfEntries(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	a, b := fullEntry(), fullEntry()
	b.ID = "f"
	c.Assert(ggsregistry.DigestOf([]ggsregistry.Entry{a, b}), qt.Equals, ggsregistry.DigestOf([]ggsregistry.Entry{b, a}))
	c.Assert(ggsregistry.DigestOf(nil), qt.Not(qt.Equals), ggscore.ListDigest(0))
}

// Guards against VMs that keep an outdated list for good, when each reads at other times and changes
// may be undone between the readings of one VM.
func TestNoVMStaysBehind(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		vms := make([]ggsregistry.Progress, rapid.IntRange(2, 5).Draw(t, "vms"))
		held := make([]ggscore.ListDigest, len(vms))
		content, revision := ggscore.ListDigest(1), ggscore.StoreRevision(1)
		read := func(n int) {
			vms[n].Read(position(1, revision), content)
			held[n] = content
		}
		gossip := func(from, to int) bool {
			at, d := vms[from].Announcement()
			return vms[to].ObservePeer(at, d)
		}
		vm := rapid.IntRange(0, len(vms)-1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			revision++
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				content = ggscore.ListDigest(rapid.Uint64Range(1, 3).Draw(t, "content"))
			case 1:
				read(vm.Draw(t, "reader"))
			default:
				gossip(vm.Draw(t, "from"), vm.Draw(t, "to"))
			}
		}
		// From here on the entries stay as they are. One VM reads, and the others only when told.
		revision++
		read(vm.Draw(t, "last reader"))
		reads := 0
		for range 2 * len(vms) {
			for from := range vms {
				for to := range vms {
					if from != to && gossip(from, to) {
						read(to)
						reads++
					}
				}
			}
		}
		if slices.ContainsFunc(held, func(d ggscore.ListDigest) bool { return d != content }) {
			t.Fatalf("the list is %d, VMs have %d", content, held)
		}
		if most := len(vms) * 2; reads > most {
			t.Fatalf("%d VMs read the list %d times", len(vms), reads)
		}
	})
}
