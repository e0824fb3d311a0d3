// Package ggsrecord reads and writes single records of the platform's store, each of which is a key that is replaced as
// a whole.
//
// # Usage
//
//	value, at, err := ggsrecord.Read(ctx, store, key)
//	at, err = ggsrecord.Write(ctx, store, key, value, at)
//
// A write takes effect only if the record is still at the position. After an error it may have taken effect all the
// same, so that the record has to be read again.
package ggsrecord

import (
	"context"

	ggscore "greengageslip/core"
)

// A Store is the part of the platform's store that records need.
type Store interface {
	ggscore.Txner
	ggscore.Snapshotter
}

// Read returns a record and its position, whose revision is zero if there is none.
func Read(ctx context.Context, s Store, k ggscore.Key) ([]byte, ggscore.StorePosition, error) {
	es, at, err := s.Snapshot(ctx, k, false)
	if err != nil {
		return nil, ggscore.StorePosition{}, err
	}
	for _, e := range es {
		if e.Key == k {
			return e.Value, ggscore.StorePosition{Epoch: at.Epoch, Revision: e.Revision}, nil
		}
	}
	return nil, ggscore.StorePosition{Epoch: at.Epoch}, nil
}

// Write replaces the record at a position, or deletes it if the value is nil, and returns the record's new position.
func Write(ctx context.Context, s Store, k ggscore.Key, value []byte, at ggscore.StorePosition) (ggscore.StorePosition, error) {
	x := ggscore.Txn{Epoch: at.Epoch, Conditions: []ggscore.TxnCondition{{Key: k, Revision: at.Revision}}}
	if value == nil {
		x.Deletes = []ggscore.Key{k}
	} else {
		x.Writes = []ggscore.TxnWrite{{Key: k, Value: value}}
	}
	written, err := s.Txn(ctx, x)
	if err != nil {
		return ggscore.StorePosition{}, err
	}
	if value == nil {
		written.Revision = 0
	}
	return written, nil
}
