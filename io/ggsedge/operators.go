package ggsedge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsgossip"
	"greengageslip/core/ggspath"
	"greengageslip/io/ggsconn"
	"greengageslip/io/ggslog"
)

// followOperators keeps the configuration and the adapters' versions.
func (e *Edge) followOperators(ctx context.Context) error {
	var at ggscore.StorePosition
	away, failures := false, 0
	for ctx.Err() == nil {
		es, next, err := e.operators(ctx, &at)
		if err != nil && ctx.Err() != nil {
			return nil
		}
		if err != nil {
			var gone *ggscore.HistoryCompactedError
			if errors.As(err, &gone) {
				at = ggscore.StorePosition{}
				continue
			}
			// What was written while the store was unreachable may have left its
			// history: only a full snapshot has it.
			at = ggscore.StorePosition{}
			e.storeAway.Store(true)
			e.dependency(&away, false, "operators", err)
			failures++
			e.readFailed("operators", failures, err)
			if !e.pauseFailed(ctx, failures) {
				return nil
			}
			continue
		}
		failures = 0
		e.storeAway.Store(false)
		e.dependency(&away, true, "operators", nil)
		at = at.Max(next)
		e.readOperators(at, es)
		e.adoptOperators(es)
	}
	return nil
}

// operators returns the operators' entries that changed after the position, or all for
// zero. It takes a full snapshot in place of a watch that is silent about a change that a
// peer has read, and where this VM is behind its peers already: a watch would replay each
// version in between, a snapshot has the newest only.
func (e *Edge) operators(ctx context.Context, at *ggscore.StorePosition) ([]ggscore.Entry, ggscore.StorePosition, error) {
	if e.started() && e.awaitRelays(ctx) {
		if r, err := e.operatorsFromRelay(ctx); err == nil {
			return r.entries, r.at, nil
		}
	}
	if !at.IsZero() && !e.operatorsBehind() {
		es, next, preempted, err := e.watchOperators(ctx, *at)
		if !preempted {
			return es, next, err
		}
		e.watchPreempted(*at)
	}
	*at = ggscore.StorePosition{}
	return e.snapshotOperators(ctx)
}

// awaitRelays waits while the relays of the domain read the operators' entries, and reports
// whether they have read newer ones than this VM.
func (e *Edge) awaitRelays(ctx context.Context) bool {
	for e.follows() && e.operatorsAge() < ggsgossip.MaxOperatorsAge {
		if e.operatorsBehind() {
			return true
		}
		if !pauseOr(ctx, ggsgossip.MaxOperatorsAge/4, e.operatorsNotified) {
			return false
		}
	}
	return false
}

// operatorsAge returns the time since this VM or a peer read the operators' entries.
func (e *Edge) operatorsAge() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Now().Sub(e.operatorsObserved)
}

// operatorsFromRelay returns the operators' entries as a relay read them.
func (e *Edge) operatorsFromRelay(ctx context.Context) (partReading, error) {
	e.mu.Lock()
	announced := e.operatorsAnnounced.Max(e.epochs.begun())
	e.mu.Unlock()
	r, err := e.fromRelay(ctx, e.options.Keys.Operators, announced)
	if err == nil {
		e.mu.Lock()
		e.operatorsSynced = e.operatorsSynced.Max(announced)
		e.mu.Unlock()
	}
	return r, err
}

// watchers returns the number of VMs that watch the operators' entries.
func (e *Edge) watchers() int {
	live := e.livePeers()
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := e.Now(); e.node.UsesRelays() && e.node.IsRelay(now) {
		return len(e.node.AllRelays(now))
	}
	return len(live) + 1
}

// snapshotOperators returns all of the operators' entries. What peers announced before
// counts as read: a revision that the store doesn't have is not asked for again.
func (e *Edge) snapshotOperators(ctx context.Context) ([]ggscore.Entry, ggscore.StorePosition, error) {
	e.mu.Lock()
	announced := e.operatorsAnnounced
	e.mu.Unlock()
	es, next, err := e.Store.Snapshot(ctx, e.options.Keys.Operators, false)
	if err == nil {
		e.mu.Lock()
		e.operatorsSynced = announced
		e.storeAnswered()
		e.mu.Unlock()
	}
	return es, next, err
}

// storeAnswered notes that the store told how the operators' entries stand. Edge.mu is held.
func (e *Edge) storeAnswered() {
	e.operatorsReadTime = e.Now()
	e.operatorsObserved = e.operatorsReadTime
}

// watchOperators waits for changes after the position, and reports whether it gave the
// watch up for a notification.
func (e *Edge) watchOperators(
	ctx context.Context, at ggscore.StorePosition,
) (es []ggscore.Entry, next ggscore.StorePosition, preempted bool, err error) {
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	c, f := ggsconn.Track(c)
	ended := make(chan bool, 1)
	go func() {
		ended <- e.overtaken(c, f)
		cancel()
	}()
	es, next, err = e.Store.Watch(c, e.options.Keys.Operators, at, ggsgossip.WatchWait(e.watchers(), rand.Float64()))
	if err == nil {
		e.mu.Lock()
		e.storeAnswered()
		e.mu.Unlock()
	}
	cancel()
	preempted = <-ended && err != nil && ctx.Err() == nil
	return es, next, preempted, err
}

