package ggsretry

import (
	"fmt"

	ggscore "greengageslip/core"
)

// A Cause is the reason why a request isn't retried.
type Cause string

// Causes of a NoRetryError.
const (
	// CauseNotRetryable means that the request may have run, or would fail again.
	CauseNotRetryable Cause = "notRetryable"
	// CauseAttempts means that the request has used all its attempts.
	CauseAttempts Cause = "attempts"
	// CauseTime means that the wait wouldn't end before the request's deadline.
	CauseTime Cause = "time"
	// CauseBudget means that the market's retry budget is used up.
	CauseBudget Cause = "budget"
)

// A NoRetryError reports that a failed request isn't retried.
type NoRetryError struct {
	Market ggscore.Market
	Cause  Cause
}

// Error implements error.
func (e *NoRetryError) Error() string {
	return fmt.Sprintf("no retry for market %s: %s", e.Market, e.Cause)
}
