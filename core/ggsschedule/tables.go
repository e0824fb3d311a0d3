package ggsschedule

import (
	"container/heap"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggspopularity"
	"greengageslip/core/ggsqueue"
)

const (
	// forgetBelow is the popularity, in arrivals a second, below which an
	// adapter's entry may be forgotten.
	forgetBelow = 0.0005
	// forgetTries is the number of entries that are looked at for each new one.
	forgetTries = 2
)

// A replicaState says what is known of an adapter on a runner.
type replicaState int

const (
	// stateGone holds no slot. The entry stays until a newer report, so that a
	// late report doesn't bring the adapter back.
	stateGone replicaState = iota
	// stateReserved waits for the slot of an adapter that is being unloaded.
	stateReserved
	stateLoading
	stateResident
	stateUnloading
	// stateLoadUncertain: the adapter may be there, or may yet come.
	stateLoadUncertain
	// stateUnloadUncertain: the adapter may be gone, or may yet go.
	stateUnloadUncertain
)

// holdsSlot reports whether the state takes up one of the runner's slots.
func (t replicaState) holdsSlot() bool { return t >= stateLoading }

// A replica is one adapter on one runner.
type replica struct {
	adapter  *adapter
	endpoint *endpoint
	state    replicaState
	// since is when the state began.
	since time.Time
	// used is when a request was last dispatched to it.
	used time.Time
	// running counts our own requests on it.
	running int
	// foreign counts runs that hold slots of the engine though none of our
	// requests is known to be behind them.
	foreign int
	// pinned says that runs may go on that we don't know of. Only a report that
	// is newer than pinnedAt and shows the adapter idle ends it.
	pinned   bool
	pinnedAt time.Time
	// crossed says that the engine restarted, or that the ownership was in
	// doubt, while an order was under way.
	crossed bool
	// inTransit says that it counts against the weight store's limit.
	inTransit bool
	// successor is the reserved replica that gets this one's slot.
	successor *replica
	// seen marks the replicas that the report at hand names.
	seen bool
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
	// protection holds the refs that may not be evicted.
	protection  map[ggscore.AdapterRef]bool
	incarnation string
	// ownedAt is when the ownership began or was last in doubt.
	ownedAt  time.Time
	reportAt time.Time
	// failures counts failed runs in a row; no work is sent before openUntil.
	failures  int
	openUntil time.Time
	removed   bool
	// bound counts the waiting jobs that a baseline policy bound to it.
	bound int
}

// foreign counts the slots that runs of others hold.
func (e *endpoint) foreign() int {
	n := 0
	for _, r := range e.replicas {
		n += r.foreign
	}
	return n
}

// free returns the number of free slots for requests.
func (e *endpoint) free() int { return e.spec.Slots - len(e.running) - e.foreign() }

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
	return len(e.protection) > 0 && e.protection[ref]
}

// accepts reports whether new requests may go to the endpoint at all.
func (e *endpoint) accepts(now time.Time) bool {
	return !e.removed && !e.spec.Leaving && e.mode != ggscore.ModeNone && !now.Before(e.openUntil)
}

// serves reports whether requests for ref may go to the endpoint.
func (e *endpoint) serves(now time.Time, ref ggscore.AdapterRef) bool {
	return e.accepts(now) && (e.mode == ggscore.ModeFull || e.protects(ref))
}

