// Package ggsstop ends requests at a planned stop, so that none is sent on that can't be expected to end in time, and none is
// cut off without an answer.
//
// # Usage
//
//	s := ggsstop.New(now)
//	ctx, r := s.Begin(ctx, work)        // an admitted request
//	defer r.End()
//	if r.Late() { refuse() }            // before the request waits
//	if err := r.Send(ctx); err != nil { // right before it is sent
//		refuse()
//	}
//	r.Waits()                           // it is to be sent again
//	r.Whole()                           // its whole answer has arrived
//
//	s.Drain(schedule)                   // the stop begins
//	s.Run(ctx)                          // ends requests until the context ends
//	n := s.Cut()                        // the requests that were ended after they had been sent
//
// During a stop the context of a request ends with a *StopError as its cause: that of a request that waits as soon as it can't be
// sent any more so that it ends before the end of the stop, and that of one that was sent at the end of the stop.
//
// # Locks
//
// Stop.mu is a leaf lock. A request is sent under it, so that no stop comes between the decision and the sending.
package ggsstop

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"greengageslip/core/ggsgrace"
)

// interval is the time between checks of the requests that wait.
const interval = 20 * time.Millisecond

// A StopError reports that a planned stop has ended a request. Sent is set if it was sent before.
type StopError struct{ Sent bool }

// Error implements error.
func (e *StopError) Error() string {
	if e.Sent {
		return "the grace period of a planned stop is over"
	}
	return "the VM is stopping, and the request may not end in time"
}

// Stopped reports whether a planned stop has ended a request.
func Stopped(ctx context.Context) bool {
	var s *StopError
	return errors.As(context.Cause(ctx), &s)
}

// A Stop has the requests of a process that a planned stop ends. It is safe for concurrent use.
type Stop struct {
	now func() time.Time

	mu       sync.Mutex
	table    *ggsgrace.Table
	requests map[*Request]struct{}
	// times are those of the stop, zero before one has begun.
	times ggsgrace.Schedule
	// cut counts the requests that were ended at that time after they had been sent.
	cut int
}

// A Work is what is known of a request when it is admitted.
type Work struct {
	Class ggsgrace.Class
	// Deadline is when the request ends in any case.
	Deadline time.Time
	// OutputTokens is the most that the request may generate, zero if unknown.
	OutputTokens int
}

// A Request is a request in progress.
type Request struct {
	stop   *Stop
	work   Work
	cancel context.CancelCauseFunc
	// ended is set once a stop has ended the request. Stop.mu guards it.
	ended bool
	// sent is set while the request is with an endpoint, since sentAt. Stop.mu guards both.
	sent   bool
	sentAt time.Time
}

// New returns a Stop that hasn't begun.
func New(now func() time.Time) *Stop {
	return &Stop{now: now, table: ggsgrace.NewTable(), requests: map[*Request]struct{}{}}
}

// Begin adds a request. The caller must call its End.
func (s *Stop) Begin(ctx context.Context, w Work) (context.Context, *Request) {
	ctx, cancel := context.WithCancelCause(ctx)
	r := &Request{stop: s, work: w, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[r] = struct{}{}
	return ctx, r
}

// Drain begins the stop, at whose end no request is in progress. Run must run beside it.
func (s *Stop) Drain(times ggsgrace.Schedule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times = times
}

// Draining reports whether the stop has begun.
func (s *Stop) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.times.End.IsZero()
}

// Cut returns the number of requests that were ended at the end of the stop after they had been sent.
func (s *Stop) Cut() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut
}

// Run ends requests until the context ends.
func (s *Stop) Run(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		s.check()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// check ends the requests whose time has come.
func (s *Stop) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for r := range s.requests {
		over := !now.Before(s.times.End)
		if !r.ended && (over || !r.sent && r.late(now)) {
			r.endNow()
		}
	}
}

// endNow ends the request's context. Stop.mu is held.
func (r *Request) endNow() {
	r.ended = true
	if r.sent {
		r.stop.cut++
	}
	r.cancel(&StopError{Sent: r.sent})
}

// late reports whether a stop is in progress at whose end the request may still run if it is sent now. Stop.mu is held.
func (r *Request) late(now time.Time) bool {
	times := r.stop.times
	return !times.End.IsZero() && !r.stop.table.EndsInTime(now, times, r.size(now))
}

// size returns what the request may take if it is sent now.
func (r *Request) size(now time.Time) ggsgrace.Request {
	return ggsgrace.Request{Class: r.work.Class, Limit: r.work.Deadline.Sub(now), OutputTokens: r.work.OutputTokens}
}

// Late reports whether a stop is in progress at whose end the request may still run if it is sent now.
func (r *Request) Late() bool {
	r.stop.mu.Lock()
	defer r.stop.mu.Unlock()
	return r.late(r.stop.now())
}

// Send records that the request is sent now. It returns the cause of the context's end, or ends the context with a *StopError, if
// it may not be sent.
func (r *Request) Send(ctx context.Context) error {
	r.stop.mu.Lock()
	defer r.stop.mu.Unlock()
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	now := r.stop.now()
	if r.late(now) {
		r.endNow()
		return context.Cause(ctx)
	}
	r.sent, r.sentAt = true, now
	return nil
}

// Waits records that the request waits to be sent again.
func (r *Request) Waits() {
	r.stop.mu.Lock()
	defer r.stop.mu.Unlock()
	r.sent = false
}

// Whole records that the whole answer to the request that was sent last has arrived.
func (r *Request) Whole() {
	r.stop.mu.Lock()
	defer r.stop.mu.Unlock()
	now := r.stop.now()
	r.stop.table.Record(now, r.size(now), now.Sub(r.sentAt))
}

// End removes the request and ends its context.
func (r *Request) End() {
	r.stop.mu.Lock()
	delete(r.stop.requests, r)
	r.stop.mu.Unlock()
	r.cancel(nil)
}
