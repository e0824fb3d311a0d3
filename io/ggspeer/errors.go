package ggspeer

import (
	"fmt"
	"net/netip"
)

// An IndexError says that a datagram refers to a base model that it doesn't list.
type IndexError struct {
	Index int
	Count int
}

// Error implements error.
func (e *IndexError) Error() string {
	return fmt.Sprintf("base model %d of %d in a datagram", e.Index, e.Count)
}

// A SocketError says that a socket isn't one for datagrams.
type SocketError struct{ Addr netip.AddrPort }

// Error implements error.
func (e *SocketError) Error() string { return fmt.Sprintf("socket on %s takes no datagrams", e.Addr) }

// A CountError says that a datagram has a count below zero.
type CountError struct{ Count int }

// Error implements error.
func (e *CountError) Error() string { return fmt.Sprintf("count %d is below zero", e.Count) }

// A LimitError is a rate limit that isn't one.
type LimitError struct{ PerSecond float64 }

// Error implements error.
func (e *LimitError) Error() string { return fmt.Sprintf("rate limit of %g a second", e.PerSecond) }

// An AgeError is an age that can't be.
type AgeError struct{ Milliseconds int64 }

// Error implements error.
func (e *AgeError) Error() string { return fmt.Sprintf("age of %d ms", e.Milliseconds) }
