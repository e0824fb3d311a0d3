package ggsshares

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsshare"
)

// Run borrows and gives back until ctx ends. It returns nil. What is borrowed
// then comes back with the end of the VM's lease.
func (s *Shares) Run(ctx context.Context) error {
	t := time.NewTicker(s.options.TickEvery)
	defer t.Stop()
	for {
		s.round(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-s.wake:
		}
	}
}

// round does what is due, and then the orders until none is left.
func (s *Shares) round(ctx context.Context) {
	s.step(func(now time.Time) []ggsshare.Order { return s.state.Tick(now) })
	for orders := s.take(); len(orders) > 0 && ctx.Err() == nil; orders = s.take() {
		var g errgroup.Group
		g.SetLimit(s.options.Workers)
		for _, o := range orders {
			g.Go(func() error {
				s.do(ctx, o)
				return nil
			})
		}
		_ = g.Wait()
	}
}

func (s *Shares) take() []ggsshare.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	orders := s.waiting
	s.waiting = nil
	return orders
}

// do carries out one order and reports its end.
func (s *Shares) do(ctx context.Context, o ggsshare.Order) {
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	var err error
	switch o.Kind {
	case ggsshare.OrderList:
		err = s.list(ctx)
	case ggsshare.OrderPut:
		var rev ggscore.StoreRevision
		rev, err = s.store.Put(ctx, keyOf(o.Unit), []byte(o.Holder), o.Prev, o.Lease)
		s.step(func(now time.Time) []ggsshare.Order {
			return s.state.PutEnded(now, o.Unit, o.Lease, rev, putResult(err))
		})
	case ggsshare.OrderDelete:
		err = s.store.Delete(ctx, keyOf(o.Unit), o.Prev)
		s.step(func(now time.Time) []ggsshare.Order { return s.state.DeleteEnded(now, o.Unit, deleteResult(err)) })
	}
	if err != nil {
		_ = level.Debug(s.log).Log("event", "loadUnitCallFailed", "kind", int(o.Kind), "key", keyOf(o.Unit), "err", err)
	}
}

func (s *Shares) list(ctx context.Context) error {
	all, err := s.store.List(ctx, prefix)
	s.step(func(now time.Time) []ggsshare.Order {
		if err != nil {
			s.state.ListFailed(now)
			return nil
		}
		return s.state.Listed(now, recordsOf(all))
	})
	return err
}

// deleteResult says how a delete ended. One that the service never took has
// had no effect, but its record still keeps the unit from others while the
// lease is renewed. It is reported as unknown, so that the records are read
// again and the delete is repeated.
func deleteResult(err error) ggsshare.Result {
	var conflict *ggscore.ConflictError
	switch {
	case err == nil:
		return ggsshare.ResultDone
	case errors.As(err, &conflict):
		return ggsshare.ResultRefused
	}
	return ggsshare.ResultUnknown
}

// putResult says how a put ended. Whatever isn't known to have had no effect
// may still have one.
func putResult(err error) ggsshare.Result {
	var (
		conflict *ggscore.ConflictError
		away     *ggscore.StoreAwayError
		busy     *ggscore.StoreBusyError
		lapsed   *ggscore.LeaseLapsedError
	)
	switch {
	case err == nil:
		return ggsshare.ResultDone
	case errors.As(err, &conflict), errors.As(err, &away), errors.As(err, &busy), errors.As(err, &lapsed):
		return ggsshare.ResultRefused
	}
	return ggsshare.ResultUnknown
}
