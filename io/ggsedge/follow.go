package ggsedge

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggspath"
	"greengageslip/core/ggsplace"
	"greengageslip/io/ggspeer"
)

const (
	// watchWait is how long a watch of the operators' entries waits. A watch
	// whose connection went silent is noticed after it and a call's timeout,
	// inside the 3 s for which such a loss excuses a late configuration.
	watchWait = 1800 * time.Millisecond
	// instanceInterval is the time between readings of the endpoints' entries:
	// a leaving endpoint may get no request 2.5 s after it said so.
	instanceInterval = 1100 * time.Millisecond
	// memberInterval is the time between readings of the VMs' records.
	memberInterval = time.Second
	// storePause is the pause after a failed call of the store.
	storePause = 200 * time.Millisecond
	// tellInterval is the time between beats to peers.
	tellInterval = 150 * time.Millisecond
	// holdingsEvery is the number of beats after which all that endpoints hold is
	// told.
	holdingsEvery = 6
)

// pause waits, or returns false when the context ends.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// followOperators keeps the configuration and the adapters' versions.
func (e *Edge) followOperators(ctx context.Context) error {
	var at ggscore.StoreRevision
	away := false
	for ctx.Err() == nil {
		es, next, err := e.operators(ctx, at)
		e.stats.Store.Add(1)
		if err != nil && ctx.Err() != nil {
			return nil
		}
		if err != nil {
			var gone *ggscore.HistoryGoneError
			if errors.As(err, &gone) {
				at = 0
				continue
			}
			// What was written while the store was away, or cut from this VM,
			// may have left its history: all is read anew.
			at = 0
			e.storeAway.Store(true)
			e.dependency(&away, false, "operators", err)
			if !pause(ctx, storePause) {
				return nil
			}
			continue
		}
		e.storeAway.Store(false)
		e.dependency(&away, true, "operators", nil)
		at = max(next, at)
		e.keepOperators(es)
		for _, n := range es {
			e.adopt(n)
		}
	}
	return nil
}

// operators returns the operators' entries that changed after the revision, or
// all for zero.
func (e *Edge) operators(ctx context.Context, at ggscore.StoreRevision) ([]ggscore.Entry, ggscore.StoreRevision, error) {
	if at == 0 {
		return e.Store.Snapshot(ctx, e.options.Keys.Operators, false)
	}
	return e.Store.Watch(ctx, e.options.Keys.Operators, at, watchWait)
}

// dependency logs that a part of the store was lost or is back.
func (e *Edge) dependency(away *bool, ok bool, what string, err error) {
	switch {
	case ok && *away:
		_ = level.Info(e.Log).Log("event", "dependencyRegained", "dependency", "store", "part", what)
	case !ok && !*away:
		_ = level.Warn(e.Log).Log("event", "dependencyLost", "dependency", "store", "part", what, "err", err)
	}
	*away = !ok
}

// adopt takes an operators' entry. One that can't be read leaves what was
// before in force.
func (e *Edge) adopt(n ggscore.Entry) {
	if n.Key == e.options.Keys.Config && n.Value != nil {
		e.adoptConfig(n)
		return
	}
	v, ok, err := e.Codec.Version(n)
	if err != nil {
		_ = level.Warn(e.Log).Log("event", "versionUnreadable", "err", err)
		return
	}
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if v.Version <= e.versions[v.Target] {
		return
	}
	e.versions[v.Target] = v.Version
	_ = level.Info(e.Log).Log("event", "versionAdopted", "adapter", v.Target, "version", v.Version, "revision", n.Revision)
	for _, w := range e.workers {
		if w.ledger.Holds(v.Target, 0) {
			w.ledger.Want(e.Now(), v.Target, v.Version)
			w.wake()
		}
	}
}

func (e *Edge) adoptConfig(n ggscore.Entry) {
	c, err := e.Codec.Config(n)
	if err != nil {
		_ = level.Warn(e.Log).Log("event", "configUnreadable", "err", err)
		return
	}
	// A stale answer must not take a configuration back.
	if t := e.paths.Load(); t != nil && c.Version <= t.Config.Version {
		return
	}
	e.paths.Store(ggspath.NewTable(c))
	_ = level.Info(e.Log).Log("event", "configAdopted", "version", c.Version, "revision", n.Revision, "routes", len(c.Routes))
}

