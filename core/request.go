package ggscore

import (
	"time"
)

// A Priority orders requests: a lower number is served first.
type Priority int

// The priorities of the document.
const (
	PriorityUrgent Priority = iota
	PriorityInteractive
	PriorityNormal
	PriorityDeferrable
)

// A Request is one caller's request, resolved against one revision of the document.
type Request struct {
	ID RequestID
	// Attempt numbers the attempts to submit the request to a dispatcher.
	Attempt  int
	Market   Market
	Service  Service
	Kind     ServiceKind
	Base     BaseModel
	Adapter  AdapterRef
	Priority Priority
	// Arrived is when the gateway admitted the request, by its own clock.
	Arrived time.Time
	// Budget is the time that remained for the answer's first byte when the request was sent to
	// this process. It is a duration because the clocks of processes differ.
	Budget time.Duration
	// Deferrable is how long the request may wait for a fuller batch.
	Deferrable time.Duration
	// NonIdempotent marks a request that must run at most once. Key is then set.
	NonIdempotent bool
	Key           IdempotencyKey
	// FirstSend is the caller's assertion that it never sent the key before.
	FirstSend bool
	Revision  Revision
	Operation Operation
	Body      []byte
	// Stream is set if the caller reads the answer chunk by chunk.
	Stream bool
}

// An Operation is the call to make on an endpoint.
type Operation struct {
	Method string
	Path   string
}

// An Outcome states whether a request ran.
type Outcome int

// The outcomes of requests. The zero value is unknown, which is the safe assumption unless
// another outcome is proved.
const (
	OutcomeUnknown Outcome = iota
	OutcomeDone
	OutcomeNotRun
)

// String returns the outcome's name in answers to callers.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "notRun"
	case OutcomeUnknown:
	}
	return "unknown"
}

// A Chunk is one piece of an answer. The chunks of an answer are numbered from zero, and only
// the last has Final set.
type Chunk struct {
	Seq   int
	Data  []byte
	Final bool
	// Status, ContentType and Served are set on the first chunk.
	Status      int
	ContentType string
	// Served is the adapter that the engine reports it ran.
	Served AdapterRef
	// Failure is set on a final chunk that ends an incomplete answer.
	Failure *Failure
}

// A Failure is an error as sent to callers and between processes.
type Failure struct {
	Kind       FailureKind
	Outcome    Outcome
	Detail     string
	RetryAfter time.Duration
}

// Error implements error.
func (f *Failure) Error() string {
	return string(f.Kind) + ": " + f.Detail
}

// A FailureKind classifies failures in answers to callers.
type FailureKind string

// The kinds of failures.
const (
	FailureBadRequest          FailureKind = "badRequest"
	FailureTooLarge            FailureKind = "tooLarge"
	FailureUnknownMarket       FailureKind = "unknownMarket"
	FailureUnknownAdapter      FailureKind = "unknownAdapter"
	FailureUnknownService      FailureKind = "unknownService"
	FailureOverLimit           FailureKind = "overLimit"
	FailureNoCapacity          FailureKind = "noCapacity"
	FailureQuarantined         FailureKind = "quarantined"
	FailureStopping            FailureKind = "stopping"
	FailurePlatformUnavailable FailureKind = "platformAway"
	FailureKeyReused           FailureKind = "keyReused"
	FailureKeyInUse            FailureKind = "keyInUse"
	FailureKeyExpired          FailureKind = "keyExpired"
	FailureEndpoint            FailureKind = "endpoint"
	FailureBroken              FailureKind = "broken"
	FailureCancelled           FailureKind = "cancelled"
	FailureWrongAdapter        FailureKind = "wrongAdapter"
	FailureNoDocument          FailureKind = "noDocument"
	FailureNotOwner            FailureKind = "notOwner"
	FailureAdapterMissing      FailureKind = "adapterMissing"
	FailureInternal            FailureKind = "internal"
)

// An IdempotencyKey is the key that a caller assigns to a non-idempotent request. Its scope is
// one market.
type IdempotencyKey string
