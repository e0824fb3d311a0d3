package ggsthrottle

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

// A share is this VM's part of an endpoint's limit.
type share struct {
	valid bool
	// round numbers the VMs that are entitled one after the other.
	round     int64
	perSecond float64
}

// shareOf returns this VM's part: an equal one for each of as many VMs as the limit has
// whole requests a second, and none for the others.
func (t *Table) shareOf(id ggscore.EndpointID, l ggscore.RateLimit, round int64) share {
	rate := max(l.RequestsPerSecond, leastRate)
	n := max(min(len(t.vms), int(rate)), 1)
	s := share{valid: true, round: round}
	if n == len(t.vms) || slices.Contains(entitled(t.vms, id, round)[:n], t.self) {
		s.perSecond = rate / float64(n)
	}
	return s
}

// entitled returns the VMs by their rank for an endpoint, which is the same at all VMs.
func entitled(vms []ggscore.VMID, id ggscore.EndpointID, round int64) []ggscore.VMID {
	prefix := string(id) + " " + strconv.FormatInt(round, 10) + " "
	ranks := make(map[ggscore.VMID]uint64, len(vms))
	for _, vm := range vms {
		ranks[vm] = xxhash.Sum64String(prefix + string(vm))
	}
	ranked := slices.Clone(vms)
	slices.SortFunc(ranked, func(a, b ggscore.VMID) int { return cmp.Or(cmp.Compare(ranks[b], ranks[a]), cmp.Compare(a, b)) })
	return ranked
}
