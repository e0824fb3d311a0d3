package ggsroute

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

// A dispatcher is the state of one dispatcher as of its last summary.
type dispatcher struct {
	vm     ggscore.VMID
	region ggscore.Region
	local  bool
	order  summaryOrder
	// expires is when the last summary becomes stale.
	expires time.Time
	// removed is when Remove was called, or zero.
	removed time.Time
	pools   []*pool
}

// A pool is the router's state of a dispatcher's endpoints of one service.
type pool struct {
	dispatcher *dispatcher
	service    *service
	// homes are the hashes of the runners that accept any adapter.
	homes []uint64
	slots int
	// endpoints is the number of usable endpoints. It is set only from boards.
	endpoints int
	// reported is the number of requests running and queued, as last reported.
	reported int
	// unreported is the number of this gateway's requests sent since the last report, less those
	// that ended since.
	unreported int
	// inFlight is the number of this gateway's requests in flight.
	inFlight int
	loading  int
	// stall is the mean stall of requests that waited for a load, as of
	// stalledAt.
	stall     time.Duration
	stalledAt time.Time
	// held lists the adapters that have this pool as a holder.
	held []*adapter
	// generation counts the pool's summaries. Holders of an earlier generation
	// are not named by the last one.
	generation uint64
}

// An adapter is the state of an adapter that is resident or loading on some pool. Adapters are
// identified by their hash alone. On a collision, a request is at worst routed to a pool that
// must load its adapter first.
type adapter struct {
	hash    uint64
	holders []holder
}

// A holder is a pool where an adapter is resident or loading.
type holder struct {
	pool *pool
	// score is the adapter's rendezvous score for the pool.
	score uint64
	// slots and load are those of the runners where the adapter is resident; unreported counts
	// this gateway's requests, as in pool.
	slots      int
	load       int
	unreported int
	loading    bool
	// runners is the number of runners where the adapter is resident. It is set
	// only from boards.
	runners int
	// presumedUntil is the time until which the holder is kept although no summary names it: a
	// request of this gateway must have caused a load there.
	presumedUntil time.Time
	generation    uint64
}

// stale reports whether the last summary is too old to send requests.
func (d *dispatcher) stale(now time.Time) bool { return !now.Before(d.expires) }

// usable reports whether the pool may receive requests.
func (p *pool) usable(now time.Time) bool {
	return p.slots > 0 && !p.dispatcher.order.leaving && !p.dispatcher.stale(now)
}

// load estimates the number of requests running and queued on the pool.
func (p *pool) load() int { return max(p.reported+p.unreported, p.inFlight, 0) }

// holderOf returns the pool's holder entry of an adapter, or nil.
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

// wait predicts how long a request waits for a slot of a runner where the adapter
// is resident.
func (h *holder) wait() time.Duration {
	if h.loading {
		return h.pool.wait()
	}
	own := slotWait(h.load+h.unreported, h.slots, h.pool.service.hold)
	return max(own, h.pool.wait())
}

// slotWait predicts how long a request waits for a slot, given the number of
// requests running and queued and the mean time that each holds a slot.
func slotWait(load, slots int, hold time.Duration) time.Duration {
	if load < slots {
		return 0
	}
	if slots == 0 {
		return hold
	}
	return hold * time.Duration(load-slots+1) / time.Duration(slots)
}

// addRunner adds one endpoint's summary to the pool.
func (p *pool) addRunner(s *ggscore.RunnerSummary) {
	if s.Mode == ggscore.ModeNone || s.Leaving {
		return
	}
	p.slots += s.Slots
	p.reported += s.Running + s.Queued
	if s.Mode == ggscore.ModeFull {
		p.homes = append(p.homes, xxhash.Sum64String(string(s.Endpoint)))
	}
	for _, ref := range s.Resident {
		h := p.ensureHolder(hashRef(ref))
		h.loading = false
		h.slots += s.Slots
		h.load += s.Running + s.Queued
	}
	for _, ref := range s.Loading {
		p.ensureHolder(hashRef(ref))
		p.loading++
	}
}

// ensureHolder returns the pool's holder entry of an adapter. It creates the entry
// if there is none, and resets it if it is of an earlier generation.
func (p *pool) ensureHolder(hash uint64) *holder {
	a, ok := p.service.adapters[hash]
	if !ok {
		a = &adapter{hash: hash}
		p.service.adapters[hash] = a
	}
	h := a.holder(p)
	if h == nil {
		a.holders = append(a.holders, holder{pool: p, score: p.score(a.hash)})
		h = &a.holders[len(a.holders)-1]
		p.held = append(p.held, a)
	}
	if h.generation != p.generation {
		h.generation = p.generation
		h.slots, h.load, h.unreported = 0, 0, 0
		h.loading = true
		h.presumedUntil = time.Time{}
	}
	return h
}

// clear resets the state from the last summary. It keeps the number of this gateway's requests
// in flight.
func (p *pool) clear() {
	p.service.loading -= p.loading
	p.homes = p.homes[:0]
	p.slots, p.reported, p.unreported, p.loading = 0, 0, 0, 0
	p.generation++
}

// finishUpdate completes the update from a summary: it removes the pool as a
// holder of the adapters that the summary doesn't name.
func (p *pool) finishUpdate(now time.Time) {
	p.service.loading += p.loading
	p.held = slices.DeleteFunc(p.held, func(a *adapter) bool {
		h := a.holder(p)
		if h.generation == p.generation {
			h.score = p.score(a.hash)
			return false
		}
		if h.loading && now.Before(h.presumedUntil) && p.slots > 0 {
			return false
		}
		a.removeHolder(p)
		return true
	})
}

// score returns the pool's rendezvous score for an adapter: the highest score of
// its runners.
func (p *pool) score(adapter uint64) uint64 {
	best := uint64(0)
	for _, h := range p.homes {
		best = max(best, mix(adapter^h))
	}
	return best
}

// holder returns the adapter's holder entry of a pool, or nil.
func (a *adapter) holder(p *pool) *holder {
	for i := range a.holders {
		if a.holders[i].pool == p {
			return &a.holders[i]
		}
	}
	return nil
}

// removeHolder removes a pool from the adapter's holders.
func (a *adapter) removeHolder(p *pool) {
	a.holders = slices.DeleteFunc(a.holders, func(h holder) bool { return h.pool == p })
	if len(a.holders) == 0 {
		delete(p.service.adapters, a.hash)
	}
}

// hashRef hashes an adapter's name and version without concatenating them.
func hashRef(r ggscore.AdapterRef) uint64 {
	return mix(xxhash.Sum64String(r.Name) ^ mix(xxhash.Sum64String(string(r.Version))))
}

// mix is the finalizer of splitmix64: each input bit changes half of the output
// bits on average.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
