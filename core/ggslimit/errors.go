package ggslimit

import (
	"fmt"
	"time"

	ggscore "greengageslip/core"
)

// A Cause says which bound refused a request.
type Cause string

// The causes of refusals.
const (
	CauseRate     Cause = "rate"
	CauseInFlight Cause = "inFlight"
)

// An OverLimitError refuses a request that has not run.
type OverLimitError struct {
	Market     ggscore.Market
	Cause      Cause
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverLimitError) Error() string {
	return fmt.Sprintf("market %s over its limit (%s): retry after %s", e.Market, e.Cause, e.RetryAfter)
}

// Failure returns the refusal as callers see it.
func (e *OverLimitError) Failure() *ggscore.Failure {
	return &ggscore.Failure{
		Kind:       ggscore.FailureOverLimit,
		Outcome:    ggscore.OutcomeNotRun,
		Detail:     e.Error(),
		RetryAfter: e.RetryAfter,
	}
}

// An UnknownMarketError says that the limiter knows no such market.
type UnknownMarketError struct{ Market ggscore.Market }

// Error implements error.
func (e *UnknownMarketError) Error() string {
	return fmt.Sprintf("unknown market %q", string(e.Market))
}
