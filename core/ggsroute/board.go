package ggsroute

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

const (
	// loadSteps is the number of steps between an idle and a full pool. Loads
	// are rounded up to a step, and changes within a step aren't sent.
	loadSteps = 8
	// maxTombstones is the number of evicted adapters that are kept per pool,
	// for readers that have yet to delete them.
	maxTombstones = 256
)

// A View selects the detail of the changes that a reader receives.
type View int

// The views.
const (
	// ViewWhole includes the adapters. It is for readers in the dispatchers' region.
	ViewWhole View = iota
	// ViewLoads leaves out the adapters. It is for readers in other regions, which send a
	// request here only if the gain exceeds the cost of loading its adapter.
	ViewLoads
)

// A Board aggregates the summaries of many dispatchers and returns to each reader
// the changes since the version that the reader has, in a form much smaller than
// the summaries. Each dispatcher keeps a board of its own summaries. The relays
// of a failure domain merge these boards, so that a gateway of a large deployment
// polls two or three relays instead of each dispatcher.
type Board struct {
	name    string
	maxAge  time.Duration
	version uint64
	next    uint32
	entries map[ggscore.VMID]*entry
	list    []*entry
	sources map[string]*source
}

// A Changes holds the changes of a board from the version From to the version To.
type Changes struct {
	Board  string
	From   uint64
	To     uint64
	Groups []GroupChange
}

// A GroupChange holds the changes of one dispatcher.
type GroupChange struct {
	// Number identifies the dispatcher on this board.
	Number uint32
	// Identity is set if the change holds the dispatcher's whole state.
	Identity *Identity
	Sequence uint64
	Leaving  bool
	// Gone is set if the dispatcher's last summary is older than the board's
	// maximum age.
	Gone  bool
	Pools []PoolChange
}

// An Identity is the dispatcher that a number identifies.
type Identity struct {
	VM          ggscore.VMID
	Region      ggscore.Region
	Domain      ggscore.Domain
	Incarnation string
}

// A PoolChange holds the changes of a dispatcher's endpoints of one service.
type PoolChange struct {
	Service ggscore.Service
	// Endpoints is the number of endpoints that may receive requests.
	Endpoints int
	Slots     int
	// Load is the number of requests running and queued, rounded up to a step.
	Load    int
	Loading int
	// Homes are the hashes of the runners that accept any adapter. It is nil if
	// they haven't changed.
	Homes []uint64
	Held  []Holding
}

// A Holding is the number of runners of a pool on which an adapter is resident.
type Holding struct {
	// Adapter is the hash of the adapter's reference.
	Adapter uint64
	// Resident is the number of runners where the adapter is resident. If it is
	// zero, the adapter is either loading or evicted.
	Resident uint8
	Loading  bool
}

// An entry is the state of one dispatcher on the board.
type entry struct {
	number   uint32
	identity Identity
	order    summaryOrder
	lastSeen time.Time
	gone     bool
	// version is the board's version at the entry's last change. A reader with a
	// version below deltaFloor gets the whole entry.
	version    uint64
	deltaFloor uint64
	pools      []*boardPool
}

// A boardPool is the state of one pool on the board.
type boardPool struct {
	change       PoolChange
	version      uint64
	homesVersion uint64
	held         map[uint64]versionedHolding
}

// A versionedHolding is a Holding with the version of its last change.
type versionedHolding struct {
	Holding
	version uint64
}

// isTombstone reports whether the adapter is neither resident nor loading.
func (h Holding) isTombstone() bool { return h.Resident == 0 && !h.Loading }

// NewBoard returns an empty board. The name must never be used again, as readers
// keep versions by name; an example is the incarnation of the process that keeps
// the board. A dispatcher is marked as gone once its last summary is older than
// maxAge.
func NewBoard(name string, maxAge time.Duration) *Board {
	return &Board{
		name:    name,
		maxAge:  maxAge,
		entries: map[ggscore.VMID]*entry{},
		sources: map[string]*source{},
	}
}

// Put records a summary of the dispatcher that keeps the board. It returns false
// if the summary is older than the last one.
func (b *Board) Put(now time.Time, s *ggscore.DispatcherSummary) bool {
	e := b.entryOf(s.VM)
	wasLeaving := e.order.leaving
	if !e.order.accept(s, now.Sub(e.lastSeen) >= b.maxAge) {
		return false
	}
	b.markAlive(now, e)
	b.version++
	if e.identity.Incarnation != s.Incarnation || e.deltaFloor == 0 {
		e.identity = Identity{VM: s.VM, Region: s.Region, Domain: s.Domain, Incarnation: s.Incarnation}
		e.deltaFloor, e.version = b.version, b.version
	}
	if e.order.leaving != wasLeaving {
		e.version = b.version
	}
	for name, p := range aggregate(s) {
		e.update(b.version, name, p)
	}
	return true
}

// Since returns the changes since a version. Version zero returns the whole board.
func (b *Board) Since(now time.Time, version uint64, v View) Changes {
	b.expire(now)
	c := Changes{Board: b.name, From: version, To: b.version}
	for _, e := range b.list {
		if e.version > version {
			c.Groups = append(c.Groups, e.since(version, v))
		}
	}
	return c
}

// entryOf returns a dispatcher's entry and creates it if there is none.
func (b *Board) entryOf(vm ggscore.VMID) *entry {
	e, ok := b.entries[vm]
	if !ok {
		e = &entry{number: b.next}
		b.next++
		b.entries[vm] = e
		b.list = append(b.list, e)
	}
	return e
}

