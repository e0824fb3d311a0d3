package ggscore

import (
	"net/netip"
	"time"
)

// A VMRole is the kind of process on a VM.
type VMRole int

// The roles of VMs.
const (
	RoleEntry VMRole = iota
	RoleEndpoint
)

// A VMState is a VM's state in the platform's list.
type VMState int

// The states of VMs.
const (
	VMLive VMState = iota
	VMLeaving
)

// A VM is an entry in the platform's list of VMs, which is updated with a delay. For an entry VM,
// Addr is the control address of its dispatcher. For an endpoint, Addr is the address that
// serves requests, and Service names the service.
type VM struct {
	ID      VMID
	Role    VMRole
	State   VMState
	Region  Region
	Domain  Domain
	Addr    netip.AddrPort
	Service Service
}

// A ServiceKind distinguishes model services from plain services, whose endpoints have neither
// models nor adapters.
type ServiceKind int

// The kinds of services.
const (
	KindModel ServiceKind = iota
	KindPlain
)

// An Endpoint is a runner, which is one engine of a model service, or an instance of a plain
// service.
type Endpoint struct {
	ID      EndpointID
	Service Service
	Kind    ServiceKind
	Region  Region
	Domain  Domain
	Addr    netip.AddrPort
	// Slots is the number of requests that the endpoint serves at once (an engine's batch
	// size).
	Slots int
	// AdapterSlots is the number of adapters that a runner holds at once.
	AdapterSlots int
	// ChecksFence is set if the endpoint refuses orders with an old fencing token.
	ChecksFence bool
	Leaving     bool
}

// A ResidentAdapter is an adapter on a runner, as the runner reports it.
type ResidentAdapter struct {
	Ref     AdapterRef
	Running int
}

// A RunnerReport is a runner's status report. It may be out of date.
type RunnerReport struct {
	Endpoint EndpointID
	// Incarnation changes whenever the engine restarts.
	Incarnation string
	Running     int
	Resident    []ResidentAdapter
	Loading     []AdapterRef
	At          time.Time
}
