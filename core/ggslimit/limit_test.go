package ggslimit_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggslimit"
)

func at(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

func refusal(c *qt.C, err error) *ggslimit.OverLimitError {
	var e *ggslimit.OverLimitError
	c.Assert(errors.As(err, &e), qt.IsTrue)
	return e
}

// Guards against an inexact Retry-After: if it is too short, the caller is refused again, and if it
// is too long, the caller waits although the limit would admit the request.
func TestRetryAfterIsExact(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		limit    ggslimit.Limit
		gateways int
		burst    int
		want     time.Duration
	}{
		"one gateway":                {limit: ggslimit.Limit{RequestsPerSecond: 4, Burst: 3}, gateways: 1, burst: 3, want: 250 * time.Millisecond},
		"share of the limit":         {limit: ggslimit.Limit{RequestsPerSecond: 4, Burst: 4}, gateways: 4, burst: 1, want: time.Second},
		"no burst":                   {limit: ggslimit.Limit{RequestsPerSecond: 10}, gateways: 1, burst: 1, want: 100 * time.Millisecond},
		"rate below gateway count":   {limit: ggslimit.Limit{RequestsPerSecond: 1, Burst: 1}, gateways: 10, burst: 1, want: 10 * time.Second},
		"recurring decimal interval": {limit: ggslimit.Limit{RequestsPerSecond: 3, Burst: 1}, gateways: 1, burst: 1, want: 333333334},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			l := ggslimit.New(ggslimit.Options{})
			l.SetMarket("cr", tc.limit)
			l.SetGateways(tc.gateways)
			for range tc.burst {
				c.Assert(l.Admit(at(0), "cr"), qt.IsNil)
			}
			wait := refusal(c, l.Admit(at(0), "cr")).RetryAfter
			c.Check(wait, qt.Equals, tc.want)
			c.Check(l.Admit(at(wait-1), "cr"), qt.IsNotNil)
			c.Check(l.Admit(at(wait), "cr"), qt.IsNil)
		})
	}
}

// Guards against a burst of one market's requests that uses all in-flight slots of the gateway, so
// that requests of another market are refused although they are well within their own limit.
func TestBusyMarketLeavesReservedSlots(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := ggslimit.New(ggslimit.Options{MaxInFlight: 100})
	l.SetMarket("busy", ggslimit.Limit{Weight: 1})
	l.SetMarket("quiet", ggslimit.Limit{Weight: 1})
	admitted := 0
	for range 1000 {
		if l.Admit(at(0), "busy") == nil {
			admitted++
		}
	}
	c.Check(admitted, qt.Equals, 75)
	c.Check(refusal(c, l.Admit(at(0), "busy")).Cause, qt.Equals, ggslimit.CauseInFlight)
	for range 25 {
		c.Check(l.Admit(at(0), "quiet"), qt.IsNil)
	}
	l.Ended("quiet", time.Second)
	c.Check(l.Admit(at(0), "busy"), qt.IsNotNil)
	c.Check(l.Admit(at(0), "quiet"), qt.IsNil)
}

func TestSetMarketKeepsState(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := ggslimit.New(ggslimit.Options{MaxInFlight: 10})
	l.SetMarket("cr", ggslimit.Limit{RequestsPerSecond: 1, Burst: 1})
	c.Assert(l.Admit(at(0), "cr"), qt.IsNil)
	l.SetMarket("cr", ggslimit.Limit{RequestsPerSecond: 1, Burst: 1, Weight: 3})
	c.Check(l.Admit(at(0), "cr"), qt.IsNotNil)
	c.Check(l.InFlight(), qt.Equals, 1)
	l.RemoveMarket("cr")
	c.Check(l.InFlight(), qt.Equals, 0)
	l.Ended("cr", time.Second)
	c.Check(l.InFlight(), qt.Equals, 0)
	var unknown *ggslimit.UnknownMarketError
	c.Check(errors.As(l.Admit(at(0), "cr"), &unknown), qt.IsTrue)
	c.Check(ggslimit.LimitOf(ggscore.MarketSpec{Weight: 2}).Weight, qt.Equals, 2)
}

func BenchmarkAdmit(b *testing.B) {
	l := ggslimit.New(ggslimit.Options{MaxInFlight: 100})
	l.SetMarket("cr", ggslimit.Limit{RequestsPerSecond: 1e9, Burst: 1e9})
	now := at(0)
	b.ReportAllocs()
	for b.Loop() {
		if err := l.Admit(now, "cr"); err != nil {
			b.Fatal(err)
		}
		l.Ended("cr", time.Millisecond)
		now = now.Add(time.Millisecond)
	}
}
