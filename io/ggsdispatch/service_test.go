package ggsdispatch

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/io/ggswire"
)

// Guards against a non-idempotent request that runs twice. A dispatcher crashes after the
// dispatch, and the process restarted at its address, which doesn't know the request,
// answers notRun, so that the gateway sends the request again.
func TestAnotherIncarnationNeverAnswersNotRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := New(Options{Incarnation: "second"}, Parts{Clock: fixedClock})
	s := NewService(context.Background(), d)
	var w ggswire.WithdrawReply
	c.Assert(s.Withdraw(&ggswire.WithdrawArgs{Incarnation: "first", ID: "r"}, &w), qt.IsNil)
	c.Assert(ggscore.Outcome(w.Outcome), qt.Equals, ggscore.OutcomeUnknown)
	c.Assert(s.Withdraw(&ggswire.WithdrawArgs{Incarnation: "second", ID: "r"}, &w), qt.IsNil)
	c.Assert(ggscore.Outcome(w.Outcome), qt.Equals, ggscore.OutcomeNotRun)

	// The second incarnation refuses a request that was sent to the first.
	var r ggswire.SubmitReply
	c.Assert(s.Submit(&ggswire.SubmitArgs{Incarnation: "first"}, &r), qt.IsNil)
	f := r.Failure.Failure()
	c.Assert(f.Kind, qt.Equals, ggscore.FailureNotOwner)
	c.Assert(f.Outcome, qt.Equals, ggscore.OutcomeNotRun)
}

// A refusingScheduler queues every request and refuses it when it is cancelled.
type refusingScheduler struct{ ggscore.Scheduler }

func (refusingScheduler) Submit(time.Time, *ggscore.Request) []ggscore.Order { return nil }

func (refusingScheduler) Cancel(_ time.Time, id ggscore.RequestID) []ggscore.Order {
	f := &ggscore.Failure{Kind: ggscore.FailureNotOwner, Outcome: ggscore.OutcomeNotRun}
	return []ggscore.Order{{Kind: ggscore.OrderRefuse, Request: &ggscore.Request{ID: id, Attempt: 1}, Failure: f}}
}

// Guards against a repeated attempt that gets the answer, or the late withdrawal, of the
// first one. It happens when a request is returned as not run during a handover and
// submitted to the same dispatcher again.
func TestAttemptsOfARequestAreIndependent(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := New(Options{}, Parts{Clock: fixedClock, Scheduler: refusingScheduler{}})
	s := NewService(context.Background(), d)
	submit := func(n int) {
		var r ggswire.SubmitReply
		c.Assert(s.Submit(&ggswire.SubmitArgs{Request: ggswire.Request{ID: "r", Attempt: n}}, &r), qt.IsNil)
		c.Assert(r.Failure.Kind, qt.Equals, "")
	}
	ended := func(n int) bool {
		var r ggswire.NextReply
		c.Assert(s.Next(&ggswire.NextArgs{ID: "r", Attempt: n}, &r), qt.IsNil)
		c.Assert(r.Lost, qt.IsFalse)
		return len(r.Chunks) > 0
	}
	submit(1)
	d.Schedule(func(k ggscore.Scheduler, now time.Time) []ggscore.Order { return k.Cancel(now, "r") })
	c.Assert(ended(1), qt.IsTrue)
	submit(2)
	c.Assert(ended(2), qt.IsFalse)
	var w ggswire.WithdrawReply
	c.Assert(s.Withdraw(&ggswire.WithdrawArgs{ID: "r", Attempt: 1}, &w), qt.IsNil)
	c.Assert(ended(2), qt.IsFalse)
}
