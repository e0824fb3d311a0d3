package ggsdispatch

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsquarantine"
)

// Defaults of Options.
const (
	defaultRequestWorkers = 256
	defaultOrderWorkers   = 32
	defaultReaderTimeout  = 15 * time.Second
	defaultReportInterval = 500 * time.Millisecond
	defaultJobRetention   = 2 * time.Minute
	reportTimeout         = 2 * time.Second
	pollInterval          = 100 * time.Millisecond
)

// Options sets a Dispatcher's limits. Zero values mean the defaults.
type Options struct {
	Self        ggscore.VMID
	Region      ggscore.Region
	Domain      ggscore.Domain
	Incarnation string
	// RequestWorkers bounds the concurrent requests, OrderWorkers the concurrent
	// load and unload orders to runners.
	RequestWorkers int
	OrderWorkers   int
	// ReaderTimeout is how long an answer may stay unread before its request
	// counts as abandoned.
	ReaderTimeout time.Duration
	// ReportInterval is the time between two polls of each runner's report.
	ReportInterval time.Duration
	// JobRetention is how long the ids of ended requests are retained.
	JobRetention time.Duration
}

// Parts are a Dispatcher's dependencies.
type Parts struct {
	Scheduler ggscore.Scheduler
	Engine    ggscore.EngineCaller
	Plain     ggscore.PlainCaller
	Loader    ggscore.AdapterLoader
	Reporter  ggscore.RunnerReporter
	Claims    ggscore.Claimer
	Guard     ggscore.OwnerGuard
	// Observer receives every report of a runner.
	Observer ggscore.ReportObserver
	// Memory bounds the bodies of requests. Without it they aren't bounded.
	Memory ggscore.MemoryBudget
	Clock  func() time.Time
	Log    log.Logger
}

// A Dispatcher runs requests on the endpoints that it owns.
type Dispatcher struct {
	options  Options
	parts    Parts
	requests *orderQueue
	orders   *orderQueue
	wake     chan struct{}
	stats    Stats

	mu        sync.Mutex
	draining  bool
	sequence  uint64
	jobs      map[jobKey]*job
	endpoints map[ggscore.EndpointID]OwnedEndpoint
	// loadedAt is when the load orders of this process ended successfully.
	loadedAt map[placement]time.Time
	changed  chan struct{}
	// staleSequence is the sequence number of the last summary before the latest
	// change. Summaries up to this number are out of date.
	staleSequence uint64
	// quarantine decides which requests crash the endpoints that run them.
	quarantine *ggsquarantine.Table
}

// A placement is a pair of an endpoint and an adapter loaded there.
type placement struct {
	endpoint ggscore.EndpointID
	adapter  ggscore.AdapterRef
}

// An OwnedEndpoint is an endpoint with its current ownership mode.
type OwnedEndpoint struct {
	Endpoint ggscore.Endpoint
	Mode     ggscore.OwnerMode
	// Pins are the adapters that earlier owners may still be using.
	Pins []ggscore.AdapterRef
}

// New returns a Dispatcher without endpoints.
func New(o Options, p Parts) *Dispatcher {
	return &Dispatcher{
		options:   withDefaults(o),
		parts:     p,
		requests:  newOrderQueue(),
		orders:    newOrderQueue(),
		wake:      make(chan struct{}, 1),
		jobs:      make(map[jobKey]*job),
		endpoints: make(map[ggscore.EndpointID]OwnedEndpoint),
		loadedAt:  make(map[placement]time.Time),
		changed:   make(chan struct{}),

		quarantine: ggsquarantine.NewTable(o.Self),
	}
}

func withDefaults(o Options) Options {
	o.RequestWorkers = cmp.Or(o.RequestWorkers, defaultRequestWorkers)
	o.OrderWorkers = cmp.Or(o.OrderWorkers, defaultOrderWorkers)
	o.ReaderTimeout = cmp.Or(o.ReaderTimeout, defaultReaderTimeout)
	o.ReportInterval = cmp.Or(o.ReportInterval, defaultReportInterval)
	o.JobRetention = cmp.Or(o.JobRetention, defaultJobRetention)
	return o
}

