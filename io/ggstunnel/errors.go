package ggstunnel

import (
	"fmt"
	"net/netip"

	ggscore "greengageslip/core"
)

// A RefusedError reports that a peer opened no tunnel. Status is the status of its answer.
type RefusedError struct {
	VM     ggscore.VMID
	Addr   netip.AddrPort
	Status int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("VM %s opened no tunnel to %s: status %d", e.VM, e.Addr, e.Status)
}

// A NoAnswerError reports that a peer didn't answer whether it opened a tunnel. The peer may still
// be connecting to the endpoint.
type NoAnswerError struct {
	VM    ggscore.VMID
	Addr  netip.AddrPort
	Cause error
}

// Error implements error.
func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("VM %s didn't answer the request for a tunnel to %s: %v", e.VM, e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Cause }

// An EarlyBytesError reports bytes behind a peer's answer, before a request was sent.
type EarlyBytesError struct{ Bytes int }

// Error implements error.
func (e *EarlyBytesError) Error() string {
	return fmt.Sprintf("%d bytes arrived before a request was sent", e.Bytes)
}
