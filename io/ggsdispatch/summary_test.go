package ggsdispatch

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	ggscore "greengageslip/core"
)

// A bareScheduler has no runners.
type bareScheduler struct{ ggscore.Scheduler }

func (bareScheduler) Summary(time.Time) []ggscore.RunnerSummary { return nil }

// Guards against a gateway that sends to a dispatcher which stops, because it stopped between two asks for its summary.
func TestSummaryHasTheChangeSinceTheLastOne(t *testing.T) {
	t.Parallel()
	const wait = 5 * time.Second
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	d := New(Options{}, Parts{Scheduler: bareScheduler{}, Clock: fixedClock, Log: log.NewNopLogger()})
	last := d.Summary()
	d.BeginDrain()
	s := d.NextSummary(ctx, last.Sequence)
	c.Assert(ctx.Err(), qt.IsNil)
	c.Assert(s.Leaving, qt.IsTrue)

	// Without a change since it waits.
	short, cancelShort := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancelShort()
	d.NextSummary(short, s.Sequence)
	c.Assert(short.Err(), qt.IsNotNil)
}
