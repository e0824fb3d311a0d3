package ggsstop_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"greengageslip/core/ggsgrace"
	"greengageslip/io/ggsstop"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	waitTime = 5 * time.Second
	usual    = 2 * time.Second
	grace    = 5 * time.Second
	limit    = time.Minute
)

// A stopTest is a Stop on a clock of the test, which knows that requests usually take up to 2 s.
type stopTest struct {
	*ggsstop.Stop
	c  *qt.C
	mu sync.Mutex
	at time.Time
}

func newStopTest(t *testing.T) *stopTest {
	t.Helper()
	s := &stopTest{c: qt.New(t), at: time.Unix(1000, 0)}
	s.Stop = ggsstop.New(s.now)
	for range 8 {
		ctx, r := s.begin()
		s.c.Assert(r.Send(ctx), qt.IsNil)
		s.advance(usual)
		r.Whole()
		r.End()
	}
	return s
}

func (s *stopTest) now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at
}

func (s *stopTest) advance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = s.at.Add(d)
}

func (s *stopTest) begin() (context.Context, *ggsstop.Request) {
	return s.Begin(context.Background(), ggsstop.Work{Deadline: s.now().Add(limit)})
}

// times returns those of a stop that begins now and gets strict after a time.
func (s *stopTest) times(strict time.Duration) ggsgrace.Schedule {
	return ggsgrace.Schedule{Strict: s.now().Add(strict), End: s.now().Add(grace)}
}

// drain begins the stop and runs it until the test's end.
func (s *stopTest) drain(t *testing.T) {
	t.Helper()
	s.Drain(s.times(grace))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// ended waits for the end of a request's context and returns its cause.
func (s *stopTest) ended(ctx context.Context) *ggsstop.StopError {
	s.c.Helper()
	timeout, cancel := context.WithTimeout(context.Background(), waitTime)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-timeout.Done():
		s.c.Fatal("the request goes on")
	}
	var e *ggsstop.StopError
	s.c.Assert(errors.As(context.Cause(ctx), &e), qt.IsTrue)
	s.c.Assert(ggsstop.Stopped(ctx), qt.IsTrue)
	return e
}

func TestRequestThatEndsInTimeIsSent(t *testing.T) {
	t.Parallel()
	s := newStopTest(t)
	s.drain(t)
	s.advance(grace / 3)
	ctx, r := s.begin()
	defer r.End()
	s.c.Assert(r.Late(), qt.IsFalse)
	s.c.Assert(r.Send(ctx), qt.IsNil)
	s.c.Assert(s.Cut(), qt.Equals, 0)
}

func TestLateRequestIsNotSent(t *testing.T) {
	t.Parallel()
	s := newStopTest(t)
	s.Drain(s.times(grace))
	s.advance(grace - usual)
	ctx, r := s.begin()
	defer r.End()
	s.c.Assert(r.Late(), qt.IsTrue)
	var e *ggsstop.StopError
	s.c.Assert(errors.As(r.Send(ctx), &e), qt.IsTrue)
	s.c.Assert(e.Sent, qt.IsFalse)
	s.c.Assert(s.ended(ctx).Sent, qt.IsFalse)
}

func TestWaitingRequestEndsOnceItIsLate(t *testing.T) {
	t.Parallel()
	s := newStopTest(t)
	ctx, r := s.begin()
	defer r.End()
	s.drain(t)
	s.c.Assert(ctx.Err(), qt.IsNil)
	s.advance(grace - usual)
	s.c.Assert(s.ended(ctx).Sent, qt.IsFalse)
	s.c.Assert(r.Send(ctx), qt.Not(qt.IsNil))
}

func TestSentRequestEndsWithTheStop(t *testing.T) {
	t.Parallel()
	s := newStopTest(t)
	ctx, r := s.begin()
	defer r.End()
	s.c.Assert(r.Send(ctx), qt.IsNil)
	waiting, w := s.begin()
	defer w.End()
	s.drain(t)
	s.advance(grace - usual)
	s.c.Assert(s.ended(waiting).Sent, qt.IsFalse)
	s.c.Assert(ctx.Err(), qt.IsNil)
	s.advance(usual)
	s.c.Assert(s.ended(ctx).Sent, qt.IsTrue)
	s.c.Assert(s.Cut(), qt.Equals, 1)
}

func TestRequestThatWaitsAgainEndsOnceItIsLate(t *testing.T) {
	t.Parallel()
	s := newStopTest(t)
	ctx, r := s.begin()
	defer r.End()
	s.c.Assert(r.Send(ctx), qt.IsNil)
	s.drain(t)
	s.advance(grace - usual)
	r.Waits()
	s.c.Assert(s.ended(ctx).Sent, qt.IsFalse)
}

func TestRequestOfUnknownLengthIsSentIfItsDeadlineIsInTime(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		deadline time.Duration
		late     bool
	}{"before the end": {deadline: grace}, "after it": {deadline: grace + time.Second, late: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStopTest(t)
			s.Drain(s.times(grace))
			_, r := s.Begin(context.Background(), ggsstop.Work{Class: ggsgrace.Class{Service: "unknown"}, Deadline: s.now().Add(tc.deadline)})
			defer r.End()
			s.c.Assert(r.Late(), qt.Equals, tc.late)
		})
	}
}

func TestRequestsWithoutAStop(t *testing.T) {
	t.Parallel()
	s := newStopTest(t)
	ctx, r := s.begin()
	s.c.Assert(s.Draining(), qt.IsFalse)
	s.c.Assert(r.Late(), qt.IsFalse)
	r.End()
	s.c.Assert(ctx.Err(), qt.Equals, context.Canceled)
	s.c.Assert(ggsstop.Stopped(ctx), qt.IsFalse)
}

// Guards against requests that are sent on because earlier ones were short, and are cut at the end of the stop.
func TestRequestIsNotSentByAnExpectationOnceTheStopIsStrict(t *testing.T) {
	t.Parallel()
	s := newStopTest(t)
	s.Drain(s.times(grace / 5))
	ctx, r := s.begin()
	defer r.End()
	s.c.Assert(r.Late(), qt.IsFalse)
	s.advance(grace / 5)
	s.c.Assert(r.Late(), qt.IsTrue)
	s.c.Assert(r.Send(ctx), qt.Not(qt.IsNil))
	s.c.Assert(s.ended(ctx).Sent, qt.IsFalse)
}

// Guards against a request of unusual size that is sent on by the time that others took, and is cut at the end of the stop.
func TestRequestThatMayGenerateMoreIsExpectedToTakeLonger(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		tokens int
		late   bool
	}{"as usual": {tokens: 100}, "three times as much": {tokens: 300, late: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStopTest(t)
			ctx, usually := s.Begin(context.Background(), ggsstop.Work{Deadline: s.now().Add(limit), OutputTokens: 100})
			s.c.Assert(usually.Send(ctx), qt.IsNil)
			s.advance(usual)
			usually.Whole()
			usually.End()
			s.Drain(s.times(grace))
			_, r := s.Begin(context.Background(), ggsstop.Work{Deadline: s.now().Add(limit), OutputTokens: tc.tokens})
			defer r.End()
			s.c.Assert(r.Late(), qt.Equals, tc.late)
		})
	}
}
