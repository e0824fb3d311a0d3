package ggscore

import (
	"context"
	"fmt"
	"time"
)

// A TxnCondition holds while the key is at the revision, zero meaning that it
// doesn't exist.
type TxnCondition struct {
	Key      Key
	Revision StoreRevision
}

// A TxnWrite is a value to write.
type TxnWrite struct {
	Key   Key
	Value []byte
}

// A Txn is a set of writes that take effect together, and only while all
// conditions hold.
type Txn struct {
	// Epoch is the one in which the conditions' revisions were read. In another one they may
	// hold by chance.
	Epoch      StoreEpoch
	Conditions []TxnCondition
	Writes     []TxnWrite
	Deletes    []Key
}

// A Txner carries out transactions. A condition that doesn't hold gives a
// *TxnConflictError; a lost answer an *AmbiguousWriteError. The position's epoch is that of
// the answer, also where that is an error.
type Txner interface {
	Txn(ctx context.Context, t Txn) (StorePosition, error)
}

// A Snapshotter reads what lies below a prefix. The position is the store's at
// the first page. A stale reading is cheaper and may be seconds old. The position's epoch is
// that of the answer, also where that is an error.
type Snapshotter interface {
	Snapshot(ctx context.Context, prefix Key, stale bool) ([]Entry, StorePosition, error)
}

// A HistoryWatcher waits for changes like a Watcher, in a store whose history may change.
// The position's epoch is that of the answer, also where that is an error.
type HistoryWatcher interface {
	Watch(ctx context.Context, prefix Key, after StorePosition, wait time.Duration) ([]Entry, StorePosition, error)
}

// A TxnConflictError says that a transaction's condition didn't hold. Nothing
// was written.
type TxnConflictError struct{ Entries []Entry }

// Error implements error.
func (e *TxnConflictError) Error() string {
	return fmt.Sprintf("transaction refused: one of %d keys is at another revision", len(e.Entries))
}

// A HistoryGoneError says that the store doesn't have the changes after a
// position: what lies below the prefix has to be read whole.
type HistoryGoneError struct{ After StorePosition }

// Error implements error.
func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("history after %s is gone", e.After)
}
