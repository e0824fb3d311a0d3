package ggsresident_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsresident"
)

// Guards against an order that a successor can't know, sent before an unanswered one is recorded.
func TestNoOtherOrderIsSentBeforeAnUnansweredOneIsRecorded(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	u := &ggsresident.Unanswered{}
	l := ggsresident.NewLedger(ggsresident.Options{Engine: &ggscore.EngineSpec{AdapterSlots: 4}, Unanswered: u})
	l.Sync(at(0), ggscore.InstanceStatus{Sequence: 7, Models: []ggscore.ResidentModel{{Name: "m"}}})
	l.Want(at(0), adapter(1), 0)
	l.Want(at(0), adapter(2), 0)
	c.Assert(u.RecordDue(at(0)).IsZero(), qt.IsTrue)
	s := next(c, l, at(0))
	l.HandleAnswer(at(0), s, ggscore.PlacementUnknown)
	c.Assert(u.RecordDue(at(0)), qt.Equals, at(0))

	// The repetition expects the same number.
	again := next(c, l, at(0))
	c.Assert(again.Expected, qt.Equals, s.Expected)
	l.HandleAnswer(at(0), again, ggscore.PlacementAccepted)
	_, ok := l.Next(at(0))
	c.Assert(ok, qt.IsFalse)
	c.Assert(l.Blocked(at(0)), qt.IsTrue)

	u.Recorded(at(0), u.Record(at(0)))
	c.Assert(next(c, l, at(0)).Expected, qt.Equals, s.Expected+1)
}

// Guards against a record that a successor inherits long after its orders have expired.
func TestRecordIsEmptiedOnceItsOrdersHaveExpired(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	u := &ggsresident.Unanswered{}
	u.Inherit(at(0), ggsresident.OrderRecord{Expected: []uint64{3}, Takeovers: 1})
	r := u.Record(at(0))
	c.Assert(r, qt.DeepEquals, ggsresident.OrderRecord{Expected: []uint64{3}, Takeovers: 2})
	u.Recorded(at(0), r)
	due := u.RecordDue(at(0))
	c.Assert(due.After(at(10*time.Second)), qt.IsTrue)
	c.Assert(u.RecordDue(due), qt.Equals, due)
	r = u.Record(due)
	c.Assert(r, qt.DeepEquals, ggsresident.OrderRecord{})
	u.Recorded(due, r)
	c.Assert(u.RecordDue(due).IsZero(), qt.IsTrue)
}

// Guards against a slot that an owner fills although an order of its predecessors may still take it.
func TestSlotsStayFreeForOrdersOfEarlierOwners(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		records  []ggsresident.OrderRecord
		sequence uint64
		late     int
	}{
		"first owner":                    {},
		"nothing recorded":               {records: []ggsresident.OrderRecord{{}}, late: 1},
		"two owners in turn":             {records: []ggsresident.OrderRecord{{}, {Takeovers: 1}}, late: 3},
		"three in a row":                 {records: []ggsresident.OrderRecord{{Expected: []uint64{17, 18, 19}}}, sequence: 16, late: 4},
		"one before the recorded ones":   {records: []ggsresident.OrderRecord{{Expected: []uint64{18, 19}}}, sequence: 16, late: 3},
		"one between the recorded ones":  {records: []ggsresident.OrderRecord{{Expected: []uint64{17, 19}}}, sequence: 16, late: 3},
		"recorded ones are further away": {records: []ggsresident.OrderRecord{{Expected: []uint64{30}}}, sequence: 16, late: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			u := &ggsresident.Unanswered{}
			for _, r := range tc.records {
				u.Inherit(at(0), r)
			}
			l := ggsresident.NewLedger(ggsresident.Options{Engine: &ggscore.EngineSpec{AdapterSlots: 16}, Unanswered: u})
			l.Sync(at(0), ggscore.InstanceStatus{Sequence: tc.sequence, Models: []ggscore.ResidentModel{{Name: "m"}}})
			c.Assert(l.LateOrders(at(0)), qt.Equals, tc.late)
			c.Assert(l.LateOrders(at(21*time.Second)), qt.Equals, 0)
		})
	}
}

// Guards against slots that stay empty for an order that comes too late to be executed.
func TestSlotsAreFilledWhereTheProcessOutlastsLateOrders(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		started time.Duration
		records []ggsresident.OrderRecord
		late    int
	}{
		"it runs for long":                  {started: -time.Hour, records: []ggsresident.OrderRecord{{Takeovers: 2}}},
		"it runs for as long":               {started: -20 * time.Second, records: []ggsresident.OrderRecord{{}}},
		"it started just before":            {started: -20*time.Second + 1, records: []ggsresident.OrderRecord{{}}, late: 1},
		"it started since":                  {started: time.Second, records: []ggsresident.OrderRecord{{}}, late: 1},
		"the number is recorded":            {started: -time.Hour, records: []ggsresident.OrderRecord{{Expected: []uint64{1}}}, late: 1},
		"the number is recorded, not known": {started: -time.Hour, records: []ggsresident.OrderRecord{{Expected: []uint64{9}}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			u := &ggsresident.Unanswered{}
			for _, r := range tc.records {
				u.Inherit(at(0), r)
			}
			l := ggsresident.NewLedger(ggsresident.Options{Engine: &ggscore.EngineSpec{AdapterSlots: 16}, Unanswered: u, Started: at(tc.started)})
			l.Sync(at(0), ggscore.InstanceStatus{Models: []ggscore.ResidentModel{{Name: "m"}}})
			c.Assert(l.LateOrders(at(0)), qt.Equals, tc.late)
		})
	}
}
