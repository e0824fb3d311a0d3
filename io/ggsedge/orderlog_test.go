package ggsedge

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsresident"
)

// A recordStore holds entries. Its writes fail while it is down.
type recordStore struct {
	Store

	mu       sync.Mutex
	entries  map[ggscore.Key]ggscore.Entry
	revision ggscore.StoreRevision
	down     bool
	// loses is set if writes are executed without an answer.
	loses bool
	// refuses is the number of writes that are refused.
	refuses int
}

func newRecordStore() *recordStore { return &recordStore{entries: map[ggscore.Key]ggscore.Entry{}} }

func (s *recordStore) set(down, loses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.loses = down, loses
}

// Snapshot implements ggscore.Snapshotter.
func (s *recordStore) Snapshot(_ context.Context, prefix ggscore.Key, _ bool) ([]ggscore.Entry, ggscore.StorePosition, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, ggscore.StorePosition{}, context.DeadlineExceeded
	}
	e, ok := s.entries[prefix]
	if !ok {
		return nil, ggscore.StorePosition{Revision: s.revision}, nil
	}
	return []ggscore.Entry{e}, ggscore.StorePosition{Revision: s.revision}, nil
}

// Txn implements ggscore.Txner.
func (s *recordStore) Txn(_ context.Context, t ggscore.Txn) (ggscore.StorePosition, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return ggscore.StorePosition{}, context.DeadlineExceeded
	}
	if s.refuses > 0 {
		s.refuses--
		return ggscore.StorePosition{}, &ggscore.StoreBusyError{}
	}
	for _, d := range t.Conditions {
		if s.entries[d.Key].Revision != d.Revision {
			return ggscore.StorePosition{}, &ggscore.TxnConflictError{}
		}
	}
	s.revision++
	for _, w := range t.Writes {
		s.entries[w.Key] = ggscore.Entry{Key: w.Key, Value: w.Value, Revision: s.revision}
	}
	if s.loses {
		return ggscore.StorePosition{}, &ggscore.AmbiguousWriteError{}
	}
	return ggscore.StorePosition{Revision: s.revision}, nil
}

// orderEdge returns an edge of a process that started at the given time, before a store.
func orderEdge(s *recordStore, started int64) (*Edge, *worker) {
	e := listEdge()
	e.Store, e.startedAt, e.options.Keys.Orders = s, started, "orders"
	w := &worker{instance: ggscore.Instance{ID: "e"}, wakeups: make(chan struct{}, 1)}
	w.orders = e.orderLogOf("e")
	return e, w
}

func (e *Edge) lateOrders(w *worker) int {
	l := ggsresident.NewLedger(ggsresident.Options{Engine: &ggscore.EngineSpec{AdapterSlots: 16}, Unanswered: &w.orders.unanswered})
	l.Sync(e.Now(), ggscore.InstanceStatus{Sequence: 16})
	return l.LateOrders(e.Now())
}

// unanswer has an order go unanswered that expects a number.
func (e *Edge) unanswer(w *worker, expected uint64) {
	l := ggsresident.NewLedger(ggsresident.Options{Engine: &ggscore.EngineSpec{AdapterSlots: 16}, Unanswered: &w.orders.unanswered})
	l.HandleAnswer(e.Now(), ggsresident.Step{Expected: expected}, ggscore.PlacementUnknown)
}

// record has due records stored, and waits until that has ended.
func (e *Edge) record(w *worker) {
	var running sync.WaitGroup
	e.mu.Lock()
	e.startRecording(context.Background(), e.Now().Add(time.Second), w, running.Go)
	e.mu.Unlock()
	running.Wait()
}

// Guards against orders of an earlier process that its successor doesn't know, or counts more often than once.
func TestUnansweredOrdersAreHandedOn(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		down, loses bool
		late        int
	}{
		"recorded":             {late: 2},
		"record not confirmed": {loses: true, late: 2},
		"record not written":   {down: true, late: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := newRecordStore()
			first, w := orderEdge(s, 1)
			c.Assert(first.takeOverOrders(context.Background(), w, 1), qt.IsTrue)
			c.Assert(first.lateOrders(w), qt.Equals, 0)
			first.unanswer(w, 17)
			s.set(tc.down, tc.loses)
			first.record(w)
			c.Assert(w.orders.unanswered.Blocks(first.Now(), 18), qt.Equals, tc.down || tc.loses)
			s.set(false, false)

			next, w := orderEdge(s, 2)
			c.Assert(next.takeOverOrders(context.Background(), w, 1), qt.IsTrue)
			c.Assert(next.lateOrders(w), qt.Equals, tc.late)
			again, w := orderEdge(s, 3)
			c.Assert(again.takeOverOrders(context.Background(), w, 2), qt.IsTrue)
			c.Assert(again.lateOrders(w), qt.Equals, tc.late+1)
		})
	}
}

// Guards against slots that are kept free for more owners than there were, because a takeover was tried again.
func TestRepeatedTakeoverInheritsOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newRecordStore()
	first, w := orderEdge(s, 1)
	c.Assert(first.takeOverOrders(context.Background(), w, 1), qt.IsTrue)
	next, w := orderEdge(s, 2)
	s.refuses = 3
	for range 3 {
		c.Assert(next.takeOverOrders(context.Background(), w, 2), qt.IsFalse)
	}
	c.Assert(next.takeOverOrders(context.Background(), w, 2), qt.IsTrue)
	c.Assert(next.lateOrders(w), qt.Equals, 1)
}

// Guards against a VM that stands still because it waits for its own lock after a record that failed.
func TestRecordOfOrdersIsRepeatedAfterAFailure(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newRecordStore()
	e, w := orderEdge(s, 1)
	c.Assert(e.takeOverOrders(context.Background(), w, 1), qt.IsTrue)
	e.unanswer(w, 3)
	for _, f := range []struct{ down, loses bool }{{true, false}, {false, true}, {false, false}} {
		s.set(f.down, f.loses)
		e.record(w)
	}
	c.Assert(w.orders.unanswered.Blocks(e.Now(), 4), qt.IsFalse)
	c.Assert(e.lateOrders(w), qt.Equals, 0, qt.Commentf("a process inherits nothing from itself"))
}
