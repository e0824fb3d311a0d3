package ggsorigin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

const (
	// Copies is the number of VMs that hold a record besides the VM that began the stream. Several
	// VMs may fail together.
	Copies = 3
	// Asked is the number of VMs that are asked for a record. It exceeds Copies because VMs differ
	// for a moment in which of them are live.
	Asked = 6
)

// Holders returns the first n VMs by rendezvous hash for a request. All VMs compute the same order.
func Holders(id ggscore.RequestID, vms []ggscore.VMID, n int) []ggscore.VMID {
	type ranking struct {
		vm   ggscore.VMID
		hash uint64
	}
	rs := make([]ranking, 0, len(vms))
	for _, vm := range vms {
		rs = append(rs, ranking{vm, xxhash.Sum64String(string(id) + " " + string(vm))})
	}
	slices.SortFunc(rs, func(a, b ranking) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.vm, b.vm))
	})
	hs := make([]ggscore.VMID, 0, n)
	for _, r := range rs[:min(n, len(rs))] {
		hs = append(hs, r.vm)
	}
	return hs
}