// BeginDrain refuses new requests from now on and fails the queued ones as not run.
func (d *Dispatcher) BeginDrain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
	for _, j := range d.jobs {
		if j.state == jobQueued {
			d.cancelQueued(d.parts.Clock(), j, stoppingFailure())
		}
	}
	d.markChanged()
}

// Busy reports whether a request is in progress on one of the endpoints. A request
// counts as in progress already before the Guard's check.
func (d *Dispatcher) Busy(ids []ggscore.EndpointID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, j := range d.jobs {
		if j.state == jobRunning && slices.Contains(ids, j.endpoint) {
			return true
		}
	}
	return false
}

// Drain waits until all requests in progress have ended and their answers were read,
// or until the context ends. BeginDrain must be called first.
func (d *Dispatcher) Drain(ctx context.Context) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for !d.drained() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}

// Resident returns the adapters that are resident on an endpoint.
func (d *Dispatcher) Resident(id ggscore.EndpointID) []ggscore.AdapterRef {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.parts.Scheduler.Summary(d.parts.Clock()) {
		if r.Endpoint == id {
			return slices.Clone(r.Resident)
		}
	}
	return nil
}

// Run executes requests and orders until the context ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for range d.options.RequestWorkers {
		g.Go(func() error { return d.runWorker(ctx, d.requests, d.dispatch) })
	}
	for range d.options.OrderWorkers {
		g.Go(func() error { return d.runWorker(ctx, d.orders, d.executeOrder) })
	}
	g.Go(func() error { return d.tick(ctx) })
	g.Go(func() error { return d.pollReports(ctx) })
	g.Go(func() error { return d.sweep(ctx) })
	return g.Wait()
}

// SetEndpoints replaces the set of owned endpoints.
func (d *Dispatcher) SetEndpoints(es []OwnedEndpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.parts.Clock()
	keep := make(map[ggscore.EndpointID]bool, len(es))
	for _, e := range es {
		keep[e.Endpoint.ID] = true
		d.setEndpoint(now, e)
	}
	for id := range d.endpoints {
		if !keep[id] {
			delete(d.endpoints, id)
			d.apply(d.parts.Scheduler.RemoveEndpoint(now, id))
			d.markChanged()
		}
	}
}

// setEndpoint adds or updates an endpoint. The caller holds d.mu.
func (d *Dispatcher) setEndpoint(now time.Time, e OwnedEndpoint) {
	id := e.Endpoint.ID
	old, known := d.endpoints[id]
	d.endpoints[id] = e
	if known && old.Endpoint == e.Endpoint && old.Mode == e.Mode {
		if !slices.Equal(old.Pins, e.Pins) {
			d.apply(d.parts.Scheduler.Protect(now, id, e.Pins))
		}
		return
	}
	if known {
		d.changeMode(now, old, e)
		return
	}
	if len(e.Pins) > 0 {
		d.apply(d.parts.Scheduler.SetEndpoint(now, e.Endpoint, ggscore.ModeNone))
		d.apply(d.parts.Scheduler.Protect(now, id, e.Pins))
	}
	d.apply(d.parts.Scheduler.SetEndpoint(now, e.Endpoint, e.Mode))
	d.markChanged()
}

// changeMode changes the mode and the pins of a known endpoint. The caller holds d.mu.
//
// New pins are set before the mode, because the scheduler may evict adapters as soon
// as the mode is set. Old pins are removed after the mode is set: pinned adapters are
// served in ModeResidentOnly, and if the pins were removed first, requests that wait
// for these adapters would be refused although the new mode serves them.
func (d *Dispatcher) changeMode(now time.Time, old, e OwnedEndpoint) {
	id := e.Endpoint.ID
	both := slices.Concat(old.Pins, e.Pins)
	d.apply(d.parts.Scheduler.Protect(now, id, both))
	d.apply(d.parts.Scheduler.SetEndpoint(now, e.Endpoint, e.Mode))
	d.apply(d.parts.Scheduler.Protect(now, id, e.Pins))
	d.markChanged()
}

// Schedule passes an event to the scheduler and executes the resulting orders.
func (d *Dispatcher) Schedule(f func(ggscore.Scheduler, time.Time) []ggscore.Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(f(d.parts.Scheduler, d.parts.Clock()))
}

