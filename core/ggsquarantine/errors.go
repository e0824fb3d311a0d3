package ggsquarantine

import (
	"fmt"
	"time"

	ggscore "greengageslip/core"
)

// A QuarantinedError reports that a request, or a part of its prompt, is in quarantine.
type QuarantinedError struct {
	Suspect ggscore.SuspectID
	// Crashes is the number of processes that crashed under the part, zero if this VM knows only that
	// it is in quarantine.
	Crashes int
	// Undecided is set while the quarantine isn't recorded, since the crashes may turn out to be none.
	Undecided bool
	// HalfOpen is set if the request may be sent once, by the VM that claims it.
	HalfOpen bool
	// RetryAfter is the time until the quarantine ends, until a half-open try is due, or until it is confirmed.
	RetryAfter time.Duration
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	if f, ok := e.Suspect.Request(); ok {
		return fmt.Sprintf("the request is in quarantine because endpoints crash when they run it (fingerprint %s, %d crashes known), retry after %s", f, e.Crashes, e.RetryAfter)
	}
	return fmt.Sprintf("part %s of the prompt is in quarantine because endpoints crash when they begin to answer requests with it (%d crashes known), retry after %s", e.Suspect, e.Crashes, e.RetryAfter)
}
