package ggsdispatch

import (
	"testing"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
)

// An account is a MemoryBudget of a number of bytes.
type account struct{ free int64 }

// Draw implements ggscore.MemoryBudget.
func (a *account) Draw(n int64) (release func(), err error) {
	if n > a.free {
		return nil, &StreamEndedError{}
	}
	a.free -= n
	return func() {
		a.free += n
		n = 0
	}, nil
}

// Guards against bodies of queued requests that take more than the process's memory, and against those that are kept after the end.
func TestBodiesOfRequestsAreBounded(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const body, all = 10_000, 25_000
	a := &account{free: all}
	d := New(Options{}, Parts{Clock: fixedClock, Scheduler: refusingScheduler{}, Memory: a})
	request := func(id ggscore.RequestID) *ggscore.Request {
		return &ggscore.Request{ID: id, Attempt: 1, Body: make([]byte, body)}
	}
	c.Assert(d.Submit(request("a")) == nil, qt.IsTrue)
	c.Assert(d.Submit(request("b")) == nil, qt.IsTrue)
	f := d.Submit(request("c"))
	c.Assert(f != nil, qt.IsTrue)
	c.Assert(f.Outcome, qt.Equals, ggscore.OutcomeNotRun)
	c.Assert(f.RetryAfter > 0, qt.IsTrue)
	c.Assert(d.Withdraw(jobKey{id: "a", attempt: 1}), qt.Equals, ggscore.OutcomeNotRun)
	c.Assert(d.Submit(request("c")) == nil, qt.IsTrue)
	c.Assert(d.jobs[jobKey{id: "a", attempt: 1}].request.Body, qt.HasLen, 0)
}

// Guards against records of withdrawals without number, and against a promise that a late submission would break.
func TestWithdrawalThatIsNotRecordedPromisesNothing(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := New(Options{}, Parts{Clock: fixedClock, Scheduler: refusingScheduler{}, Memory: &account{free: jobBytes}})
	c.Assert(d.Withdraw(jobKey{id: "a", attempt: 1}), qt.Equals, ggscore.OutcomeNotRun)
	c.Assert(d.Withdraw(jobKey{id: "b", attempt: 1}), qt.Equals, ggscore.OutcomeUnknown)
}
