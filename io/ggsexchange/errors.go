package ggsexchange

import (
	"fmt"
	"net/netip"

	ggscore "greengageslip/core"
)

// A ConnLimitError says that all connections that an endpoint may get from
// this process are in use.
type ConnLimitError struct {
	Addr  netip.AddrPort
	Limit int
}

// Error implements error.
func (e *ConnLimitError) Error() string {
	return fmt.Sprintf("all %d connections to %s are in use", e.Limit, e.Addr)
}

// A HeadTooLongError says that the head of an answer didn't end.
type HeadTooLongError struct{ Limit int }

// Error implements error.
func (e *HeadTooLongError) Error() string {
	return fmt.Sprintf("the head of an answer is longer than %d bytes", e.Limit)
}

// A ForeignAnswersError says that an endpoint sent only answers to other
// requests.
type ForeignAnswersError struct {
	Want ggscore.RequestID
	Got  ggscore.RequestID
}

// Error implements error.
func (e *ForeignAnswersError) Error() string {
	return fmt.Sprintf("answer to request %q where that to %q was due", e.Got, e.Want)
}