// followInstances keeps the endpoints' entries.
func (e *Edge) followInstances(ctx context.Context) error {
	away := false
	var read ggscore.StoreRevision
	for ctx.Err() == nil {
		es, at, err := e.Store.Snapshot(ctx, e.options.Keys.Instances, false)
		e.stats.Store.Add(1)
		e.dependency(&away, err == nil, "instances", err)
		if err != nil {
			if !pause(ctx, storePause) {
				return nil
			}
			continue
		}
		if at >= read {
			read = at
			e.setInstances(ctx, es)
		}
		if !pause(ctx, instanceInterval) {
			return nil
		}
	}
	return nil
}

func (e *Edge) setInstances(ctx context.Context, es []ggscore.Entry) {
	list := make([]ggscore.Instance, 0, len(es))
	for _, n := range es {
		i, err := e.Codec.Instance(n)
		if err != nil {
			_ = level.Debug(e.Log).Log("event", "entryUnreadable", "err", err)
			continue
		}
		list = append(list, i)
	}
	e.mu.Lock()
	gone := e.table.SetInstances(list)
	e.listed = true
	e.entries[e.options.Keys.Instances] = es
	e.setWorkers(ctx)
	e.mu.Unlock()
	for _, g := range gone {
		_ = level.Info(e.Log).Log("event", "endpointGone", "endpoint", g.ID, "addr", g.Addr)
		e.Pool.Forget(g.Addr)
	}
}

// tellPeers sends beats to the peers.
func (e *Edge) tellPeers(ctx context.Context) error {
	started := e.Steady().UnixNano()
	for pause(ctx, tellInterval) {
		b, to := e.beat(started)
		if err := e.Peers.Send(b, to); err != nil {
			_ = level.Debug(e.Log).Log("event", "beatUnsent", "err", err)
		}
	}
	return nil
}

func (e *Edge) beat(started int64) (ggspeer.Beat, []netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	b := ggspeer.Beat{VM: e.options.VM, Sequence: e.sequence, Started: started}
	for _, f := range e.table.Own() {
		b.Flights = append(b.Flights, ggspeer.Flight(f))
	}
	for id, w := range e.workers {
		// What hasn't changed is told once a second only: the answers that cross
		// regions have a price, and beats were a fifth of their bytes.
		if w.ledger.Synced(e.Now()) && (w.untold || e.sequence%holdingsEvery == 0) {
			w.untold = false
			b.Holdings = append(b.Holdings, ggspeer.Holding{Endpoint: id, Held: w.ledger.Resident(), Waiting: w.ledger.Waiting()})
		}
	}
	for u, n := range e.uses {
		b.Uses = append(b.Uses, ggspeer.Use{Endpoint: u.endpoint, Target: u.target, Count: n.sent})
		if n.sent = 0; n.active <= 0 {
			delete(e.uses, u)
		}
		if w := e.workers[u.endpoint]; w != nil {
			w.ledger.Use(e.Now(), u.target, 0)
		}
	}
	to := make([]netip.AddrPort, 0, len(e.peers))
	for p := range maps.Values(e.peers) {
		to = append(to, p.beats)
	}
	return b, to
}

// heard takes a peer's beat.
func (e *Edge) heard(b ggspeer.Beat) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[b.VM]
	// Datagrams overtake each other, and those of an earlier process may come
	// after the first of the next.
	if p == nil || b.Started < p.started || b.Started == p.started && b.Sequence <= p.sequence {
		return
	}
	p.started, p.sequence = b.Started, b.Sequence
	now := e.Now()
	fs := make([]ggsplace.Flight, 0, len(b.Flights))
	for _, f := range b.Flights {
		fs = append(fs, ggsplace.Flight(f))
	}
	e.table.SetPeer(now, b.VM, fs)
	for _, h := range b.Holdings {
		if e.keeper.Owner(h.Endpoint) == b.VM {
			e.table.SetHeld(now, h.Endpoint, h.Held, h.Waiting)
		}
	}
	for _, u := range b.Uses {
		e.table.Asked(now, u.Target, u.Count)
		if w := e.workers[u.Endpoint]; w != nil {
			w.ledger.Use(now, u.Target, u.Count)
		}
	}
}
