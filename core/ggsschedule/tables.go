package ggsschedule

import (
	"container/heap"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggspopularity"
	"greengageslip/core/ggsqueue"
)

const (
	// minTrackedRate is the popularity, in arrivals a second, below which an idle adapter's
	// entry may be removed.
	minTrackedRate = 0.0005
	// sweepsPerInsert is the number of adapter entries that are checked for removal at each new
	// one.
	sweepsPerInsert = 2
)

// A replicaState is the known state of an adapter on a runner.
type replicaState int

const (
	// stateGone holds no adapter slot. The entry stays until a newer report arrives, so
	// that a delayed report doesn't show the adapter as resident again.
	stateGone replicaState = iota
	// stateReserved waits for the slot of an adapter that is being unloaded.
	stateReserved
	stateLoading
	stateResident
	stateUnloading
	// stateLoadUncertain means that the adapter may be resident or may still be loaded.
	stateLoadUncertain
	// stateUnloadUncertain means that the adapter may be gone or may still be unloaded.
	stateUnloadUncertain
)

// holdsSlot reports whether the state occupies one of the runner's adapter slots.
func (t replicaState) holdsSlot() bool { return t >= stateLoading }

// A replica is one adapter on one runner.
type replica struct {
	adapter  *adapter
	endpoint *endpoint
	state    replicaState
	// since is when the state began.
	since time.Time
	// used is when a request was last dispatched to the replica.
	used time.Time
	// running counts this owner's requests on the replica.
	running int
	// foreignRuns counts runs that occupy slots of the engine but aren't attributed to a
	// request of this owner.
	foreignRuns int
	// pinned is set if runs may be active that this owner doesn't know of. Only a report
	// that is newer than pinnedAt and shows the adapter idle clears it.
	pinned   bool
	pinnedAt time.Time
	// interrupted is set if the engine restarted, or the ownership began again, while an
	// order was in flight.
	interrupted bool
	// inTransit is set if the load counts against the weight store's limit.
	inTransit bool
	// successor is the reserved replica that gets this replica's slot.
	successor *replica
	// reported marks the replicas that the current report names.
	reported bool
}

// protected reports whether an earlier owner may still use the replica.
func (r *replica) protected() bool { return r.endpoint.protects(r.adapter.ref) }

// An endpoint is a runner or an instance of a plain service.
type endpoint struct {
	spec     ggscore.Endpoint
	mode     ggscore.OwnerMode
	service  *service
	replicas []*replica
	running  []*job
	// protectedRefs holds the adapters that may not be evicted.
	protectedRefs map[ggscore.AdapterRef]bool
	incarnation   string
	// ownedAt is when the ownership last began.
	ownedAt  time.Time
	reportAt time.Time
	// failures counts consecutive failed runs; no request is dispatched before pausedUntil.
	failures    int
	pausedUntil time.Time
	removed     bool
	// bound counts the queued jobs that a baseline policy bound to the endpoint.
	bound int
}

// foreignRuns counts the slots that runs of other owners occupy.
func (e *endpoint) foreignRuns() int {
	n := 0
	for _, r := range e.replicas {
		n += r.foreignRuns
	}
	return n
}

// freeSlots returns the number of free slots for requests.
func (e *endpoint) freeSlots() int { return e.spec.Slots - len(e.running) - e.foreignRuns() }

// freeAdapterSlots returns the number of free slots for adapters.
func (e *endpoint) freeAdapterSlots() int {
	n := e.spec.AdapterSlots
	for _, r := range e.replicas {
		if r.state.holdsSlot() {
			n--
		}
	}
	return n
}

// protects reports whether ref may not be evicted.
func (e *endpoint) protects(ref ggscore.AdapterRef) bool {
	return len(e.protectedRefs) > 0 && e.protectedRefs[ref]
}

// accepts reports whether new requests may be dispatched to the endpoint at all.
func (e *endpoint) accepts(now time.Time) bool {
	return !e.removed && !e.spec.Leaving && e.mode != ggscore.ModeNone && !now.Before(e.pausedUntil)
}

// serves reports whether requests for ref may be dispatched to the endpoint.
func (e *endpoint) serves(now time.Time, ref ggscore.AdapterRef) bool {
	return e.accepts(now) && (e.mode == ggscore.ModeFull || e.protects(ref))
}

// allowsLoads reports whether adapters may be loaded on, or evicted from, the endpoint.
// Before the first report of an ownership the resident adapters are unknown: the engine
// would refuse a load if its adapter slots are full, and an eviction could remove an adapter
// that an earlier owner's request uses.
func (e *endpoint) allowsLoads(now time.Time) bool {
	known := !e.reportAt.IsZero() && !e.reportAt.Before(e.ownedAt)
	return e.accepts(now) && e.mode == ggscore.ModeFull && known
}

// find returns the adapter's replica on the endpoint, or nil.
func (e *endpoint) find(a *adapter) *replica {
	for _, r := range a.replicas {
		if r.endpoint == e {
			return r
		}
	}
	return nil
}

