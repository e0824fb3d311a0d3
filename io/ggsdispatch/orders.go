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
	// protectTimeout bounds the wait until a resident adapter is recorded as
	// protected. protectPollInterval is the time between two checks.
	protectTimeout      = time.Second
	protectPollInterval = 2 * time.Millisecond
)

// executeOrder executes a load or unload order and reports its end to the scheduler.
func (d *Dispatcher) executeOrder(ctx context.Context, o ggscore.Order) {
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
			d.loadedAt[placement{o.Endpoint, o.Adapter}] = now
		}
		d.apply(d.parts.Scheduler.LoadEnded(now, o.Endpoint, o.Adapter, e))
	} else {
		d.stats.Unloads.Add(1)
		d.apply(d.parts.Scheduler.UnloadEnded(now, o.Endpoint, o.Adapter, e))
	}
	d.markChanged()
}

// sendOrder checks the ownership with the guard, as send does, and sends the order to
// the runner.
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
		return d.parts.Loader.Load(ctx, addr, o.Adapter, f)
	}
	return d.parts.Loader.Unload(ctx, addr, o.Adapter, f)
}

// endOf returns how a failed order ended: EndFailed if the order is known to have had no
// effect, else EndUnknown.
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

// awaitProtected waits until a resident adapter may be used. The record of the adapters
// that this owner protects is written while the load is in progress. Until that record
// is written, the guard refuses every dispatch with the adapter, so a request that was
// scheduled earlier would be refused at one attempt after the other.
func (d *Dispatcher) awaitProtected(ctx context.Context, id ggscore.EndpointID, a ggscore.AdapterRef) {
	until := d.parts.Clock().Add(protectTimeout)
	t := time.NewTicker(protectPollInterval)
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

// pollReports requests the reports of all model endpoints every ReportInterval.
func (d *Dispatcher) pollReports(ctx context.Context) error {
	t := time.NewTicker(d.options.ReportInterval)
	defer t.Stop()
	for {
		d.pollReportsOnce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (d *Dispatcher) pollReportsOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var w sync.WaitGroup
	defer w.Wait()
	for _, e := range d.modelEndpoints() {
		w.Go(func() {
			requestedAt := d.parts.Clock()
			r, err := d.parts.Reporter.Report(ctx, e.Addr)
			if err != nil {
				return
			}
			// The report may have been made at any time since it was requested. It
			// therefore gets the time of the request, so that it doesn't count as
			// evidence about orders that were sent later.
			r.Endpoint, r.At = e.ID, requestedAt
			d.parts.Observer.Observe(r)
			for _, a := range r.Resident {
				d.awaitProtected(ctx, e.ID, a.Ref)
			}
			d.Schedule(func(s ggscore.Scheduler, now time.Time) []ggscore.Order { return s.Report(now, r) })
		})
	}
}

func (d *Dispatcher) modelEndpoints() []ggscore.Endpoint {
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
