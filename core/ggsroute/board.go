package ggsroute

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

const (
	// loadSteps is the number of steps into which a pool's load is rounded
	// up to its slots; a change within a step isn't told.
	loadSteps = 8
	// keptLosses is the number of lost adapters that a group's entry keeps for
	// readers that haven't heard of them.
	keptLosses = 256
)

// A View says how much a reader wants to know.
type View int

// The views.
const (
	// ViewWhole is for readers in the dispatchers' region.
	ViewWhole View = iota
	// ViewLoads leaves out the adapters. It is for other regions, whose
	// requests cross only where the stall of a load pays anyway.
	ViewLoads
)

// A Board gathers the summaries of many dispatchers and tells readers what has
// changed since they last asked, in a form much smaller than the summaries. A
// relay of a failure domain keeps one, so that a gateway of a large deployment
// asks two or three relays and not each dispatcher. The dispatcher keeps a
// board of its own summaries, and relays merge these boards.
type Board struct {
	name    string
	maxAge  time.Duration
	version uint64
	next    uint32
	groups  map[ggscore.VMID]*entry
	list    []*entry
	sources map[string]*source
}

// A Changes is what has changed on a board. It builds on the version From.
type Changes struct {
	Board  string
	From   uint64
	To     uint64
	Groups []GroupChange
}

// A GroupChange is what has changed of one dispatcher.
type GroupChange struct {
	// Number names the dispatcher on this board.
	Number uint32
	// Identity is set where the change stands alone.
	Identity *Identity
	Sequence uint64
	Leaving  bool
	// Gone says that the board hasn't heard of the dispatcher for too long.
	Gone  bool
	Pools []PoolChange
}

// An Identity says which dispatcher a number stands for.
type Identity struct {
	VM          ggscore.VMID
	Region      ggscore.Region
	Domain      ggscore.Domain
	Incarnation string
}

// A PoolChange is what has changed of a dispatcher's endpoints of a service.
type PoolChange struct {
	Service ggscore.Service
	// Endpoints is the number of those that may get work.
	Endpoints int
	Slots     int
	// Load is the number of requests running and queued, in whole steps.
	Load    int
	Loading int
	// Homes are the hashes of the runners that take any adapter; nil where
	// they haven't changed.
	Homes []uint64
	Held  []Holding
}

// A Holding says on how many runners of a pool an adapter is.
type Holding struct {
	// Adapter is the hash of its reference.
	Adapter uint64
	// Resident is the number of runners that hold it; with none, it is being
	// loaded or is gone.
	Resident uint8
	Loading  bool
}

// An entry is one dispatcher on the board.
type entry struct {
	number   uint32
	identity Identity
	order    order
	heard    time.Time
	gone     bool
	// version is that of its last change; a reader below floor needs it whole.
	version uint64
	floor   uint64
	pools   []*boardPool
}

// A boardPool is one pool on the board.
type boardPool struct {
	change  PoolChange
	version uint64
	homesAt uint64
	held    map[uint64]heldAt
}

// A heldAt is a holding and the version of its last change.
type heldAt struct {
	Holding
	version uint64
}

// lost reports whether no runner has the adapter any more.
func (h Holding) lost() bool { return h.Resident == 0 && !h.Loading }

// NewBoard returns an empty board. The name is unique for ever, such as the
// incarnation of the process that keeps it. A dispatcher is gone when its last
// summary is older than maxAge.
func NewBoard(name string, maxAge time.Duration) *Board {
	return &Board{
		name:    name,
		maxAge:  maxAge,
		groups:  map[ggscore.VMID]*entry{},
		sources: map[string]*source{},
	}
}

// Put takes the own summary of the dispatcher that keeps the board, and reports
// whether it was news.
func (b *Board) Put(now time.Time, s *ggscore.DispatcherSummary) bool {
	e := b.entryOf(s.VM)
	wasLeaving := e.order.leaving
	if !e.order.accept(s, now.Sub(e.heard) >= b.maxAge) {
		return false
	}
	b.hear(now, e)
	b.version++
	if e.identity.Incarnation != s.Incarnation || e.floor == 0 {
		e.identity = Identity{VM: s.VM, Region: s.Region, Domain: s.Domain, Incarnation: s.Incarnation}
		e.floor, e.version = b.version, b.version
	}
	if e.order.leaving != wasLeaving {
		e.version = b.version
	}
	for name, p := range digest(s) {
		e.take(b.version, name, p)
	}
	return true
}

// Since returns what has changed since a version; zero stands for everything.
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

