package ggsroute

import (
	"fmt"
	"time"

	ggscore "greengageslip/core"
)

// A Cause says why no dispatcher was chosen.
type Cause string

// The causes of refusals.
const (
	// CauseNone means that no dispatcher serves the service.
	CauseNone Cause = "noDispatcher"
	// CauseAway means that those that do are leaving, silent or not owners.
	CauseAway Cause = "away"
	// CauseTried means that the others were excluded by the caller.
	CauseTried Cause = "tried"
	// CauseCrossing means that only another region could serve, and that the
	// bytes allowed between regions are used up.
	CauseCrossing Cause = "crossing"
)

// A NoDispatcherError says that a request can't be sent now. It has not run.
type NoDispatcherError struct {
	Service    ggscore.Service
	Cause      Cause
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoDispatcherError) Error() string {
	return fmt.Sprintf("no dispatcher for %s (%s): retry after %s", e.Service, e.Cause, e.RetryAfter)
}

// Failure returns the refusal as callers see it.
func (e *NoDispatcherError) Failure() *ggscore.Failure {
	return &ggscore.Failure{
		Kind:       ggscore.FailureNoCapacity,
		Outcome:    ggscore.OutcomeNotRun,
		Detail:     e.Error(),
		RetryAfter: e.RetryAfter,
	}
}