// overtaken waits until a peer has read a newer change and nothing has arrived for the
// watch's grace since. It returns false when the context ends first.
func (e *Edge) overtaken(ctx context.Context, f *ggsconn.Flight) bool {
	for {
		select {
		case <-e.operatorsNotified:
		case <-ctx.Done():
			return false
		}
		received := f.Received()
		if !e.operatorsBehind() {
			continue
		}
		if !pause(ctx, ggsgossip.WatchGrace) {
			return false
		}
		if f.Received() == received && e.operatorsBehind() {
			return true
		}
	}
}

// operatorsBehind reports whether a peer announced operators' entries that this VM has
// not read, or the store came back from a copy since.
func (e *Edge) operatorsBehind() bool {
	epoch := e.epochs.current()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.operatorsRead.Max(e.operatorsSynced).Before(e.operatorsAnnounced) || e.operatorsRead.Epoch < epoch
}

func (e *Edge) watchPreempted(at ggscore.StorePosition) {
	e.mu.Lock()
	announced := e.operatorsAnnounced
	e.mu.Unlock()
	_ = level.Info(e.Log).Log("event", ggslog.EventWatchPreempted, "revision", at.Revision, "peerRevision", announced.Revision)
}

// readOperators records how far the operators' entries were read, and the newest
// change among them.
//
// Peers are told the change's own revision. The store's grows with each heartbeat, so
// that VMs which announced it would have each other resync for ever.
func (e *Edge) readOperators(at ggscore.StorePosition, es []ggscore.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.operatorsRead = e.operatorsRead.Max(at)
	e.noteResynced()
	if !e.operatorsRead.Before(e.operatorsAnnounced) {
		e.behindSince = time.Time{}
	}
	for _, n := range es {
		e.operatedAt = e.operatedAt.Max(ggscore.StorePosition{Epoch: at.Epoch, Revision: n.Revision})
	}
}

// announceOperators notes a position of the operators' entries that a peer has read and
// this VM has not. Edge.mu is held.
func (e *Edge) announceOperators(now time.Time, at ggscore.StorePosition) {
	e.operatorsAnnounced = e.operatorsAnnounced.Max(at)
	if e.behindSince.IsZero() {
		e.behindSince = now
	}
}

// operatorsLag returns the time since a peer announced operators' entries that this VM
// has not read yet, zero for none. Edge.mu is held.
func (e *Edge) operatorsLag() time.Duration {
	if e.behindSince.IsZero() {
		return 0
	}
	return e.Now().Sub(e.behindSince)
}

// adoptOperators takes operators' entries, and keeps those that aren't older than what is in
// force: after a return of the store from a copy its own may be.
func (e *Edge) adoptOperators(es []ggscore.Entry) {
	var kept []ggscore.Entry
	for _, n := range es {
		if e.adopt(n) {
			kept = append(kept, n)
		}
	}
	e.keepOperators(kept)
}

// adopt takes an operators' entry, and reports whether it is as new as what is in force. One
// that can't be read leaves what was before in force.
func (e *Edge) adopt(n ggscore.Entry) bool {
	if n.Key == e.options.Keys.Config && n.Value != nil {
		return e.adoptConfig(n)
	}
	v, ok, err := e.Codec.Version(n)
	if err != nil {
		_ = level.Warn(e.Log).Log("event", ggslog.EventVersionUnreadable, "err", err)
		return false
	}
	if !ok {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if v.Version <= e.versions[v.Target] {
		return v.Version == e.versions[v.Target]
	}
	e.versionSum += v.Version - e.versions[v.Target]
	e.versions[v.Target] = v.Version
	_ = level.Info(e.Log).Log("event", ggslog.EventVersionAdopted, "adapter", v.Target, "version", v.Version, "revision", n.Revision)
	for _, w := range e.workers {
		if w.ledger.Holds(v.Target, 0) {
			w.ledger.Want(e.Now(), v.Target, v.Version)
			w.wake()
		}
	}
	return true
}

// configVersion returns the version of the configuration in force, zero for none.
func (e *Edge) configVersion() uint64 {
	if t := e.paths.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

func (e *Edge) adoptConfig(n ggscore.Entry) bool {
	c, err := e.Codec.Config(n)
	if err != nil {
		_ = level.Warn(e.Log).Log("event", ggslog.EventConfigUnreadable, "err", err)
		return false
	}
	// A stale answer must not take a configuration back.
	if in := e.configVersion(); c.Version <= in {
		return c.Version == in
	}
	e.paths.Store(ggspath.NewTable(c))
	e.mu.Lock()
	for s, spec := range c.Services {
		e.turns.SetService(s, c.GapAim(s))
		if spec.Engine != nil {
			e.table.SetAdapterSlots(s, spec.Engine.AdapterCapacity())
		}
	}
	e.mu.Unlock()
	_ = level.Info(e.Log).Log("event", ggslog.EventConfigAdopted, "version", c.Version, "revision", n.Revision, "routes", len(c.Routes))
	return true
}
