package ggsroute

import (
	"math"
	"time"
)

// holdSmoothing is the weight of a new sample in a service's mean holding time.
const holdSmoothing = 0.05

// stallSmoothing is the weight of a new sample in a pool's mean stall.
const stallSmoothing = 0.2

// defaultLoadTime applies if the document sets no load time.
const defaultLoadTime = 250 * time.Millisecond

// A home of an adapter is a pool with one of the highest rendezvous scores for it, where it is
// loaded by default.
type home struct {
	pool  *pool
	score uint64
}

// A topHomes holds the pools with the highest scores found so far, in no order.
type topHomes struct {
	list [maxReplicas]home
	n    int
}

// offer adds the pool if its score is among the limit highest.
func (h *topHomes) offer(p *pool, score uint64, limit int) {
	if h.n < limit {
		h.list[h.n] = home{pool: p, score: score}
		h.n++
		return
	}
	low := 0
	for i := 1; i < h.n; i++ {
		if h.list[i].score < h.list[low].score {
			low = i
		}
	}
	if score > h.list[low].score {
		h.list[low] = home{pool: p, score: score}
	}
}

// bestHolder returns the best pool where the adapter is resident or loading. Homes have
// precedence, and other pools count only if no home has a free slot. If an adapter's rate falls,
// it has fewer homes, and its replicas elsewhere become idle and are evicted.
func (r *Router) bestHolder(q *query, local bool) candidate {
	best := candidate{}
	if q.adapter == nil {
		return best
	}
	score := uint64(0)
	if len(q.adapter.holders) > q.replicas {
		score = r.lowestHomeScore(q, local)
	}
	others := candidate{}
	for i := range q.adapter.holders {
		h := &q.adapter.holders[i]
		if h.pool.dispatcher.local != local || !q.allows(h.pool) {
			continue
		}
		c := r.holderCandidate(q, h)
		if h.score < score {
			others = preferred(c, others)
			continue
		}
		best = preferred(c, best)
	}
	if best.pool == nil || best.cost() > 0 {
		return preferred(others, best)
	}
	return best
}

// preferred returns c if it is better than d, else d.
func preferred(c, d candidate) candidate {
	if c.better(d) {
		return c
	}
	return d
}

// holderCandidate predicts the cost of a pool where the adapter is resident or
// loading.
func (r *Router) holderCandidate(q *query, h *holder) candidate {
	c := candidate{pool: h.pool, score: h.score, wait: h.wait(), reason: ReasonResident}
	if h.loading {
		c.reason = ReasonLoading
		c.stall = r.loadStall(q.now, h.pool) / 2
	}
	return c
}

// lowestHomeScore returns the lowest score among the holders that are homes.
func (r *Router) lowestHomeScore(q *query, local bool) uint64 {
	top := topHomes{}
	for i := range q.adapter.holders {
		h := &q.adapter.holders[i]
		if h.pool.dispatcher.local == local && q.allows(h.pool) {
			top.offer(h.pool, h.score, q.replicas)
		}
	}
	score := uint64(math.MaxUint64)
	for _, h := range top.list[:top.n] {
		score = min(score, h.score)
	}
	return score
}

// bestHome returns the best of the adapter's homes, by bounded-load rendezvous hashing over the
// runners of the region. If all pools exceed the bound, it returns the best of all.
func (r *Router) bestHome(q *query, local bool) candidate {
	pools := q.service.pools(local)
	bound := loadBound(q, pools)
	top := topHomes{}
	fallback := candidate{}
	for _, p := range pools {
		if len(p.homes) == 0 || !q.allows(p) {
			continue
		}
		if !bound.allows(p) {
			fallback = preferred(candidate{pool: p, wait: p.wait()}, fallback)
			continue
		}
		top.offer(p, p.score(q.hash), q.replicas)
	}
	best := candidate{}
	for _, h := range top.list[:top.n] {
		best = preferred(candidate{pool: h.pool, score: h.score, wait: h.pool.wait()}, best)
	}
	if best.pool == nil {
		best = fallback
	}
	if best.pool != nil {
		best.stall = r.loadStall(q.now, best.pool)
		best.reason = ReasonHome
	}
	return best
}

