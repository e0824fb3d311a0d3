package ggsdocument

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"slices"

	ggscore "greengageslip/core"
)

// Watchers returns the VMs of a domain that watch the platform on behalf of the whole
// domain: the first n of the live members by rendezvous hashing. At most one watcher
// changes when a member joins or leaves.
func Watchers(d ggscore.Domain, members []ggscore.VMID, n int) []ggscore.VMID {
	type ranked struct {
		vm   ggscore.VMID
		rank [sha256.Size]byte
	}
	l := make([]ranked, 0, len(members))
	for _, m := range members {
		l = append(l, ranked{vm: m, rank: sha256.Sum256([]byte(string(d) + "\x00" + string(m)))})
	}
	slices.SortFunc(l, func(a, b ranked) int {
		return cmp.Or(bytes.Compare(a.rank[:], b.rank[:]), cmp.Compare(a.vm, b.vm))
	})
	l = slices.CompactFunc(l, func(a, b ranked) bool { return a.vm == b.vm })
	w := make([]ggscore.VMID, 0, n)
	for _, r := range l[:min(n, len(l))] {
		w = append(w, r.vm)
	}
	return w
}
