package ggscore

import "time"

// A PermitID identifies the request of a VM that a permit is for.
type PermitID struct {
	VM VMID
	// Number rises with the requests of the VM, also over restarts.
	Number uint64
}

// A PermitAsk asks the issuer of an endpoint's permits for one. The answer is a PermitDecision.
type PermitAsk struct {
	ID       PermitID
	Endpoint EndpointID
	Priority Priority
	// MaxWait is how long the request may wait for its permit.
	MaxWait time.Duration
}

// A PermitOutcome is the outcome of a PermitAsk.
type PermitOutcome int

// The outcomes.
const (
	// PermitRefused means that the endpoint has no free slot in time.
	PermitRefused PermitOutcome = iota
	// PermitGranted means that the request may be sent.
	PermitGranted
	// PermitWaiting means that another decision follows.
	PermitWaiting
	// PermitMisdirected means that the asked VM doesn't issue permits for the endpoint.
	PermitMisdirected
)

// A PermitDecision answers a PermitAsk.
type PermitDecision struct {
	ID       PermitID
	Endpoint EndpointID
	Outcome  PermitOutcome
	// RetryAfter is the time until a slot is expected to be free, if the permit was refused.
	RetryAfter time.Duration
}

// A PermitRelease ends a permit, or an ask that was given up.
type PermitRelease struct {
	ID       PermitID
	Endpoint EndpointID
	// Rejected is set if the endpoint refused the request for lack of capacity.
	Rejected bool
}

// A PermitRenewal lists the requests of a VM at an endpoint, whoever issued their permits.
type PermitRenewal struct {
	VM       VMID
	Endpoint EndpointID
	// InFlight and Asking are the numbers of the requests that are in flight, and of those that ask for a
	// permit.
	InFlight []uint64
	Asking   []uint64
	// Through is the VM's last number. Requests up to it that aren't listed have ended.
	Through uint64
}

// An InFlightCounter counts the requests in flight at endpoints.
type InFlightCounter interface {
	// InFlight returns the last known number of requests of all VMs at an endpoint. known is false if
	// no VM's report has arrived.
	InFlight(id EndpointID) (n int, known bool)
}
