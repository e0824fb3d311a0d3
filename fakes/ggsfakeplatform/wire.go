package ggsfakeplatform

import (
	"net/netip"
	"time"

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
	Error errorBodyWire `json:"error"`
}

type errorBodyWire struct {
	Kind     string `json:"kind"`
	Detail   string `json:"detail"`
	Revision uint64 `json:"revision"`
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
	VMs []vmWire `json:"vms"`
}

type faultsWire struct {
	Outage           bool   `json:"outage"`
	Hang             bool   `json:"hang"`
	Slow             string `json:"slow"`
	LoseWriteAnswers int    `json:"loseWriteAnswers"`
	DelayWrites      int    `json:"delayWrites"`
	Delay            string `json:"delay"`
	LosePrefix       string `json:"losePrefix"`
}

type callsWire struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Refused uint64 `json:"refused"`
	Failed  uint64 `json:"failed"`
	Waiting int    `json:"waiting"`
}

// Roles and states in the list of VMs.
const (
	roleEntry    = "entry"
	roleEndpoint = "endpoint"
	stateLive    = "live"
	stateLeaving = "leaving"
)

func faultsOf(w faultsWire) (Faults, error) {
	slow, err := durationOf(w.Slow)
	if err != nil {
		return Faults{}, err
	}
	delay, err := durationOf(w.Delay)
	if err != nil {
		return Faults{}, err
	}
	return Faults{
		Outage:           w.Outage,
		Hang:             w.Hang,
		Slow:             slow,
		LoseWriteAnswers: w.LoseWriteAnswers,
		DelayWrites:      w.DelayWrites,
		Delay:            delay,
		LosePrefix:       w.LosePrefix,
	}, nil
}

func durationOf(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, &badCallError{detail: err.Error()}
	}
	return d, nil
}

func vmOf(w vmWire) (ggscore.VM, error) {
	a, err := netip.ParseAddrPort(w.Addr)
	if err != nil {
		return ggscore.VM{}, &badCallError{detail: err.Error()}
	}
	v := ggscore.VM{
		ID:      ggscore.VMID(w.ID),
		Region:  ggscore.Region(w.Region),
		Domain:  ggscore.Domain(w.Domain),
		Addr:    a,
		Service: ggscore.Service(w.Service),
	}
	switch w.Role {
	case roleEntry:
		v.Role = ggscore.RoleEntry
	case roleEndpoint:
		v.Role = ggscore.RoleEndpoint
	default:
		return v, &badCallError{detail: "unknown role " + w.Role}
	}
	switch w.State {
	case stateLive, "":
		v.State = ggscore.VMLive
	case stateLeaving:
		v.State = ggscore.VMLeaving
	default:
		return v, &badCallError{detail: "unknown state " + w.State}
	}
	return v, nil
}

func wireOfVM(v ggscore.VM) vmWire {
	w := vmWire{
		ID:      string(v.ID),
		Role:    roleEntry,
		State:   stateLive,
		Region:  string(v.Region),
		Domain:  string(v.Domain),
		Addr:    v.Addr.String(),
		Service: string(v.Service),
	}
	if v.Role == ggscore.RoleEndpoint {
		w.Role = roleEndpoint
	}
	if v.State == ggscore.VMLeaving {
		w.State = stateLeaving
	}
	return w
}
