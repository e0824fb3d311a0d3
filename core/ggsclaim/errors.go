package ggsclaim

import (
	"fmt"
	"time"

	ggscore "greengageslip/core"
)

// A BadKeyError says that an idempotency key carries no issue time.
type BadKeyError struct{ Key ggscore.IdempotencyKey }

// Error implements error.
func (e *BadKeyError) Error() string {
	return fmt.Sprintf("bad idempotency key %q: want a UUIDv7, or SECONDS.TEXT with the Unix time of issue, or the time beside it", e.Key)
}

// A BadClaimIDError says that a text names no claim.
type BadClaimIDError struct{ ID ggscore.ClaimID }

// Error implements error.
func (e *BadClaimIDError) Error() string {
	return fmt.Sprintf("bad claim identifier %q", string(e.ID))
}

// A FutureKeyError says that a key was issued after now, by more than the
// margin for clocks.
type FutureKeyError struct {
	Issued time.Time
	Now    time.Time
}

// Error implements error.
func (e *FutureKeyError) Error() string {
	return fmt.Sprintf("idempotency key issued at %s, which is after %s",
		e.Issued.UTC().Format(time.RFC3339), e.Now.UTC().Format(time.RFC3339))
}