// expire marks the dispatchers whose last summary is older than maxAge as gone,
// and deletes those whose last summary is older than tombstoneAge.
func (b *Board) expire(now time.Time) {
	b.list = slices.DeleteFunc(b.list, func(e *entry) bool {
		old := now.Sub(e.lastSeen) > tombstoneAge
		if old {
			delete(b.entries, e.identity.VM)
		}
		return old
	})
	for _, e := range b.list {
		if !e.gone && now.Sub(e.lastSeen) >= b.maxAge {
			b.version++
			e.gone = true
			e.version = b.version
		}
	}
}

// aggregate adds up a summary's runners by service.
func aggregate(s *ggscore.DispatcherSummary) map[ggscore.Service]*boardPool {
	pools := map[ggscore.Service]*boardPool{}
	for i := range s.Runners {
		r := &s.Runners[i]
		p, ok := pools[r.Service]
		if !ok {
			p = &boardPool{held: map[uint64]versionedHolding{}}
			p.change.Service = r.Service
			p.change.Homes = []uint64{}
			pools[r.Service] = p
		}
		if r.Mode != ggscore.ModeNone && !r.Leaving {
			p.add(r)
		}
	}
	for _, p := range pools {
		p.change.Load = roundUpLoad(p.change.Load, p.change.Slots)
	}
	return pools
}

// add adds one endpoint's summary to the pool.
func (p *boardPool) add(r *ggscore.RunnerSummary) {
	p.change.Endpoints++
	p.change.Slots += r.Slots
	p.change.Load += r.Running + r.Queued
	p.change.Loading += len(r.Loading)
	if r.Mode == ggscore.ModeFull {
		p.change.Homes = append(p.change.Homes, xxhash.Sum64String(string(r.Endpoint)))
	}
	for _, ref := range r.Resident {
		h := p.held[hashRef(ref)]
		h.Resident++
		p.held[hashRef(ref)] = h
	}
	for _, ref := range r.Loading {
		h := p.held[hashRef(ref)]
		h.Loading = true
		p.held[hashRef(ref)] = h
	}
}

// roundUpLoad rounds a load up to a whole step, so that a full pool never appears
// to have free slots.
func roundUpLoad(load, slots int) int {
	step := max(slots/loadSteps, 1)
	return (load + step - 1) / step * step
}

// update records the new state of one pool.
func (e *entry) update(version uint64, name ggscore.Service, n *boardPool) {
	p := e.pool(name)
	changed := p.change.Slots != n.change.Slots || p.change.Load != n.change.Load || p.change.Loading != n.change.Loading
	if !slices.Equal(p.change.Homes, n.change.Homes) || p.homesVersion == 0 {
		p.homesVersion = version
		changed = true
	}
	p.change = n.change
	if p.updateHeld(version, n.held) || changed {
		p.version, e.version = version, version
	}
	e.trim(p)
}

// pool returns the entry's pool of a service and creates it if there is none.
func (e *entry) pool(name ggscore.Service) *boardPool {
	for _, p := range e.pools {
		if p.change.Service == name {
			return p
		}
	}
	p := &boardPool{change: PoolChange{Service: name}, held: map[uint64]versionedHolding{}}
	e.pools = append(e.pools, p)
	return p
}

// updateHeld records the new state of the adapters and reports whether any changed.
func (p *boardPool) updateHeld(version uint64, held map[uint64]versionedHolding) bool {
	changed := false
	for a, h := range held {
		if old := p.held[a]; old.Resident != h.Resident || old.Loading != h.Loading {
			p.held[a] = versionedHolding{Holding: h.Holding, version: version}
			changed = true
		}
	}
	for a, h := range p.held {
		if _, ok := held[a]; !ok && !h.isTombstone() {
			p.held[a] = versionedHolding{version: version}
			changed = true
		}
	}
	return changed
}

// trim deletes the older half of the tombstones once there are more than
// maxTombstones. A reader that may not have received them gets the whole entry.
func (e *entry) trim(p *boardPool) {
	type tombstone struct{ adapter, version uint64 }
	tombstones := []tombstone{}
	for a, h := range p.held {
		if h.isTombstone() {
			tombstones = append(tombstones, tombstone{adapter: a, version: h.version})
		}
	}
	if len(tombstones) <= maxTombstones {
		return
	}
	slices.SortFunc(tombstones, func(x, y tombstone) int { return cmp.Compare(x.version, y.version) })
	for _, t := range tombstones[:len(tombstones)/2] {
		delete(p.held, t.adapter)
		e.deltaFloor = max(e.deltaFloor, t.version)
	}
}

// since returns the dispatcher's changes since a version.
func (e *entry) since(version uint64, v View) GroupChange {
	c := GroupChange{Number: e.number, Sequence: e.order.sequence, Leaving: e.order.leaving, Gone: e.gone}
	if version < e.deltaFloor {
		version = 0
		i := e.identity
		c.Identity = &i
	}
	for _, p := range e.pools {
		if p.version > version {
			c.Pools = append(c.Pools, p.since(version, v))
		}
	}
	return c
}

// since returns the pool's changes since a version.
func (p *boardPool) since(version uint64, v View) PoolChange {
	c := p.change
	if p.homesVersion <= version {
		c.Homes = nil
	}
	if v == ViewLoads {
		return c
	}
	for a, h := range p.held {
		if h.version > version && (version > 0 || !h.isTombstone()) {
			h.Adapter = a
			c.Held = append(c.Held, h.Holding)
		}
	}
	slices.SortFunc(c.Held, func(x, y Holding) int { return cmp.Compare(x.Adapter, y.Adapter) })
	return c
}
