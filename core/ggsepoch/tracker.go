// Package ggsepoch decides which epoch of the platform's store is the current one, and which
// of the store's answers count.
//
// # Usage
//
//	t := ggsepoch.NewTracker()
//	sent := t.Current()                  // before a call
//	a := t.Answer(sent, named, stale)    // the epoch that its answer named
//	if a.Late { … }                      // the answer is of an epoch that has ended
//	if a.Changed { … }                   // a.Epoch is a new one
//	changed := t.Learn(epoch)            // a peer knows of an epoch
//
// The store is linearizable: an answer to a call that was sent once an epoch was known can't
// be of an earlier one, whatever it names. The package holds no clock, no goroutine and no
// lock.
package ggsepoch

import ggscore "greengageslip/core"

const (
	// MaxEpoch is the greatest epoch that is believed. Fencing numbers have epochs in their
	// upper half.
	MaxEpoch ggscore.StoreEpoch = 1<<31 - 1
	// maxStep is the greatest rise that is believed: an epoch rises by one each time, and a
	// VM may have missed some.
	maxStep = 1 << 16
)

// A Reason says why the epoch that an answer named was ignored.
type Reason string

// The reasons for which a named epoch is ignored.
const (
	ReasonNone       Reason = ""
	ReasonAbsent     Reason = "absent"
	ReasonUnreadable Reason = "unreadable"
	ReasonTooHigh    Reason = "tooHigh"
	ReasonFell       Reason = "fell"
)

// An Answer is what becomes of an answer of the store.
type Answer struct {
	// Epoch is the epoch that the answer is of.
	Epoch ggscore.StoreEpoch
	// Changed says that the epoch wasn't known before.
	Changed bool
	// Late says that the answer is of an epoch that has ended: it changes nothing.
	Late bool
	// Ignored says why the epoch that the answer named was ignored.
	Ignored Reason
}

// A Tracker knows the current epoch.
type Tracker struct{ current ggscore.StoreEpoch }

// NewTracker returns a Tracker that knows no epoch.
func NewTracker() *Tracker { return &Tracker{} }

// Current returns the current epoch, zero for none.
func (t *Tracker) Current() ggscore.StoreEpoch { return t.current }

// Answer takes the epoch that an answer named to a call that was sent when another was current.
// A stale reading may be of an epoch that ended before it was sent.
func (t *Tracker) Answer(sent, named ggscore.StoreEpoch, stale bool) Answer {
	a := Answer{Epoch: t.current, Late: sent < t.current}
	switch {
	case named == 0:
		a.Ignored = ReasonAbsent
	case named == ggscore.UnreadableEpoch:
		a.Ignored = ReasonUnreadable
	case named > t.most():
		a.Ignored = ReasonTooHigh
	case named > t.current:
		t.current = named
		return Answer{Epoch: named, Changed: true}
	case named == t.current:
		a.Late = false
	case !a.Late && stale:
		a.Late = true
	case !a.Late:
		a.Ignored = ReasonFell
	}
	return a
}

// Learn takes an epoch that a peer knows, and reports whether it is new.
func (t *Tracker) Learn(e ggscore.StoreEpoch) bool {
	if e <= t.current || e > t.most() {
		return false
	}
	t.current = e
	return true
}

// most returns the greatest epoch that is believed now. Before the first any may be.
func (t *Tracker) most() ggscore.StoreEpoch {
	if t.current == 0 {
		return MaxEpoch
	}
	return min(t.current+maxStep, MaxEpoch)
}
