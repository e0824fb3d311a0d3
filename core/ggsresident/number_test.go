package ggsresident_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsresident"
)

// report returns the report of an endpoint that holds one adapter.
func report(sequence uint64, held ggscore.ModelAdapter, version uint64) ggscore.InstanceStatus {
	return ggscore.InstanceStatus{Sequence: sequence, Models: []ggscore.ResidentModel{{
		Name: held.Model, Adapters: []ggscore.ResidentVersion{{Adapter: held.Adapter, Version: version}},
	}}}
}

// Guards against a slot that is reused while an unanswered order, which expects a later number,
// may still fill it.
func TestSlotIsReservedForALateOrderWithALaterNumber(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const resync = 450 * time.Millisecond
	old, late, wanted := adapter(0), adapter(1), adapter(2)
	l := ggsresident.NewLedger(ggsresident.Options{Engine: &ggscore.EngineSpec{AdapterSlots: 2}})
	now := at(0)
	l.Sync(now, report(10, old, 1))

	// The ledger counts an order that the endpoint didn't count, and sends one that expects the
	// next number.
	l.Want(now, old, 2)
	l.HandleAnswer(now, next(c, l, now), ggscore.PlacementAccepted)
	l.Want(now, late, 0)
	s := next(c, l, now)
	c.Assert(s, qt.Equals, ggsresident.Step{Target: late, Expected: 11})
	l.HandleAnswer(now, s, ggscore.PlacementUnknown)
	l.HandleAnswer(now, next(c, l, now), ggscore.PlacementConflict)

	// The endpoint's report shows fewer accepted orders. The unanswered order may still be
	// executed.
	now = now.Add(resync)
	l.Sync(now, report(10, old, 2))
	now = now.Add(ggsresident.WantRetention + time.Second)
	l.Want(now, wanted, 0)
	if s, ok := l.Next(now); ok {
		c.Assert(s.Unload, qt.IsTrue, qt.Commentf("%+v", s))
	}
}

// Guards against orders that expect wrong numbers because a version that waits for the previous
// version's requests was ordered and counted again.
func TestVersionInTransitIsNotOrderedAgain(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const resync = 450 * time.Millisecond
	l := ggsresident.NewLedger(ggsresident.Options{Engine: &ggscore.EngineSpec{AdapterSlots: 2}})
	now := at(0)
	l.Sync(now, report(10, adapter(0), 1))
	l.Want(now, adapter(0), 2)
	l.HandleAnswer(now, next(c, l, now), ggscore.PlacementAccepted)
	l.Want(now, adapter(1), 0)
	l.HandleAnswer(now, next(c, l, now), ggscore.PlacementConflict)
	now = now.Add(resync)
	l.Sync(now, report(11, adapter(0), 1))

	l.Want(now, adapter(0), 2)
	s := next(c, l, now)
	c.Assert(s, qt.Equals, ggsresident.Step{Target: adapter(0), Version: 2, Expected: ggsresident.NeverExpected, Poll: true})
	l.HandleAnswer(now, s, ggscore.PlacementAccepted)
	l.Want(now, adapter(1), 0)
	c.Assert(next(c, l, now), qt.Equals, ggsresident.Step{Target: adapter(1), Expected: 11})
}
