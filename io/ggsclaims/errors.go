package ggsclaims

import "fmt"

// A BadShardError reports that a stored value can't be decoded. Detail is the invalid part.
type BadShardError struct {
	Bytes  int
	Detail string
}

// Error implements error.
func (e *BadShardError) Error() string {
	return fmt.Sprintf("can't decode claims value of %d bytes: invalid %s", e.Bytes, e.Detail)
}

// A FlushError reports that operations were still pending when the context of Flush ended.
type FlushError struct {
	Pending int
	Cause   error
}

// Error implements error.
func (e *FlushError) Error() string {
	return fmt.Sprintf("flush claims: %d operations not recorded: %v", e.Pending, e.Cause)
}

// Unwrap returns the cause.
func (e *FlushError) Unwrap() error { return e.Cause }
