package ggsroute

import (
	"math"
	"time"
)

// holdGain is the weight of a new sample in a service's mean hold.
const holdGain = 0.05

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
		c := r.holderCandidate(h)
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
func (r *Router) holderCandidate(h *holder) candidate {
	c := candidate{pool: h.pool, rank: h.rank, wait: h.wait(), reason: ReasonResident}
	if h.loading {
		c.reason = ReasonLoading
		c.stall = r.loadTime() / 2
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
		best.stall = r.loadStall(q.service)
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
	if best.pool != nil && !r.pays(best.cost()-remote.cost(), price) {
		return false
	}
	*best = remote
	return true
}

// pays reports whether a gain is worth the price of crossing.
//
// Summaries lag, so all gateways see the same quiet region at once; if all
// crossed, it would be the busy one a moment later, and all would come back.
// Each crosses only with the probability that evens the two regions out, which
// falls to zero as the gain nears the price.
func (r *Router) pays(gain, price time.Duration) bool {
	if gain <= price {
		return false
	}
	return r.rng.Float64() < float64(gain-price)/float64(gain)/2
}

// loadStall predicts how long a request waits for a new load.
func (r *Router) loadStall(s *service) time.Duration {
	stall := r.loadTime()
	if rate := r.policy.LoadsPerSecond; rate > 0 {
		stall += time.Duration(float64(s.loading) / rate * float64(time.Second))
	}
	return stall
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
