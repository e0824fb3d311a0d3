package ggscore

import (
	"fmt"
	"net/netip"
)

// A BadAdapterRefError says that a text names no adapter.
type BadAdapterRefError struct{ Text string }

// Error implements error.
func (e *BadAdapterRefError) Error() string {
	return fmt.Sprintf("bad adapter reference %q: want name or name@version", e.Text)
}

// A ConflictError says that a compare-and-swap met another revision. Nothing
// was written.
type ConflictError struct {
	Key  Key
	Want StoreRevision
	Have StoreRevision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict on %s: revision %d, expected %d", e.Key, e.Have, e.Want)
}

// An AmbiguousWriteError says that a write's answer was lost: it may have
// taken effect, or may yet do so.
type AmbiguousWriteError struct {
	Key   Key
	Cause error
}

// Error implements error.
func (e *AmbiguousWriteError) Error() string {
	return fmt.Sprintf("write of %s is ambiguous: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *AmbiguousWriteError) Unwrap() error { return e.Cause }

// A StoreAwayError says that the platform's service did not take a call. The
// call had no effect.
type StoreAwayError struct{ Cause error }

// Error implements error.
func (e *StoreAwayError) Error() string {
	return fmt.Sprintf("platform service away: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *StoreAwayError) Unwrap() error { return e.Cause }

// A StoreBusyError says that the platform's service refused a call for its
// rate. The call had no effect.
type StoreBusyError struct{}

// Error implements error.
func (e *StoreBusyError) Error() string { return "platform service over its rate" }

// A LeaseLapsedError says that a lease is no longer held.
type LeaseLapsedError struct {
	Owner VMID
	Lease LeaseID
	Fence FenceNumber
}

// Error implements error.
func (e *LeaseLapsedError) Error() string {
	return fmt.Sprintf("lease %d of %s with fencing number %d lapsed", e.Lease, e.Owner, e.Fence)
}

// A FencedError says that an endpoint refused an order because it has seen a
// greater fencing number.
type FencedError struct {
	Have FenceNumber
	Seen FenceNumber
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("fencing number %d refused: endpoint has seen %d", e.Have, e.Seen)
}

// An AmbiguousOrderError says that an order to an endpoint may have taken
// effect, or may yet do so.
type AmbiguousOrderError struct {
	Addr  netip.AddrPort
	Cause error
}

// Error implements error.
func (e *AmbiguousOrderError) Error() string {
	return fmt.Sprintf("order to %s is ambiguous: %v", e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *AmbiguousOrderError) Unwrap() error { return e.Cause }

// An OrderRefusedError says that an endpoint refused an order, which had no
// effect.
type OrderRefusedError struct {
	Addr   netip.AddrPort
	Status int
	Detail string
}

// Error implements error.
func (e *OrderRefusedError) Error() string {
	return fmt.Sprintf("order refused by %s with status %d: %s", e.Addr, e.Status, e.Detail)
}

// A CallError says that a call of an endpoint failed. NotSent is set only
// where no byte of the request can have reached the endpoint, or where the
// endpoint itself answered that it did not run the request.
type CallError struct {
	Addr    netip.AddrPort
	NotSent bool
	Kind    FailureKind
	Cause   error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call of %s failed (%s, notSent=%t): %v", e.Addr, e.Kind, e.NotSent, e.Cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Outcome returns what is known of the request's run.
func (e *CallError) Outcome() Outcome {
	if e.NotSent {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}
