package ggsclaims

import "fmt"

// A BadShardError says that a shard's value can't be read.
type BadShardError struct {
	Bytes  int
	Detail string
}

// Error implements error.
func (e *BadShardError) Error() string {
	return fmt.Sprintf("bad claim shard of %d bytes: %s", e.Bytes, e.Detail)
}

// A FlushError says that outcomes were still unrecorded when a flush ended.
type FlushError struct {
	Pending int
	Cause   error
}

// Error implements error.
func (e *FlushError) Error() string {
	return fmt.Sprintf("%d claim operations not recorded: %v", e.Pending, e.Cause)
}

// Unwrap returns the cause.
func (e *FlushError) Unwrap() error { return e.Cause }
