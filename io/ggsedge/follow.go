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

const (
	// listTick is how often the list's age is looked at.
	listTick = 50 * time.Millisecond
	// pokePause is the least time between readings of the list that peers' words
	// bring about: while runners start, each changes the list, and 65 VMs read it 266
	// times a second. It delays what a VM learns of the second of two changes, and
	// an endpoint that leaves may get requests for 2.5 s.
	pokePause = 300 * time.Millisecond
)

// pause waits, or returns false when the context ends.
func pause(ctx context.Context, d time.Duration) bool { return pauseOr(ctx, d, nil) }

// pauseOr is pause, cut short by a poke.
func pauseOr(ctx context.Context, d time.Duration, poke <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-poke:
		return true
	case <-ctx.Done():
		return false
	}
}

// followOperators keeps the configuration and the adapters' versions.
func (e *Edge) followOperators(ctx context.Context) error {
	var at ggscore.StoreRevision
	away, failures := false, 0
	for ctx.Err() == nil {
		es, next, err := e.operators(ctx, &at)
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
		at = max(next, at)
		e.readOperators(at, es)
		e.keepOperators(es)
		for _, n := range es {
			e.adopt(n)
		}
	}
	return nil
}

// operators returns the operators' entries that changed after the revision, or all for
// zero. It reads all in place of a watch that says nothing of a change that a peer has
// read: its connection may have gone silent.
func (e *Edge) operators(ctx context.Context, at *ggscore.StoreRevision) ([]ggscore.Entry, ggscore.StoreRevision, error) {
	if *at > 0 {
		es, next, preempted, err := e.watchOperators(ctx, *at)
		if !preempted {
			return es, next, err
		}
		e.watchPreempted(*at)
		*at = 0
	}
	return e.Store.Snapshot(ctx, e.options.Keys.Operators, false)
}

// watchOperators waits for changes after the revision, and reports whether it gave the
// watch up for a notification.
func (e *Edge) watchOperators(
	ctx context.Context, at ggscore.StoreRevision,
) (es []ggscore.Entry, next ggscore.StoreRevision, preempted bool, err error) {
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	c, f := ggsconn.Track(c)
	ended := make(chan bool, 1)
	go func() {
		ended <- e.overtaken(c, f)
		cancel()
	}()
	es, next, err = e.Store.Watch(c, e.options.Keys.Operators, at, ggsgossip.WatchWait(len(e.heardPeers())+1, rand.Float64()))
	cancel()
	preempted = <-ended && err != nil && ctx.Err() == nil
	return es, next, preempted, err
}

// overtaken waits until a peer has read a newer change and nothing has arrived for the
// watch's grace since. It returns false when the context ends first.
func (e *Edge) overtaken(ctx context.Context, f *ggsconn.Flight) bool {
	for {
		select {
		case <-e.pokeOperators:
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
// not read.
func (e *Edge) operatorsBehind() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.behindSince.IsZero()
}

func (e *Edge) watchPreempted(at ggscore.StoreRevision) {
	e.mu.Lock()
	announced := e.operatorsAnnounced
	e.mu.Unlock()
	_ = level.Info(e.Log).Log("event", ggslog.EventWatchPreempted, "revision", at, "peerRevision", announced)
}

// readOperators notes how far the operators' entries were read, and the newest
// change among them.
//
// Peers are told the change's own revision. Told the store's at the reading, which
// grows with each beat and entry, each would find the other's word newer than its
// own reading, read all anew, and say so: five calls a second for nothing.
func (e *Edge) readOperators(at ggscore.StoreRevision, es []ggscore.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.operatorsRead = max(e.operatorsRead, at)
	if e.operatorsRead >= e.operatorsAnnounced {
		e.behindSince = time.Time{}
	}
	for _, n := range es {
		e.operatedAt = max(e.operatedAt, n.Revision)
	}
}

// announceOperators notes a revision of the operators' entries that a peer has read and
// this VM has not. Edge.mu is held.
func (e *Edge) announceOperators(now time.Time, at ggscore.StoreRevision) {
	e.operatorsAnnounced = max(e.operatorsAnnounced, at)
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

// heardPeers returns the VMs whose beats arrive.
func (e *Edge) heardPeers() []ggscore.VMID {
	e.mu.Lock()
	defer e.mu.Unlock()
	var vms []ggscore.VMID
	for vm, p := range e.peers {
		if e.Now().Sub(p.heard) < heardMaxAge {
			vms = append(vms, vm)
		}
	}
	return vms
}

// waitForList waits until the list of endpoints is to be read: a peer saw it
// change, or nobody has read it for some time.
func (e *Edge) waitForList(ctx context.Context) bool {
	limit := ggsgossip.AloneAge()
	if heard := e.heardPeers(); len(heard) > 0 {
		limit = ggsgossip.ReadAge(ggsgossip.Rank(e.options.VM, heard), rand.Float64())
	}
	for {
		age := e.listAge()
		if age >= limit {
			return true
		}
		if !pauseOr(ctx, max(limit-age, listTick), e.pokeList) {
			return false
		}
		if e.poked() {
			return pause(ctx, pokePause-e.sinceOwnList())
		}
	}
}

// sinceOwnList returns the time since this VM read the list.
func (e *Edge) sinceOwnList() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Now().Sub(e.listOwn)
}

// listAge returns the time since this VM or a peer read the list.
func (e *Edge) listAge() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Now().Sub(e.listSeen)
}

// poked reports whether a peer saw the list change after this VM read it.
func (e *Edge) poked() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listTold > e.listRead
}

