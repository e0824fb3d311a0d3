package ggsresident_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsresident"
)

// report returns the report of an endpoint that accepted so many orders and holds an adapter.
func report(sequence uint64, held ggscore.ModelAdapter, version uint64) ggscore.InstanceStatus {
	return ggscore.InstanceStatus{Sequence: sequence, Models: []ggscore.ResidentModel{{
		Name: held.Model, Adapters: []ggscore.ResidentVersion{{Adapter: held.Adapter, Version: version}},
	}}}
}

// Guards against a place that is given away while an unanswered order under a later number may still take it.
func TestPlaceIsLeftForALateOrderUnderALaterNumber(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const resync = 450 * time.Millisecond
	old, late, wanted := adapter(0), adapter(1), adapter(2)
	l := ggsresident.NewLedger(ggsresident.Options{Slots: 2})
	now := at(0)
	l.Sync(now, report(10, old, 1))

	// The ledger counts an order that the endpoint didn't, and gives one under the next number.
	l.Want(now, old, 2)
	l.Ended(now, next(c, l, now), ggscore.PlacementAccepted)
	l.Want(now, late, 0)
	s := next(c, l, now)
	c.Assert(s, qt.Equals, ggsresident.Step{Target: late, Expected: 11})
	l.Ended(now, s, ggscore.PlacementUnknown)
	l.Ended(now, next(c, l, now), ggscore.PlacementConflict)

	// Its report says that it has accepted fewer. The order may still be carried out.
	now = now.Add(resync)
	l.Sync(now, report(10, old, 2))
	now = now.Add(ggsresident.DefaultForget + time.Second)
	l.Want(now, wanted, 0)
	if s, ok := l.Next(now); ok {
		c.Assert(s.Unload, qt.IsTrue, qt.Commentf("%+v", s))
	}
}

// Guards against orders under wrong numbers, since a version that waits for the one before was ordered and counted again.
func TestVersionOnItsWayIsNotOrderedAgain(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const resync = 450 * time.Millisecond
	l := ggsresident.NewLedger(ggsresident.Options{Slots: 2})
	now := at(0)
	l.Sync(now, report(10, adapter(0), 1))
	l.Want(now, adapter(0), 2)
	l.Ended(now, next(c, l, now), ggscore.PlacementAccepted)
	l.Want(now, adapter(1), 0)
	l.Ended(now, next(c, l, now), ggscore.PlacementConflict)
	now = now.Add(resync)
	l.Sync(now, report(11, adapter(0), 1))

	l.Want(now, adapter(0), 2)
	s := next(c, l, now)
	c.Assert(s, qt.Equals, ggsresident.Step{Target: adapter(0), Version: 2, Expected: 11, Poll: true})
	l.Ended(now, s, ggscore.PlacementAccepted)
	l.Want(now, adapter(1), 0)
	c.Assert(next(c, l, now), qt.Equals, ggsresident.Step{Target: adapter(1), Expected: 11})
}
