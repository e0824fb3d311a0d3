package ggsretry

import (
	"fmt"

	ggscore "greengageslip/core"
)

// A Cause says why a request isn't tried again.
type Cause string

// The causes.
const (
	// CauseNotRetryable means that it may have run, or would fail again.
	CauseNotRetryable Cause = "notRetryable"
	CauseAttempts     Cause = "attempts"
	CauseTime         Cause = "time"
	// CauseBudget means that the market has used up its retries.
	CauseBudget Cause = "budget"
)

// A NoRetryError says that a failed request isn't tried again.
type NoRetryError struct {
	Market ggscore.Market
	Cause  Cause
}

// Error implements error.
func (e *NoRetryError) Error() string {
	return fmt.Sprintf("no retry for market %s: %s", e.Market, e.Cause)
}
