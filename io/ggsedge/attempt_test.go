package ggsedge

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsretry"
	"greengageslip/io/ggsexchange"
)

// Guards against a request that is added to the retry budget twice because it is sent to a
// second endpoint.
func TestRequestIsAddedToRetryBudgetOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := func() time.Time { return time.Unix(1_000, 0) }
	// Each request adds half a retry to the budget.
	e := New(Options{VM: "vm", RetryRatio: 0.5 / retryShare}, Parts{
		Log: log.NewNopLogger(), Now: now, Monotonic: now, Pool: ggsexchange.NewPool(ggsexchange.Options{Now: now}),
	})
	granted := func() bool {
		_, err := e.retries.Retry(now(), ggsretry.Attempt{
			Market: "s", Number: 1, Left: time.Minute, Failure: &ggscore.Failure{Kind: ggscore.FailureNoCapacity, Outcome: ggscore.OutcomeNotRun},
		})
		return err == nil
	}
	for granted() {
	}
	j := &job{service: "s"}
	for _, id := range []ggscore.EndpointID{"a", "b"} {
		e.beginSend(j, id)
		e.endSend(j, id, ggsretry.ResultNeutral)
	}
	c.Assert(granted(), qt.IsFalse)
	e.beginSend(&job{service: "s"}, "a")
	c.Assert(granted(), qt.IsTrue)
}
