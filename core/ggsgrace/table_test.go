package ggsgrace_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsgrace"
)

func TestExpectedTimeOfARequest(t *testing.T) {
	t.Parallel()
	const limit = 10 * time.Second
	stream := ggsgrace.Class{Service: "models", Kind: ggscore.RouteStreaming}
	type answer struct {
		at, took time.Duration
		tokens   int
	}
	several := func(at, took time.Duration) []answer {
		var as []answer
		for range 8 {
			as = append(as, answer{at: at, took: took, tokens: 100})
		}
		return as
	}
	for name, tc := range map[string]struct {
		answers []answer
		class   ggsgrace.Class
		at      time.Duration
		limit   time.Duration
		tokens  int
		want    time.Duration
	}{
		"without answers, its limit":          {class: stream, limit: limit, want: limit},
		"with few, its limit":                 {answers: several(0, time.Second)[:7], class: stream, limit: limit, want: limit},
		"the longest answer, and a part more": {answers: append(several(0, time.Second), answer{took: 2 * time.Second}), class: stream, limit: limit, want: 2600 * time.Millisecond},
		"never more than its limit":           {answers: several(0, time.Second), class: stream, limit: time.Second, want: time.Second},
		"answers of the last window count":    {answers: several(0, time.Second), class: stream, at: 20 * time.Second, limit: limit, want: 1350 * time.Millisecond},
		"older ones don't":                    {answers: several(0, time.Second), class: stream, at: 40 * time.Second, limit: limit, want: limit},
		"those of two windows together": {
			answers: append(several(0, time.Second)[:4], several(16*time.Second, 2*time.Second)[:4]...), class: stream, at: 17 * time.Second, limit: limit, want: 2600 * time.Millisecond,
		},
		"as many tokens as the longest answers": {answers: several(0, time.Second), class: stream, limit: limit, tokens: 100, want: 1350 * time.Millisecond},
		"fewer tokens are no shorter":           {answers: several(0, time.Second), class: stream, limit: limit, tokens: 10, want: 1350 * time.Millisecond},
		"more tokens take longer in proportion": {answers: several(0, time.Second), class: stream, limit: limit, tokens: 400, want: 5100 * time.Millisecond},
		"but no more than the request's limit":  {answers: several(0, time.Second), class: stream, limit: limit, tokens: 1 << 62, want: limit},
		"another class":                         {answers: several(0, time.Second), class: ggsgrace.Class{Service: "models", Kind: ggscore.RouteSafe}, limit: limit, want: limit},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, begun := ggsgrace.NewTable(), time.Unix(1000, 0)
			for _, a := range tc.answers {
				b.Record(begun.Add(a.at), ggsgrace.Request{Class: stream, OutputTokens: a.tokens}, a.took)
			}
			r := ggsgrace.Request{Class: tc.class, Limit: tc.limit, OutputTokens: tc.tokens}
			qt.Assert(t, b.Expected(begun.Add(tc.at), r), qt.Equals, tc.want)
		})
	}
}

// Guards against requests that are sent on by the length of earlier answers, last longer, and are cut at the end of a stop.
func TestWhatMayBeSentDuringAStop(t *testing.T) {
	t.Parallel()
	// Two seconds are expected, and a tenth more.
	const took = 1600 * time.Millisecond
	stop := ggsgrace.Schedule{Strict: time.Unix(1002, 0), End: time.Unix(1007, 0)}
	for name, tc := range map[string]struct {
		at, limit time.Duration
		want      bool
	}{
		"expected to end in time, while new callers come":    {at: time.Second, limit: time.Minute, want: true},
		"expected to end in time, once none come":            {at: 2 * time.Second, limit: time.Minute},
		"its limit is in time, once no new callers come":     {at: 3 * time.Second, limit: 4 * time.Second, want: true},
		"its limit is just past the end":                     {at: 3 * time.Second, limit: 4*time.Second + 1},
		"its limit is in time, though shorter than expected": {at: 6 * time.Second, limit: time.Second, want: true},
		"after the end": {at: 8 * time.Second, limit: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, begun := ggsgrace.NewTable(), time.Unix(1000, 0)
			for range 8 {
				b.Record(begun, ggsgrace.Request{}, took)
			}
			qt.Assert(t, b.EndsInTime(begun.Add(tc.at), stop, ggsgrace.Request{Limit: tc.limit}), qt.Equals, tc.want)
		})
	}
}
