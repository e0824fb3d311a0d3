package ggslimit

import (
	"fmt"
	"time"

	ggscore "greengageslip/core"
)

// A Cause is the limit that refused a request.
type Cause string

// Causes of an OverLimitError.
const (
	CauseRate     Cause = "rate"
	CauseInFlight Cause = "inFlight"
)

// An OverLimitError reports that a request was refused before it ran. RetryAfter is the time until
// the market's limit is expected to admit a request.
type OverLimitError struct {
	Market     ggscore.Market
	Cause      Cause
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverLimitError) Error() string {
	return fmt.Sprintf("market %s over its limit (%s): retry after %s", e.Market, e.Cause, e.RetryAfter)
}

// Failure returns the failure that is sent to the caller.
func (e *OverLimitError) Failure() *ggscore.Failure {
	return &ggscore.Failure{
		Kind:       ggscore.FailureOverLimit,
		Outcome:    ggscore.OutcomeNotRun,
		Detail:     e.Error(),
		RetryAfter: e.RetryAfter,
	}
}

// An UnknownMarketError reports that no limit is set for the market.
type UnknownMarketError struct{ Market ggscore.Market }

// Error implements error.
func (e *UnknownMarketError) Error() string {
	return fmt.Sprintf("unknown market %q", string(e.Market))
}
