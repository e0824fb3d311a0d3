package ggsexchange

import (
	"fmt"
	"net/netip"

	ggscore "greengageslip/core"
)

// A ConnLimitError reports that all connections that this process may open to an endpoint are in
// use.
type ConnLimitError struct {
	Addr  netip.AddrPort
	Limit int
}

// Error implements error.
func (e *ConnLimitError) Error() string {
	return fmt.Sprintf("connection limit reached: all %d connections to %s are in use", e.Limit, e.Addr)
}

// An AbandonedError reports that the context's deadline passed while an exchange was waiting for its answer, and
// that the exchange goes on.
type AbandonedError struct{ Cause error }

// Error implements error.
func (e *AbandonedError) Error() string { return "no answer in time: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *AbandonedError) Unwrap() error { return e.Cause }

// A HeadTooLongError reports that the head of an answer exceeds the limit. Limit is in bytes.
type HeadTooLongError struct{ Limit int }

// Error implements error.
func (e *HeadTooLongError) Error() string {
	return fmt.Sprintf("reading answer: head is longer than %d bytes", e.Limit)
}

// A MismatchedAnswersError reports that an endpoint sent only answers that name other requests, or, on a connection
// that was used before, an answer that names none.
type MismatchedAnswersError struct {
	Want ggscore.RequestID
	// Got has the IDs of the last answer.
	Got []string
}

// Error implements error.
func (e *MismatchedAnswersError) Error() string {
	return fmt.Sprintf("reading answer: got the answer to requests %q, want %q", e.Got, e.Want)
}