// entryOf returns a dispatcher's entry, new where there was none.
func (b *Board) entryOf(vm ggscore.VMID) *entry {
	e, ok := b.groups[vm]
	if !ok {
		e = &entry{number: b.next}
		b.next++
		b.groups[vm] = e
		b.list = append(b.list, e)
	}
	return e
}

// expire marks the dispatchers that were not heard of for too long, and
// forgets those that are long gone.
func (b *Board) expire(now time.Time) {
	b.list = slices.DeleteFunc(b.list, func(e *entry) bool {
		old := now.Sub(e.heard) > tombstoneAge
		if old {
			delete(b.groups, e.identity.VM)
		}
		return old
	})
	for _, e := range b.list {
		if !e.gone && now.Sub(e.heard) >= b.maxAge {
			b.version++
			e.gone = true
			e.version = b.version
		}
	}
}

// digest sums a summary up by service.
func digest(s *ggscore.DispatcherSummary) map[ggscore.Service]*boardPool {
	pools := map[ggscore.Service]*boardPool{}
	for i := range s.Runners {
		r := &s.Runners[i]
		p, ok := pools[r.Service]
		if !ok {
			p = &boardPool{held: map[uint64]heldAt{}}
			p.change.Service = r.Service
			p.change.Homes = []uint64{}
			pools[r.Service] = p
		}
		if r.Mode != ggscore.ModeNone && !r.Leaving {
			p.add(r)
		}
	}
	for _, p := range pools {
		p.change.Load = rounded(p.change.Load, p.change.Slots)
	}
	return pools
}

// add sums one endpoint up.
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

// rounded returns a load in whole steps. It rounds up, so that a full pool
// never seems to have room.
func rounded(load, slots int) int {
	step := max(slots/loadSteps, 1)
	return (load + step - 1) / step * step
}

// take brings one pool up to date.
func (e *entry) take(version uint64, name ggscore.Service, n *boardPool) {
	p := e.pool(name)
	changed := p.change.Slots != n.change.Slots || p.change.Load != n.change.Load || p.change.Loading != n.change.Loading
	if !slices.Equal(p.change.Homes, n.change.Homes) || p.homesAt == 0 {
		p.homesAt = version
		changed = true
	}
	p.change = n.change
	if p.takeHeld(version, n.held) || changed {
		p.version, e.version = version, version
	}
	e.trim(p)
}

// pool returns the entry's pool of a service, new where there was none.
func (e *entry) pool(name ggscore.Service) *boardPool {
	for _, p := range e.pools {
		if p.change.Service == name {
			return p
		}
	}
	p := &boardPool{change: PoolChange{Service: name}, held: map[uint64]heldAt{}}
	e.pools = append(e.pools, p)
	return p
}

// takeHeld brings the adapters up to date and reports whether any changed.
func (p *boardPool) takeHeld(version uint64, held map[uint64]heldAt) bool {
	changed := false
	for a, h := range held {
		if old := p.held[a]; old.Resident != h.Resident || old.Loading != h.Loading {
			p.held[a] = heldAt{Holding: h.Holding, version: version}
			changed = true
		}
	}
	for a, h := range p.held {
		if _, ok := held[a]; !ok && !h.lost() {
			p.held[a] = heldAt{version: version}
			changed = true
		}
	}
	return changed
}

// trim forgets the oldest lost adapters. A reader that may not have heard of
// them gets the whole entry.
func (e *entry) trim(p *boardPool) {
	type loss struct{ adapter, version uint64 }
	losses := []loss{}
	for a, h := range p.held {
		if h.lost() {
			losses = append(losses, loss{adapter: a, version: h.version})
		}
	}
	if len(losses) <= keptLosses {
		return
	}
	slices.SortFunc(losses, func(x, y loss) int { return cmp.Compare(x.version, y.version) })
	for _, l := range losses[:len(losses)/2] {
		delete(p.held, l.adapter)
		e.floor = max(e.floor, l.version)
	}
}

// since returns what has changed of the dispatcher since a version.
func (e *entry) since(version uint64, v View) GroupChange {
	c := GroupChange{Number: e.number, Sequence: e.order.sequence, Leaving: e.order.leaving, Gone: e.gone}
	if version < e.floor {
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

// since returns what has changed of the pool since a version.
func (p *boardPool) since(version uint64, v View) PoolChange {
	c := p.change
	if p.homesAt <= version {
		c.Homes = nil
	}
	if v == ViewLoads {
		return c
	}
	for a, h := range p.held {
		if h.version > version && (version > 0 || !h.lost()) {
			h.Adapter = a
			c.Held = append(c.Held, h.Holding)
		}
	}
	slices.SortFunc(c.Held, func(x, y Holding) int { return cmp.Compare(x.Adapter, y.Adapter) })
	return c
}
