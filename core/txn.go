package ggscore

import (
	"context"
	"fmt"
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
	Conditions []TxnCondition
	Writes     []TxnWrite
	Deletes    []Key
}

// A Txner carries out transactions. A condition that doesn't hold gives a
// *TxnConflictError; a lost answer an *AmbiguousWriteError.
type Txner interface {
	Txn(ctx context.Context, t Txn) (StoreRevision, error)
}

// A Snapshotter reads what lies below a prefix. The revision is the store's at
// the first page. A stale reading is cheaper and may be seconds old.
type Snapshotter interface {
	Snapshot(ctx context.Context, prefix Key, stale bool) ([]Entry, StoreRevision, error)
}

// A TxnConflictError says that a transaction's condition didn't hold. Nothing
// was written.
type TxnConflictError struct{ Entries []Entry }

// Error implements error.
func (e *TxnConflictError) Error() string {
	return fmt.Sprintf("transaction refused: one of %d keys is at another revision", len(e.Entries))
}

// A HistoryGoneError says that the store no longer has the changes after a
// revision: what lies below the prefix has to be read whole.
type HistoryGoneError struct{ After StoreRevision }

// Error implements error.
func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("history after revision %d is gone", e.After)
}
