package ggscore

import "time"

// A PromptTurn is the time from which an endpoint may read a request's prompt.
type PromptTurn struct {
	VM VMID
	// Number tells apart the turns of a VM.
	Number   uint64
	Service  Service
	Endpoint EndpointID
	// Begin is when the endpoint may get the prompt.
	Begin time.Time
	// Tokens are those of the prompt that the endpoint has to read.
	Tokens int
}

// A TurnEstimate is what a prompt is expected to meet at an endpoint.
type TurnEstimate struct {
	// Wait is the time until its turn, Ready that until the endpoint has read it.
	Wait  time.Duration
	Ready time.Duration
}

// A TurnExpecter tells what a prompt would meet at an endpoint. Zero tokens stand for
// a prompt of usual size.
type TurnExpecter interface {
	Expect(now time.Time, s Service, id EndpointID, tokens int) TurnEstimate
}

// A TurnSample is a first piece that tells how fast endpoints of a service read: its
// endpoint read nothing else.
type TurnSample struct {
	Service Service
	Tokens  int
	Took    time.Duration
}

// A TurnTally counts streams of a service, and those that were hurt: prompts made them
// pause for longer than callers want, or they waited too long for their turn.
type TurnTally struct {
	Service Service
	Streams int
	Hurt    int
}

// A TurnMode says whether prompts of a service wait for each other.
type TurnMode struct {
	Service Service
	Waits   bool
	// Without is the part of streams that was hurt before they did.
	Without float64
}

// A TurnShape is what was learnt of how endpoints of a service read. Unknown parts are
// zero.
type TurnShape struct {
	Service Service
	// PerToken is the time to read a token, Start that of the first piece of an empty
	// prompt.
	PerToken time.Duration
	Start    time.Duration
	// Quiet is the pause of a stream whose endpoint reads nothing.
	Quiet time.Duration
	Mode  TurnMode
}
