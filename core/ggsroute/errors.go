package ggsroute

import (
	"fmt"
	"time"

	ggscore "greengageslip/core"
)

// A Cause is the reason why a request was refused.
type Cause string

// The causes of refusals.
const (
	// CauseNone means that no dispatcher has endpoints of the service.
	CauseNone Cause = "noDispatcher"
	// CauseUnavailable means that all dispatchers of the service are leaving, have stale
	// summaries or own no endpoint of it.
	CauseUnavailable Cause = "away"
	// CauseExcluded means that the caller excluded all usable dispatchers.
	CauseExcluded Cause = "tried"
	// CauseCrossRegionLimit means that only another region could serve the request, and
	// that the budget of bytes between regions is used up.
	CauseCrossRegionLimit Cause = "crossing"
)

// A NoDispatcherError reports that no dispatcher can serve a request now. The request
// has not run.
type NoDispatcherError struct {
	Service    ggscore.Service
	Cause      Cause
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoDispatcherError) Error() string {
	return fmt.Sprintf("no dispatcher for %s (%s): retry after %s", e.Service, e.Cause, e.RetryAfter)
}

// Failure returns the refusal as it is sent to the caller.
func (e *NoDispatcherError) Failure() *ggscore.Failure {
	return &ggscore.Failure{
		Kind:       ggscore.FailureNoCapacity,
		Outcome:    ggscore.OutcomeNotRun,
		Detail:     e.Error(),
		RetryAfter: e.RetryAfter,
	}
}
