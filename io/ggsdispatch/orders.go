package ggsdispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
)

const (
	orderTimeout = 30 * time.Second
	// protectTimeout is how long an adapter that is there waits to be recorded
	// as protected, protectInterval the time between two looks.
	protectTimeout  = time.Second
	protectInterval = 2 * time.Millisecond
)

// order carries out a load or an eviction.
func (d *Dispatcher) order(ctx context.Context, o ggscore.Order) {
	err := d.sendOrder(ctx, o)
	e := ggscore.EndDone
	if err != nil {
		e = endOf(err)
		_ = level.Warn(d.parts.Log).Log("event", "orderFailed", "endpoint", o.Endpoint, "adapter", o.Adapter, "err", err)
	}
	if f := (*ggscore.FencedError)(nil); errors.As(err, &f) {
		d.stats.Fenced.Add(1)
	}
	if o.Kind == ggscore.OrderLoad && err == nil {
		d.awaitProtected(ctx, o.Endpoint, o.Adapter)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.parts.Clock()
	if o.Kind == ggscore.OrderLoad {
		d.stats.Loads.Add(1)
		if err != nil {
			d.stats.LoadsFailed.Add(1)
		} else {
			d.loaded[placement{o.Endpoint, o.Adapter}] = now
		}
		d.apply(d.parts.Scheduler.LoadEnded(now, o.Endpoint, o.Adapter, e))
	} else {
		d.stats.Unloads.Add(1)
		d.apply(d.parts.Scheduler.UnloadEnded(now, o.Endpoint, o.Adapter, e))
	}
	d.touch()
}

// sendOrder checks the ownership, as send does, and gives the order.
func (d *Dispatcher) sendOrder(ctx context.Context, o ggscore.Order) error {
	addr, ok := d.addr(o.Endpoint)
	if !ok {
		return &NotOwnerError{Endpoint: o.Endpoint}
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	f, err := d.parts.Guard.Check(d.parts.Clock(), o.Endpoint, o.Adapter, o.Kind)
	if err != nil {
		return &ggscore.OrderRefusedError{Addr: addr, Detail: err.Error()}
	}
	if o.Kind == ggscore.OrderLoad {
		return d.parts.Orderer.Load(ctx, addr, o.Adapter, f)
	}
	return d.parts.Orderer.Unload(ctx, addr, o.Adapter, f)
}

// endOf tells what is known of an order that failed.
func endOf(err error) ggscore.EndKind {
	var (
		f *ggscore.FencedError
		r *ggscore.OrderRefusedError
		n *NotOwnerError
	)
	if errors.As(err, &f) || errors.As(err, &r) || errors.As(err, &n) {
		return ggscore.EndFailed
	}
	return ggscore.EndUnknown
}

// awaitProtected waits until an adapter that is there may be used. The record
// of what this owner protects is written while the load is under way; a request
// that came before it would be turned away by the guard, and one try after the
// other with it.
func (d *Dispatcher) awaitProtected(ctx context.Context, id ggscore.EndpointID, a ggscore.AdapterRef) {
	until := d.parts.Clock().Add(protectTimeout)
	t := time.NewTicker(protectInterval)
	defer t.Stop()
	for d.parts.Clock().Before(until) {
		if _, err := d.parts.Guard.Check(d.parts.Clock(), id, a, ggscore.OrderDispatch); err == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// report asks every runner for its report, again and again.
func (d *Dispatcher) report(ctx context.Context) error {
	t := time.NewTicker(d.options.ReportInterval)
	defer t.Stop()
	for {
		d.reportOnce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (d *Dispatcher) reportOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var w sync.WaitGroup
	defer w.Wait()
	for _, e := range d.runners() {
		w.Go(func() {
			asked := d.parts.Clock()
			r, err := d.parts.Reporter.Report(ctx, e.Addr)
			if err != nil {
				return
			}
			// The report is no younger than the question: what was ordered
			// after it was asked for isn't settled by it.
			r.Endpoint, r.At = e.ID, asked
			d.parts.Observer.Observe(r)
			for _, a := range r.Resident {
				d.awaitProtected(ctx, e.ID, a.Ref)
			}
			d.Schedule(func(s ggscore.Scheduler, now time.Time) []ggscore.Order { return s.Report(now, r) })
		})
	}
}

func (d *Dispatcher) runners() []ggscore.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	es := make([]ggscore.Endpoint, 0, len(d.endpoints))
	for _, e := range d.endpoints {
		if e.Endpoint.Kind == ggscore.KindModel && e.Mode != ggscore.ModeNone {
			es = append(es, e.Endpoint)
		}
	}
	return es
}
