package ggsdispatch

import (
	"context"
	"testing"

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
