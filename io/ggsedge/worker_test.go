package ggsedge

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a fixed order timeout. Three orders in ten got no answer, and each blocked
// the runner's loads for 80 ms, although answers arrive within 5 ms.
func TestOrderTimeoutFollowsUsualOrderTime(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		usual time.Duration
		want  time.Duration
	}{
		"usual time unknown": {0, orderTimeout},
		"same domain":        {2 * time.Millisecond, minOrderTimeout},
		"another region":     {18 * time.Millisecond, orderTimeout},
		"10 ms away":         {10 * time.Millisecond, 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := &worker{}
			if tc.usual > 0 {
				for range 20 {
					w.recordOrderTime(tc.usual)
				}
			}
			c.Assert(w.timeout(), qt.Equals, tc.want)
		})
	}
}