// An adapter is an adapter at one version, as served by the runners of one service.
type adapter struct {
	service  *service
	ref      ggscore.AdapterRef
	meter    ggspopularity.Meter
	queue    ggsqueue.Queue[*job]
	replicas []*replica
	// queuedSum is the sum of the queued requests' start times, as offsets from the
	// scheduler's origin. It yields their total wait without a loop.
	queuedSum time.Duration
	// urgent counts queued requests that don't wait for a fuller batch.
	urgent int
	// failures counts consecutive failed loads; no load is ordered before retryAt.
	failures int
	retryAt  time.Time
	// waiting is the position in service.waiting, or -1.
	waiting int
	// inRefill is set if the adapter is in service.refill.
	inRefill bool
	// bound counts, for each endpoint, the queued jobs that a baseline policy (any but
	// PolicyCost) bound to it. boundCount is their total.
	bound      map[*endpoint]int
	boundCount int
	// jobs counts the adapter's requests that haven't ended.
	jobs int
}

// idle reports whether removing the entry would lose nothing but a popularity below
// minTrackedRate.
func (a *adapter) idle(now time.Time) bool {
	used := len(a.replicas) > 0 || a.jobs > 0 || a.inRefill || a.needsNoReplica()
	return !used && a.rate(now) < minTrackedRate
}

// needsNoReplica reports whether requests need no resident adapter and run on any
// endpoint.
func (a *adapter) needsNoReplica() bool { return a.ref.IsZero() || a.service.kind == ggscore.KindPlain }

// A service holds the endpoints and adapters of one service.
type service struct {
	name      ggscore.Service
	kind      ggscore.ServiceKind
	endpoints []*endpoint
	adapters  map[ggscore.AdapterRef]*adapter
	// allAdapters lists the adapters; sweepIndex is the position that was checked last.
	allAdapters []*adapter
	sweepIndex  int
	// waiting lists the adapters with queued requests.
	waiting []*adapter
	// noReplicaNeeded lists the adapters whose requests run on any endpoint.
	noReplicaNeeded []*adapter
	queued          int
	// backlog is the sum of the inverse wait targets of the adapters that wait for their
	// first replica. It was counted at backlogAt and includes those added since.
	backlog   float64
	backlogAt time.Time
	// loadRate is the predicted rate of loads at backlogAt. loadCount is the decayed number
	// of loads that were started, as of loadCountAt.
	loadRate    float64
	loadCount   float64
	loadCountAt time.Time
	// standingSince is when the load queue began to exceed the wait target.
	standingSince time.Time
	// drift detects shifts of popularity. evicted is the mean popularity of recently
	// evicted adapters.
	drift   ggspopularity.Drift
	evicted float64
	// refill lists the adapters that were lost from a runner by its restart or removal, to be
	// loaded again.
	refill []*adapter
	// runTime is the mean time of a run, or zero while unknown.
	runTime time.Duration
}

// adapter returns the entry of ref and creates it if needed. Beyond limit entries, each
// new entry causes sweepsPerInsert old ones to be checked and removed if idle.
// Otherwise 200,000 adapters that are each requested once a day would fill the memory.
func (v *service) adapter(now time.Time, ref ggscore.AdapterRef, limit int) *adapter {
	if a := v.adapters[ref]; a != nil {
		return a
	}
	for range sweepsPerInsert {
		v.sweepIdle(now, limit)
	}
	a := &adapter{service: v, ref: ref, waiting: -1}
	v.adapters[ref] = a
	v.allAdapters = append(v.allAdapters, a)
	if a.needsNoReplica() {
		v.noReplicaNeeded = append(v.noReplicaNeeded, a)
	}
	return a
}

// sweepIdle checks the next entry and removes it if it is idle.
func (v *service) sweepIdle(now time.Time, limit int) {
	n := len(v.allAdapters)
	if n <= limit {
		return
	}
	v.sweepIndex = (v.sweepIndex + 1) % n
	a := v.allAdapters[v.sweepIndex]
	if !a.idle(now) {
		return
	}
	delete(v.adapters, a.ref)
	v.allAdapters[v.sweepIndex] = v.allAdapters[n-1]
	v.allAdapters[n-1] = nil
	v.allAdapters = v.allAdapters[:n-1]
}

// A job is the scheduler's state of one request that was submitted and hasn't ended.
type job struct {
	item     ggsqueue.Item[*job]
	request  *ggscore.Request
	adapter  *adapter
	replica  *replica
	endpoint *endpoint
	// bound is the only endpoint on which a baseline policy allows the job, or nil.
	bound *endpoint
	// queuedAt is when the wait began; batchUntil ends the wait for a fuller batch.
	queuedAt   time.Time
	batchUntil time.Time
	deadline   time.Time
	startedAt  time.Time
	// waitTarget is the acceptable wait for a load, or zero until it is computed.
	waitTarget time.Duration
	batching   bool
	cancelled  bool
	// dispatches counts the dispatch attempts.
	dispatches int
	// position is the index in endpoint.running.
	position int
	// timer is the index in the heap of timers, or -1.
	timer   int
	timerAt time.Time
	next    *job
}

// A timers is a heap of queued jobs ordered by timerAt.
type timers []*job

var _ heap.Interface = (*timers)(nil)

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool {
	if !t[i].timerAt.Equal(t[j].timerAt) {
		return t[i].timerAt.Before(t[j].timerAt)
	}
	return t[i].item.Seq < t[j].item.Seq
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	n := len(*t) - 1
	j := (*t)[n]
	(*t)[n] = nil
	*t = (*t)[:n]
	j.timer = -1
	return j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	j, ok := x.(*job)
	if !ok {
		return
	}
	j.timer = len(*t)
	*t = append(*t, j)
}

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].timer = i
	t[j].timer = j
}
