package ggscore

import (
	"context"
	"time"
)

// A ClaimID names one claim of an idempotency key. It is unique for ever.
type ClaimID string

// A ClaimAnswer says what a request for a claim met.
type ClaimAnswer int

// The answers to a request for a claim.
const (
	// ClaimGranted means that the caller, and nobody else, may dispatch.
	ClaimGranted ClaimAnswer = iota
	// ClaimReplay means that the key's request ended with Result.
	ClaimReplay
	// ClaimInProgress means that another holds the claim.
	ClaimInProgress
	// ClaimReused means that the key came with another body before.
	ClaimReused
	// ClaimExpired means that the key is too old to tell whether it ran.
	ClaimExpired
)

// A ClaimRequest asks for the claim of a key.
type ClaimRequest struct {
	Market Market
	Key    IdempotencyKey
	// Body is the digest of operation and body.
	Body Digest
	// Issued is when the caller made the key, or zero where the key's text says
	// it. Where the text doesn't, it is part of the key: repeats carry the same.
	Issued time.Time
	// FirstSend is the caller's word that it never sent the key before. Without
	// it a refusal for want of the platform's service can't say "not run",
	// since an earlier sending may have run.
	FirstSend bool
}

// A ClaimDecision answers a ClaimRequest.
type ClaimDecision struct {
	Answer ClaimAnswer
	ID     ClaimID
	Result ClaimResult
	// Before is when a granted claim may no longer be dispatched. Every copy of
	// the request carries it, so that no late copy outlives its key.
	Before time.Time
}

// A ClaimResult is what is recorded of a request that has ended. An outcome
// of notRun releases the key.
type ClaimResult struct {
	Outcome     Outcome
	Status      int
	ContentType string
	// Body is the answer where it was small enough; Whole says so.
	Body  []byte
	Whole bool
}

// A Claimer records the claims of idempotency keys in one place for all
// regions. A failure of Begin means that the claim isn't held and that nothing
// may be dispatched; it is a *Failure to answer with, or wraps one. Finish
// doesn't wait for the record.
type Claimer interface {
	Begin(ctx context.Context, r ClaimRequest) (ClaimDecision, error)
	Finish(ctx context.Context, id ClaimID, r ClaimResult) error
}

// An OwnerGuard checks, immediately before an order or a dispatch is written,
// that this process may still give it. It returns the fencing number to send.
type OwnerGuard interface {
	Check(now time.Time, id EndpointID, a AdapterRef, k OrderKind) (FenceNumber, error)
}

// A ReportObserver is told of runners' reports.
type ReportObserver interface {
	Observe(r RunnerReport)
}
