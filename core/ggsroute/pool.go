package ggsroute

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

// A group is one dispatcher as its last summary shows it.
type group struct {
	vm     ggscore.VMID
	region ggscore.Region
	local  bool
	order  order
	// expires is when the last summary is too old to act on.
	expires time.Time
	// removed is when it was removed, or zero.
	removed time.Time
	pools   []*pool
}

// A pool is a dispatcher's endpoints of one service.
type pool struct {
	group   *group
	service *service
	// homes are the hashes of its runners that take any adapter.
	homes []uint64
	slots int
	// endpoints is their number, where a board told of it.
	endpoints int
	// reported is the number of requests running and queued, as summarized.
	reported int
	// sent is the number of own requests sent since, less those ended since.
	sent int
	// own is the number of own requests in flight.
	own     int
	loading int
	// stall is the mean stall of requests that had to wait for a load, as it
	// was at stalledAt.
	stall     time.Duration
	stalledAt time.Time
	// held lists the adapters that have this pool among their holders.
	held []*adapter
	// generation numbers its summaries.
	generation uint64
}

// An adapter is one that some pool holds or loads. It is known by its hash
// alone: two that share one would at worst be routed where one must be loaded.
type adapter struct {
	hash    uint64
	holders []holder
}

// A holder is a pool that holds or loads an adapter.
type holder struct {
	pool *pool
	// rank is the adapter's rendezvous score for the pool.
	rank uint64
	// slots and load are those of the runners where the adapter is resident.
	slots   int
	load    int
	sent    int
	loading bool
	// runners is the number of those, where a board told of them.
	runners int
	// presumedUntil keeps a load alive that an own request must have caused
	// and that no summary shows yet.
	presumedUntil time.Time
	generation    uint64
}

// silent reports whether the last summary is too old to act on.
func (g *group) silent(now time.Time) bool { return !now.Before(g.expires) }

// usable reports whether the pool may get work at all.
func (p *pool) usable(now time.Time) bool {
	return p.slots > 0 && !p.group.order.leaving && !p.group.silent(now)
}

// load returns the requests that are presumed to be on the pool.
func (p *pool) load() int { return max(p.reported+p.sent, p.own, 0) }

// holderOf returns the pool's entry of an adapter, or nil.
func (p *pool) holderOf(hash uint64) *holder {
	a := p.service.adapters[hash]
	if a == nil {
		return nil
	}
	return a.holder(p)
}

// wait predicts how long a request waits for a slot.
func (p *pool) wait() time.Duration {
	return slotWait(p.load(), p.slots, p.service.hold)
}

// wait predicts how long a request waits for a slot beside the adapter.
func (h *holder) wait() time.Duration {
	if h.loading {
		return h.pool.wait()
	}
	own := slotWait(h.load+h.sent, h.slots, h.pool.service.hold)
	return max(own, h.pool.wait())
}

// slotWait predicts the wait behind load requests on slots that each keeps
// for hold.
func slotWait(load, slots int, hold time.Duration) time.Duration {
	if load < slots {
		return 0
	}
	if slots == 0 {
		return hold
	}
	return hold * time.Duration(load-slots+1) / time.Duration(slots)
}

// take sums one endpoint's summary into the pool.
func (p *pool) take(s *ggscore.RunnerSummary) {
	if s.Mode == ggscore.ModeNone || s.Leaving {
		return
	}
	p.slots += s.Slots
	p.reported += s.Running + s.Queued
	if s.Mode == ggscore.ModeFull {
		p.homes = append(p.homes, xxhash.Sum64String(string(s.Endpoint)))
	}
	for _, ref := range s.Resident {
		h := p.hold(hashRef(ref))
		h.loading = false
		h.slots += s.Slots
		h.load += s.Running + s.Queued
	}
	for _, ref := range s.Loading {
		p.hold(hashRef(ref))
		p.loading++
	}
}

// hold returns the pool's holder entry of an adapter, new in this generation.
func (p *pool) hold(hash uint64) *holder {
	a, ok := p.service.adapters[hash]
	if !ok {
		a = &adapter{hash: hash}
		p.service.adapters[hash] = a
	}
	h := a.holder(p)
	if h == nil {
		a.holders = append(a.holders, holder{pool: p, rank: p.rank(a.hash)})
		h = &a.holders[len(a.holders)-1]
		p.held = append(p.held, a)
	}
	if h.generation != p.generation {
		h.generation = p.generation
		h.slots, h.load, h.sent = 0, 0, 0
		h.loading = true
		h.presumedUntil = time.Time{}
	}
	return h
}

// clear forgets what the last summary said, but not the own requests.
func (p *pool) clear() {
	p.service.loading -= p.loading
	p.homes = p.homes[:0]
	p.slots, p.reported, p.sent, p.loading = 0, 0, 0, 0
	p.generation++
}

// settle ends the intake of a summary: adapters that it didn't name are no
// longer held.
func (p *pool) settle(now time.Time) {
	p.service.loading += p.loading
	p.held = slices.DeleteFunc(p.held, func(a *adapter) bool {
		h := a.holder(p)
		if h.generation == p.generation {
			h.rank = p.rank(a.hash)
			return false
		}
		if h.loading && now.Before(h.presumedUntil) && p.slots > 0 {
			return false
		}
		a.drop(p)
		return true
	})
}

// rank returns the pool's rendezvous score for an adapter: the greatest of its
// runners' scores.
func (p *pool) rank(adapter uint64) uint64 {
	best := uint64(0)
	for _, h := range p.homes {
		best = max(best, mix(adapter^h))
	}
	return best
}

// holder returns the entry of a pool, or nil.
func (a *adapter) holder(p *pool) *holder {
	for i := range a.holders {
		if a.holders[i].pool == p {
			return &a.holders[i]
		}
	}
	return nil
}

// drop removes a pool from the adapter's holders.
func (a *adapter) drop(p *pool) {
	a.holders = slices.DeleteFunc(a.holders, func(h holder) bool { return h.pool == p })
	if len(a.holders) == 0 {
		delete(p.service.adapters, a.hash)
	}
}

// hashRef hashes an adapter without building its name.
func hashRef(r ggscore.AdapterRef) uint64 {
	return mix(xxhash.Sum64String(r.Name) ^ mix(xxhash.Sum64String(string(r.Version))))
}

// mix is the finalizer of splitmix64: each input bit changes half the output.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
