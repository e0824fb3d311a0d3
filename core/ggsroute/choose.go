package ggsroute

import (
	"math"
	"time"
)

// holdGain is the weight of a new sample in a service's mean hold.
const holdGain = 0.05

// stallGain is the weight of a new sample in a pool's mean stall.
const stallGain = 0.2

// defaultLoadTime stands in while the document sets none.
const defaultLoadTime = 250 * time.Millisecond

// A home is a pool among the highest rendezvous scores.
type home struct {
	pool *pool
	rank uint64
}

// A homes holds the highest scores found so far, in no order.
type homes struct {
	list [maxReplicas]home
	n    int
}

// offer keeps the pool if its score is among the limit highest.
func (h *homes) offer(p *pool, rank uint64, limit int) {
	if h.n < limit {
		h.list[h.n] = home{pool: p, rank: rank}
		h.n++
		return
	}
	low := 0
	for i := 1; i < h.n; i++ {
		if h.list[i].rank < h.list[low].rank {
			low = i
		}
	}
	if rank > h.list[low].rank {
		h.list[low] = home{pool: p, rank: rank}
	}
}

// bestHolder returns the best pool that holds or loads the adapter. The homes
// come first, so that an adapter whose rate has fallen leaves its other
// replicas to be evicted; the others count only when no home has room.
func (r *Router) bestHolder(q *query, local bool) candidate {
	best := candidate{}
	if q.adapter == nil {
		return best
	}
	rank := uint64(0)
	if len(q.adapter.holders) > q.replicas {
		rank = r.homeRank(q, local)
	}
	others := candidate{}
	for i := range q.adapter.holders {
		h := &q.adapter.holders[i]
		if h.pool.group.local != local || !q.allows(h.pool) {
			continue
		}
		c := r.holderCandidate(q, h)
		if h.rank < rank {
			others = pick(c, others)
			continue
		}
		best = pick(c, best)
	}
	if best.pool == nil || best.cost() > 0 {
		return pick(others, best)
	}
	return best
}

// pick returns c where it is better than d, else d.
func pick(c, d candidate) candidate {
	if c.better(d) {
		return c
	}
	return d
}

// holderCandidate predicts the cost of a pool that holds the adapter.
func (r *Router) holderCandidate(q *query, h *holder) candidate {
	c := candidate{pool: h.pool, rank: h.rank, wait: h.wait(), reason: ReasonResident}
	if h.loading {
		c.reason = ReasonLoading
		c.stall = r.loadStall(q.now, h.pool) / 2
	}
	return c
}

// homeRank returns the lowest score among the holders that are homes.
func (r *Router) homeRank(q *query, local bool) uint64 {
	top := homes{}
	for i := range q.adapter.holders {
		h := &q.adapter.holders[i]
		if h.pool.group.local == local && q.allows(h.pool) {
			top.offer(h.pool, h.rank, q.replicas)
		}
	}
	rank := uint64(math.MaxUint64)
	for _, h := range top.list[:top.n] {
		rank = min(rank, h.rank)
	}
	return rank
}

