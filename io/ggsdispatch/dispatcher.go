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
)

// Defaults of Options.
const (
	defaultRequestWorkers = 256
	defaultOrderWorkers   = 32
	defaultReaderTimeout  = 15 * time.Second
	defaultReportInterval = 500 * time.Millisecond
	defaultJobRetention   = 2 * time.Minute
	reportTimeout         = 2 * time.Second
	idleTick              = 100 * time.Millisecond
)

// Options sets a Dispatcher's limits. Zero values mean the defaults.
type Options struct {
	Self        ggscore.VMID
	Region      ggscore.Region
	Domain      ggscore.Domain
	Incarnation string
	// RequestWorkers bounds the requests in progress, OrderWorkers the orders
	// to runners.
	RequestWorkers int
	OrderWorkers   int
	// ReaderTimeout is how long an answer waits for its gateway to read on.
	ReaderTimeout time.Duration
	// ReportInterval is the time between two questions to each runner.
	ReportInterval time.Duration
	// JobRetention is how long the ids of ended requests are known.
	JobRetention time.Duration
}

// Parts are what a Dispatcher works with.
type Parts struct {
	Scheduler ggscore.Scheduler
	Engine    ggscore.EngineCaller
	Plain     ggscore.PlainCaller
	Orderer   ggscore.AdapterOrderer
	Reporter  ggscore.RunnerReporter
	Claims    ggscore.Claimer
	Guard     ggscore.OwnerGuard
	// Observer is told of every report of a runner.
	Observer ggscore.ReportObserver
	Clock    func() time.Time
	Log      log.Logger
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
	// loaded is when adapters came that this process ordered.
	loaded  map[placement]time.Time
	changed chan struct{}
	// outdated is the last summary before the last change.
	outdated uint64
}

// A placement is an adapter on an endpoint.
type placement struct {
	endpoint ggscore.EndpointID
	adapter  ggscore.AdapterRef
}

// An OwnedEndpoint is an endpoint with what its owner may do with it now.
type OwnedEndpoint struct {
	Endpoint ggscore.Endpoint
	Mode     ggscore.OwnerMode
	// Pins are the adapters that earlier owners may be using.
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
		loaded:    make(map[placement]time.Time),
		changed:   make(chan struct{}),
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

// BeginDrain refuses new requests and hands queued ones back as not run.
func (d *Dispatcher) BeginDrain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
	for _, j := range d.jobs {
		if j.state == jobQueued {
			d.takeBack(d.parts.Clock(), j, stopping())
		}
	}
	d.touch()
}

// Busy reports whether a request is in progress on one of the endpoints. It
// counts from before the Guard is asked.
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

// Drain waits until all requests in progress have ended and been read, or the
// context ends. BeginDrain goes before it.
func (d *Dispatcher) Drain(ctx context.Context) error {
	t := time.NewTicker(idleTick)
	defer t.Stop()
	for !d.idle() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}

// Resident returns the adapters that an endpoint holds.
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

// Run works until the context ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for range d.options.RequestWorkers {
		g.Go(func() error { return d.work(ctx, d.requests, d.dispatch) })
	}
	for range d.options.OrderWorkers {
		g.Go(func() error { return d.work(ctx, d.orders, d.order) })
	}
	g.Go(func() error { return d.tick(ctx) })
	g.Go(func() error { return d.report(ctx) })
	g.Go(func() error { return d.sweep(ctx) })
	return g.Wait()
}

// SetEndpoints replaces the endpoints that this process may use.
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
			d.touch()
		}
	}
}

// setEndpoint needs d.mu.
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
	d.touch()
}

// changeMode needs d.mu. New pins go before the mode, with which the scheduler
// may evict at once. Old ones go after it: what they protect is served in
// ModeResidentOnly, and taken away first, the requests that wait for it would
// be refused although the new mode serves them.
func (d *Dispatcher) changeMode(now time.Time, old, e OwnedEndpoint) {
	id := e.Endpoint.ID
	both := slices.Concat(old.Pins, e.Pins)
	d.apply(d.parts.Scheduler.Protect(now, id, both))
	d.apply(d.parts.Scheduler.SetEndpoint(now, e.Endpoint, e.Mode))
	d.apply(d.parts.Scheduler.Protect(now, id, e.Pins))
	d.touch()
}

// Schedule passes an event to the scheduler and carries out what it orders.
func (d *Dispatcher) Schedule(f func(ggscore.Scheduler, time.Time) []ggscore.Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(f(d.parts.Scheduler, d.parts.Clock()))
}

// Stats returns the counters.
func (d *Dispatcher) Stats() *Stats { return &d.stats }

// NextSummary returns the summary once it differs from the one of a sequence, or when the
// context has ended.
func (d *Dispatcher) NextSummary(ctx context.Context, after uint64) ggscore.DispatcherSummary {
	d.mu.Lock()
	w, outdated := d.changed, after <= d.outdated
	d.mu.Unlock()
	if outdated {
		return d.Summary()
	}
	select {
	case <-ctx.Done():
	case <-w:
	}
	return d.Summary()
}

// Summary returns what gateways are told. Each is numbered after the last.
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

// apply needs d.mu.
func (d *Dispatcher) apply(orders []ggscore.Order) {
	for _, o := range orders {
		switch o.Kind {
		case ggscore.OrderDispatch:
			if j := d.jobs[keyOf(o.Request)]; j != nil {
				j.state = jobRunning
				j.endpoint = o.Endpoint
				j.stall = max(0, d.loaded[placement{o.Endpoint, j.request.Adapter}].Sub(j.submitted))
			}
			d.requests.add(o)
		case ggscore.OrderLoad, ggscore.OrderUnload:
			d.orders.add(o)
			d.touch()
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

func (d *Dispatcher) idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, j := range d.jobs {
		if j.state == jobRunning {
			return false
		}
		if j.abandoned {
			continue
		}
		if _, consumed := j.stream.idleSince(); !consumed {
			return false
		}
	}
	return true
}

func (d *Dispatcher) tick(ctx context.Context) error {
	t := time.NewTimer(idleTick)
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
		wait := idleTick
		if n := d.parts.Scheduler.NextTick(); !n.IsZero() {
			wait = max(min(n.Sub(now), idleTick), time.Millisecond)
		}
		d.mu.Unlock()
		t.Reset(wait)
	}
}

// touch needs d.mu. It tells waiting gateways of a change.
func (d *Dispatcher) touch() {
	d.outdated = d.sequence
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Dispatcher) work(ctx context.Context, q *orderQueue, f func(context.Context, ggscore.Order)) error {
	for {
		o, ok := q.take(ctx)
		if !ok {
			return nil
		}
		f(ctx, o)
	}
}

// otherLife refuses a request that was meant for an earlier life of the
// dispatcher.
func otherLife() *ggscore.Failure {
	return &ggscore.Failure{
		Kind: ggscore.FailureNotOwner, Outcome: ggscore.OutcomeNotRun,
		Detail: "the dispatcher was replaced", RetryAfter: time.Second,
	}
}

func stopping() *ggscore.Failure {
	return &ggscore.Failure{
		Kind: ggscore.FailureStopping, Outcome: ggscore.OutcomeNotRun,
		Detail: "the dispatcher is stopping", RetryAfter: time.Second,
	}
}