// Stats returns the counters.
func (d *Dispatcher) Stats() *Stats { return &d.stats }

// NextSummary returns the summary as soon as it differs from the summary with the
// sequence number after, or when the context has ended.
func (d *Dispatcher) NextSummary(ctx context.Context, after uint64) ggscore.DispatcherSummary {
	d.mu.Lock()
	w, stale := d.changed, after <= d.staleSequence
	d.mu.Unlock()
	if stale {
		return d.Summary()
	}
	select {
	case <-ctx.Done():
	case <-w:
	}
	return d.Summary()
}

// Summary returns the summary for gateways. Each summary has a higher sequence number
// than the one before.
func (d *Dispatcher) Summary() ggscore.DispatcherSummary {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	return ggscore.DispatcherSummary{
		VM: d.options.Self, Region: d.options.Region, Domain: d.options.Domain,
		Leaving: d.draining, Incarnation: d.options.Incarnation, Sequence: d.sequence,
		Runners: d.parts.Scheduler.Summary(d.parts.Clock()),
	}
}

// apply queues or executes the scheduler's orders. The caller holds d.mu.
func (d *Dispatcher) apply(orders []ggscore.Order) {
	for _, o := range orders {
		switch o.Kind {
		case ggscore.OrderDispatch:
			if j := d.jobs[keyOf(o.Request)]; j != nil {
				j.state = jobRunning
				j.endpoint = o.Endpoint
				j.stall = max(0, d.loadedAt[placement{o.Endpoint, j.request.Adapter}].Sub(j.submittedAt))
			}
			d.requests.add(o)
		case ggscore.OrderLoad, ggscore.OrderUnload:
			d.orders.add(o)
			d.markChanged()
		case ggscore.OrderRefuse:
			d.refuse(o)
		}
	}
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *Dispatcher) addr(id ggscore.EndpointID) (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.endpoints[id]
	return e.Endpoint.Addr, ok
}

// drained reports whether no request is running and all answers that were not
// abandoned have been read.
func (d *Dispatcher) drained() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, j := range d.jobs {
		if j.state == jobRunning {
			return false
		}
		if j.abandoned {
			continue
		}
		if _, consumed := j.stream.readState(); !consumed {
			return false
		}
	}
	return true
}

// tick calls the scheduler when its next tick is due. It checks for a due tick at least every
// pollInterval.
func (d *Dispatcher) tick(ctx context.Context) error {
	t := time.NewTimer(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-d.wake:
		}
		d.mu.Lock()
		now := d.parts.Clock()
		if n := d.parts.Scheduler.NextTick(); !n.IsZero() && !n.After(now) {
			d.apply(d.parts.Scheduler.Tick(now))
		}
		wait := pollInterval
		if n := d.parts.Scheduler.NextTick(); !n.IsZero() {
			wait = max(min(n.Sub(now), pollInterval), time.Millisecond)
		}
		d.mu.Unlock()
		t.Reset(wait)
	}
}

// markChanged marks all summaries so far as out of date and wakes the calls that wait for
// a new one. The caller holds d.mu.
func (d *Dispatcher) markChanged() {
	d.staleSequence = d.sequence
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Dispatcher) runWorker(ctx context.Context, q *orderQueue, f func(context.Context, ggscore.Order)) error {
	for {
		o, ok := q.take(ctx)
		if !ok {
			return nil
		}
		f(ctx, o)
	}
}

// incarnationMismatch returns the failure for a request that was sent to an earlier
// incarnation of the dispatcher.
func incarnationMismatch() *ggscore.Failure {
	return &ggscore.Failure{
		Kind: ggscore.FailureNotOwner, Outcome: ggscore.OutcomeNotRun,
		Detail: "the dispatcher has restarted since the gateway chose it", RetryAfter: time.Second,
	}
}

func stoppingFailure() *ggscore.Failure {
	return &ggscore.Failure{
		Kind: ggscore.FailureStopping, Outcome: ggscore.OutcomeNotRun,
		Detail: "the dispatcher is stopping", RetryAfter: time.Second,
	}
}
