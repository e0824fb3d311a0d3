package ggsrpc

import (
	"fmt"
	"net/netip"
	"time"
)

// A DialError reports that no connection was made, so the call had no effect.
type DialError struct {
	Addr  netip.AddrPort
	Cause error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("dialing %s: %v", e.Addr, e.Cause) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// A BrokenError reports that no answer to a call arrived. The call may have taken effect.
type BrokenError struct {
	Addr   netip.AddrPort
	Method string
	Cause  error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("call of %s at %s ended without an answer: %v", e.Method, e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// A RemoteError is an error that the other process returned as its answer.
type RemoteError struct {
	Addr   netip.AddrPort
	Method string
	Text   string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("call of %s at %s returned an error: %s", e.Method, e.Addr, e.Text)
}

// An IdleTimeoutError reports that no bytes arrived from the other process for IdleTimeout.
type IdleTimeoutError struct{ IdleTimeout time.Duration }

// Error implements error.
func (e *IdleTimeoutError) Error() string {
	return fmt.Sprintf("no bytes received for %s", e.IdleTimeout)
}

// A MessageTooLongError reports a message above the limit in bytes, or bytes that are no message.
type MessageTooLongError struct{ Limit int }

// Error implements error.
func (e *MessageTooLongError) Error() string {
	return fmt.Sprintf("received a message of more than %d bytes, or none", e.Limit)
}
