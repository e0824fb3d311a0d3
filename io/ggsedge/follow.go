package ggsedge

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdefect"
	"greengageslip/core/ggsgossip"
	"greengageslip/core/ggsplace"
	"greengageslip/core/ggsregistry"
	"greengageslip/io/ggslog"
)

const (
	// listPollInterval is the minimum pause between checks of the list's age.
	listPollInterval = 50 * time.Millisecond
	// minResyncInterval is the minimum time between resyncs of the list triggered by peers.
	minResyncInterval = 300 * time.Millisecond
)

// pause waits for d. It returns false if the context ends first.
func pause(ctx context.Context, d time.Duration) bool { return pauseOrWake(ctx, d, nil) }

// pauseOrWake is pause, ended early by a message on wake.
func pauseOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-wake:
		return true
	case <-ctx.Done():
		return false
	}
}

// livePeers returns the VMs whose last heartbeat is younger than peerTimeout.
func (e *Edge) livePeers() []ggscore.VMID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.livePeersLocked()
}

// livePeersLocked is livePeers with Edge.mu held.
func (e *Edge) livePeersLocked() []ggscore.VMID {
	now := e.Now()
	var vms []ggscore.VMID
	for vm, p := range e.peers {
		if now.Sub(p.lastSeen) < peerTimeout {
			vms = append(vms, vm)
		}
	}
	return vms
}

// waitForList waits until the list of endpoints has to be read: a peer read other entries, the last
// read by any VM is older than this VM's limit, or this VM's own last read is too old. It returns false if the context ends
// first.
func (e *Edge) waitForList(ctx context.Context) bool {
	limit := e.listLimit()
	for {
		left := min(limit-e.listAge(), e.untilListDue(), e.untilListResync())
		if left <= 0 {
			return true
		}
		if !pauseOrWake(ctx, max(left, listPollInterval), e.listNotified) {
			return false
		}
		if e.listBehind() {
			return pause(ctx, minResyncInterval-e.sinceListRead())
		}
	}
}

// untilListResync returns the time until this VM reads the list even if no peer has announced
// anything.
func (e *Edge) untilListResync() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := len(e.entries[e.options.Keys.Instances])
	return ggsgossip.ResyncInterval(n) - e.Now().Sub(e.listReadTime)
}

// untilListDue returns the time until the registry is due, which is when the list may change
// although no entry of the store has changed.
func (e *Edge) untilListDue() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	due := e.registry.Due(now)
	if due.IsZero() {
		return math.MaxInt64
	}
	return due.Sub(now)
}

// listLimit returns the age of the list at which this VM reads the list. It differs between VMs, so
// that usually one VM reads the list and announces changes to the others.
func (e *Edge) listLimit() time.Duration {
	live := e.livePeers()
	if len(live) == 0 {
		return ggsgossip.AloneReadAge()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.node.UsesRelays() {
		return ggsgossip.ReadAge(ggsgossip.Rank(e.options.VM, live), rand.Float64())
	}
	relays := e.node.AllRelays(e.Now())
	if !slices.Contains(relays, e.options.VM) {
		return ggsgossip.FollowerReadAge(rand.Float64())
	}
	return ggsgossip.ReadAge(ggsgossip.Rank(e.options.VM, relays), rand.Float64())
}

// sinceListRead returns the time since this VM read the list.
func (e *Edge) sinceListRead() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Now().Sub(e.listReadTime)
}

// listAge returns the time since this VM or a peer read the list.
func (e *Edge) listAge() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Now().Sub(e.listObserved)
}

// listBehind reports whether this VM's list of endpoints is out of date: a peer read other entries
// later, or the store's epoch changed (a restore from an older copy) after the list was
// last read.
func (e *Edge) listBehind() bool {
	epoch := e.epochs.current()
	e.mu.Lock()
	defer e.mu.Unlock()
	read := e.listProgress.ReadAt()
	return read.Before(e.listProgress.Newest()) || read.Epoch < epoch
}

// pauseFailed waits for the backoff after a number of consecutive failed calls of the store.
func (e *Edge) pauseFailed(ctx context.Context, failures int) bool {
	return pause(ctx, e.retryPause(failures))
}

// retryPause returns the backoff after a number of consecutive failed calls of the store.
func (e *Edge) retryPause(failures int) time.Duration {
	return ggsgossip.RetryPause(failures, e.started(), rand.Float64())
}

// peerTimeout is the age of a peer's last heartbeat from which the peer counts as unreachable.
const peerTimeout = time.Second

// logDependency logs when a part of the store becomes unreachable or reachable again.
func (e *Edge) logDependency(lost *bool, ok bool, what string, err error) {
	switch {
	case ok && *lost:
		_ = level.Info(e.Log).Log("event", ggslog.EventDependencyRegained, "dependency", "store", "part", what)
	case !ok && !*lost:
		_ = level.Warn(e.Log).Log("event", ggslog.EventDependencyLost, "dependency", "store", "part", what, "err", err)
	}
	*lost = !ok
}

// logReadFailed logs the first, second, fourth, eighth and so on of consecutive failed reads.
func (e *Edge) logReadFailed(part string, failures int, err error) {
	if failures&(failures-1) == 0 {
		_ = level.Warn(e.Log).Log("event", ggslog.EventReadFailed, "part", part, "failures", failures, "err", err)
	}
}

