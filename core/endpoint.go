package ggscore

import (
	"net/netip"
	"time"
)

// A VMRole says what runs on a VM.
type VMRole int

// The roles of VMs.
const (
	RoleEntry VMRole = iota
	RoleEndpoint
)

// A VMState is a VM's state on the platform's list.
type VMState int

// The states of VMs.
const (
	VMLive VMState = iota
	VMLeaving
)

// A VM is an entry on the platform's lagging list. For an entry VM, Addr is
// the control address of its dispatcher; for an endpoint it is the address
// that serves requests, and Service names what it serves.
type VM struct {
	ID      VMID
	Role    VMRole
	State   VMState
	Region  Region
	Domain  Domain
	Addr    netip.AddrPort
	Service Service
}

// A ServiceKind separates model engines from plain services.
type ServiceKind int

// The kinds of services.
const (
	KindModel ServiceKind = iota
	KindPlain
)

// An Endpoint is a runner or an instance of a plain service.
type Endpoint struct {
	ID      EndpointID
	Service Service
	Kind    ServiceKind
	Region  Region
	Domain  Domain
	Addr    netip.AddrPort
	// Slots is the number of requests that it serves at once (an engine's
	// batch size).
	Slots int
	// AdapterSlots is the number of adapters that a runner holds at once.
	AdapterSlots int
	// ChecksFence says that it refuses orders with an old fencing number.
	ChecksFence bool
	Leaving     bool
}

// A ResidentAdapter is an adapter on a runner, as the runner reports it.
type ResidentAdapter struct {
	Ref     AdapterRef
	Running int
}

// A RunnerReport is what a runner says of itself. It lags.
type RunnerReport struct {
	Endpoint EndpointID
	// Incarnation changes whenever the engine restarts.
	Incarnation string
	Running     int
	Resident    []ResidentAdapter
	Loading     []AdapterRef
	At          time.Time
}
