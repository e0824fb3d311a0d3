package ggsretry_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsretry"
)

func at(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

func notRun(k ggscore.FailureKind) *ggscore.Failure {
	return &ggscore.Failure{Kind: k, Outcome: ggscore.OutcomeNotRun}
}

// Guards against too many retries after the deployment grows: VMs share the total budget, so the
// depth of each shrinks, and tokens beyond the new depth must be discarded.
func TestSetDepthDiscardsTokens(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	p := ggsretry.NewPolicy(ggsretry.Options{Seed: 1, Depth: 4, Ratio: 0.1, MaxAttempts: 9})
	granted := func() int {
		n := 0
		for range 10 {
			_, err := p.Retry(at(0), ggsretry.Attempt{
				Market: "m", Number: 1, Failure: notRun(ggscore.FailureNoCapacity), Left: time.Minute,
			})
			if err == nil {
				n++
			}
		}
		return n
	}
	p.Request(at(0), "m")
	p.SetDepth(2)
	c.Assert(granted(), qt.Equals, 2)
}

// Guards against running a request twice, such as a payment: its connection breaks after the first
// byte was sent, and the gateway retries it on another dispatcher although it may have run.
func TestOnlyRequestsNotRunAreRetried(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		failure *ggscore.Failure
		want    bool
	}{
		"not run, no capacity": {failure: notRun(ggscore.FailureNoCapacity), want: true},
		"not run, not owner":   {failure: notRun(ggscore.FailureNotOwner), want: true},
		"not run, bad request": {failure: notRun(ggscore.FailureBadRequest)},
		"not run, over limit":  {failure: notRun(ggscore.FailureOverLimit)},
		"not run, key reused":  {failure: notRun(ggscore.FailureKeyReused)},
		"not run, cancelled":   {failure: notRun(ggscore.FailureCancelled)},
		"unknown":              {failure: &ggscore.Failure{Kind: ggscore.FailureBroken}},
		"done":                 {failure: &ggscore.Failure{Kind: ggscore.FailureBroken, Outcome: ggscore.OutcomeDone}},
		"no failure":           {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			p := ggsretry.NewPolicy(ggsretry.Options{Seed: 1})
			_, err := p.Retry(at(0), ggsretry.Attempt{Market: "cr", Number: 1, Failure: tc.failure, Left: time.Minute})
			c.Check(err == nil, qt.Equals, tc.want)
		})
	}
}

// Guards against a retry storm: a third of the runners restart at peak load, immediate retries
// multiply the traffic of the others until they fail too, and the outage outlasts the restart.
func TestOutageCausesNoRetryStorm(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	p := ggsretry.NewPolicy(ggsretry.Options{Seed: 1})
	requests, retries := 0, 0
	waits := map[time.Duration]int{}
	for ms := range 10_000 {
		now := at(time.Duration(ms) * time.Millisecond)
		p.Request(now, "karri")
		requests++
		for n := 1; ; n++ {
			wait, err := p.Retry(now, ggsretry.Attempt{
				Market: "karri", Number: n, Left: time.Minute,
				Failure: notRun(ggscore.FailureNoCapacity),
			})
			if err != nil {
				break
			}
			waits[wait/time.Millisecond]++
			retries++
		}
	}
	c.Check(retries <= requests/10+11, qt.IsTrue, qt.Commentf("%d retries of %d requests", retries, requests))
	c.Check(retries >= requests/10, qt.IsTrue)
	for ms, n := range waits {
		c.Check(n < retries/8, qt.IsTrue, qt.Commentf("%d retries wait %d ms", n, ms))
	}

	_, err := p.Retry(at(10*time.Second), ggsretry.Attempt{
		Market: "cr", Number: 1, Left: time.Minute, Failure: notRun(ggscore.FailureNoCapacity),
	})
	c.Check(err, qt.IsNil, qt.Commentf("the retries of one market use up the budget of another"))
}

