package ggsregistry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsregistry"
)

func at(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

func position(e ggscore.StoreEpoch, r ggscore.StoreRevision) ggscore.StorePosition {
	return ggscore.StorePosition{Epoch: e, Revision: r}
}

func entry(r ggscore.StoreRevision, startedAt int64, leaving bool) ggsregistry.Entry {
	return ggsregistry.Entry{Instance: ggscore.Instance{ID: "e", StartedAt: time.UnixMilli(startedAt), Leaving: leaving}, Revision: r}
}

// A reading is a reading of the entries at a time after the start.
type reading struct {
	after   time.Duration
	at      ggscore.StorePosition
	entries []ggsregistry.Entry
}

// Guards against endpoints that an older copy of the store wrongly restores, shows as ready or
// removes from the list.
func TestListOfANewEpoch(t *testing.T) {
	t.Parallel()
	const (
		restored  = 10 * time.Second
		laterRead = restored + time.Second
	)
	ready := entry(5, 1, false)
	for name, tc := range map[string]struct {
		readings []reading
		// listed and leaving are the endpoint's expected state at the end.
		listed, leaving bool
	}{
		"one epoch, leaving is revoked": {
			readings: []reading{{0, position(1, 9), []ggsregistry.Entry{entry(7, 1, true)}}, {laterRead, position(1, 12), []ggsregistry.Entry{ready}}},
			listed:   true,
		},
		"seen leaving, the copy says ready": {
			readings: []reading{{0, position(1, 9), []ggsregistry.Entry{entry(7, 1, true)}}, {restored, position(2, 6), []ggsregistry.Entry{ready}}},
			listed:   true, leaving: true,
		},
		"seen leaving, two restores": {
			readings: []reading{
				{0, position(1, 9), []ggsregistry.Entry{entry(7, 1, true)}},
				{restored, position(2, 6), []ggsregistry.Entry{ready}},
				{laterRead, position(3, 6), []ggsregistry.Entry{ready}},
			},
			listed: true, leaving: true,
		},
		"seen leaving, restarted": {
			readings: []reading{{0, position(1, 9), []ggsregistry.Entry{entry(7, 1, true)}}, {restored, position(2, 6), []ggsregistry.Entry{entry(6, 2, false)}}},
			listed:   true,
		},
		"seen removed, the copy has it": {
			readings: []reading{{0, position(1, 6), []ggsregistry.Entry{ready}}, {time.Second, position(1, 9), nil}, {restored, position(2, 6), []ggsregistry.Entry{ready}}},
		},
		"seen removed, its entry is written again": {
			readings: []reading{
				{0, position(1, 6), []ggsregistry.Entry{ready}},
				{time.Second, position(1, 9), nil},
				{restored, position(2, 6), []ggsregistry.Entry{ready}},
				{laterRead, position(2, 8), []ggsregistry.Entry{entry(8, 1, false)}},
			},
			listed: true,
		},
		"seen removed, restarted": {
			readings: []reading{{0, position(1, 6), []ggsregistry.Entry{ready}}, {time.Second, position(1, 9), nil}, {restored, position(2, 6), []ggsregistry.Entry{entry(5, 2, false)}}},
			listed:   true,
		},
		"seen removed, its entry does not expire": {
			readings: []reading{
				{0, position(1, 6), []ggsregistry.Entry{ready}},
				{time.Second, position(1, 9), nil},
				{restored, position(2, 6), []ggsregistry.Entry{ready}},
				{restored + ggsregistry.StaleCopyPeriod, position(2, 8), []ggsregistry.Entry{ready}},
			},
			listed: true,
		},
		"missing for a moment": {
			readings: []reading{{0, position(1, 9), []ggsregistry.Entry{entry(8, 1, false)}}, {restored, position(2, 6), nil}},
			listed:   true,
		},
		"missing for a moment, leaving": {
			readings: []reading{{0, position(1, 9), []ggsregistry.Entry{entry(8, 1, true)}}, {restored, position(2, 6), nil}},
			listed:   true, leaving: true,
		},
		"still missing": {
			readings: []reading{
				{0, position(1, 9), []ggsregistry.Entry{entry(8, 1, false)}}, {restored, position(2, 6), nil}, {restored + ggsregistry.MissingGrace, position(2, 8), nil},
			},
		},
		"missing, back, then removed": {
			readings: []reading{
				{0, position(1, 9), []ggsregistry.Entry{entry(8, 1, false)}},
				{restored, position(2, 6), nil},
				{restored + time.Second/2, position(2, 7), []ggsregistry.Entry{entry(7, 1, false)}},
				{laterRead, position(2, 8), nil},
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			r := ggsregistry.NewRegistry()
			var list []ggscore.Instance
			for _, x := range tc.readings {
				list = r.Read(at(x.after), x.at, x.entries)
			}
			c.Assert(len(list) > 0, qt.Equals, tc.listed)
			if tc.listed {
				c.Check(list[0].Leaving, qt.Equals, tc.leaving)
			}
		})
	}
}

// Guards against a VM that keeps a missing endpoint because no change of the entries triggers
// another reading.
func TestDueWhileListMayChangeWithoutEntries(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := ggsregistry.NewRegistry()
	r.Read(at(0), position(1, 9), []ggsregistry.Entry{entry(8, 1, false)})
	c.Check(r.Due(at(0)).IsZero(), qt.IsTrue)
	r.Read(at(time.Second), position(2, 6), nil)
	c.Check(r.Due(at(time.Second)), qt.Equals, at(time.Second+ggsregistry.MissingGrace))
	r.Read(at(time.Second+ggsregistry.MissingGrace), position(2, 8), nil)
	c.Check(r.Due(at(time.Second+ggsregistry.MissingGrace)).IsZero(), qt.IsTrue)
}
