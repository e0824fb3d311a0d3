package ggsedge

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
)

// A refusingStore refuses each transaction.
type refusingStore struct {
	Store
	txns atomic.Int32
}

func (s *refusingStore) Snapshot(context.Context, ggscore.Key, bool) ([]ggscore.Entry, ggscore.StorePosition, error) {
	return nil, position(5), nil
}

func (s *refusingStore) Txn(context.Context, ggscore.Txn) (ggscore.StorePosition, error) {
	s.txns.Add(1)
	return ggscore.StorePosition{}, &ggscore.TxnConflictError{}
}

// Guards against a VM that repeats a refused store heartbeat without a pause. Nine VMs made
// 430 calls a second.
func TestRefusedHeartbeatsArePaced(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e, s := listEdge(), &refusingStore{}
	e.Store = s
	e.setMembers(context.Background(), nil, position(5))
	const (
		length = time.Second
		// least is the shortest pause after a failed call of the store.
		least = 150 * time.Millisecond
		most  = 2 + int32(length/least)
	)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	c.Assert(e.maintainOwnership(ctx), qt.IsNil)
	c.Assert(s.txns.Load() <= most, qt.IsTrue, qt.Commentf("%d heartbeats", s.txns.Load()))
}