func TestRetryRespectsTimeAndAttempts(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		attempt ggsretry.Attempt
		want    ggsretry.Cause
	}{
		"no time left":        {attempt: ggsretry.Attempt{Number: 1}, want: ggsretry.CauseTime},
		"last attempt":        {attempt: ggsretry.Attempt{Number: 3, Left: time.Minute}, want: ggsretry.CauseAttempts},
		"RetryAfter too long": {attempt: ggsretry.Attempt{Number: 1, Left: time.Second}, want: ggsretry.CauseTime},
		"many attempts":       {attempt: ggsretry.Attempt{Number: 1 << 40, Left: time.Second}, want: ggsretry.CauseAttempts},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			p := ggsretry.NewPolicy(ggsretry.Options{Seed: 1})
			tc.attempt.Failure = notRun(ggscore.FailureStopping)
			if name == "RetryAfter too long" {
				tc.attempt.Failure.RetryAfter = time.Second
			}
			_, err := p.Retry(at(0), tc.attempt)
			var got *ggsretry.NoRetryError
			c.Assert(errors.As(err, &got), qt.IsTrue)
			c.Check(got.Cause, qt.Equals, tc.want)
		})
	}
}

// call makes one call to a target unless the target is excluded, and reports whether it did.
func call(b *ggsretry.Breakers[string], now time.Time, k string, r ggsretry.Result) bool {
	if slices.Contains(b.Exclude(now, nil), k) {
		return false
	}
	b.Started(now, k)
	b.Ended(now, k, r)
	return true
}

// Guards against callers that wait for a dispatcher that hangs after a fault: each gateway
// would keep sending it one request in four until the dispatcher is removed from the list.
func TestBreakerLimitsCallsToFailingTarget(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := ggsretry.NewBreakers[string](ggsretry.BreakerOptions{Seed: 1})
	call(b, at(0), "healthy", ggsretry.ResultOK)
	calls := 0
	for ms := range 60_000 {
		if call(b, at(time.Duration(ms)*time.Millisecond), "failing", ggsretry.ResultFailed) {
			calls++
		}
	}
	c.Check(calls > 5 && calls < 20, qt.IsTrue, qt.Commentf("%d calls", calls))

	restored := at(100 * time.Second)
	c.Assert(b.Allow(restored, "failing"), qt.IsTrue)
	b.Started(restored, "failing")
	c.Check(b.Allow(restored, "failing"), qt.IsFalse, qt.Commentf("a second probe beside the first"))
	c.Check(b.Allow(restored.Add(ggsretry.DefaultProbe), "failing"), qt.IsTrue, qt.Commentf("a probe without a result"))
	b.Ended(restored, "failing", ggsretry.ResultOK)
	c.Check(b.Exclude(restored, nil), qt.HasLen, 0)
}

// Guards against a gateway that refuses all requests for seconds after its own link was down for a
// moment, since all its breakers opened.
func TestBreakersNeverExcludeAll(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := ggsretry.NewBreakers[string](ggsretry.BreakerOptions{Seed: 1})
	for range 10 {
		for _, k := range []string{"a", "b", "d", "e"} {
			b.Started(at(0), k)
			b.Ended(at(0), k, ggsretry.ResultFailed)
		}
	}
	c.Check(b.Exclude(at(0), nil), qt.DeepEquals, []string{"a", "b"})
	b.Remove("a")
	c.Check(b.Exclude(at(0), nil), qt.DeepEquals, []string{"b"})
}

// Guards against a breaker that stays open for 15 s after a dispatcher restarts within a second
// with a hundred calls in flight: each call fails, and each failure would double the open time.
func TestCallsInFlightDoNotExtendOpenTime(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := ggsretry.NewBreakers[string](ggsretry.BreakerOptions{Seed: 1})
	for range 100 {
		b.Started(at(0), "a")
	}
	for range 100 {
		b.Ended(at(0), "a", ggsretry.ResultFailed)
	}
	c.Check(b.Allow(at(0), "a"), qt.IsFalse)
	c.Check(b.Allow(at(time.Second), "a"), qt.IsTrue)
}

// Guards against calls that go on to a target whose address another one answers at.
func TestAbsentTargetIsExcludedAtOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := ggsretry.NewBreakers[string](ggsretry.BreakerOptions{Seed: 1})
	call(b, at(0), "present", ggsretry.ResultOK)
	calls := 0
	for ms := range 60_000 {
		if call(b, at(time.Duration(ms)*time.Millisecond), "absent", ggsretry.ResultAbsent) {
			calls++
		}
	}
	c.Check(calls > 2 && calls < 15, qt.IsTrue, qt.Commentf("%d calls", calls))
	c.Check(b.Exclude(at(0), nil), qt.DeepEquals, []string{"absent"})
}