// loads reports whether adapters may be loaded on, or evicted from, the
// endpoint. Before the first report of an ownership it isn't known what is
// there: a load would be refused for lack of room, and an eviction could hit an
// adapter that an earlier owner's request uses.
func (e *endpoint) loads(now time.Time) bool {
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

// An adapter is an adapter at one version, as one service's runners serve it.
type adapter struct {
	service  *service
	ref      ggscore.AdapterRef
	meter    ggspopularity.Meter
	queue    ggsqueue.Queue[*job]
	replicas []*replica
	// queuedSum is the sum of the waiting requests' start times, as offsets
	// from the scheduler's epoch: their total wait comes without a loop.
	queuedSum time.Duration
	// urgent counts waiting requests that don't wait for a fuller batch.
	urgent int
	// failures counts failed loads in a row; none is tried before retryAt.
	failures int
	retryAt  time.Time
	// waiting is the position in service.waiting, or -1.
	waiting int
	// listed says that the adapter stands in service.refill.
	listed bool
	// bound counts the waiting jobs that a baseline policy bound to each
	// endpoint, and boundCount all of them.
	bound      map[*endpoint]int
	boundCount int
	// jobs counts its requests that haven't ended.
	jobs int
}

// idle reports whether nothing would be lost with the entry but a popularity
// that has nearly faded.
func (a *adapter) idle(now time.Time) bool {
	used := len(a.replicas) > 0 || a.jobs > 0 || a.listed || a.anywhere()
	return !used && a.rate(now) < forgetBelow
}

// anywhere reports whether requests need no adapter to be resident.
func (a *adapter) anywhere() bool { return a.ref.IsZero() || a.service.kind == ggscore.KindPlain }

// A service holds the endpoints and adapters of one service.
type service struct {
	name      ggscore.Service
	kind      ggscore.ServiceKind
	endpoints []*endpoint
	adapters  map[ggscore.AdapterRef]*adapter
	// known lists the adapters, and hand is the one that was last looked at.
	known []*adapter
	hand  int
	// waiting lists the adapters with waiting requests.
	waiting []*adapter
	// everywhere lists the adapters whose requests run on any endpoint.
	everywhere []*adapter
	queued     int
	// backlog weighs the adapters that wait for their first replica by the
	// inverse of their patience, as of countedAt and with those that came since.
	backlog   float64
	countedAt time.Time
	// loadRate is the predicted rate of loads, as of countedAt; loads is the
	// decayed number of loads that were begun, as of loadsAt.
	loadRate float64
	loads    float64
	loadsAt  time.Time
	// standingAt is since when the queue for loads is longer than patience.
	standingAt time.Time
	// drift notices shifts of popularity; evicted is the mean popularity of
	// the adapters that were evicted lately.
	drift   ggspopularity.Drift
	evicted float64
	// refill lists adapters that a restart took from a runner.
	refill []*adapter
	// runTime is the mean time of a run, zero while unknown.
	runTime time.Duration
}

// adapter returns the entry of ref. It makes one if need be. Beyond limit
// entries each new one makes two old ones be looked at, and forgotten if idle:
// 200,000 adapters that are each asked for once a day would otherwise fill the
// memory.
func (v *service) adapter(now time.Time, ref ggscore.AdapterRef, limit int) *adapter {
	if a := v.adapters[ref]; a != nil {
		return a
	}
	for range forgetTries {
		v.forgetIdle(now, limit)
	}
	a := &adapter{service: v, ref: ref, waiting: -1}
	v.adapters[ref] = a
	v.known = append(v.known, a)
	if a.anywhere() {
		v.everywhere = append(v.everywhere, a)
	}
	return a
}

// forgetIdle looks at the next known adapter, and forgets it if it is idle.
func (v *service) forgetIdle(now time.Time, limit int) {
	n := len(v.known)
	if n <= limit {
		return
	}
	v.hand = (v.hand + 1) % n
	a := v.known[v.hand]
	if !a.idle(now) {
		return
	}
	delete(v.adapters, a.ref)
	v.known[v.hand] = v.known[n-1]
	v.known[n-1] = nil
	v.known = v.known[:n-1]
}

// A job is one request that was submitted and hasn't ended.
type job struct {
	item     ggsqueue.Item[*job]
	request  *ggscore.Request
	adapter  *adapter
	replica  *replica
	endpoint *endpoint
	// bound is the only endpoint that a baseline policy allows.
	bound *endpoint
	// queuedAt is when the wait began; due ends the wait for a fuller batch.
	queuedAt  time.Time
	due       time.Time
	deadline  time.Time
	startedAt time.Time
	// patience is the wait for a load that it is worth, zero until it is asked.
	patience  time.Duration
	gathering bool
	cancelled bool
	// dispatches counts the runs that were tried.
	dispatches int
	// position is the index in endpoint.running.
	position int
	// timer is the index in the heap of timers, or -1.
	timer   int
	timerAt time.Time
	next    *job
}

// A timers is a heap of waiting jobs by the time of their next timer.
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
