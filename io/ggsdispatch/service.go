package ggsdispatch

import (
	"context"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/io/ggswire"
)

// maxWait bounds how long a call may wait for news.
const maxWait = 30 * time.Second

// A Service answers gateways over net/rpc.
type Service struct {
	dispatcher *Dispatcher
	// waiting returns a context for a call that may wait.
	waiting func(time.Duration) (context.Context, context.CancelFunc)
}

// NewService returns the net/rpc service of d. Its waiting calls end with the
// context.
func NewService(ctx context.Context, d *Dispatcher) *Service {
	return &Service{
		dispatcher: d,
		waiting: func(wait time.Duration) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, min(max(wait, 0), maxWait))
		},
	}
}

// Next returns pieces of an answer.
func (s *Service) Next(a *ggswire.NextArgs, r *ggswire.NextReply) error {
	ctx, cancel := s.waiting(a.Wait)
	defer cancel()
	c, stall, lost := s.dispatcher.Next(ctx, jobKey{id: ggscore.RequestID(a.ID), attempt: a.Attempt}, a.From)
	r.Lost, r.Stall = lost, stall
	r.Chunks = make([]ggswire.Chunk, 0, len(c))
	for i := range c {
		r.Chunks = append(r.Chunks, ggswire.FromChunk(c[i]))
	}
	return nil
}

// Submit takes a request.
func (s *Service) Submit(a *ggswire.SubmitArgs, r *ggswire.SubmitReply) error {
	if a.Incarnation != s.dispatcher.options.Incarnation {
		r.Failure = ggswire.FromFailure(otherLife())
		return nil
	}
	f := s.dispatcher.Submit(a.Request.Request(s.dispatcher.parts.Clock()))
	r.Failure = ggswire.FromFailure(f)
	return nil
}

// Summary returns the dispatcher's summary at its next change or when the wait
// has passed.
func (s *Service) Summary(a *ggswire.SummaryArgs, r *ggswire.SummaryReply) error {
	ctx, cancel := s.waiting(a.Wait)
	defer cancel()
	v := s.dispatcher.NextSummary(ctx, a.After)
	r.Summary = ggswire.FromSummary(&v)
	return nil
}

// Withdraw takes a request back. A process that was started anew at the address
// of one that died knows nothing of what that one dispatched: it would say
// notRun of requests that ran. The life that a request was handed to is
// therefore named, and another one says unknown.
func (s *Service) Withdraw(a *ggswire.WithdrawArgs, r *ggswire.WithdrawReply) error {
	if a.Incarnation != s.dispatcher.options.Incarnation {
		r.Outcome = int(ggscore.OutcomeUnknown)
		return nil
	}
	r.Outcome = int(s.dispatcher.Withdraw(jobKey{id: ggscore.RequestID(a.ID), attempt: a.Attempt}))
	return nil
}
