package ggsedge

import (
	"context"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsplace"
)

// callMargin is added to the timeout of a call for a load, beyond the peer's own wait. It
// covers a round trip between regions and scheduling delays.
const callMargin = 150 * time.Millisecond

// A load identifies an order to load: an adapter version and the endpoint that has to hold it.
type load struct {
	endpoint ggscore.EndpointID
	target   ggscore.ModelAdapter
	version  uint64
}

// A pendingLoad is a load in progress. Requests of this VM that need it share it.
type pendingLoad struct {
	done chan struct{}
	err  error
}

// ensureLoaded has the request's adapter loaded at the endpoint. Requests that need the same
// load share one wait.
func (e *Edge) ensureLoaded(ctx context.Context, i ggscore.Instance, j *job) error {
	l := load{endpoint: i.ID, target: j.meta.Model, version: j.version}
	e.mu.Lock()
	g := e.loads[l]
	if g == nil {
		g = &pendingLoad{done: make(chan struct{})}
		e.loads[l] = g
		// The wait continues after the request that began it has ended, since others share it.
		go e.load(context.WithoutCancel(ctx), l, g)
	}
	e.mu.Unlock()
	begun := e.Monotonic()
	defer func() { e.metrics.loads.Observe(e.since(begun).Seconds()) }()
	select {
	case <-g.done:
		return g.err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// load has an adapter loaded by the endpoint's owner.
func (e *Edge) load(ctx context.Context, l load, g *pendingLoad) {
	ctx, cancel := context.WithTimeout(ctx, ggsplace.LoadWait+callMargin)
	defer cancel()
	e.mu.Lock()
	owner := e.ownership.Owner(l.endpoint)
	p := e.peers[owner]
	e.mu.Unlock()
	var version uint64
	switch {
	case owner == e.options.VM:
		version, g.err = e.awaitLoad(ctx, l)
	case p != nil:
		a := EnsureArgs{
			Endpoint: string(l.endpoint), Model: string(l.target.Model), Adapter: l.target.Adapter, Version: l.version,
		}
		var r EnsureReply
		g.err = e.Calls.Call(ctx, p.controlAddr, ensureMethod, &a, &r)
		version = r.Version
		// A peer answers within its own wait. A peer that doesn't has failed, or its connection has
		// stalled. If the stalled connection were kept, each load would time out for as long as the
		// connection stayed open.
		if ctx.Err() != nil {
			e.Calls.CloseConn(p.controlAddr)
		}
	default:
		g.err = &NoOwnerError{Endpoint: l.endpoint}
	}
	e.mu.Lock()
	delete(e.loads, l)
	if g.err == nil {
		e.table.AddHeld(l.endpoint, ggscore.AdapterVersion{Target: l.target, Version: version})
	}
	e.mu.Unlock()
	close(g.done)
}

// awaitLoad has an adapter loaded at an endpoint that this VM owns, and returns the loaded
// version.
func (e *Edge) awaitLoad(ctx context.Context, l load) (uint64, error) {
	begun := e.Monotonic()
	for {
		e.mu.Lock()
		w := e.workers[l.endpoint]
		if w == nil {
			e.mu.Unlock()
			return 0, &NoOwnerError{Endpoint: l.endpoint}
		}
		if w.ledger.Holds(l.target, l.version) {
			v := w.ledger.Version(l.target)
			e.mu.Unlock()
			return v, nil
		}
		if !w.mayLoad(e.Now(), l.target) {
			e.mu.Unlock()
			return 0, &ModelMissingError{Endpoint: l.endpoint, Model: l.target.Model}
		}
		if w.ledger.QueueFull(l.target) {
			e.mu.Unlock()
			return 0, &LoadQueueFullError{Endpoint: l.endpoint}
		}
		w.ledger.Want(e.Now(), l.target, l.version)
		changed := w.changed
		w.wake()
		e.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, &LoadTimeoutError{Endpoint: l.endpoint, Target: l.target, Waited: e.since(begun)}
		}
	}
}

const ensureMethod = "Placement.Ensure"

// A Placement is the RPC service through which peers have adapters loaded and read entries.
type Placement struct {
	edge *Edge
	ctx  context.Context //nolint:containedctx // net/rpc hands its methods none
}

// An EnsureArgs requests that an endpoint holds an adapter.
type EnsureArgs struct {
	Endpoint string
	Model    string
	Adapter  string
	Version  uint64
}

// An EnsureReply has the version that the endpoint holds.
type EnsureReply struct{ Version uint64 }

// NewPlacement returns a Placement that answers until the context ends.
func NewPlacement(ctx context.Context, e *Edge) *Placement { return &Placement{edge: e, ctx: ctx} }

// Ensure has an adapter loaded and returns after the load has ended, or after
// ggsplace.LoadWait with a *LoadTimeoutError.
func (p *Placement) Ensure(a *EnsureArgs, r *EnsureReply) error {
	ctx, cancel := context.WithTimeout(p.ctx, ggsplace.LoadWait)
	defer cancel()
	v, err := p.edge.awaitLoad(ctx, load{
		endpoint: ggscore.EndpointID(a.Endpoint), version: a.Version,
		target: ggscore.ModelAdapter{Model: ggscore.BaseModel(a.Model), Adapter: a.Adapter},
	})
	r.Version = v
	return err
}
