package ggsclaim

import (
	"fmt"
	"time"

	ggscore "greengageslip/core"
)

// A BadKeyError reports an idempotency key without an issue time.
type BadKeyError struct{ Key ggscore.IdempotencyKey }

// Error implements error.
func (e *BadKeyError) Error() string {
	return fmt.Sprintf("bad idempotency key %q: want a UUIDv7, or SECONDS.TEXT with the Unix time of issue, or the time beside it", e.Key)
}

// A BadClaimIDError reports a text that is not a claim identifier.
type BadClaimIDError struct{ ID ggscore.ClaimID }

// Error implements error.
func (e *BadClaimIDError) Error() string {
	return fmt.Sprintf("bad claim identifier %q: not the text of a grant", string(e.ID))
}

// A FutureKeyError reports a key that was issued after now by more than the margin for
// clock differences.
type FutureKeyError struct {
	Issued time.Time
	Now    time.Time
}

// Error implements error.
func (e *FutureKeyError) Error() string {
	return fmt.Sprintf("idempotency key rejected: issue time %s is after the present time %s",
		e.Issued.UTC().Format(time.RFC3339), e.Now.UTC().Format(time.RFC3339))
}
