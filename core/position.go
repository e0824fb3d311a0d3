package ggscore

import (
	"cmp"
	"fmt"
	"math"
)

// A StoreEpoch numbers the restorations of the platform's store from an older copy. Each
// restoration loses the writes since the copy was made, and later writes get the same revisions
// again. Zero means that an answer didn't name its epoch.
type StoreEpoch uint64

// UnreadableEpoch means that an epoch was named but couldn't be parsed.
const UnreadableEpoch StoreEpoch = math.MaxUint64

// Named reports whether an answer named the epoch, so that it can be compared.
func (e StoreEpoch) Named() bool { return e != 0 && e != UnreadableEpoch }

// A StorePosition is a point in the store's history. Revisions are only comparable within an
// epoch. The zero position precedes all others.
type StorePosition struct {
	Epoch    StoreEpoch
	Revision StoreRevision
}

// Compare returns a negative number if p precedes o, zero if they are equal, and a positive
// number if p follows o.
func (p StorePosition) Compare(o StorePosition) int {
	return cmp.Or(cmp.Compare(p.Epoch, o.Epoch), cmp.Compare(p.Revision, o.Revision))
}

// Before reports whether p precedes o.
func (p StorePosition) Before(o StorePosition) bool { return p.Compare(o) < 0 }

// After reports whether p follows o.
func (p StorePosition) After(o StorePosition) bool { return p.Compare(o) > 0 }

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

// An EpochChangedError reports that the store was restored from an older copy after the data
// that a call is based on was read, and before the call was answered. A write may have been
// executed before or after the restoration, and counts as not acknowledged.
type EpochChangedError struct{ From, To StoreEpoch }

// Error implements error.
func (e *EpochChangedError) Error() string {
	return fmt.Sprintf("store epoch changed from %d to %d before the answer", e.From, e.To)
}

// A LateAnswerError reports that an answer of the store is from an epoch that has ended.
type LateAnswerError struct{ Named, Current StoreEpoch }

// Error implements error.
func (e *LateAnswerError) Error() string {
	return fmt.Sprintf("store answer ignored: it is from epoch %d, the current epoch is %d", e.Named, e.Current)
}
