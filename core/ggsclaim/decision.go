package ggsclaim

import (
	"encoding/base64"
	"encoding/binary"
	"time"

	ggscore "greengageslip/core"
)

// A DecisionKind is the kind of a decision on an operation.
type DecisionKind int

// The kinds of decisions.
const (
	// DecisionGranted allows a single dispatch, before Grant.Before.
	DecisionGranted DecisionKind = iota + 1
	// DecisionReplay returns the recorded outcome: State is StateDone or StateUnknown.
	DecisionReplay
	// DecisionInProgress means that another attempt holds the key.
	DecisionInProgress
	// DecisionReused means that the key was used before with another body.
	DecisionReused
	// DecisionExpired means that the key is past its retention. Its claim may already be
	// deleted, so an earlier run can't be excluded.
	DecisionExpired
	// DecisionUnavailable means that the platform's key-value service was unavailable. This
	// attempt of the request is not dispatched.
	DecisionUnavailable
	// DecisionFull means that the key is not claimed, because its shard is full.
	DecisionFull
	// DecisionRecorded is the answer to Finish if the outcome is recorded.
	DecisionRecorded
	// DecisionClaimMissing is the answer to Finish if the claim is not recorded any more.
	DecisionClaimMissing
)

// A Grant is the right to dispatch a request once.
type Grant struct {
	Key Key
	ID  ClaimID
	// Before is when the right ends, on the clock of the process that grants it. It is sent with
	// every internal copy of the request, so that a late copy can't be dispatched after the key
	// has expired.
	Before time.Time
}

// ParseGrant parses the text of a claim identifier, so that another process can record the
// outcome. The text doesn't contain Before. ParseGrant fails with a *BadClaimIDError.
func ParseGrant(id ggscore.ClaimID) (Grant, error) {
	b, err := base64.RawURLEncoding.DecodeString(string(id))
	if err != nil || len(b) != grantBytes {
		return Grant{}, &BadClaimIDError{ID: id}
	}
	var g Grant
	copy(g.Key.Hash[:], b)
	copy(g.ID[:], b[hashBytes:])
	g.Key.Issued = time.UnixMilli(int64(binary.BigEndian.Uint64(b[2*hashBytes:])))
	return g, nil
}

// Text returns the claim identifier in text form.
func (g Grant) Text() ggscore.ClaimID {
	b := append(g.Key.Hash[:], g.ID[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(g.Key.Issued.UnixMilli()))
	return ggscore.ClaimID(base64.RawURLEncoding.EncodeToString(b))
}

// A Decision is the answer to an operation.
type Decision struct {
	Kind   DecisionKind
	Grant  Grant
	State  State
	Result Result
	// Seen is set with DecisionUnavailable if the key is known to have been claimed before.
	Seen bool
	// RetryAfter is set with DecisionUnavailable, DecisionFull and DecisionInProgress.
	RetryAfter time.Duration
}

// grantBytes is the length of a grant's text before encoding: key hash, claim
// identifier and issue time.
const grantBytes = 2*hashBytes + 8

// retryAfter is the retry time for callers if no better estimate is known.
const retryAfter = time.Second

// Failure returns the failure to send to the caller, or nil if the request may be dispatched or
// a response replayed. firstSend is the caller's assertion that it never sent the key before.
// Without firstSend, the outcome notRun is not proved while the platform's key-value service is
// unavailable, since an earlier attempt may have run.
func (d Decision) Failure(firstSend bool) *ggscore.Failure {
	switch d.Kind {
	case DecisionReplay:
		if d.State == StateDone {
			return nil
		}
		return &ggscore.Failure{
			Kind: ggscore.FailureBroken, Outcome: ggscore.OutcomeUnknown,
			Detail: "an earlier attempt with this idempotency key may have run",
		}
	case DecisionInProgress:
		return &ggscore.Failure{
			Kind: ggscore.FailureKeyInUse, Outcome: ggscore.OutcomeUnknown,
			Detail: "an earlier attempt with this idempotency key is in progress", RetryAfter: d.RetryAfter,
		}
	case DecisionReused:
		return &ggscore.Failure{
			Kind: ggscore.FailureKeyReused, Outcome: ggscore.OutcomeNotRun,
			Detail: "the idempotency key was used with another request body",
		}
	case DecisionExpired:
		return &ggscore.Failure{
			Kind: ggscore.FailureKeyExpired, Outcome: ggscore.OutcomeUnknown,
			Detail: "the idempotency key is older than the retention period",
		}
	case DecisionUnavailable:
		return unavailableFailure(d, firstSend)
	case DecisionFull:
		return &ggscore.Failure{
			Kind: ggscore.FailureNoCapacity, Outcome: ggscore.OutcomeNotRun,
			Detail: "the claim shard for this minute of issue is full", RetryAfter: d.RetryAfter,
		}
	case DecisionGranted, DecisionRecorded, DecisionClaimMissing:
	}
	return nil
}

func unavailableFailure(d Decision, firstSend bool) *ggscore.Failure {
	o := ggscore.OutcomeUnknown
	if firstSend && !d.Seen {
		o = ggscore.OutcomeNotRun
	}
	return &ggscore.Failure{
		Kind: ggscore.FailurePlatformUnavailable, Outcome: o,
		Detail: "the idempotency key can't be claimed now; this attempt was not dispatched", RetryAfter: d.RetryAfter,
	}
}
