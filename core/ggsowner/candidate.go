package ggsowner

import (
	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

// First returns the candidate that a group falls to, by rendezvous hashing, so
// that the groups of a VM that fails spread over all others. The VM except is
// left out.
func First(group ggscore.Key, candidates []Holder, except ggscore.VMID) (Holder, bool) {
	var first Holder
	var best uint64
	found := false
	for _, c := range candidates {
		s := xxhash.Sum64String(string(group) + "\x00" + string(c.VM))
		if c.VM != except && (!found || s > best) {
			first, best, found = c, s, true
		}
	}
	return first, found
}

// GroupOf returns the group of an endpoint among n groups of its domain. All
// dispatchers of a domain have to agree on n.
func GroupOf(id ggscore.EndpointID, n int) int {
	return int(xxhash.Sum64String(string(id)) % uint64(n))
}
