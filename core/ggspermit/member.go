package ggspermit

import (
	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

// A Member is a live VM.
type Member struct {
	VM     ggscore.VMID
	Domain ggscore.Domain
	Region ggscore.Region
}

// IssuerOf returns the member that issues permits for an endpoint, empty without members. Members in the
// endpoint's failure domain take precedence, then those in its region. Rendezvous hashing selects one of
// them.
func IssuerOf(id ggscore.EndpointID, d ggscore.Domain, r ggscore.Region, ms []Member) ggscore.VMID {
	issuer, best, bestHash := ggscore.VMID(""), -1, uint64(0)
	for i := range ms {
		m := &ms[i]
		n := proximity(m, d, r)
		if n < best {
			continue
		}
		h := xxhash.Sum64String(string(m.VM) + " " + string(id))
		if n > best || h > bestHash || h == bestHash && m.VM < issuer {
			issuer, best, bestHash = m.VM, n, h
		}
	}
	return issuer
}

// proximity ranks a member by its location, greater for nearer.
func proximity(m *Member, d ggscore.Domain, r ggscore.Region) int {
	switch {
	case m.Domain == d:
		return 2
	case m.Region == r:
		return 1
	}
	return 0
}
