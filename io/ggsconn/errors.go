package ggsconn

import (
	"fmt"
	"syscall"
)

// A SealedError reports that a connection rejects all writes because its request was abandoned.
type SealedError struct{}

// Error implements error.
func (e *SealedError) Error() string {
	return "write rejected: the connection was sealed after its request was abandoned"
}

// An IdleTimeoutError reports that a call was cancelled because no bytes arrived within the
// timeout.
type IdleTimeoutError struct{}

// Error implements error.
func (e *IdleTimeoutError) Error() string {
	return "call cancelled: the peer sent no bytes within the timeout"
}

// An InvalidHeadError reports that the head of an answer isn't one of HTTP/1.
type InvalidHeadError struct {
	Proto  string
	Status int
	// Field is the name of an invalid field, empty if it is the status line that is invalid.
	Field string
}

// Error implements error.
func (e *InvalidHeadError) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("reading answer with status %d: invalid name %q of a field", e.Status, e.Field)
	}
	return fmt.Sprintf("reading answer: invalid status line: %s with status %d", e.Proto, e.Status)
}

// A ResetError reports that a connection was reset, and that a write has met the reset before.
type ResetError struct{}

// Error implements error.
func (e *ResetError) Error() string { return "the connection was reset while it was written to" }

// Unwrap returns the error of the system for a reset.
func (e *ResetError) Unwrap() error { return syscall.ECONNRESET }
