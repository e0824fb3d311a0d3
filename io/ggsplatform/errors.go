package ggsplatform

import (
	"fmt"

	ggscore "greengageslip/core"
)

// A RefusedError says that the service refused a call as wrong. The call had
// no effect and will have none if repeated.
type RefusedError struct {
	Status int
	Detail string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("platform service refused with status %d: %s", e.Status, e.Detail)
}

// A StatusError says that the service answered with a status that says nothing
// about the call's effect.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform service answered with status %d", e.Status)
}

// An OversizeError says that an answer was longer than the client reads.
type OversizeError struct{ LimitBytes int64 }

// Error implements error.
func (e *OversizeError) Error() string {
	return fmt.Sprintf("answer of platform service exceeds %d bytes", e.LimitBytes)
}

// A BadListError says that the list of VMs has an entry that can't be read.
type BadListError struct {
	VM     ggscore.VMID
	Field  string
	Value  string
	Detail error
}

// Error implements error.
func (e *BadListError) Error() string {
	return fmt.Sprintf("list of VMs: %s has bad %s %q", e.VM, e.Field, e.Value)
}

// Unwrap returns the cause, if there is one.
func (e *BadListError) Unwrap() error { return e.Detail }

// A ReadOnlyError says that a store that takes no writes was asked for one.
type ReadOnlyError struct{ Key ggscore.Key }

// Error implements error.
func (e *ReadOnlyError) Error() string {
	return fmt.Sprintf("store is read-only: %q was not written", e.Key)
}
