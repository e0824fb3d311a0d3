package ggsheartbeat

import (
	"fmt"
	"net/netip"
)

// A BadDatagramError reports that a datagram can't be decoded.
type BadDatagramError struct {
	Bytes  int
	Detail string
}

// Error implements error.
func (e *BadDatagramError) Error() string {
	return fmt.Sprintf("decoding heartbeat of %d bytes: %s", e.Bytes, e.Detail)
}

// A ListenError reports that the UDP socket could not be opened.
type ListenError struct {
	Addr  netip.AddrPort
	Cause error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("listening for heartbeats on %s: %v", e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
