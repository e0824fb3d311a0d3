package ggsepoch_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsepoch"
)

// Guards against the use of answers from an epoch that has ended, and against impossible epochs.
func TestAnswersAreValidatedByEpoch(t *testing.T) {
	t.Parallel()
	const known = 7
	for name, tc := range map[string]struct {
		sent, named ggscore.StoreEpoch
		stale       bool
		want        ggsepoch.Answer
	}{
		"same epoch":                   {known, known, false, ggsepoch.Answer{Epoch: known}},
		"next epoch":                   {known, known + 1, false, ggsepoch.Answer{Epoch: known + 1, Changed: true}},
		"several epochs later":         {known, known + 5, false, ggsepoch.Answer{Epoch: known + 5, Changed: true}},
		"late answer":                  {known - 1, known - 1, false, ggsepoch.Answer{Epoch: known, Late: true}},
		"sent before, from this epoch": {known - 1, known, false, ggsepoch.Answer{Epoch: known}},
		"sent before, names none":      {known - 1, 0, false, ggsepoch.Answer{Epoch: known, Late: true, Ignored: ggsepoch.ReasonAbsent}},
		"names none":                   {known, 0, false, ggsepoch.Answer{Epoch: known, Ignored: ggsepoch.ReasonAbsent}},
		"unreadable":                   {known, ggscore.UnreadableEpoch, false, ggsepoch.Answer{Epoch: known, Ignored: ggsepoch.ReasonUnreadable}},
		"too high":                     {known, 1 << 30, false, ggsepoch.Answer{Epoch: known, Ignored: ggsepoch.ReasonTooHigh}},
		"decreased":                    {known, known - 1, false, ggsepoch.Answer{Epoch: known, Ignored: ggsepoch.ReasonDecreased}},
		"stale reading":                {known, known - 1, true, ggsepoch.Answer{Epoch: known, Late: true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			k := ggsepoch.NewTracker()
			c.Assert(k.ObservePeer(known), qt.IsTrue)
			c.Check(k.Answer(tc.sent, tc.named, tc.stale), qt.Equals, tc.want)
			c.Check(k.Current(), qt.Equals, tc.want.Epoch)
		})
	}
}

// Guards against a peer's datagram that sets a VM to an epoch which the store never reaches.
func TestEpochsOfPeersAreBounded(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	k := ggsepoch.NewTracker()
	c.Check(k.ObservePeer(ggsepoch.MaxEpoch+1), qt.IsFalse)
	c.Check(k.ObservePeer(3), qt.IsTrue)
	c.Check(k.ObservePeer(3), qt.IsFalse)
	c.Check(k.ObservePeer(2), qt.IsFalse)
	c.Check(k.ObservePeer(ggsepoch.MaxEpoch), qt.IsFalse)
	c.Check(k.Current(), qt.Equals, ggscore.StoreEpoch(3))
}