// A bound is the load per slot below which a pool is chosen as the home of an adapter that isn't
// resident.
type bound struct{ perSlot float64 }

// loadBound computes the bound from the mean load per slot of a region's usable pools.
func loadBound(q *query, pools []*pool) bound {
	load, slots := 1, 1
	for _, p := range pools {
		if p.usable(q.now) {
			load += p.load()
			slots += p.slots
		}
	}
	return bound{perSlot: max(loadFactor*float64(load)/float64(slots), minBoundPerSlot)}
}

// allows reports whether the pool's load is below the bound.
func (b bound) allows(p *pool) bool {
	return float64(p.load()) < b.perSlot*float64(p.slots)
}

// leastLoaded returns the better of two pools chosen at random. The least loaded of all pools
// would be the same one for every gateway until the next summaries arrive, and all gateways
// would send their requests to it at once.
func (r *Router) leastLoaded(q *query, local bool) candidate {
	pools := q.service.pools(local)
	first := r.randomPool(q, pools)
	if first == nil {
		return candidate{}
	}
	second := r.randomPool(q, pools)
	best := candidate{pool: first, wait: first.wait(), reason: ReasonLeastLoaded}
	other := candidate{pool: second, wait: second.wait(), reason: ReasonLeastLoaded}
	return preferred(other, best)
}

// randomPool returns the first pool that may receive the request, from a random
// index onwards, or nil.
func (r *Router) randomPool(q *query, pools []*pool) *pool {
	if len(pools) == 0 {
		return nil
	}
	start := r.rng.IntN(len(pools))
	for i := range pools {
		p := pools[(start+i)%len(pools)]
		if q.allows(p) {
			return p
		}
	}
	return nil
}

// utilization returns the pool's load per slot.
func (p *pool) utilization() float64 { return float64(p.load()) / float64(p.slots) }

// chooseRegion reports whether the request is sent to another region. If so, it
// replaces best with the remote candidate.
func (r *Router) chooseRegion(q *query, best *candidate, bytes int) bool {
	price := r.policy.CrossRegionPrice
	if best.pool != nil && best.cost() <= price {
		return false
	}
	remote := r.best(q, false)
	if remote.pool == nil || !r.crossRegion.allows(q.now, bytes) {
		return false
	}
	if best.pool != nil && !r.prefersRemote(q, best, &remote) {
		return false
	}
	*best = remote
	return true
}

// prefersRemote reports whether the remote candidate is chosen where both
// candidates can serve the request.
func (r *Router) prefersRemote(q *query, local, remote *candidate) bool {
	if remote.reason != ReasonResident || local.reason == ReasonResident {
		return r.worthCrossing(local.cost() - remote.cost())
	}
	return r.avoidsLoad(q, local) || r.worthCrossing(local.wait-remote.wait)
}

// avoidsLoad reports whether the request is sent to another region, where its
// adapter is resident, instead of loading the adapter in this region.
//
// Otherwise each region would hold replicas of the same busy adapters, and the weight store
// would serve each adapter once per region. With three regions of 32 adapter slots, the 96 slots
// would hold only 32 different adapters instead of up to 96, and callers would wait for queued
// loads. An adapter is loaded in this region if the region's request rate justifies the load:
// the first request waits for the load, and requests that arrive meanwhile cross. A request that
// crosses causes no load in its own region, so an adapter isn't moved back and forth between
// regions.
func (r *Router) avoidsLoad(q *query, local *candidate) bool {
	price := r.policy.CrossRegionPrice
	if local.stall <= price {
		return false
	}
	if local.reason == ReasonLoading {
		return true
	}
	expected := r.regionRate(q) * rateWindow.Seconds()
	return time.Duration(expected*float64(price)) < local.stall
}

