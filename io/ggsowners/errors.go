package ggsowners

import (
	"fmt"

	ggscore "greengageslip/core"
)

// An UnknownEndpointError reports an endpoint that isn't among those of SetEndpoints.
type UnknownEndpointError struct{ Endpoint ggscore.EndpointID }

// Error implements error.
func (e *UnknownEndpointError) Error() string {
	return fmt.Sprintf("ownership check: endpoint %s is not listed in this failure domain", e.Endpoint)
}

// A BadRecordError reports that a group's record can't be decoded.
type BadRecordError struct {
	Key   ggscore.Key
	Cause error
}

// Error implements error.
func (e *BadRecordError) Error() string {
	return fmt.Sprintf("can't decode ownership record %s: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *BadRecordError) Unwrap() error { return e.Cause }

// A LeaseKeyError reports that a lease was granted but its key couldn't be written.
type LeaseKeyError struct {
	Key   ggscore.Key
	Cause error
}

// Error implements error.
func (e *LeaseKeyError) Error() string {
	return fmt.Sprintf("can't write lease key %s: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *LeaseKeyError) Unwrap() error { return e.Cause }

// A ReleaseError reports that groups weren't released in time. Other dispatchers take
// them over after the lease has expired.
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
