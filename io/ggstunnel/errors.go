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

// An UnreachableError reports that neither this VM nor a peer connected to an endpoint.
type UnreachableError struct {
	Addr netip.AddrPort
	// Peers is the number of peers that were asked. Cause is nil if none could be.
	Peers int
	Cause error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("endpoint %s unreachable: the path is broken, and no peer is known", e.Addr)
	}
	return fmt.Sprintf("endpoint %s unreachable, also through %d peers: %v", e.Addr, e.Peers, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

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
