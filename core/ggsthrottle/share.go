package ggsthrottle

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

// A share is this VM's share of an endpoint's limit.
type share struct {
	valid bool
	// rotation is the number of whole rotateAfter periods since the last announcement. It seeds
	// the selection of VMs.
	rotation  int64
	perSecond float64
}

// shareOf returns this VM's share. One VM is selected per whole request per second of the
// limit, and the selected VMs have equal shares. The share of other VMs is zero.
func (t *Table) shareOf(id ggscore.EndpointID, l ggscore.RateLimit, rotation int64) share {
	rate := max(l.RequestsPerSecond, minRate)
	n := max(min(len(t.vms), int(rate)), 1)
	s := share{valid: true, rotation: rotation}
	if n == len(t.vms) || slices.Contains(rankedVMs(t.vms, id, rotation)[:n], t.self) {
		s.perSecond = rate / float64(n)
	}
	return s
}

// rankedVMs returns the VMs in descending order of a hash of the endpoint, the rotation and the
// VM. The ranking is the same on all VMs.
func rankedVMs(vms []ggscore.VMID, id ggscore.EndpointID, rotation int64) []ggscore.VMID {
	prefix := string(id) + " " + strconv.FormatInt(rotation, 10) + " "
	ranks := make(map[ggscore.VMID]uint64, len(vms))
	for _, vm := range vms {
		ranks[vm] = xxhash.Sum64String(prefix + string(vm))
	}
	ranked := slices.Clone(vms)
	slices.SortFunc(ranked, func(a, b ggscore.VMID) int { return cmp.Or(cmp.Compare(ranks[b], ranks[a]), cmp.Compare(a, b)) })
	return ranked
}
