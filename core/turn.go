package ggscore

import "time"

// A PromptTurn reserves a time from which an endpoint may prefill a request's prompt.
type PromptTurn struct {
	VM VMID
	// Number distinguishes the turns of a VM.
	Number   uint64
	Service  Service
	Endpoint EndpointID
	// Begin is the earliest time at which the prompt may be sent to the endpoint.
	Begin time.Time
	// Tokens is the number of prompt tokens that the endpoint has to prefill.
	Tokens int
}

// A TurnEstimate is the estimated delay of a prompt at an endpoint.
type TurnEstimate struct {
	// Wait is the time until the prompt's turn, and Ready is the time until the endpoint has
	// prefilled the prompt.
	Wait  time.Duration
	Ready time.Duration
}

// A TurnEstimator estimates the delay of a prompt at an endpoint. Zero tokens mean a prompt of
// usual size.
type TurnEstimator interface {
	Estimate(now time.Time, s Service, id EndpointID, tokens int) TurnEstimate
}

// A TurnSample is a measured time to the first chunk of an answer, from an endpoint that
// prefilled no other prompt meanwhile. The sample shows how fast endpoints of the service
// prefill.
type TurnSample struct {
	Service Service
	Tokens  int
	Took    time.Duration
}

// A TurnTally counts the streams of a service and the degraded ones. A stream is degraded if
// prompts of other requests caused a gap longer than the service's target gap, or if the stream
// waited too long for its turn.
type TurnTally struct {
	Service  Service
	Streams  int
	Degraded int
}

// A TurnMode is the decision whether the turns of a service's prompts are enforced.
type TurnMode struct {
	Service  Service
	Enforced bool
	// DegradedBefore is the fraction of streams that were degraded before turns were enforced.
	DegradedBefore float64
}

// A TurnState is the measured prefill speed of a service's endpoints. Unknown fields are zero.
type TurnState struct {
	Service Service
	// PerToken is the prefill time per prompt token, and Start is the time to the first
	// chunk for an empty prompt.
	PerToken time.Duration
	Start    time.Duration
	// DecodeGap is the gap between a stream's chunks while its endpoint prefills no prompt.
	DecodeGap time.Duration
	Mode      TurnMode
}
