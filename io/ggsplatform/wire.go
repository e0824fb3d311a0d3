package ggsplatform

import (
	"encoding/json"
	"net/netip"

	ggscore "greengageslip/core"
)

type entryWire struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease"`
}

type entriesWire struct {
	Entries  []entryWire `json:"entries"`
	Revision uint64      `json:"revision"`
}

type putWire struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Prev  uint64 `json:"prev"`
	Lease uint64 `json:"lease"`
}

type deleteWire struct {
	Key  string `json:"key"`
	Prev uint64 `json:"prev"`
}

type revisionWire struct {
	Revision uint64 `json:"revision"`
}

type grantWire struct {
	TTL string `json:"ttl"`
}

type leaseWire struct {
	Lease uint64 `json:"lease"`
}

type errorWire struct {
	Error struct {
		Kind     string `json:"kind"`
		Detail   string `json:"detail"`
		Revision uint64 `json:"revision"`
	} `json:"error"`
}

type vmWire struct {
	ID      string `json:"id"`
	Role    string `json:"role"`
	State   string `json:"state"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
	Addr    string `json:"addr"`
	Service string `json:"service"`
}

type vmsWire struct {
	VMs []json.RawMessage `json:"vms"`
}

// The roles and states in the list of VMs.
const (
	roleEntry    = "entry"
	roleEndpoint = "endpoint"
	stateLive    = "live"
	stateLeaving = "leaving"
)

func entryOf(w entryWire) ggscore.Entry {
	return ggscore.Entry{
		Key:      ggscore.Key(w.Key),
		Value:    w.Value,
		Revision: ggscore.StoreRevision(w.Revision),
		Lease:    ggscore.LeaseID(w.Lease),
	}
}

func entriesOf(ws []entryWire) []ggscore.Entry {
	es := make([]ggscore.Entry, 0, len(ws))
	for _, w := range ws {
		es = append(es, entryOf(w))
	}
	return es
}

// decodeVM decodes an entry of the list of VMs, or returns a *BadListError.
func decodeVM(b []byte) (ggscore.VM, error) {
	var w vmWire
	if err := json.Unmarshal(b, &w); err != nil {
		return ggscore.VM{}, &BadListError{VM: ggscore.VMID(w.ID), Field: "entry", Detail: err}
	}
	v, err := vmOf(w)
	if err != nil {
		return ggscore.VM{}, err
	}
	if err := v.Validate(); err != nil {
		return ggscore.VM{}, &BadListError{VM: v.ID, Field: "entry", Detail: err}
	}
	return v, nil
}

func vmOf(w vmWire) (ggscore.VM, error) {
	v := ggscore.VM{
		ID:      ggscore.VMID(w.ID),
		Region:  ggscore.Region(w.Region),
		Domain:  ggscore.Domain(w.Domain),
		Service: ggscore.Service(w.Service),
	}
	switch w.Role {
	case roleEntry:
		v.Role = ggscore.RoleEntry
	case roleEndpoint:
		v.Role = ggscore.RoleEndpoint
	default:
		return v, &BadListError{VM: v.ID, Field: "role", Value: w.Role}
	}
	switch w.State {
	case stateLive:
		v.State = ggscore.VMLive
	case stateLeaving:
		v.State = ggscore.VMLeaving
	default:
		return v, &BadListError{VM: v.ID, Field: "state", Value: w.State}
	}
	a, err := netip.ParseAddrPort(w.Addr)
	if err != nil {
		return v, &BadListError{VM: v.ID, Field: "addr", Value: w.Addr, Detail: err}
	}
	v.Addr = a
	return v, nil
}
