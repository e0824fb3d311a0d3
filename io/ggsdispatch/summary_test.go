package ggsdispatch

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	ggscore "greengageslip/core"
)

// An emptyScheduler has no runners.
type emptyScheduler struct{ ggscore.Scheduler }

func (emptyScheduler) Summary(time.Time) []ggscore.RunnerSummary { return nil }

// Guards against a gateway that sends requests to a stopping dispatcher. It happens when
// the dispatcher begins to stop between two calls for its summary.
func TestSummaryHasTheChangeSinceTheLastOne(t *testing.T) {
	t.Parallel()
	const wait = 5 * time.Second
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	d := New(Options{}, Parts{Scheduler: emptyScheduler{}, Clock: fixedClock, Log: log.NewNopLogger()})
	last := d.Summary()
	d.BeginDrain()
	s := d.NextSummary(ctx, last.Sequence)
	c.Assert(ctx.Err(), qt.IsNil)
	c.Assert(s.Leaving, qt.IsTrue)

	// Without a change since the last summary, the call waits.
	short, cancelShort := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancelShort()
	d.NextSummary(short, s.Sequence)
	c.Assert(short.Err(), qt.IsNotNil)
}
