package ggsdispatch

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/io/ggswire"
)

// A landlord was paid twice: a dispatcher dispatched a release and died before
// it answered. The process that was started anew at its address didn't know the
// request and told the gateway that it had not run, so that it was sent again.
func TestAnotherLifeNeverSaysNotRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := New(Options{Incarnation: "second"}, Parts{Clock: fixedClock})
	s := NewService(context.Background(), d)
	var w ggswire.WithdrawReply
	c.Assert(s.Withdraw(&ggswire.WithdrawArgs{Incarnation: "first", ID: "r"}, &w), qt.IsNil)
	c.Assert(ggscore.Outcome(w.Outcome), qt.Equals, ggscore.OutcomeUnknown)
	c.Assert(s.Withdraw(&ggswire.WithdrawArgs{Incarnation: "second", ID: "r"}, &w), qt.IsNil)
	c.Assert(ggscore.Outcome(w.Outcome), qt.Equals, ggscore.OutcomeNotRun)

	// What is meant for the first life is refused by the second.
	var r ggswire.SubmitReply
	c.Assert(s.Submit(&ggswire.SubmitArgs{Incarnation: "first"}, &r), qt.IsNil)
	f := r.Failure.Failure()
	c.Assert(f.Kind, qt.Equals, ggscore.FailureNotOwner)
	c.Assert(f.Outcome, qt.Equals, ggscore.OutcomeNotRun)
}

// A scheduler takes every request and refuses it when told to.
type refusingScheduler struct{ ggscore.Scheduler }

func (refusingScheduler) Submit(time.Time, *ggscore.Request) []ggscore.Order { return nil }

func (refusingScheduler) Cancel(_ time.Time, id ggscore.RequestID) []ggscore.Order {
	f := &ggscore.Failure{Kind: ggscore.FailureNotOwner, Outcome: ggscore.OutcomeNotRun}
	return []ggscore.Order{{Kind: ggscore.OrderRefuse, Request: &ggscore.Request{ID: id, Attempt: 1}, Failure: f}}
}

// A request was refused for seconds by a dispatcher that could have served it:
// given back while the ownership changed hands and offered again, it met the
// answer to its first offer; and the withdrawal of the first, which came late,
// ended the second.
func TestAnotherOfferIsAnotherRequest(t *testing.T) {
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
