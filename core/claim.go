package ggscore

import (
	"context"
	"time"
)

// A ClaimID identifies one claim of an idempotency key. It is never reused.
type ClaimID string

// A ClaimAnswer is the result of a request for a claim.
type ClaimAnswer int

// The answers to a request for a claim.
const (
	// ClaimGranted means that only the caller may dispatch the request.
	ClaimGranted ClaimAnswer = iota
	// ClaimReplay means that the key's request has ended with Result.
	ClaimReplay
	// ClaimInProgress means that another attempt of the request holds the claim.
	ClaimInProgress
	// ClaimReused means that the key was used with another body before.
	ClaimReused
	// ClaimExpired means that the key is too old to know whether its request ran.
	ClaimExpired
)

// A ClaimRequest requests the claim of a key.
type ClaimRequest struct {
	Market Market
	Key    IdempotencyKey
	// Body is the digest of the request's operation and body.
	Body Digest
	// Issued is when the caller created the key, zero if the key's text contains the time. A
	// non-zero Issued is part of the key, so retries carry the same value.
	Issued time.Time
	// FirstSend is the caller's assertion that it never sent the key before. Without it, a
	// refusal because the platform's key-value service is unavailable can't say "not run",
	// since an earlier attempt may have run.
	FirstSend bool
}

// A ClaimDecision answers a ClaimRequest.
type ClaimDecision struct {
	Answer ClaimAnswer
	ID     ClaimID
	Result ClaimResult
	// Before is the time from which a granted claim may no longer be dispatched. Every copy of
	// the request carries it, so that no late copy is dispatched after its key has expired.
	Before time.Time
}

// A ClaimResult is the recorded result of a request that has ended. If the outcome is notRun,
// the key may be claimed again.
type ClaimResult struct {
	Outcome     Outcome
	Status      int
	ContentType string
	// Body is the answer's body, recorded only if it is small enough. Whole is set if Body is
	// recorded.
	Body  []byte
	Whole bool
}

// A Claimer records the claims of idempotency keys in one place for all regions. An error from
// Begin means that the claim isn't held and that nothing may be dispatched; it is or wraps a
// *Failure to answer with. Finish doesn't wait until the result is recorded.
type Claimer interface {
	Begin(ctx context.Context, r ClaimRequest) (ClaimDecision, error)
	Finish(ctx context.Context, id ClaimID, r ClaimResult) error
}

// An OwnerGuard checks, immediately before an order or a dispatch is written to a connection,
// that this process may still send it. It returns the fencing token to send.
type OwnerGuard interface {
	Check(now time.Time, id EndpointID, a AdapterRef, k OrderKind) (FencingToken, error)
}

// A ReportObserver receives the runners' reports and learns from them which adapters are resident
// or loading at each endpoint.
type ReportObserver interface {
	Observe(r RunnerReport)
}
