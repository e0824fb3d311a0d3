package ggsnode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against short grace periods in which requests are cut though their endpoints had a sixth of it left.
func TestPlannedStopEndsInTheLastSixthOfTheGracePeriod(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		grace time.Duration
		want  stopPlan
	}{
		"usual":   {grace: 8 * time.Second, want: stopPlan{deregister: deregisterDelay, end: 7100 * time.Millisecond, close: 7300 * time.Millisecond}},
		"short":   {grace: 3 * time.Second, want: stopPlan{deregister: 1260 * time.Millisecond, end: 2520 * time.Millisecond, close: 2640 * time.Millisecond}},
		"shorter": {grace: time.Second, want: stopPlan{deregister: 420 * time.Millisecond, end: 840 * time.Millisecond, close: 880 * time.Millisecond}},
		"long":    {grace: time.Minute, want: stopPlan{deregister: deregisterDelay, end: 59100 * time.Millisecond, close: 59300 * time.Millisecond}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newStopPlan(tc.grace)
			qt.Assert(t, p, qt.Equals, tc.want)
			qt.Assert(t, p.end > tc.grace*5/6, qt.IsTrue)
		})
	}
}
