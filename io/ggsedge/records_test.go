package ggsedge

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a time in a record that overflows when its unit is multiplied in, and comes out as another one.
func TestTimesInRecordsDoNotOverflow(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		n    int64
		want time.Duration
	}{
		"one":      {1, time.Millisecond},
		"negative": {-5, -time.Millisecond},
		"least":    {math.MinInt64, -time.Millisecond},
		"huge":     {math.MaxInt64/1000 + 1, math.MaxInt64},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			qt.New(t).Assert(durationOf(tc.n, time.Millisecond), qt.Equals, tc.want)
		})
	}
}
