package ggsedge

import (
	"fmt"
	"net/netip"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/io/ggsexchange"
)

// A NotReadyError reports why the edge doesn't accept new connections.
type NotReadyError struct{ Reason string }

// Error implements error.
func (e *NotReadyError) Error() string { return e.Reason }

// A NoOwnerError reports that no VM owns the endpoint, so no VM can load an adapter there.
type NoOwnerError struct{ Endpoint ggscore.EndpointID }

// Error implements error.
func (e *NoOwnerError) Error() string {
	return fmt.Sprintf("no VM owns endpoint %s", e.Endpoint)
}

// A ProcessError reports an answer of an endpoint that isn't confirmed to be the process that its entry names.
type ProcessError struct{ Endpoint ggscore.EndpointID }

// Error implements error.
func (e *ProcessError) Error() string {
	return fmt.Sprintf("%s isn't confirmed to be the process that is listed", e.Endpoint)
}

// A VMAddrError reports an endpoint's entry with the address of a VM.
type VMAddrError struct{ Addr netip.AddrPort }

// Error implements error.
func (e *VMAddrError) Error() string { return e.Addr.String() + " is the address of a VM" }

// A LoadTimeoutError reports that an adapter wasn't loaded before the deadline.
type LoadTimeoutError struct {
	Endpoint ggscore.EndpointID
	Target   ggscore.ModelAdapter
	Waited   time.Duration
}

// Error implements error.
func (e *LoadTimeoutError) Error() string {
	return fmt.Sprintf("load timed out: %s not loaded on %s after %s", e.Target, e.Endpoint, e.Waited)
}

// A LoadQueueFullError reports that too many adapters wait to be loaded on an endpoint.
type LoadQueueFullError struct{ Endpoint ggscore.EndpointID }

// Error implements error.
func (e *LoadQueueFullError) Error() string {
	return fmt.Sprintf("load queue full: too many adapters wait to be loaded on %s", e.Endpoint)
}

// A PermitError reports that a request got no permit for a shed-limited endpoint.
type PermitError struct {
	Endpoint   ggscore.EndpointID
	Outcome    string
	RetryAfter time.Duration
}

// Error implements error.
func (e *PermitError) Error() string {
	return fmt.Sprintf("no permit for %s: %s, retry after %s", e.Endpoint, e.Outcome, e.RetryAfter)
}

// A TruncatedStreamError reports that a stream ended inside an event, or with its connection before
// its first event. Events is the number of complete events.
type TruncatedStreamError struct {
	Events  int
	Framing ggsexchange.Framing
}

// Error implements error.
func (e *TruncatedStreamError) Error() string {
	return fmt.Sprintf("stream truncated after %d complete events (framing: %s)", e.Events, e.Framing)
}

// A LongFailureError reports an endpoint's failure whose body, of unknown length, exceeds a limit in bytes.
type LongFailureError struct {
	Status int
	Limit  int
}

// Error implements error.
func (e *LongFailureError) Error() string {
	return fmt.Sprintf("endpoint answered with status %d and more than %d bytes", e.Status, e.Limit)
}

// A ModelMissingError reports that an endpoint doesn't hold the base model of a request, and isn't to load it.
type ModelMissingError struct {
	Endpoint ggscore.EndpointID
	Model    ggscore.BaseModel
}

// Error implements error.
func (e *ModelMissingError) Error() string {
	return fmt.Sprintf("endpoint %s doesn't hold model %s", e.Endpoint, e.Model)
}

// A CallerError reports that an answer couldn't be sent to its caller.
type CallerError struct{ Err error }

// Error implements error.
func (e *CallerError) Error() string { return "forwarding the answer to the caller: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallerError) Unwrap() error { return e.Err }

// A DeadlineError reports that a request's deadline has passed.
type DeadlineError struct{ Limit time.Duration }

// Error implements error.
func (e *DeadlineError) Error() string {
	return fmt.Sprintf("request deadline exceeded after %s", e.Limit)
}

// An UnknownPeerError reports that a VM is no longer known.
type UnknownPeerError struct{ VM ggscore.VMID }

// Error implements error.
func (e *UnknownPeerError) Error() string { return fmt.Sprintf("VM %s isn't known", e.VM) }

// A PartNotReadError reports that a VM has not read the entries below a prefix yet.
type PartNotReadError struct{ Prefix ggscore.Key }

// Error implements error.
func (e *PartNotReadError) Error() string {
	return fmt.Sprintf("entries below %s not read from the store yet", e.Prefix)
}

// A PartBehindError reports that a relay has not read the entries below a prefix up to a position.
type PartBehindError struct {
	Prefix ggscore.Key
	At     ggscore.StorePosition
	Want   ggscore.StorePosition
}

// Error implements error.
func (e *PartBehindError) Error() string {
	return fmt.Sprintf("entries below %s too old: read up to %s, want %s", e.Prefix, e.At, e.Want)
}
