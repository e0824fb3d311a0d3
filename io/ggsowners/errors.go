package ggsowners

import (
	"fmt"

	ggscore "greengageslip/core"
)

// An UnknownEndpointError says that an endpoint is not of this domain.
type UnknownEndpointError struct{ Endpoint ggscore.EndpointID }

// Error implements error.
func (e *UnknownEndpointError) Error() string {
	return fmt.Sprintf("endpoint %s is not known", e.Endpoint)
}

// A BadRecordError says that a group's record can't be read.
type BadRecordError struct {
	Key   ggscore.Key
	Cause error
}

// Error implements error.
func (e *BadRecordError) Error() string { return fmt.Sprintf("bad record %s: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *BadRecordError) Unwrap() error { return e.Cause }

// A LeaseKeyError says that a lease was granted but its key could not be put.
type LeaseKeyError struct {
	Key   ggscore.Key
	Cause error
}

// Error implements error.
func (e *LeaseKeyError) Error() string { return fmt.Sprintf("lease key %s: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *LeaseKeyError) Unwrap() error { return e.Cause }

// A ReleaseError says that groups were not given up in time. Others take them
// over once the lease has lapsed.
type ReleaseError struct {
	Groups int
	Cause  error
}

// Error implements error.
func (e *ReleaseError) Error() string {
	return fmt.Sprintf("%d groups not released: %v", e.Groups, e.Cause)
}

// Unwrap returns the cause.
func (e *ReleaseError) Unwrap() error { return e.Cause }
