package ggswire

import (
	"time"

	ggscore "greengageslip/core"
)

// The RPC methods of a dispatcher.
const (
	MethodSubmit   = "Dispatch.Submit"
	MethodNext     = "Dispatch.Next"
	MethodWithdraw = "Dispatch.Withdraw"
	MethodSummary  = "Dispatch.Summary"
)

// A Request is the wire form of ggscore.Request.
type Request struct {
	ID, Market, Service, Base, Adapter, Version string
	Attempt, Kind, Priority                     int
	Budget, Deferrable                          time.Duration
	NonIdempotent, FirstSend, Stream            bool
	Key                                         string
	Revision                                    uint64
	Method, Path                                string
	Body                                        []byte
}

// FromRequest converts a request to its wire form. The budget is the remaining one.
func FromRequest(r *ggscore.Request, budget time.Duration) Request {
	return Request{
		ID: string(r.ID), Attempt: r.Attempt, Market: string(r.Market), Service: string(r.Service),
		Base: string(r.Base), Adapter: r.Adapter.Name, Version: string(r.Adapter.Version),
		Kind: int(r.Kind), Priority: int(r.Priority),
		Budget: budget, Deferrable: r.Deferrable,
		NonIdempotent: r.NonIdempotent, FirstSend: r.FirstSend, Stream: r.Stream,
		Key: string(r.Key), Revision: uint64(r.Revision),
		Method: r.Operation.Method, Path: r.Operation.Path, Body: r.Body,
	}
}

// Request converts the wire form to a request that arrived at now.
func (w *Request) Request(now time.Time) *ggscore.Request {
	return &ggscore.Request{
		ID: ggscore.RequestID(w.ID), Attempt: w.Attempt, Market: ggscore.Market(w.Market),
		Service: ggscore.Service(w.Service), Kind: ggscore.ServiceKind(w.Kind),
		Base:     ggscore.BaseModel(w.Base),
		Adapter:  ggscore.AdapterRef{Name: w.Adapter, Version: ggscore.Version(w.Version)},
		Priority: ggscore.Priority(w.Priority), Arrived: now,
		Budget: w.Budget, Deferrable: w.Deferrable,
		NonIdempotent: w.NonIdempotent, FirstSend: w.FirstSend, Stream: w.Stream,
		Key: ggscore.IdempotencyKey(w.Key), Revision: ggscore.Revision(w.Revision),
		Operation: ggscore.Operation{Method: w.Method, Path: w.Path}, Body: w.Body,
	}
}

// A Failure is the wire form of ggscore.Failure. An empty Kind stands for no failure.
type Failure struct {
	Kind, Detail string
	Outcome      int
	RetryAfter   time.Duration
}

// FromFailure converts a failure, or nil, to its wire form.
func FromFailure(f *ggscore.Failure) Failure {
	if f == nil {
		return Failure{}
	}
	return Failure{
		Kind: string(f.Kind), Detail: f.Detail,
		Outcome: int(f.Outcome), RetryAfter: f.RetryAfter,
	}
}

// Failure converts the wire form to a failure, or nil.
func (w *Failure) Failure() *ggscore.Failure {
	if w.Kind == "" {
		return nil
	}
	return &ggscore.Failure{
		Kind: ggscore.FailureKind(w.Kind), Detail: w.Detail,
		Outcome: ggscore.Outcome(w.Outcome), RetryAfter: w.RetryAfter,
	}
}

// A Chunk is the wire form of ggscore.Chunk.
type Chunk struct {
	Seq                          int
	Data                         []byte
	Final                        bool
	Status                       int
	ContentType, Served, Version string
	Failure                      Failure
}

// FromChunk converts a chunk to its wire form.
func FromChunk(c ggscore.Chunk) Chunk {
	return Chunk{
		Seq: c.Seq, Data: c.Data, Final: c.Final,
		Status: c.Status, ContentType: c.ContentType,
		Served: c.Served.Name, Version: string(c.Served.Version),
		Failure: FromFailure(c.Failure),
	}
}

// Chunk converts the wire form to a chunk.
func (w *Chunk) Chunk() ggscore.Chunk {
	return ggscore.Chunk{
		Seq: w.Seq, Data: w.Data, Final: w.Final,
		Status: w.Status, ContentType: w.ContentType,
		Served:  ggscore.AdapterRef{Name: w.Served, Version: ggscore.Version(w.Version)},
		Failure: w.Failure.Failure(),
	}
}

// SubmitArgs submits a request to one incarnation of a dispatcher. Submission is
// idempotent: a repeat with the same id and attempt is the same request.
type SubmitArgs struct {
	Incarnation string
	Request     Request
}

// SubmitReply reports whether the request was accepted.
type SubmitReply struct{ Failure Failure }

// NextArgs requests the chunks of an answer from number From on, and acknowledges
// the chunks below From. Wait bounds the wait for a chunk.
type NextArgs struct {
	ID      string
	Attempt int
	From    int
	Wait    time.Duration

	callContext
}

// NextReply holds chunks in order, or none if none came within the wait. Lost means
// that the dispatcher doesn't know the request or no longer has the chunk.
type NextReply struct {
	Chunks []Chunk
	Stall  time.Duration
	Lost   bool
}

// WithdrawArgs withdraws a request from the incarnation of a dispatcher that it was
// submitted to. That incarnation then never starts the request, even if a delayed
// copy of the submission arrives.
type WithdrawArgs struct {
	Incarnation, ID string
	Attempt         int
}

// WithdrawReply has the request's outcome: notRun if the request never reached an
// endpoint.
type WithdrawReply struct{ Outcome int }