// bestHome returns the best of the adapter's homes, by bounded-load rendezvous
// hashing over the runners of the region.
func (r *Router) bestHome(q *query, local bool) candidate {
	pools := q.service.pools(local)
	bound := loadBound(q, pools)
	top := homes{}
	fallback := candidate{}
	for _, p := range pools {
		if len(p.homes) == 0 || !q.allows(p) {
			continue
		}
		if !bound.holds(p) {
			fallback = pick(candidate{pool: p, wait: p.wait()}, fallback)
			continue
		}
		top.offer(p, p.rank(q.hash), q.replicas)
	}
	best := candidate{}
	for _, h := range top.list[:top.n] {
		best = pick(candidate{pool: h.pool, rank: h.rank, wait: h.pool.wait()}, best)
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

// A bound is the load that a pool may have and still get adapters by hash.
type bound struct{ perSlot float64 }

// loadBound works out the bound over the pools of a region.
func loadBound(q *query, pools []*pool) bound {
	load, slots := 1, 1
	for _, p := range pools {
		if p.usable(q.now) {
			load += p.load()
			slots += p.slots
		}
	}
	return bound{perSlot: max(loadFactor*float64(load)/float64(slots), roomShare)}
}

// holds reports whether the pool is within the bound.
func (b bound) holds(p *pool) bool {
	return float64(p.load()) < b.perSlot*float64(p.slots)
}

// leastLoaded returns the better of two pools picked at random. The least
// loaded of all would be the same one for every gateway until the next
// summaries, and all would send there at once.
func (r *Router) leastLoaded(q *query, local bool) candidate {
	pools := q.service.pools(local)
	first := r.anyPool(q, pools)
	if first == nil {
		return candidate{}
	}
	second := r.anyPool(q, pools)
	best := candidate{pool: first, wait: first.wait(), reason: ReasonLoad}
	other := candidate{pool: second, wait: second.wait(), reason: ReasonLoad}
	return pick(other, best)
}

// anyPool returns the first pool that may get the request, from a random one
// onwards.
func (r *Router) anyPool(q *query, pools []*pool) *pool {
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

// fill returns the part of the pool's slots that is in use.
func (p *pool) fill() float64 { return float64(p.load()) / float64(p.slots) }

// crosses decides whether the request leaves the region, and puts the remote
// candidate into best if so.
func (r *Router) crosses(q *query, best *candidate, bytes int) bool {
	price := r.policy.CrossRegionPrice
	if best.pool != nil && best.cost() <= price {
		return false
	}
	remote := r.best(q, false)
	if remote.pool == nil || !r.crossing.allows(q.now, bytes) {
		return false
	}
	if best.pool != nil && !r.leaves(q, best, &remote) {
		return false
	}
	*best = remote
	return true
}

// leaves reports whether a request that both can serve goes to the remote
// candidate.
func (r *Router) leaves(q *query, local, remote *candidate) bool {
	if remote.reason != ReasonResident || local.reason == ReasonResident {
		return r.pays(local.cost() - remote.cost())
	}
	return r.savesLoad(q, local) || r.pays(local.wait-remote.wait)
}

// savesLoad reports whether the request crosses to where its adapter is
// resident, rather than have it loaded in the region.
//
// Each region would else hold copies of the same busy adapters, and the weight
// store would load them once a region: with three regions of 32 places the 96
// places hold a third of what they could, and callers wait for loads that
// queue. An adapter that the region's callers ask for often enough to pay for
// its load is loaded here all the same: the first request waits for it, and
// those that come meanwhile cross. Crossing doesn't move an adapter, so that
// regions can't take turns over it.
func (r *Router) savesLoad(q *query, local *candidate) bool {
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

// regionRate predicts the rate at which the region's callers ask for the
// adapter, from the router's own.
func (r *Router) regionRate(q *query) float64 {
	s := r.rates.peek(q.hash)
	if s == nil {
		return 0
	}
	s.decay(q.now)
	return s.perSec * float64(r.gateways) / float64(r.regions)
}

// pays reports whether a gain is worth the price of crossing.
//
// Summaries lag, so all gateways see the same quiet region at once; if all
// crossed, it would be the busy one a moment later, and all would come back.
// Each crosses only with the probability that evens the two regions out, which
// falls to zero as the gain nears the price.
func (r *Router) pays(gain time.Duration) bool {
	price := r.policy.CrossRegionPrice
	if gain <= price {
		return false
	}
	return r.rng.Float64() < float64(gain-price)/float64(gain)/2
}

// loadStall predicts how long a request waits for a new load on a pool: by the
// loads that are known to be under way, or as long as requests lately waited
// there, if that is longer. A dispatcher's queue for loads shows in no summary.
func (r *Router) loadStall(now time.Time, p *pool) time.Duration {
	stall := r.loadTime()
	if rate := r.policy.LoadsPerSecond; rate > 0 {
		stall += time.Duration(float64(p.service.loading) / rate * float64(time.Second))
	}
	age := now.Sub(p.stalledAt)
	return max(stall, time.Duration(float64(p.stall)*math.Exp(-age.Seconds()/rateWindow.Seconds())))
}

// learnStall takes how long a request waited for a load.
func (p *pool) learnStall(now time.Time, c *Choice, stall time.Duration) {
	if c.Reason != ReasonHome && c.Reason != ReasonLoading || stall <= 0 {
		return
	}
	p.stall += time.Duration(stallGain * float64(stall-p.stall))
	p.stalledAt = now
}

// loadTime returns how long a load takes at full speed.
func (r *Router) loadTime() time.Duration {
	if r.policy.LoadTime > 0 {
		return r.policy.LoadTime
	}
	return defaultLoadTime
}

// replicasOf returns how many homes the adapter's rate asks for. It grows when
// the rate needs it and shrinks only well below that, so that a rate that
// hovers about a step doesn't load and evict replicas in turn.
func (r *Router) replicasOf(q *query) int {
	s := r.rates.peek(q.hash)
	if s == nil {
		return 1
	}
	s.decay(q.now)
	perHome := q.service.homeSlots()
	if perHome == 0 {
		return 1
	}
	demand := s.perSec * float64(r.gateways) * q.service.hold.Seconds() / perHome
	grown := int(math.Ceil(demand / growAt))
	kept := int(math.Ceil(demand / shrinkAt))
	s.replicas = min(max(s.replicas, grown, 1), max(kept, 1), maxReplicas)
	return s.replicas
}

const (
	// growAt is the fill of an adapter's homes that asks for one more.
	growAt = 0.8
	// shrinkAt is the fill below which one fewer is enough.
	shrinkAt = 0.5
)

// homeSlots returns the mean number of slots that one home offers an adapter.
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
