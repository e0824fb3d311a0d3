package ggsedge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsgossip"
	"greengageslip/io/ggsconn"
	"greengageslip/io/ggslog"
)

// followOperators follows the configuration and the adapters' versions.
func (e *Edge) followOperators(ctx context.Context) error {
	var at ggscore.StorePosition
	lost, failures := false, 0
	for ctx.Err() == nil {
		es, next, err := e.operators(ctx, &at)
		if err != nil && ctx.Err() != nil {
			return nil
		}
		if err != nil {
			var compacted *ggscore.HistoryCompactedError
			if errors.As(err, &compacted) {
				at = ggscore.StorePosition{}
				continue
			}
			// The store may have compacted changes that were written while it was unreachable.
			// Only a full snapshot has them.
			at = ggscore.StorePosition{}
			e.storeUnavailable.Store(true)
			e.logDependency(&lost, false, "operators", err)
			failures++
			e.logReadFailed("operators", failures, err)
			if !e.pauseFailed(ctx, failures) {
				return nil
			}
			continue
		}
		failures = 0
		e.storeUnavailable.Store(false)
		e.logDependency(&lost, true, "operators", nil)
		at = at.Max(next)
		e.applyOperators(at, es)
	}
	return nil
}

// applyOperators applies the operators' entries that were read up to a position. The position is recorded last: VMs
// that read from this one go by it, and take the entries for complete up to there.
func (e *Edge) applyOperators(at ggscore.StorePosition, es []ggscore.Entry) {
	e.adoptOperators(es)
	if e.paths.Load() == nil {
		e.requestLastConfig()
	}
	e.recordOperatorsRead(at, es)
}

// operators returns the operators' entries that changed after the position, or all entries for
// a zero position. It takes a full snapshot instead of a watch in two cases: the watch returns
// nothing although a peer has read a change, or this VM is already behind its peers. A watch
// would replay each intermediate version, and a snapshot has only the newest.
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
		e.logWatchPreempted(*at)
	}
	*at = ggscore.StorePosition{}
	return e.snapshotOperators(ctx)
}