// regionRate estimates the region's request rate for the adapter, per second, from
// the rate that this router sends.
func (r *Router) regionRate(q *query) float64 {
	s := r.rates.lookup(q.hash)
	if s == nil {
		return 0
	}
	s.decay(q.now)
	return s.perSecond * float64(r.gateways) / float64(r.regions)
}

// worthCrossing decides at random whether a gain is worth the price of crossing.
//
// Summaries lag, so all gateways see the same idle region at once. If all of them crossed, that
// region would be the busy one a moment later, and all would switch back. Each request therefore
// crosses with a probability of at most one half, which balances the two regions. The
// probability falls to zero as the gain approaches the price.
func (r *Router) worthCrossing(gain time.Duration) bool {
	price := r.policy.CrossRegionPrice
	if gain <= price {
		return false
	}
	return r.rng.Float64() < float64(gain-price)/float64(gain)/2
}

// loadStall predicts how long a request waits for a new load on a pool: one load
// time plus the time that the service's known loads take at the policy's rate, or
// the pool's recent mean stall if that is longer. The mean stall is needed because
// summaries don't include a dispatcher's queue of loads.
func (r *Router) loadStall(now time.Time, p *pool) time.Duration {
	stall := r.loadTime()
	if rate := r.policy.LoadsPerSecond; rate > 0 {
		stall += time.Duration(float64(p.service.loading) / rate * float64(time.Second))
	}
	age := now.Sub(p.stalledAt)
	return max(stall, time.Duration(float64(p.stall)*math.Exp(-age.Seconds()/rateWindow.Seconds())))
}

// recordStall updates the mean stall with the time that a request waited for a load. Requests
// sent to a pool for another reason than its being a home or loading the adapter are ignored.
func (p *pool) recordStall(now time.Time, c *Choice, stall time.Duration) {
	if c.Reason != ReasonHome && c.Reason != ReasonLoading || stall <= 0 {
		return
	}
	p.stall += time.Duration(stallSmoothing * float64(stall-p.stall))
	p.stalledAt = now
}

// loadTime returns how long a single load takes without queueing.
func (r *Router) loadTime() time.Duration {
	if r.policy.LoadTime > 0 {
		return r.policy.LoadTime
	}
	return defaultLoadTime
}

// wantedReplicas returns the number of homes that the adapter's rate needs. The
// threshold for fewer homes is well below the one for more, so that a rate near a
// threshold doesn't load and evict replicas alternately.
func (r *Router) wantedReplicas(q *query) int {
	s := r.rates.lookup(q.hash)
	if s == nil {
		return 1
	}
	s.decay(q.now)
	perHome := q.service.homeSlots()
	if perHome == 0 {
		return 1
	}
	demand := s.perSecond * float64(r.gateways) * q.service.hold.Seconds() / perHome
	grown := int(math.Ceil(demand / growUtilization))
	kept := int(math.Ceil(demand / shrinkUtilization))
	s.replicas = min(max(s.replicas, grown, 1), max(kept, 1), maxReplicas)
	return s.replicas
}

const (
	// growUtilization is the utilization of an adapter's homes above which the
	// adapter gets another home.
	growUtilization = 0.8
	// shrinkUtilization is the utilization below which the adapter loses a home.
	shrinkUtilization = 0.5
)

// homeSlots returns the number of slots that an adapter is assumed to get at each of its homes:
// half of the mean number of slots of the region's pools.
func (s *service) homeSlots() float64 {
	if len(s.local) == 0 {
		return 0
	}
	slots := 0
	for _, p := range s.local {
		slots += p.slots
	}
	return float64(slots) / float64(len(s.local)) / 2
}

// pools returns the service's pools inside or outside the region.
func (s *service) pools(local bool) []*pool {
	if local {
		return s.local
	}
	return s.remote
}
