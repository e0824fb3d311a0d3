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
	"greengageslip/core/ggsplace"
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
		if at > 0 && !e.reads() {
			at = e.operatorsOfReader(ctx, at)
			continue
		}
		es, next, err := e.operatorsOrPoke(ctx, &at)
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
			if !e.pauseFailed(ctx, failures) {
				return nil
			}
			continue
		}
		failures = 0
		e.storeAway.Store(false)
		e.dependency(&away, true, "operators", nil)
		at = max(next, at)
		e.takeOperators(at, es)
	}
	return nil
}

// takeOperators takes the operators' entries that were read up to a revision. They are
// kept before it is said that they were read: a peer that asks in between would miss one.
func (e *Edge) takeOperators(at ggscore.StoreRevision, es []ggscore.Entry) {
	e.keepOperators(es)
	e.readOperators(at, es)
	for _, n := range es {
		e.adopt(n)
	}
}

// operatorsOfReader waits until a peer has seen the operators' entries change, takes them
// from a reader, and returns the revision up to which they were read: zero where no
// reader has them, and the store is to be asked.
func (e *Edge) operatorsOfReader(ctx context.Context, at ggscore.StoreRevision) ggscore.StoreRevision {
	if !e.operatorsBehind(at) && (!pauseOr(ctx, readerCheck, e.pokeOperators) || !e.operatorsBehind(at)) {
		return at
	}
	es, next, ok := e.operatorsFromReader(ctx, at)
	if !ok {
		return 0
	}
	e.takeOperators(next, es)
	return next
}

// operators returns the operators' entries that changed after the revision, or
// all for zero.
func (e *Edge) operators(ctx context.Context, at ggscore.StoreRevision) ([]ggscore.Entry, ggscore.StoreRevision, error) {
	if at == 0 {
		return e.Store.Snapshot(ctx, e.options.Keys.Operators, false)
	}
	return e.Store.Watch(ctx, e.options.Keys.Operators, at, ggsgossip.WatchWait(e.watchers(), rand.Float64()))
}

// operatorsOrPoke is operators, and reads all anew when a peer has seen a change
// that this VM's watch doesn't tell: its connection may have gone silent.
func (e *Edge) operatorsOrPoke(ctx context.Context, at *ggscore.StoreRevision) ([]ggscore.Entry, ggscore.StoreRevision, error) {
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	poked := make(chan bool, 1)
	go func() {
		select {
		case <-e.pokeOperators:
			poked <- true
			cancel()
		case <-c.Done():
			poked <- false
		}
	}()
	es, next, err := e.operators(c, *at)
	cancel()
	if <-poked && err != nil && ctx.Err() == nil {
		*at = 0
		return e.operators(ctx, 0)
	}
	return es, next, err
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
	for _, n := range es {
		e.operatedAt = max(e.operatedAt, n.Revision)
	}
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
			return pause(ctx, pokePause-e.sinceList())
		}
	}
}

// sinceList returns the time since this VM had the list.
func (e *Edge) sinceList() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Now().Sub(e.listGot)
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
		if read > 0 && e.poked() && e.listFromReader(ctx) {
			if !e.waitForList(ctx) {
				return nil
			}
			continue
		}
		es, at, err := e.Store.Snapshot(ctx, e.options.Keys.Instances, false)
		e.stats.Store.Add(1)
		e.dependency(&away, err == nil, "instances", err)
		if err != nil {
			failures++
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
	e.entries[e.options.Keys.Instances] = es
	if at > 0 {
		e.listOwn = e.Now()
	}
	e.mu.Unlock()
	e.setList(ctx, list, at, 0)
}

// setList takes the list of endpoints as it stood at a revision, zero where that isn't
// known, and so long ago.
func (e *Edge) setList(ctx context.Context, list []ggscore.Instance, at ggscore.StoreRevision, age time.Duration) {
	e.mu.Lock()
	change := e.table.SetInstances(list)
	now := e.Now()
	e.keeper.SetListed(now, list)
	e.listGot = now
	if at > 0 {
		e.listRead = max(e.listRead, at)
		if seen := now.Add(-age); seen.After(e.listSeen) {
			e.listSeen = seen
		}
	}
	// A VM that was told of one change may see another: it tells its own reading,
	// and those who have read as much already find nothing new and tell nothing.
	if change.Any && at > 0 {
		e.listedAt = e.listRead
	}
	e.listed = true
	e.setWorkers(ctx)
	e.mu.Unlock()
	e.forget(change, at)
}

// forget logs which endpoints leave and went, and forgets the latter.
func (e *Edge) forget(c ggsplace.Change, at ggscore.StoreRevision) {
	for _, l := range c.Leaving {
		_ = level.Info(e.Log).Log("event", ggslog.EventEndpointLeaving, "endpoint", l.ID, "service", l.Service, "revision", at)
	}
	for _, g := range c.Gone {
		_ = level.Info(e.Log).Log("event", ggslog.EventEndpointGone, "endpoint", g.ID, "addr", g.Addr)
		e.Pool.Forget(g.Addr)
		e.mu.Lock()
		e.turns.Remove(g.ID)
		e.mu.Unlock()
	}
}
