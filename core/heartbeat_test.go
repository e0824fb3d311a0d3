package ggscore_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
)

// Guards against a list that counts as recently read because a VM read it in an earlier epoch.
func TestAgesAreOfTheNewerEpoch(t *testing.T) {
	t.Parallel()
	old := ggscore.StoreProgress{Epoch: 1, ListAge: time.Second, OperatorsAge: time.Second, Config: 7}
	now := ggscore.StoreProgress{Epoch: 2, ListAge: 9 * time.Second, OperatorsAge: 8 * time.Second, Config: 3}
	for name, m := range map[string]ggscore.StoreProgress{"older first": old.Merge(now), "newer first": now.Merge(old)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			c.Check(m, qt.Equals, ggscore.StoreProgress{Epoch: 2, ListAge: now.ListAge, OperatorsAge: now.OperatorsAge, Config: 7})
		})
	}
	qt.Assert(t, now.Merge(ggscore.StoreProgress{Epoch: 2, ListAge: time.Second, OperatorsAge: time.Hour}).ListAge, qt.Equals, time.Second)
}

// Guards against a summary that gives the digest of one reading of the list with the position of another.
func TestDigestOfTheListStaysWithItsPosition(t *testing.T) {
	t.Parallel()
	at := func(r ggscore.StoreRevision) ggscore.StorePosition {
		return ggscore.StorePosition{Epoch: 1, Revision: r}
	}
	old := ggscore.StoreProgress{Epoch: 2, ListedAt: at(3), ListDigest: 30}
	now := ggscore.StoreProgress{Epoch: 1, ListedAt: at(4), ListDigest: 40}
	for name, m := range map[string]ggscore.StoreProgress{"older first": old.Merge(now), "newer first": now.Merge(old)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			c.Check(m.ListedAt, qt.Equals, at(4))
			c.Check(m.ListDigest, qt.Equals, ggscore.ListDigest(40))
		})
	}
}
