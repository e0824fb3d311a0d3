package ggsdispatch

import (
	"context"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/io/ggswire"
)

// maxWait bounds how long a call may wait for new chunks or a new summary.
const maxWait = 30 * time.Second

// A Service is the net/rpc service for gateways. Its exported methods are part of the
// protocol.
type Service struct {
	dispatcher *Dispatcher
	// waitContext returns the context of a call that waits up to the given time.
	waitContext func(call context.Context, wait time.Duration) (context.Context, context.CancelFunc)
}

// NewService returns the net/rpc service of d. Calls that wait return when ctx or their connection ends.
func NewService(ctx context.Context, d *Dispatcher) *Service {
	return &Service{
		dispatcher: d,
		waitContext: func(call context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
			w, cancel := context.WithTimeout(ctx, min(max(wait, 0), maxWait))
			stop := context.AfterFunc(call, cancel)
			return w, func() {
				stop()
				cancel()
			}
		},
	}
}

// Next returns chunks of an answer.
func (s *Service) Next(a *ggswire.NextArgs, r *ggswire.NextReply) error {
	ctx, cancel := s.waitContext(a.Context(), a.Wait)
	defer cancel()
	c, stall, lost := s.dispatcher.Next(ctx, jobKey{id: ggscore.RequestID(a.ID), attempt: a.Attempt}, a.From)
	r.Lost, r.Stall = lost, stall
	r.Chunks = make([]ggswire.Chunk, 0, len(c))
	for i := range c {
		r.Chunks = append(r.Chunks, ggswire.FromChunk(c[i]))
	}
	return nil
}

// Submit accepts a request for this incarnation of the dispatcher.
func (s *Service) Submit(a *ggswire.SubmitArgs, r *ggswire.SubmitReply) error {
	if a.Incarnation != s.dispatcher.options.Incarnation {
		r.Failure = ggswire.FromFailure(incarnationMismatch())
		return nil
	}
	f := s.dispatcher.Submit(a.Request.Request(s.dispatcher.parts.Clock()))
	r.Failure = ggswire.FromFailure(f)
	return nil
}

// Summary returns the dispatcher's summary at its next change, or when the wait time of
// the call has passed.
func (s *Service) Summary(a *ggswire.SummaryArgs, r *ggswire.SummaryReply) error {
	ctx, cancel := s.waitContext(a.Context(), a.Wait)
	defer cancel()
	v := s.dispatcher.NextSummary(ctx, a.After)
	r.Summary = ggswire.FromSummary(&v)
	return nil
}

// Withdraw cancels a request and returns its outcome. A process that was restarted at
// the same address doesn't know the requests that its predecessor dispatched and would
// answer notRun for requests that ran. The arguments therefore name the incarnation that
// the request was submitted to, and any other incarnation answers unknown.
func (s *Service) Withdraw(a *ggswire.WithdrawArgs, r *ggswire.WithdrawReply) error {
	if a.Incarnation != s.dispatcher.options.Incarnation {
		r.Outcome = int(ggscore.OutcomeUnknown)
		return nil
	}
	r.Outcome = int(s.dispatcher.Withdraw(jobKey{id: ggscore.RequestID(a.ID), attempt: a.Attempt}))
	return nil
}
