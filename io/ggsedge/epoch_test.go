package ggsedge

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	ggscore "greengageslip/core"
)

// An epochFake is a store whose calls first call the function then, and return at and err.
type epochFake struct {
	at   ggscore.StorePosition
	err  error
	then func()
}

func (f *epochFake) answer() (ggscore.StorePosition, error) {
	if f.then != nil {
		f.then()
	}
	return f.at, f.err
}

func (f *epochFake) Snapshot(context.Context, ggscore.Key, bool) ([]ggscore.Entry, ggscore.StorePosition, error) {
	at, err := f.answer()
	return nil, at, err
}

func (f *epochFake) Watch(
	context.Context, ggscore.Key, ggscore.StorePosition, time.Duration,
) ([]ggscore.Entry, ggscore.StorePosition, error) {
	at, err := f.answer()
	return nil, at, err
}

func (f *epochFake) Txn(context.Context, ggscore.Txn) (ggscore.StorePosition, error) {
	return f.answer()
}

// Guards against the use of answers that name an epoch other than the store's current one. They
// describe a history of the store that was replaced by a restore.
func TestAnswersOfAnotherEpochAreRejected(t *testing.T) {
	t.Parallel()
	const epoch = 2
	read := ggscore.StorePosition{Epoch: epoch, Revision: 5}
	snapshot := func(s Store) error {
		_, _, err := s.Snapshot(context.Background(), "k", false)
		return err
	}
	watch := func(s Store) error {
		_, _, err := s.Watch(context.Background(), "k", read, time.Second)
		return err
	}
	txn := func(s Store) error {
		_, err := s.Txn(context.Background(), ggscore.Txn{Epoch: epoch})
		return err
	}
	is := func(target any) func(error) bool { return func(err error) bool { return errors.As(err, target) } }
	fine := func(err error) bool { return err == nil }
	for name, tc := range map[string]struct {
		// named is the answer's epoch. learned is an epoch that a peer names before the answer
		// arrives.
		named, learned ggscore.StoreEpoch
		err            error
		call           func(Store) error
		want           func(error) bool
		current        ggscore.StoreEpoch
	}{
		"snapshot":                          {named: 2, call: snapshot, want: fine, current: 2},
		"snapshot of the next epoch":        {named: 3, call: snapshot, want: fine, current: 3},
		"late snapshot":                     {named: 2, learned: 3, call: snapshot, want: is(new(*ggscore.LateAnswerError)), current: 3},
		"snapshot, epoch absent":            {call: snapshot, want: fine, current: 2},
		"late snapshot, epoch absent":       {learned: 3, call: snapshot, want: is(new(*ggscore.LateAnswerError)), current: 3},
		"refusal in the next epoch":         {named: 3, err: &ggscore.StoreBusyError{}, call: snapshot, want: is(new(*ggscore.StoreBusyError)), current: 3},
		"watch":                             {named: 2, call: watch, want: fine, current: 2},
		"watch answered in the next epoch":  {named: 3, call: watch, want: is(new(*ggscore.HistoryCompactedError)), current: 3},
		"write":                             {named: 2, call: txn, want: fine, current: 2},
		"write in the next epoch":           {named: 3, call: txn, want: is(new(*ggscore.EpochChangedError)), current: 3},
		"write acknowledged late":           {named: 2, learned: 3, call: txn, want: is(new(*ggscore.LateAnswerError)), current: 3},
		"condition fails in the next epoch": {named: 3, err: &ggscore.TxnConflictError{}, call: txn, want: is(new(*ggscore.EpochChangedError)), current: 3},
		"condition fails":                   {named: 2, err: &ggscore.TxnConflictError{}, call: txn, want: is(new(*ggscore.TxnConflictError)), current: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			e := newEpochState(log.NewNopLogger(), func() time.Time { return time.Unix(1_000, 0) }, func(epochChange) {})
			e.observePeer(epoch)
			f := &epochFake{at: ggscore.StorePosition{Epoch: tc.named, Revision: 9}, err: tc.err, then: func() { e.observePeer(tc.learned) }}
			err := tc.call(&epochStore{Store: f, epochs: e})
			c.Check(tc.want(err), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(e.current(), qt.Equals, tc.current)
		})
	}
}

// Guards against a transaction that is conditional on a revision read before the store was
// restored from an older copy. That revision may belong to different data now.
func TestTransactionOfAnEndedEpochIsNotSent(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := newEpochState(log.NewNopLogger(), func() time.Time { return time.Unix(1_000, 0) }, func(epochChange) {})
	e.observePeer(2)
	s := &epochStore{Store: &epochFake{then: func() { t.Error("transaction was sent") }}, epochs: e}
	_, err := s.Txn(context.Background(), ggscore.Txn{Epoch: 1})
	var changed *ggscore.EpochChangedError
	c.Assert(errors.As(err, &changed), qt.IsTrue)
}
