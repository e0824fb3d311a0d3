package ggscore

import (
	"cmp"
	"fmt"
	"math"
)

// A StoreEpoch numbers the histories of the platform's store. It rises each time the store
// comes back from an older copy of itself: what was written since the copy is lost, and
// revisions are given out again. Zero stands for an epoch that wasn't named.
type StoreEpoch uint64

// UnreadableEpoch stands for an epoch that was named and can't be read.
const UnreadableEpoch StoreEpoch = math.MaxUint64

// Named reports whether an answer named the epoch, so that it can be compared.
func (e StoreEpoch) Named() bool { return e != 0 && e != UnreadableEpoch }

// A StorePosition is a point in the store's history. Revisions have an order within an epoch
// only. The zero position comes before all others.
type StorePosition struct {
	Epoch    StoreEpoch
	Revision StoreRevision
}

// Compare returns a negative number where p comes before o, zero where they are the same, and
// a positive number where it comes after.
func (p StorePosition) Compare(o StorePosition) int {
	return cmp.Or(cmp.Compare(p.Epoch, o.Epoch), cmp.Compare(p.Revision, o.Revision))
}

// Before reports whether p comes before o.
func (p StorePosition) Before(o StorePosition) bool { return p.Compare(o) < 0 }

// Max returns the later of two positions.
func (p StorePosition) Max(o StorePosition) StorePosition {
	if p.Before(o) {
		return o
	}
	return p
}

// IsZero reports whether p is the zero position.
func (p StorePosition) IsZero() bool { return p == StorePosition{} }

// String returns "epoch.revision".
func (p StorePosition) String() string { return fmt.Sprintf("%d.%d", p.Epoch, p.Revision) }

// An EpochChangedError says that the store came back from an older copy between what a call
// goes by and its answer. A write may have been carried out in either history, and counts as
// not acknowledged.
type EpochChangedError struct{ From, To StoreEpoch }

// Error implements error.
func (e *EpochChangedError) Error() string {
	return fmt.Sprintf("the store went from epoch %d to %d", e.From, e.To)
}

// A LateAnswerError says that an answer of the store is of an epoch that has ended.
type LateAnswerError struct{ Named, Current StoreEpoch }

// Error implements error.
func (e *LateAnswerError) Error() string {
	return fmt.Sprintf("answer of epoch %d arrived in epoch %d", e.Named, e.Current)
}
