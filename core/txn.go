package ggscore

import (
	"context"
	"fmt"
	"time"
)

// A TxnCondition is met while Key is at Revision. Revision zero means that the key doesn't
// exist.
type TxnCondition struct {
	Key      Key
	Revision StoreRevision
}

// A TxnWrite is a value to write.
type TxnWrite struct {
	Key   Key
	Value []byte
}

// A Txn is a set of writes and deletes that take effect atomically, and only if all conditions
// are met.
type Txn struct {
	// Epoch is the epoch in which the conditions' revisions were read. In another epoch the same
	// revisions belong to other writes, so the conditions could be met by chance.
	Epoch      StoreEpoch
	Conditions []TxnCondition
	Writes     []TxnWrite
	Deletes    []Key
}

// A Txner executes transactions. An unmet condition gives a *TxnConflictError, and a lost answer
// gives an *AmbiguousWriteError. The returned position's epoch is the epoch of the answer, even
// if the answer is an error.
type Txner interface {
	Txn(ctx context.Context, t Txn) (StorePosition, error)
}

// A Snapshotter reads all entries below a prefix, in pages. The returned position is the store's
// position when the first page was read. A stale reading is cheaper and may be seconds old. The
// position's epoch is the epoch of the answer, even if the answer is an error.
type Snapshotter interface {
	Snapshot(ctx context.Context, prefix Key, stale bool) ([]Entry, StorePosition, error)
}

// A HistoryWatcher waits for changes like a Watcher, in a store whose epoch may change. The
// returned position's epoch is the epoch of the answer, even if the answer is an error.
type HistoryWatcher interface {
	Watch(ctx context.Context, prefix Key, after StorePosition, wait time.Duration) ([]Entry, StorePosition, error)
}

// A TxnConflictError reports that a condition of a transaction wasn't met. Nothing was written.
type TxnConflictError struct{ Entries []Entry }

// Error implements error.
func (e *TxnConflictError) Error() string {
	return fmt.Sprintf("transaction refused: one of %d keys is at another revision", len(e.Entries))
}

// A HistoryCompactedError reports that the store no longer has the changes after a position. All
// entries below the prefix have to be read again.
type HistoryCompactedError struct{ After StorePosition }

// Error implements error.
func (e *HistoryCompactedError) Error() string {
	return fmt.Sprintf("store no longer has the changes after %s", e.After)
}
