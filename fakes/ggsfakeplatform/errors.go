package ggsfakeplatform

import "fmt"

// A conflictError says that a key's revision was another.
type conflictError struct {
	key  string
	have uint64
}

// Error implements error.
func (e *conflictError) Error() string {
	return fmt.Sprintf("%s stands at revision %d", e.key, e.have)
}

// A lapsedError says that a lease isn't known.
type lapsedError struct{ lease uint64 }

// Error implements error.
func (e *lapsedError) Error() string { return fmt.Sprintf("lease %d is not known", e.lease) }

type badCallError struct{ detail string }

// Error implements error.
func (e *badCallError) Error() string { return e.detail }
