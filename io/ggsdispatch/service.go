package ggsdispatch

import (
	"context"
	"time"

	"greengageslip/core"
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
	c, stall, lost := s.dispatcher.Next(ctx, ggscore.RequestID(a.ID), a.From)
	r.Lost, r.Stall = lost, stall
	r.Chunks = make([]ggswire.Chunk, 0, len(c))
	for i := range c {
		r.Chunks = append(r.Chunks, ggswire.FromChunk(c[i]))
	}
	return nil
}

// Submit takes a request.
func (s *Service) Submit(a *ggswire.SubmitArgs, r *ggswire.SubmitReply) error {
	f := s.dispatcher.Submit(a.Request.Request(s.dispatcher.parts.Clock()))
	r.Failure = ggswire.FromFailure(f)
	return nil
}

// Summary returns the dispatcher's summary at its next change or when the wait
// has passed.
func (s *Service) Summary(a *ggswire.SummaryArgs, r *ggswire.SummaryReply) error {
	ctx, cancel := s.waiting(a.Wait)
	defer cancel()
	v := s.dispatcher.NextSummary(ctx)
	r.Summary = ggswire.FromSummary(&v)
	return nil
}

// Withdraw takes a request back.
func (s *Service) Withdraw(a *ggswire.WithdrawArgs, r *ggswire.WithdrawReply) error {
	r.Outcome = int(s.dispatcher.Withdraw(ggscore.RequestID(a.ID)))
	return nil
}
