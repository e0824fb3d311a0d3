// Package ggsepoch decides which epoch of the platform's store is current, and which of the
// store's answers are valid.
//
// Its inputs are the epochs named by the store's answers and by peers. Its outputs are the
// current epoch and, for each answer, whether to apply it.
//
// # Usage
//
//	t := ggsepoch.NewTracker()
//	sent := t.Current()                  // before a call
//	a := t.Answer(sent, named, stale)    // the epoch that the call's answer named
//	if a.Late { … }                      // the answer is from an epoch that has ended
//	if a.Changed { … }                   // a.Epoch is a new epoch
//	changed := t.ObservePeer(epoch)      // an epoch that a peer reports
//
// The store is linearizable. A call that was sent after an epoch became known can't be
// answered from an earlier epoch, whatever epoch the answer names.
//
// A Tracker has no clock, goroutine or lock of its own; the caller serializes access.
package ggsepoch

import ggscore "greengageslip/core"

const (
	// MaxEpoch is the greatest epoch that is accepted. An epoch has to fit into the upper half
	// of a fencing token.
	MaxEpoch ggscore.StoreEpoch = 1<<31 - 1
	// maxStep is the greatest increase of the epoch that is accepted. Each restoration of the
	// store increases the epoch by one, and a VM may have missed some restorations.
	maxStep = 1 << 16
)

// A Reason is the reason why the epoch that an answer named was ignored.
type Reason string

// The reasons for which a named epoch is ignored.
const (
	ReasonNone       Reason = ""
	ReasonAbsent     Reason = "absent"
	ReasonUnreadable Reason = "unreadable"
	ReasonTooHigh    Reason = "tooHigh"
	ReasonDecreased  Reason = "fell"
)

// An Answer describes how to treat an answer of the store.
type Answer struct {
	// Epoch is the current epoch after the answer.
	Epoch ggscore.StoreEpoch
	// Changed is set if the epoch wasn't known before.
	Changed bool
	// Late is set if the answer is from an epoch that has ended and must be discarded.
	Late bool
	// Ignored is the reason why the epoch that the answer named was ignored, empty if it was not.
	Ignored Reason
}

// A Tracker holds the current epoch.
type Tracker struct{ current ggscore.StoreEpoch }

// NewTracker returns a Tracker without a current epoch.
func NewTracker() *Tracker { return &Tracker{} }

// Current returns the current epoch, zero for none.
func (t *Tracker) Current() ggscore.StoreEpoch { return t.current }

// Answer applies the epoch that an answer named. sent is the epoch that was current when the
// call was sent. stale marks the answer to a stale read, which may be from an epoch that ended
// before the call was sent.
func (t *Tracker) Answer(sent, named ggscore.StoreEpoch, stale bool) Answer {
	a := Answer{Epoch: t.current, Late: sent < t.current}
	switch {
	case named == 0:
		a.Ignored = ReasonAbsent
	case named == ggscore.UnreadableEpoch:
		a.Ignored = ReasonUnreadable
	case named > t.maxAccepted():
		a.Ignored = ReasonTooHigh
	case named > t.current:
		t.current = named
		return Answer{Epoch: named, Changed: true}
	case named == t.current:
		a.Late = false
	case !a.Late && stale:
		a.Late = true
	case !a.Late:
		a.Ignored = ReasonDecreased
	}
	return a
}

// ObservePeer applies an epoch that a peer reports, and returns whether it is new.
func (t *Tracker) ObservePeer(e ggscore.StoreEpoch) bool {
	if e <= t.current || e > t.maxAccepted() {
		return false
	}
	t.current = e
	return true
}

// maxAccepted returns the greatest epoch that is accepted now. The first epoch may be any up to
// MaxEpoch.
func (t *Tracker) maxAccepted() ggscore.StoreEpoch {
	if t.current == 0 {
		return MaxEpoch
	}
	return min(t.current+maxStep, MaxEpoch)
}
