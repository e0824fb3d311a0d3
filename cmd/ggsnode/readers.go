package ggsnode

import (
	"slices"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
	"greengageslip/io/ggsconfig"
	"greengageslip/io/ggssettings"
	"greengageslip/io/ggsvms"
)

// readersPerDomain is the number of VMs of a domain that read the platform's list.
const readersPerDomain = 2

// A listMembership divides a domain's dispatchers into the few that read the platform's list of
// VMs and the others. Readers are chosen by the same ranking as the watchers of the document, so
// they are usually the same VMs.
type listMembership struct {
	node    *ggssettings.Node
	role    role
	members ggsconfig.MemberLister
}

var _ ggsvms.Membership = (*listMembership)(nil)

// Others implements ggsvms.Membership.
func (r *listMembership) Others() []ggsvms.Peer {
	readers := r.readerIDs()
	return r.peers(func(m ggsconfig.Member) bool { return !slices.Contains(readers, m.VM) })
}

// Readers implements ggsvms.Membership.
func (r *listMembership) Readers() []ggsvms.Peer {
	readers := r.readerIDs()
	return r.peers(func(m ggsconfig.Member) bool { return slices.Contains(readers, m.VM) })
}

// IsReader implements ggsvms.Membership.
func (r *listMembership) IsReader() bool {
	return !r.role.peersOnly && slices.Contains(r.readerIDs(), r.node.VM)
}

// readerIDs returns the domain's dispatchers that read the list.
func (r *listMembership) readerIDs() []ggscore.VMID {
	var ids []ggscore.VMID
	if !r.role.peersOnly {
		ids = append(ids, r.node.VM)
	}
	for _, m := range r.members.Members() {
		// Dispatchers of the settings have their address as ID until their first heartbeat.
		if m.Domain == r.node.Domain && m.VM != ggscore.VMID(m.Addr.String()) {
			ids = append(ids, m.VM)
		}
	}
	return ggsdocument.Watchers(r.node.Domain, ids, readersPerDomain)
}

func (r *listMembership) peers(wanted func(ggsconfig.Member) bool) []ggsvms.Peer {
	var ps []ggsvms.Peer
	for _, m := range r.members.Members() {
		if (r.role.peersOnly || m.VM != r.node.VM) && wanted(m) {
			ps = append(ps, m.Addr)
		}
	}
	return ps
}