// followInstances reads the list of endpoints whenever it is due.
func (e *Edge) followInstances(ctx context.Context) error {
	lost, failures := false, 0
	var read ggscore.StorePosition
	for ctx.Err() == nil {
		r, err := e.readList(ctx)
		e.logDependency(&lost, err == nil, "instances", err)
		if err != nil {
			failures++
			e.logReadFailed("instances", failures, err)
			if !e.pauseFailed(ctx, failures) {
				return nil
			}
			continue
		}
		failures = 0
		if !r.at.Before(read) {
			read = r.at
			e.setInstances(ctx, r)
		} else {
			_ = level.Warn(e.Log).Log("event", ggslog.EventReadingDropped, "part", "instances", "revision", r.at.Revision, "last", read.Revision)
		}
		if !e.waitForList(ctx) {
			return nil
		}
	}
	return nil
}

// readList reads the list of endpoints, from a relay of this VM's failure domain if a peer has read
// other entries, or if the relays read the list.
func (e *Edge) readList(ctx context.Context) (partReading, error) {
	e.mu.Lock()
	read := e.listProgress.ReadAt()
	wanted := e.listProgress.Newest().Max(e.epochs.start()).Max(read)
	relaysRead := e.Now().Sub(e.listObserved) < ggsgossip.FollowerReadAge(0)
	e.mu.Unlock()
	if !read.IsZero() && (read.Before(wanted) || relaysRead) && e.isFollower() {
		if r, err := e.readFromRelay(ctx, e.options.Keys.Instances, wanted); err == nil {
			return r, nil
		}
	}
	es, at, err := e.Store.Snapshot(ctx, e.options.Keys.Instances, false)
	return partReading{entries: es, at: at, read: e.Now()}, err
}

// setInstances applies a reading of the list of endpoints. The reading's position is zero if
// it came from a seed.
func (e *Edge) setInstances(ctx context.Context, r partReading) {
	es, at := r.entries, r.at
	readable := make([]ggsregistry.Entry, 0, len(es))
	list := make([]ggscore.Instance, 0, len(es))
	var defects []ggsdefect.Defect
	vms := e.vmAddrs()
	for _, n := range es {
		i, err := e.Codec.Instance(n)
		if err == nil && vms[i.Addr] {
			err = &VMAddrError{Addr: i.Addr}
		}
		if err != nil {
			defects = append(defects, defectOf(n, err))
			continue
		}
		readable = append(readable, ggsregistry.Entry{Instance: i, Revision: n.Revision})
		list = append(list, i)
	}
	e.mu.Lock()
	if !at.IsZero() {
		list = e.registry.Read(e.Now(), at, readable)
	}
	digest := ggsregistry.DigestOf(readable)
	change := e.table.SetInstances(r.read, list)
	e.issuer.SetInstances(list)
	e.setPathEndpoints()
	e.ownership.SetListed(e.Now(), list)
	if !at.IsZero() {
		e.listProgress.Read(at, digest)
		e.recordResync()
		e.listReadTime = r.read
		if r.read.After(e.listObserved) {
			e.listObserved = r.read
		}
	}
	e.listed = true
	e.entries[e.options.Keys.Instances] = es
	e.setWorkers(ctx)
	if e.node.UsesRelays() {
		e.setTurnEndpoints(list)
	}
	e.mu.Unlock()
	e.replaceDefects(e.options.Keys.Instances, defects)
	e.origins.ObserveList(list)
	e.recordGone(change)
	e.endpointsChanged(change, at)
}

// vmAddrs returns the addresses of this VM and its peers. Requests to one of them would go round.
func (e *Edge) vmAddrs() map[netip.AddrPort]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	as := map[netip.AddrPort]bool{}
	add := func(ip netip.Addr) {
		for _, a := range []netip.AddrPort{e.options.CallersAddr, e.options.ControlAddr, e.options.DatagramAddr} {
			as[netip.AddrPortFrom(ip, a.Port())] = true
		}
	}
	add(e.options.ControlAddr.Addr())
	for _, p := range e.peers {
		add(p.controlAddr.Addr())
	}
	return as
}

// endpointsChanged logs endpoints that leave or are gone, and drops what is kept for the latter.
func (e *Edge) endpointsChanged(change ggsplace.Change, at ggscore.StorePosition) {
	for _, l := range change.Leaving {
		_ = level.Info(e.Log).Log("event", ggslog.EventEndpointLeaving, "endpoint", l.ID, "service", l.Service, "revision", at.Revision)
	}
	for _, g := range change.Removed {
		_ = level.Info(e.Log).Log("event", ggslog.EventEndpointGone, "endpoint", g.ID, "addr", g.Addr)
		e.closeIdle(g.Addr)
		e.mu.Lock()
		e.turns.Remove(g.ID)
		e.limits.Remove(g.ID)
		e.mu.Unlock()
	}
}

// closeIdle closes the idle connections to an endpoint that is gone.
func (e *Edge) closeIdle(addr netip.AddrPort) {
	e.Pool.CloseIdle(addr)
	if e.OrderPool != nil {
		e.OrderPool.CloseIdle(addr)
	}
}
