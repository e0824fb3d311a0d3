package ggscore_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
)

// Guards against a comparison of revisions from different epochs.
func TestPositionsAreOrderedByEpochFirst(t *testing.T) {
	t.Parallel()
	at := func(e ggscore.StoreEpoch, r ggscore.StoreRevision) ggscore.StorePosition {
		return ggscore.StorePosition{Epoch: e, Revision: r}
	}
	for name, tc := range map[string]struct {
		earlier, later ggscore.StorePosition
	}{
		"same epoch":                  {at(1, 5), at(1, 6)},
		"later epoch, lower revision": {at(1, 900), at(2, 5)},
		"nothing was read":            {at(0, 0), at(1, 1)},
		"no epoch was named before":   {at(0, 900), at(1, 1)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			c.Check(tc.earlier.Before(tc.later), qt.IsTrue)
			c.Check(tc.later.Before(tc.earlier), qt.IsFalse)
			c.Check(tc.earlier.Max(tc.later), qt.Equals, tc.later)
			c.Check(tc.later.Max(tc.earlier), qt.Equals, tc.later)
			c.Check(tc.later.Compare(tc.later), qt.Equals, 0)
		})
	}
}
