// Package ggsfleet derives the endpoints and dispatchers from the platform's list of VMs and
// the current configuration document. The list of VMs can lag behind the actual state.
//
// # Usage
//
//	es := ggsfleet.Endpoints(vms, document, domain)
//	ds := ggsfleet.Dispatchers(vms)
//
// The functions have no state and no side effects, and are safe for concurrent use.
package ggsfleet

import (
	"cmp"
	"slices"

	ggscore "greengageslip/core"
)

// Dispatchers returns the VMs with the entry role, ordered by ID.
func Dispatchers(vms []ggscore.VM) []ggscore.VM {
	ds := make([]ggscore.VM, 0, len(vms))
	for i := range vms {
		if vms[i].Role == ggscore.RoleEntry {
			ds = append(ds, vms[i])
		}
	}
	slices.SortFunc(ds, func(a, b ggscore.VM) int { return cmp.Compare(a.ID, b.ID) })
	return ds
}

// Endpoints returns the endpoints of one failure domain, ordered by ID. It omits endpoints
// whose service isn't in the document.
func Endpoints(vms []ggscore.VM, d *ggscore.Document, domain ggscore.Domain) []ggscore.Endpoint {
	es := make([]ggscore.Endpoint, 0, len(vms))
	for i := range vms {
		v := &vms[i]
		s, known := d.Services[v.Service]
		if v.Role != ggscore.RoleEndpoint || v.Domain != domain || !known {
			continue
		}
		es = append(es, ggscore.Endpoint{
			ID: ggscore.EndpointID(v.ID), Service: v.Service, Kind: s.Kind,
			Region: v.Region, Domain: v.Domain, Addr: v.Addr,
			Slots: s.Slots, AdapterSlots: s.AdapterSlots, ChecksFence: s.ChecksFence,
			Leaving: v.State == ggscore.VMLeaving,
		})
	}
	slices.SortFunc(es, func(a, b ggscore.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return es
}
