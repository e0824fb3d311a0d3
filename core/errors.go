package ggscore

import (
	"fmt"
	"net/netip"
)

// A BadAdapterRefError reports that a text isn't a valid adapter reference.
type BadAdapterRefError struct{ Text string }

// Error implements error.
func (e *BadAdapterRefError) Error() string {
	return fmt.Sprintf("bad adapter reference %q: want name or name@version", e.Text)
}

// A ConflictError reports that a compare-and-swap failed because the key is at another revision.
// Nothing was written.
type ConflictError struct {
	Key  Key
	Want StoreRevision
	Have StoreRevision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("write of %s refused: key is at revision %d, expected %d", e.Key, e.Have, e.Want)
}

// An AmbiguousWriteError reports that a write's answer was lost. The write may have taken effect,
// or may still do so.
type AmbiguousWriteError struct {
	Key   Key
	Cause error
}

// Error implements error.
func (e *AmbiguousWriteError) Error() string {
	return fmt.Sprintf("write of %s not acknowledged and may have taken effect: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *AmbiguousWriteError) Unwrap() error { return e.Cause }

// A StoreUnavailableError reports that the platform's key-value service was unavailable for a
// call. The call had no effect.
type StoreUnavailableError struct{ Cause error }

// Error implements error.
func (e *StoreUnavailableError) Error() string {
	return fmt.Sprintf("platform service away: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *StoreUnavailableError) Unwrap() error { return e.Cause }

// A StoreBusyError reports that the platform's key-value service refused a call because the
// service's rate limit was exceeded. The call had no effect.
type StoreBusyError struct{}

// Error implements error.
func (e *StoreBusyError) Error() string {
	return "platform service refused the call: rate limit exceeded"
}

// A LeaseExpiredError reports that a lease is no longer held.
type LeaseExpiredError struct {
	Owner VMID
	Lease LeaseID
	Fence FencingToken
}

// Error implements error.
func (e *LeaseExpiredError) Error() string {
	return fmt.Sprintf("lease %d of %s with fencing token %d has expired", e.Lease, e.Owner, e.Fence)
}

// A FencedError reports that an endpoint refused an order because the endpoint has seen a greater
// fencing token.
type FencedError struct {
	Have FencingToken
	Seen FencingToken
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("order with fencing token %d refused: endpoint has seen %d", e.Have, e.Seen)
}

// An AmbiguousOrderError reports that an order to an endpoint may have taken effect, or may still
// do so.
type AmbiguousOrderError struct {
	Addr  netip.AddrPort
	Cause error
}

// Error implements error.
func (e *AmbiguousOrderError) Error() string {
	return fmt.Sprintf("order to %s not acknowledged and may have taken effect: %v", e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *AmbiguousOrderError) Unwrap() error { return e.Cause }

// An OrderRefusedError reports that an order was refused by an endpoint or was never sent. The
// order had no effect.
type OrderRefusedError struct {
	Addr   netip.AddrPort
	Status int
	Detail string
}

// Error implements error.
func (e *OrderRefusedError) Error() string {
	return fmt.Sprintf("order refused by %s with status %d: %s", e.Addr, e.Status, e.Detail)
}

// An InvalidFieldError reports a value that another system has written and that can't be meant.
type InvalidFieldError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidFieldError) Error() string { return e.Field + ": " + e.Reason }

// A PartialListError reports entries of a list that can't be read. The list that is returned beside it has the others.
type PartialListError struct{ Skipped []error }

// Error implements error.
func (e *PartialListError) Error() string {
	return fmt.Sprintf("%d entries can't be read, the first: %v", len(e.Skipped), e.Skipped[0])
}

// Unwrap returns the errors of the entries.
func (e *PartialListError) Unwrap() []error { return e.Skipped }

// A CallError reports that a call to an endpoint failed. NotSent is set only if no byte of the
// request can have reached the endpoint, or if the endpoint itself answered that it did not run
// the request.
type CallError struct {
	Addr    netip.AddrPort
	NotSent bool
	Kind    FailureKind
	Cause   error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call to %s failed (%s, notSent=%t): %v", e.Addr, e.Kind, e.NotSent, e.Cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Outcome returns OutcomeNotRun if NotSent is set, and OutcomeUnknown otherwise.
func (e *CallError) Outcome() Outcome {
	if e.NotSent {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// An UnreachableError reports that no connection to an endpoint was opened, neither directly nor
// through peers.
type UnreachableError struct {
	Addr netip.AddrPort
	// Peers is the number of peers that were asked. Confirmed is set if one of them failed to connect
	// to the endpoint too, so that the endpoint is down.
	Peers     int
	Confirmed bool
	// Cause is nil if nothing could be tried.
	Cause error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("endpoint %s unreachable: the path is broken, and no peer is known", e.Addr)
	}
	return fmt.Sprintf("endpoint %s unreachable, also through %d peers: %v", e.Addr, e.Peers, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }
