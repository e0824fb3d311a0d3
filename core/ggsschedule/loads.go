package ggsschedule

import (
	"math"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

const (
	// loadRetryBase and loadRetryLimit bound the pause after failed loads of
	// one adapter.
	loadRetryBase  = 250 * time.Millisecond
	loadRetryLimit = 20 * time.Second
	// maxDoublings keeps the back-off from overflowing.
	maxDoublings = 10
	// goneKept is how long an evicted adapter is remembered without a report.
	goneKept = 30 * time.Second
	// failingWeight is the weight of a new sample in the fraction of failed
	// loads, and leastSuccess bounds what is made of it.
	failingWeight = 32
	leastSuccess  = 0.1
)

// A bucket counts this owner's share of the weight store's limits.
type bucket struct {
	share  ggscore.LoadShare
	tokens float64
	at     time.Time
	// inTransit counts loads that are ordered or reserved and not settled.
	inTransit int
	// reserved counts tokens taken by loads that wait for an eviction. They
	// count as still in the bucket: were it to fill up behind them, a slow
	// eviction would let a load come on top of a full burst.
	reserved int
	// failing is the recent fraction of loads that failed.
	failing float64
}

// ended learns from the end of a load how many fail.
func (b *bucket) ended(failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	b.failing += (x - b.failing) / failingWeight
}

// fill adds the tokens that came up to now. The bucket holds one token, or one
// second's worth when that is more: shares of all owners add up to the weight
// store's limit, and so do their bursts.
func (b *bucket) fill(now time.Time) {
	d := now.Sub(b.at)
	if d <= 0 {
		return
	}
	b.at = now
	b.tokens += d.Seconds() * b.share.LoadsPerSecond
	b.clip()
}

// clip bounds the tokens to the burst.
func (b *bucket) clip() {
	burst := max(1, b.share.LoadsPerSecond)
	b.tokens = min(b.tokens, burst-float64(b.reserved))
}

// allowed reports whether a load that was reserved may be ordered. The share may
// have shrunk since then, and hold fewer tokens than are reserved.
func (b *bucket) allowed(now time.Time) bool {
	b.fill(now)
	held := b.tokens + float64(b.reserved)
	return held >= 1 && b.share.LoadsPerSecond > 0 && b.inTransit <= b.share.InTransit
}

// ready reports whether a load may be ordered. The bucket has been filled.
func (b *bucket) ready() bool {
	return b.tokens >= 1 && b.share.LoadsPerSecond > 0 && b.inTransit < b.share.InTransit
}

// readyAt returns when the rate allows the next load, or the zero time when it
// is for the end of another load to allow it.
func (b *bucket) readyAt(now time.Time) time.Time {
	if b.share.LoadsPerSecond <= 0 || b.inTransit >= b.share.InTransit {
		return time.Time{}
	}
	wait := max(0, 1-b.tokens) / b.share.LoadsPerSecond
	return now.Add(time.Duration(math.Ceil(wait * float64(time.Second))))
}

// success returns the recent fraction of loads that succeeded.
func (b *bucket) success() float64 { return max(1-b.failing, leastSuccess) }

// LoadEnded takes the end of a load.
func (s *Scheduler) LoadEnded(now time.Time, id ggscore.EndpointID, ref ggscore.AdapterRef, k ggscore.EndKind) []ggscore.Order {
	s.begin(now)
	r := s.pendingOrder(id, ref, stateLoading)
	if r == nil {
		return s.finish(now)
	}
	a, e := r.adapter, r.endpoint
	s.bucket.ended(k != ggscore.EndDone)
	switch {
	case r.crossed || k == ggscore.EndUnknown:
		r.crossed = false
		r.become(stateLoadUncertain, now)
	case k == ggscore.EndDone:
		s.settleLoad(r)
		r.become(stateResident, now)
		a.failures = 0
		a.retryAt = time.Time{}
		s.drain(now, e)
	default:
		s.settleLoad(r)
		r.become(stateGone, now)
		s.backOff(now, a)
	}
	return s.finish(now)
}

// SetLoadShare sets this owner's share of the weight store's limits.
func (s *Scheduler) SetLoadShare(now time.Time, h ggscore.LoadShare) []ggscore.Order {
	s.begin(now)
	s.bucket.fill(now)
	s.bucket.at = now
	s.bucket.share = h
	s.bucket.clip()
	return s.finish(now)
}

// UnloadEnded takes the end of an eviction.
func (s *Scheduler) UnloadEnded(now time.Time, id ggscore.EndpointID, ref ggscore.AdapterRef, k ggscore.EndKind) []ggscore.Order {
	s.begin(now)
	r := s.pendingOrder(id, ref, stateUnloading)
	if r == nil {
		return s.finish(now)
	}
	next := r.successor
	r.successor = nil
	switch {
	case r.crossed || k == ggscore.EndUnknown:
		r.crossed = false
		r.become(stateUnloadUncertain, now)
	case k == ggscore.EndDone:
		r.become(stateGone, now)
	default:
		r.become(stateResident, now)
	}
	if next != nil && next.state == stateReserved {
		s.succeed(now, r, next)
	}
	s.drain(now, r.endpoint)
	return s.finish(now)
}

// backOff pauses the loads of an adapter after a failed one, and refuses the
// requests that can't wait that long.
func (s *Scheduler) backOff(now time.Time, a *adapter) {
	a.retryAt = now.Add(s.backoff(a.failures, loadRetryBase, loadRetryLimit))
	a.failures++
	if a.placedOn(now) > 0 {
		return
	}
	for _, j := range a.queued() {
		if a.retryAt.Add(s.options.LoadTime).After(j.deadline) {
			s.refuseQueued(now, j, "adapter could not be loaded in time")
		}
	}
}

// backoff returns a pause that doubles with each failure, with jitter: half of
// it is random, so that adapters that failed together are not tried together.
func (s *Scheduler) backoff(failures int, base, limit time.Duration) time.Duration {
	d := min(base<<min(failures, maxDoublings), limit)
	return d/2 + time.Duration(s.random.Int64N(int64(d/2)+1))
}

// cancelReserved gives the token of a load that wasn't ordered back.
func (s *Scheduler) cancelReserved(now time.Time, r *replica) {
	s.settleLoad(r)
	s.bucket.fill(now)
	s.bucket.reserved--
	s.bucket.tokens++
	r.become(stateGone, now)
}

// drop forgets a replica. One that was lost without our doing is listed for
// loading again.
func (s *Scheduler) drop(now time.Time, r *replica, lost bool) {
	if r.state == stateReserved {
		s.cancelReserved(now, r)
	}
	s.settleLoad(r)
	a, e := r.adapter, r.endpoint
	r.state = stateGone
	a.replicas = slices.DeleteFunc(a.replicas, func(o *replica) bool { return o == r })
	e.replicas = slices.DeleteFunc(e.replicas, func(o *replica) bool { return o == r })
	if lost && !a.listed && !a.anywhere() {
		a.listed = true
		a.service.refill = append(a.service.refill, a)
	}
}

// load orders a load into a free slot. The token was taken, and the bucket is
// filled up to now.
func (s *Scheduler) load(now time.Time, r *replica) {
	s.bucket.reserved--
	r.become(stateLoading, now)
	s.orders = append(s.orders, ggscore.Order{
		Kind:     ggscore.OrderLoad,
		Endpoint: r.endpoint.spec.ID,
		Adapter:  r.adapter.ref,
	})
}

// lose forgets a replica that the engine turned out not to hold.
func (s *Scheduler) lose(now time.Time, r *replica) {
	r.become(stateGone, now)
	r.pinned = false
	r.foreign = 0
}

// pendingOrder returns the replica that an order's end is about, or nil when the
// end comes late: the endpoint was removed, or the order is forgotten.
func (s *Scheduler) pendingOrder(id ggscore.EndpointID, ref ggscore.AdapterRef, want replicaState) *replica {
	e := s.endpoints[id]
	if e == nil {
		return nil
	}
	a := e.service.adapters[ref]
	if a == nil {
		return nil
	}
	r := e.find(a)
	if r == nil || r.state != want {
		return nil
	}
	return r
}

// place makes an entry for an adapter on an endpoint. A request may still be on
// its way to the engine since before a restart, and run on the adapter once it
// is back; requests that haven't ended therefore pin the new entry.
func (s *Scheduler) place(now time.Time, a *adapter, e *endpoint, t replicaState) *replica {
	s.sweepGone(now, e)
	r := &replica{adapter: a, endpoint: e, state: t, since: now, used: now}
	for _, j := range e.running {
		if j.adapter == a && !a.anywhere() {
			j.replica = r
			r.running++
		}
	}
	a.replicas = append(a.replicas, r)
	e.replicas = append(e.replicas, r)
	return r
}

// sweepGone forgets adapters that are long gone from a runner that doesn't
// report. A report that is still on its way is younger than that.
func (s *Scheduler) sweepGone(now time.Time, e *endpoint) {
	for i := len(e.replicas) - 1; i >= 0; i-- {
		if r := e.replicas[i]; r.state == stateGone && now.Sub(r.since) > goneKept {
			s.drop(now, r, false)
		}
	}
}

// reserve takes a token for a load of an adapter on an endpoint.
func (s *Scheduler) reserve(now time.Time, a *adapter, e *endpoint) *replica {
	r := e.find(a)
	if r == nil {
		r = s.place(now, a, e, stateReserved)
	}
	r.become(stateReserved, now)
	r.used = now
	r.inTransit = true
	s.bucket.inTransit++
	s.bucket.tokens--
	s.bucket.reserved++
	return r
}

// settleLoad ends a load's count against the weight store's limit.
func (s *Scheduler) settleLoad(r *replica) {
	if r.inTransit {
		r.inTransit = false
		s.bucket.inTransit--
	}
}

// succeed gives the slot of an adapter that was unloaded to the one that it
// was reserved for. If the slot isn't free after all, the token goes back.
func (s *Scheduler) succeed(now time.Time, r, next *replica) {
	if r.state == stateGone && s.bucket.allowed(now) && next.endpoint.loads(now) && next.endpoint.freeAdapterSlots() > 0 {
		s.load(now, next)
		return
	}
	s.cancelReserved(now, next)
}

// unload orders an eviction.
func (s *Scheduler) unload(now time.Time, r *replica) {
	r.become(stateUnloading, now)
	s.orders = append(s.orders, ggscore.Order{
		Kind:     ggscore.OrderUnload,
		Endpoint: r.endpoint.spec.ID,
		Adapter:  r.adapter.ref,
	})
}

// become moves a replica to a state.
func (r *replica) become(t replicaState, now time.Time) {
	r.state = t
	r.since = now
}

// queued returns the adapter's waiting jobs in the order of their arrival.
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
