package ggsplatform

import (
	"fmt"

	ggscore "greengageslip/core"
)

// A RefusedError reports that the service rejected a call as invalid. The call had no
// effect, and a repetition would have none.
type RefusedError struct {
	Status int
	Detail string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("platform service rejected the call with status %d: %s", e.Status, e.Detail)
}

// A StatusError reports an answer with an error status. The status alone doesn't
// determine whether the call had an effect.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform service answered with status %d", e.Status)
}

// An OversizeError reports that an answer exceeds the client's limit.
type OversizeError struct{ LimitBytes int64 }

// Error implements error.
func (e *OversizeError) Error() string {
	return fmt.Sprintf("answer of platform service exceeds %d bytes", e.LimitBytes)
}

// A BadListError reports an entry of the list of VMs that can't be decoded.
type BadListError struct {
	VM     ggscore.VMID
	Field  string
	Value  string
	Detail error
}

// Error implements error.
func (e *BadListError) Error() string {
	s := fmt.Sprintf("VM %.100q in the list of VMs has invalid %s %.100q", e.VM, e.Field, e.Value)
	if e.Detail != nil {
		s += fmt.Sprintf(": %.200v", e.Detail)
	}
	return s
}

// Unwrap returns the cause, if there is one.
func (e *BadListError) Unwrap() error { return e.Detail }

// A ReadOnlyError reports a write to a read-only store. Key is empty for calls on leases.
type ReadOnlyError struct{ Key ggscore.Key }

// Error implements error.
func (e *ReadOnlyError) Error() string {
	return fmt.Sprintf("store is read-only: %q was not written", e.Key)
}