// awaitRelays waits while the relays of the failure domain read the operators' entries. It
// returns true once a peer has announced entries that this VM has not read, and false if this
// VM has to read the store itself.
func (e *Edge) awaitRelays(ctx context.Context) bool {
	for e.isFollower() && e.operatorsAge() < ggsgossip.MaxOperatorsAge {
		if e.operatorsBehind() {
			return true
		}
		if !pauseOrWake(ctx, ggsgossip.MaxOperatorsAge/4, e.operatorsNotified) {
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

// operatorsFromRelay returns the operators' entries as read by a relay.
func (e *Edge) operatorsFromRelay(ctx context.Context) (partReading, error) {
	e.mu.Lock()
	announced := e.operatorsAnnounced.Max(e.epochs.start())
	e.mu.Unlock()
	r, err := e.readFromRelay(ctx, e.options.Keys.Operators, announced)
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

// snapshotOperators returns all operators' entries. Positions that peers announced before the
// snapshot count as read, so that a revision that the store doesn't have is requested once.
func (e *Edge) snapshotOperators(ctx context.Context) ([]ggscore.Entry, ggscore.StorePosition, error) {
	e.mu.Lock()
	announced := e.operatorsAnnounced
	e.mu.Unlock()
	es, next, err := e.Store.Snapshot(ctx, e.options.Keys.Operators, false)
	if err == nil {
		e.mu.Lock()
		e.operatorsSynced = announced
		e.recordOperatorsFresh()
		e.mu.Unlock()
	}
	return es, next, err
}

// recordOperatorsFresh records that the store returned the current state of the operators'
// entries. Edge.mu is held.
func (e *Edge) recordOperatorsFresh() {
	e.operatorsReadTime = e.Now()
	e.operatorsObserved = e.operatorsReadTime
}

// watchOperators waits for changes after the position. It reports whether it ended the watch
// early because of a peer's notification.
func (e *Edge) watchOperators(
	ctx context.Context, at ggscore.StorePosition,
) (es []ggscore.Entry, next ggscore.StorePosition, preempted bool, err error) {
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	c, f := ggsconn.Track(c)
	ended := make(chan bool, 1)
	go func() {
		ended <- e.watchStalled(c, f)
		cancel()
	}()
	es, next, err = e.Store.Watch(c, e.options.Keys.Operators, at, ggsgossip.WatchWait(e.watchers(), rand.Float64()))
	if err == nil {
		e.mu.Lock()
		e.recordOperatorsFresh()
		e.mu.Unlock()
	}
	cancel()
	preempted = <-ended && err != nil && ctx.Err() == nil
	return es, next, preempted, err
}

// watchStalled waits until a peer has announced a newer change and the watch has then received
// nothing for ggsgossip.WatchGrace. It returns false if the context ends first.
func (e *Edge) watchStalled(ctx context.Context, f *ggsconn.RequestTracker) bool {
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

// operatorsBehind reports whether a peer announced operators' entries that this VM has not
// read, or the store was restored from an older copy since.
func (e *Edge) operatorsBehind() bool {
	epoch := e.epochs.current()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.operatorsRead.Max(e.operatorsSynced).Before(e.operatorsAnnounced) || e.operatorsRead.Epoch < epoch
}

func (e *Edge) logWatchPreempted(at ggscore.StorePosition) {
	e.mu.Lock()
	announced := e.operatorsAnnounced
	e.mu.Unlock()
	_ = level.Info(e.Log).Log("event", ggslog.EventWatchPreempted, "revision", at.Revision, "peerRevision", announced.Revision)
}

// recordOperatorsRead records the position up to which the operators' entries were read, and
// the newest change among the entries.
//
// Peers are sent the revision of the change itself. The store's revision grows with each
// store heartbeat, and VMs that announced it would make each other resync forever.
func (e *Edge) recordOperatorsRead(at ggscore.StorePosition, es []ggscore.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.operatorsRead = e.operatorsRead.Max(at)
	e.recordResync()
	if !e.operatorsRead.Before(e.operatorsAnnounced) {
		e.behindSince = time.Time{}
	}
	for _, n := range es {
		e.operatorsChangedAt = e.operatorsChangedAt.Max(ggscore.StorePosition{Epoch: at.Epoch, Revision: n.Revision})
	}
}

// announceOperators records a position of the operators' entries that a peer has read and this
// VM has not. Edge.mu is held.
func (e *Edge) announceOperators(now time.Time, at ggscore.StorePosition) {
	e.operatorsAnnounced = e.operatorsAnnounced.Max(at)
	if e.behindSince.IsZero() {
		e.behindSince = now
	}
}

// operatorsLag returns the time since a peer first announced operators' entries that this VM
// has not read, zero for none. Edge.mu is held.
func (e *Edge) operatorsLag() time.Duration {
	if e.behindSince.IsZero() {
		return 0
	}
	return e.Now().Sub(e.behindSince)
}

// adoptOperators applies operators' entries that are at least as new as those in use. A store
// that was restored from an older copy may have older entries.
func (e *Edge) adoptOperators(es []ggscore.Entry) {
	var kept []ggscore.Entry
	for _, n := range es {
		if e.adoptEntry(n) {
			kept = append(kept, n)
		}
	}
	e.keepOperators(kept)
}

// adoptEntry applies an operators' entry, and reports whether it is at least as new as the one
// in use. An invalid entry leaves the previous one in use.
func (e *Edge) adoptEntry(n ggscore.Entry) bool {
	if n.Key == e.options.Keys.Config && n.Value != nil {
		return e.adoptConfig(n)
	}
	v, ok, err := e.Codec.Version(n)
	if err != nil {
		e.setDefects(n.Key, defectOf(n, err))
		return false
	}
	e.setDefects(n.Key)
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

// configVersion returns the version of the configuration in use, zero for none.
func (e *Edge) configVersion() uint64 {
	if t := e.paths.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}
