package ggspeer

import (
	"fmt"
	"net/netip"
)

// An IndexError reports that a datagram refers to a base model by an index outside its list.
type IndexError struct {
	Index int
	Count int
}

// Error implements error.
func (e *IndexError) Error() string {
	return fmt.Sprintf("datagram rejected: base model index %d, but %d base models listed", e.Index, e.Count)
}

// A SocketError reports that the opened socket isn't a UDP socket.
type SocketError struct{ Addr netip.AddrPort }

// Error implements error.
func (e *SocketError) Error() string {
	return fmt.Sprintf("listening for datagrams on %s: not a UDP socket", e.Addr)
}

// A CountError reports that a datagram contains a negative count, or too many entries.
type CountError struct{ Count int }

// Error implements error.
func (e *CountError) Error() string {
	return fmt.Sprintf("datagram rejected: count %d is out of range", e.Count)
}

// A LimitError reports that a datagram contains a rate limit that is negative or not finite.
type LimitError struct{ PerSecond float64 }

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("datagram rejected: invalid rate limit of %g requests per second", e.PerSecond)
}

// An AgeError reports that a datagram contains an age that is negative or above one hour.
type AgeError struct{ Milliseconds int64 }

// Error implements error.
func (e *AgeError) Error() string {
	return fmt.Sprintf("datagram rejected: age of %d ms is out of range", e.Milliseconds)
}
