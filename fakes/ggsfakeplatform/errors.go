package ggsfakeplatform

import "fmt"

// A conflictError reports that a key's revision differs from the expected one.
type conflictError struct {
	key      string
	revision uint64
}

// Error implements error.
func (e *conflictError) Error() string {
	return fmt.Sprintf("%s is at revision %d", e.key, e.revision)
}

// A leaseExpiredError reports that a lease doesn't exist: it has expired, was revoked or was
// never granted.
type leaseExpiredError struct{ lease uint64 }

// Error implements error.
func (e *leaseExpiredError) Error() string { return fmt.Sprintf("lease %d does not exist", e.lease) }

// A badCallError reports an invalid request.
type badCallError struct{ detail string }

// Error implements error.
func (e *badCallError) Error() string { return e.detail }
