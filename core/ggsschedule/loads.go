package ggsschedule

import (
	"math"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

const (
	// loadRetryBase and loadRetryLimit bound the backoff after failed loads of one adapter.
	loadRetryBase  = 250 * time.Millisecond
	loadRetryLimit = 20 * time.Second
	// maxDoublings prevents an overflow of the backoff.
	maxDoublings = 10
	// goneRetention is how long the entry of an evicted adapter is kept if the runner
	// doesn't report.
	goneRetention = 30 * time.Second
	// failureSmoothing is the inverse weight of a new sample in the fraction of failed
	// loads. The predicted fraction of successful loads is at least minSuccessRate.
	failureSmoothing = 32
	minSuccessRate   = 0.1
)

// A bucket is the token bucket for this owner's share of the weight store's limits.
type bucket struct {
	share  ggscore.LoadShare
	tokens float64
	at     time.Time
	// inTransit counts loads that are ordered or reserved and haven't settled.
	inTransit int
	// reserved counts tokens held by loads that wait for an eviction. They still count
	// against the bucket's capacity. Otherwise the bucket could fill up during a slow
	// eviction, and the reserved load would exceed a full burst.
	reserved int
	// failureRate is the recent fraction of loads that failed.
	failureRate float64
}

// recordEnd updates the failure rate with the end of a load.
func (b *bucket) recordEnd(failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	b.failureRate += (x - b.failureRate) / failureSmoothing
}

// fill adds the tokens that accrued up to now. The bucket holds at most one second's
// worth, but at least one token, less the reserved tokens. The shares of all owners add
// up to the weight store's limit, so their bursts together are at most one second of
// that limit plus one load per owner.
func (b *bucket) fill(now time.Time) {
	d := now.Sub(b.at)
	if d <= 0 {
		return
	}
	b.at = now
	b.tokens += d.Seconds() * b.share.LoadsPerSecond
	b.capTokens()
}

// capTokens bounds the tokens to the burst.
func (b *bucket) capTokens() {
	burst := max(1, b.share.LoadsPerSecond)
	b.tokens = min(b.tokens, burst-float64(b.reserved))
}

// reservedAllowed reports whether a reserved load may be ordered now. The share may
// have shrunk since the reservation and hold fewer tokens than are reserved.
func (b *bucket) reservedAllowed(now time.Time) bool {
	b.fill(now)
	held := b.tokens + float64(b.reserved)
	return held >= 1 && b.share.LoadsPerSecond > 0 && b.inTransit <= b.share.InTransit
}

// ready reports whether a load may be ordered. The caller must have called fill.
func (b *bucket) ready() bool {
	return b.tokens >= 1 && b.share.LoadsPerSecond > 0 && b.inTransit < b.share.InTransit
}

// readyAt returns when the rate allows the next load. It returns the zero time if a
// load can start only after the share changes or another load ends.
func (b *bucket) readyAt(now time.Time) time.Time {
	if b.share.LoadsPerSecond <= 0 || b.inTransit >= b.share.InTransit {
		return time.Time{}
	}
	wait := max(0, 1-b.tokens) / b.share.LoadsPerSecond
	return now.Add(time.Duration(math.Ceil(wait * float64(time.Second))))
}

// successRate returns the recent fraction of loads that succeeded, at least
// minSuccessRate.
func (b *bucket) successRate() float64 { return max(1-b.failureRate, minSuccessRate) }

// LoadEnded reports the end of a load. A late report for a replica that is no longer
// loading is ignored.
func (s *Scheduler) LoadEnded(now time.Time, id ggscore.EndpointID, ref ggscore.AdapterRef, k ggscore.EndKind) []ggscore.Order {
	s.begin(now)
	r := s.pendingOrder(id, ref, stateLoading)
	if r == nil {
		return s.finish(now)
	}
	a, e := r.adapter, r.endpoint
	s.bucket.recordEnd(k != ggscore.EndDone)
	switch {
	case r.interrupted || k == ggscore.EndUnknown:
		r.interrupted = false
		r.setState(stateLoadUncertain, now)
	case k == ggscore.EndDone:
		s.settleLoad(r)
		r.setState(stateResident, now)
		a.failures = 0
		a.retryAt = time.Time{}
		s.drain(now, e)
	default:
		s.settleLoad(r)
		r.setState(stateGone, now)
		s.delayLoads(now, a)
	}
	return s.finish(now)
}

// SetLoadShare sets this owner's share of the weight store's limits.
func (s *Scheduler) SetLoadShare(now time.Time, h ggscore.LoadShare) []ggscore.Order {
	s.begin(now)
	s.bucket.fill(now)
	s.bucket.at = now
	s.bucket.share = h
	s.bucket.capTokens()
	return s.finish(now)
}

// UnloadEnded reports the end of an eviction. A late report for a replica that is no
// longer unloading is ignored.
func (s *Scheduler) UnloadEnded(now time.Time, id ggscore.EndpointID, ref ggscore.AdapterRef, k ggscore.EndKind) []ggscore.Order {
	s.begin(now)
	r := s.pendingOrder(id, ref, stateUnloading)
	if r == nil {
		return s.finish(now)
	}
	next := r.successor
	r.successor = nil
	switch {
	case r.interrupted || k == ggscore.EndUnknown:
		r.interrupted = false
		r.setState(stateUnloadUncertain, now)
	case k == ggscore.EndDone:
		r.setState(stateGone, now)
	default:
		r.setState(stateResident, now)
	}
	if next != nil && next.state == stateReserved {
		s.loadSuccessor(now, r, next)
	}
	s.drain(now, r.endpoint)
	return s.finish(now)
}

// delayLoads starts the backoff of an adapter after a failed load. It refuses the
// requests whose deadline is before the next load could finish.
func (s *Scheduler) delayLoads(now time.Time, a *adapter) {
	a.retryAt = now.Add(s.backoff(a.failures, loadRetryBase, loadRetryLimit))
	a.failures++
	if a.placementCount(now) > 0 {
		return
	}
	for _, j := range a.queued() {
		if a.retryAt.Add(s.options.LoadTime).After(j.deadline) {
			s.refuseQueued(now, j, "adapter load failed; next attempt is too late for the deadline")
		}
	}
}

// backoff returns a delay that doubles with each failure. Half of the delay is random,
// so adapters whose loads failed together are not retried together.
func (s *Scheduler) backoff(failures int, base, limit time.Duration) time.Duration {
	d := min(base<<min(failures, maxDoublings), limit)
	return d/2 + time.Duration(s.random.Int64N(int64(d/2)+1))
}

// cancelReserved cancels a reserved load that wasn't ordered and returns its token.
func (s *Scheduler) cancelReserved(now time.Time, r *replica) {
	s.settleLoad(r)
	s.bucket.fill(now)
	s.bucket.reserved--
	s.bucket.tokens++
	r.setState(stateGone, now)
}

// removeReplica removes a replica. lost says that it disappeared without an unload by this
// scheduler; its adapter is then added to service.refill, unless it needs no replica.
func (s *Scheduler) removeReplica(now time.Time, r *replica, lost bool) {
	if r.state == stateReserved {
		s.cancelReserved(now, r)
	}
	s.settleLoad(r)
	a, e := r.adapter, r.endpoint
	r.state = stateGone
	a.replicas = slices.DeleteFunc(a.replicas, func(o *replica) bool { return o == r })
	e.replicas = slices.DeleteFunc(e.replicas, func(o *replica) bool { return o == r })
	if lost && !a.inRefill && !a.needsNoReplica() {
		a.inRefill = true
		a.service.refill = append(a.service.refill, a)
	}
}

// load orders a load into a free slot. The caller must have taken the token and filled
// the bucket up to now.
func (s *Scheduler) load(now time.Time, r *replica) {
	s.bucket.reserved--
	r.setState(stateLoading, now)
	s.orders = append(s.orders, ggscore.Order{
		Kind:     ggscore.OrderLoad,
		Endpoint: r.endpoint.spec.ID,
		Adapter:  r.adapter.ref,
	})
}

// markMissing marks a replica as gone after the engine reported its adapter as missing.
func (s *Scheduler) markMissing(now time.Time, r *replica) {
	r.setState(stateGone, now)
	r.pinned = false
	r.foreignRuns = 0
}

// pendingOrder returns the replica that the end of an order refers to. It returns nil
// for a late end: the endpoint was removed, or the replica has left the given state.
func (s *Scheduler) pendingOrder(id ggscore.EndpointID, ref ggscore.AdapterRef, state replicaState) *replica {
	e := s.endpoints[id]
	if e == nil {
		return nil
	}
	a := e.service.adapters[ref]
	if a == nil {
		return nil
	}
	r := e.find(a)
	if r == nil || r.state != state {
		return nil
	}
	return r
}

// addReplica creates the entry of an adapter on an endpoint. A request that was
// dispatched before an engine restart may still be in transit to the engine and run on
// the adapter once it is loaded again. Requests that haven't ended therefore count as
// running on the new entry.
func (s *Scheduler) addReplica(now time.Time, a *adapter, e *endpoint, t replicaState) *replica {
	s.removeGone(now, e)
	r := &replica{adapter: a, endpoint: e, state: t, since: now, used: now}
	for _, j := range e.running {
		if j.adapter == a && !a.needsNoReplica() {
			j.replica = r
			r.running++
		}
	}
	a.replicas = append(a.replicas, r)
	e.replicas = append(e.replicas, r)
	return r
}

// removeGone removes entries of long gone adapters from a runner that doesn't report. A
// report that is still in flight is newer than goneRetention.
func (s *Scheduler) removeGone(now time.Time, e *endpoint) {
	for i := len(e.replicas) - 1; i >= 0; i-- {
		if r := e.replicas[i]; r.state == stateGone && now.Sub(r.since) > goneRetention {
			s.removeReplica(now, r, false)
		}
	}
}

// reserve takes a token for the load of an adapter on an endpoint.
func (s *Scheduler) reserve(now time.Time, a *adapter, e *endpoint) *replica {
	r := e.find(a)
	if r == nil {
		r = s.addReplica(now, a, e, stateReserved)
	}
	r.setState(stateReserved, now)
	r.used = now
	r.inTransit = true
	s.bucket.inTransit++
	s.bucket.tokens--
	s.bucket.reserved++
	return r
}

// settleLoad removes a load from the count of loads in transit.
func (s *Scheduler) settleLoad(r *replica) {
	if r.inTransit {
		r.inTransit = false
		s.bucket.inTransit--
	}
}

// loadSuccessor loads the reserved replica into the slot of an unloaded one. If the
// slot isn't free or the load isn't allowed any more, it returns the token.
func (s *Scheduler) loadSuccessor(now time.Time, r, next *replica) {
	if r.state == stateGone && s.bucket.reservedAllowed(now) && next.endpoint.allowsLoads(now) && next.endpoint.freeAdapterSlots() > 0 {
		s.load(now, next)
		return
	}
	s.cancelReserved(now, next)
}

// unload orders an eviction.
func (s *Scheduler) unload(now time.Time, r *replica) {
	r.setState(stateUnloading, now)
	s.orders = append(s.orders, ggscore.Order{
		Kind:     ggscore.OrderUnload,
		Endpoint: r.endpoint.spec.ID,
		Adapter:  r.adapter.ref,
	})
}

// setState sets the replica's state and the time at which the state began.
func (r *replica) setState(t replicaState, now time.Time) {
	r.state = t
	r.since = now
}

// queued returns the adapter's queued jobs in the order of their arrival.
func (a *adapter) queued() []*job {
	var all []*job
	for i := range a.queue.All {
		all = append(all, i.Value)
	}
	slices.SortFunc(all, func(x, y *job) int {
		if x.item.Seq < y.item.Seq {
			return -1
		}
		return 1
	})
	return all
}
