package ggsthrottle_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsthrottle"
)

const endpoint ggscore.EndpointID = "runner"

func at(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

func limit(perSecond float64) *ggscore.RateLimit {
	return &ggscore.RateLimit{RequestsPerSecond: perSecond}
}

func TestLimitAppliesUntilALaterAnswerLiftsIt(t *testing.T) {
	t.Parallel()
	type answer struct {
		limit *ggscore.RateLimit
		asOf  time.Duration
	}
	for name, tc := range map[string]struct {
		answers []answer
		want    *ggscore.RateLimit
	}{
		"none announced":                {answers: []answer{{nil, 0}}},
		"announced":                     {answers: []answer{{limit(5), 0}}, want: limit(5)},
		"changed":                       {answers: []answer{{limit(5), 0}, {limit(7), time.Second}}, want: limit(7)},
		"lifted":                        {answers: []answer{{limit(5), 0}, {nil, time.Second}}},
		"request sent before the limit": {answers: []answer{{limit(5), time.Second}, {nil, 0}}, want: limit(5)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := ggsthrottle.NewTable("vm")
			for _, a := range tc.answers {
				h.Observe(at(a.asOf), endpoint, a.limit, at(a.asOf))
			}
			qt.Assert(t, h.Limit(endpoint), qt.DeepEquals, tc.want)
		})
	}
}

// Guards against a record with a negative age, which would keep a service shed-limited whatever its endpoints say later.
func TestShedLimitsOfNegativeAgeAreIgnored(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := ggsthrottle.NewTable("vm")
	refusals := 1
	h.RestoreShedLimits(at(0), []ggscore.ShedLimit{{Service: "s", RefusalsPerSecond: &refusals, Age: -time.Hour}})
	h.ObserveShedLimit("s", nil, at(time.Second))
	c.Assert(h.ShedLimited(at(time.Second), "s"), qt.IsFalse)
}