// pauseFailed waits after so many failed calls of the store in a row.
func (e *Edge) pauseFailed(ctx context.Context, failures int) bool {
	return pause(ctx, ggsgossip.RetryPause(failures, e.started(), rand.Float64()))
}

// heardMaxAge is the age of a peer's last beat at which it is no longer counted
// on: some beats.
const heardMaxAge = time.Second

// dependency logs that a part of the store was lost or is back.
func (e *Edge) dependency(away *bool, ok bool, what string, err error) {
	switch {
	case ok && *away:
		_ = level.Info(e.Log).Log("event", ggslog.EventDependencyRegained, "dependency", "store", "part", what)
	case !ok && !*away:
		_ = level.Warn(e.Log).Log("event", ggslog.EventDependencyLost, "dependency", "store", "part", what, "err", err)
	}
	*away = !ok
}

// readFailed logs the first, second, fourth, eighth … failure in a row of a reading.
func (e *Edge) readFailed(part string, failures int, err error) {
	if failures&(failures-1) == 0 {
		_ = level.Warn(e.Log).Log("event", ggslog.EventReadFailed, "part", part, "failures", failures, "err", err)
	}
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
		_ = level.Warn(e.Log).Log("event", ggslog.EventVersionUnreadable, "err", err)
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
	_ = level.Info(e.Log).Log("event", ggslog.EventVersionAdopted, "adapter", v.Target, "version", v.Version, "revision", n.Revision)
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
		_ = level.Warn(e.Log).Log("event", ggslog.EventConfigUnreadable, "err", err)
		return
	}
	// A stale answer must not take a configuration back.
	if t := e.paths.Load(); t != nil && c.Version <= t.Config.Version {
		return
	}
	e.paths.Store(ggspath.NewTable(c))
	e.mu.Lock()
	for s := range c.Services {
		e.turns.SetService(s, c.GapAim(s))
	}
	e.mu.Unlock()
	_ = level.Info(e.Log).Log("event", ggslog.EventConfigAdopted, "version", c.Version, "revision", n.Revision, "routes", len(c.Routes))
}

// followInstances keeps the endpoints' entries.
func (e *Edge) followInstances(ctx context.Context) error {
	away, failures := false, 0
	var read ggscore.StoreRevision
	for ctx.Err() == nil {
		es, at, err := e.Store.Snapshot(ctx, e.options.Keys.Instances, false)
		e.stats.Store.Add(1)
		e.dependency(&away, err == nil, "instances", err)
		if err != nil {
			failures++
			e.readFailed("instances", failures, err)
			if !e.pauseFailed(ctx, failures) {
				return nil
			}
			continue
		}
		failures = 0
		if at >= read {
			read = at
			e.setInstances(ctx, es, at)
		}
		if !e.waitForList(ctx) {
			return nil
		}
	}
	return nil
}

func (e *Edge) setInstances(ctx context.Context, es []ggscore.Entry, at ggscore.StoreRevision) {
	list := make([]ggscore.Instance, 0, len(es))
	for _, n := range es {
		i, err := e.Codec.Instance(n)
		if err != nil {
			_ = level.Debug(e.Log).Log("event", ggslog.EventEntryUnreadable, "err", err)
			continue
		}
		list = append(list, i)
	}
	e.mu.Lock()
	change := e.table.SetInstances(list)
	e.keeper.SetListed(e.Now(), list)
	if at > 0 {
		e.listRead = max(e.listRead, at)
		e.listOwn = e.Now()
		e.listSeen = e.listOwn
	}
	// A VM that was told of one change may see another: it tells its own reading,
	// and those who have read as much already find nothing new and tell nothing.
	if change.Any && at > 0 {
		e.listedAt = e.listRead
	}
	e.listed = true
	e.entries[e.options.Keys.Instances] = es
	e.setWorkers(ctx)
	e.mu.Unlock()
	for _, l := range change.Leaving {
		_ = level.Info(e.Log).Log("event", ggslog.EventEndpointLeaving, "endpoint", l.ID, "service", l.Service, "revision", at)
	}
	for _, g := range change.Gone {
		_ = level.Info(e.Log).Log("event", ggslog.EventEndpointGone, "endpoint", g.ID, "addr", g.Addr)
		e.Pool.Forget(g.Addr)
		e.mu.Lock()
		e.turns.Remove(g.ID)
		e.mu.Unlock()
	}
}
