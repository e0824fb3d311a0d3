package ggsowner

import (
	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

// PreferredCandidate returns the candidate that takes a group over, and false if there is none.
// It uses rendezvous hashing, so that the groups of a failed VM are distributed
// over all other VMs. Candidates on the VM with the ID except are skipped.
func PreferredCandidate(group ggscore.Key, candidates []Holder, except ggscore.VMID) (Holder, bool) {
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

// GroupIndex returns the index of an endpoint's group among the n groups of its
// failure domain. All dispatchers of a failure domain must use the same n.
func GroupIndex(id ggscore.EndpointID, n int) int {
	return int(xxhash.Sum64String(string(id)) % uint64(n))
}
