package ggsclaim

import (
	"encoding/base64"
	"encoding/binary"
	"time"

	ggscore "greengageslip/core"
)

// A DecisionKind says what is to become of a request.
type DecisionKind int

// The kinds of decisions.
const (
	// DecisionGranted allows the one dispatch, before Grant.Before.
	DecisionGranted DecisionKind = iota + 1
	// DecisionReplay gives the recorded outcome: State is done or unknown.
	DecisionReplay
	// DecisionInProgress means that another attempt holds the key.
	DecisionInProgress
	// DecisionReused means that the key came with another body before.
	DecisionReused
	// DecisionExpired means that the key is too old to know what became of it.
	DecisionExpired
	// DecisionAway means that the platform's service could not be asked; this
	// sending of the request is not dispatched.
	DecisionAway
	// DecisionFull means that the key is not claimed and its shard is full.
	DecisionFull
	// DecisionRecorded answers Finish: the outcome is recorded.
	DecisionRecorded
	// DecisionGone answers Finish: the claim no longer stands.
	DecisionGone
)

// A Grant is the right to dispatch a request once.
type Grant struct {
	Key Key
	ID  ClaimID
	// Before is when the right ends, on the granting process's clock. It is
	// carried with every internal copy of the request, so that a late copy
	// can't outlive the key.
	Before time.Time
}

// ParseGrant reads the text of a claim's identifier, which any process may
// hand back to record the outcome. Before is not part of it. A failure is a
// *BadClaimIDError.
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

// Text returns the claim's identifier.
func (g Grant) Text() ggscore.ClaimID {
	b := append(g.Key.Hash[:], g.ID[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(g.Key.Issued.UnixMilli()))
	return ggscore.ClaimID(base64.RawURLEncoding.EncodeToString(b))
}

// A Decision answers an operation.
type Decision struct {
	Kind   DecisionKind
	Grant  Grant
	State  State
	Result Result
	// Seen is set with DecisionAway where the key was claimed before.
	Seen bool
	// RetryAfter is set with DecisionAway, DecisionFull and
	// DecisionInProgress.
	RetryAfter time.Duration
}

// grantBytes is the length of a grant's text before encoding: key, claim and
// issue time.
const grantBytes = 2*hashBytes + 8

// retryAfter is what callers are told where no better time is known.
const retryAfter = time.Second

// Failure returns the failure to answer with, or nil where the request may be
// dispatched or an answer replayed. firstSend is the caller's word that it
// never sent the key before: without it, an earlier sending may have run while
// the platform's service is away, and "not run" is not proved.
func (d Decision) Failure(firstSend bool) *ggscore.Failure {
	switch d.Kind {
	case DecisionReplay:
		if d.State == StateDone {
			return nil
		}
		return &ggscore.Failure{
			Kind: ggscore.FailureBroken, Outcome: ggscore.OutcomeUnknown,
			Detail: "an earlier sending of this key may have run",
		}
	case DecisionInProgress:
		return &ggscore.Failure{
			Kind: ggscore.FailureKeyInUse, Outcome: ggscore.OutcomeUnknown,
			Detail: "an earlier sending of this key is in progress", RetryAfter: d.RetryAfter,
		}
	case DecisionReused:
		return &ggscore.Failure{
			Kind: ggscore.FailureKeyReused, Outcome: ggscore.OutcomeNotRun,
			Detail: "the key belongs to another request body",
		}
	case DecisionExpired:
		return &ggscore.Failure{
			Kind: ggscore.FailureKeyExpired, Outcome: ggscore.OutcomeUnknown,
			Detail: "the key is older than keys are kept",
		}
	case DecisionAway:
		return awayFailure(d, firstSend)
	case DecisionFull:
		return &ggscore.Failure{
			Kind: ggscore.FailureNoCapacity, Outcome: ggscore.OutcomeNotRun,
			Detail: "too many keys of this minute", RetryAfter: d.RetryAfter,
		}
	case DecisionGranted, DecisionRecorded, DecisionGone:
	}
	return nil
}

func awayFailure(d Decision, firstSend bool) *ggscore.Failure {
	o := ggscore.OutcomeUnknown
	if firstSend && !d.Seen {
		o = ggscore.OutcomeNotRun
	}
	return &ggscore.Failure{
		Kind: ggscore.FailurePlatformAway, Outcome: o,
		Detail: "the key can't be claimed now; this sending was not dispatched", RetryAfter: d.RetryAfter,
	}
}
