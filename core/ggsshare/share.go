package ggsshare

import (
	"math/rand/v2"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

const (
	// settleTime is how long a larger share waits after a change of plan, so
	// that the groups whose shares shrink have heard of it.
	settleTime = 15 * time.Second
	// idleTime is how long a unit is kept without demand.
	idleTime = 2 * time.Second
	// turnTime is how long a unit is kept while others find none free.
	turnTime = 10 * time.Second
	// minAsk and maxAsk bound the waits between two attempts to borrow.
	minAsk = 250 * time.Millisecond
	maxAsk = 4 * time.Second
	// askTimeout is how long an answer to an order is awaited.
	askTimeout = 5 * time.Second
)

// seedStream separates this package's random numbers from others of one seed.
const seedStream = 0x7368617265

// An OrderKind says what an Order asks for.
type OrderKind int

// The kinds of orders.
const (
	// OrderList reads all units' records.
	OrderList OrderKind = iota
	// OrderPut writes a unit's record under Lease, if it has revision Prev.
	OrderPut
	// OrderDelete deletes a unit's record, if it has revision Prev.
	OrderDelete
)

// An Order is one call of the platform's service.
type Order struct {
	Kind  OrderKind
	Unit  Unit
	Prev  ggscore.StoreRevision
	Lease ggscore.LeaseID
	// Holder is the record's value.
	Holder ggscore.VMID
}

// A Record is a unit's record as it was read.
type Record struct {
	Unit     Unit
	Revision ggscore.StoreRevision
	Lease    ggscore.LeaseID
}

// A Result is how a call ended.
type Result int

// The results of calls.
const (
	ResultDone Result = iota
	// ResultRefused means that the call had no effect.
	ResultRefused
	// ResultUnknown means that it may have had, or may yet have.
	ResultUnknown
)

// A Lease is the VM's lease of the platform's service. Expires is on the own
// monotonic clock: counted from before the call that granted or renewed it was
// sent, and less the margin and the longest time that a load may take.
type Lease struct {
	ID      ggscore.LeaseID
	Expires time.Time
}

// An Options describes one borrower.
type Options struct {
	Self ggscore.VMID
	// Group is the number of its group.
	Group int
	Seed  uint64
}

// A State is one borrower's share.
type State struct {
	options Options
	rng     *rand.Rand
	plan    Plan
	// next is a plan that waits to grow into.
	next    Plan
	grows   time.Time
	lease   Lease
	owner   bool
	demand  int
	idleAt  time.Time
	units   map[Unit]*unit
	asked   time.Time
	asking  bool
	askNext time.Time
	askWait time.Duration
	// unclear is set while a record may exist that the state doesn't know of.
	unclear bool
}

// A unit is what the borrower knows of one borrowed unit.
type unit struct {
	// held is the revision of the own record, zero where it has none.
	held  ggscore.StoreRevision
	since time.Time
	// givenUp is the greatest revision that the borrower has given up.
	givenUp ggscore.StoreRevision
	// busy is set while a call on the record is under way.
	busy bool
}

// New returns a state without a plan, a lease and ownership: its share is
// nothing.
func New(o Options) *State {
	return &State{
		options: o,
		rng:     rand.New(rand.NewPCG(o.Seed, seedStream)),
		units:   map[Unit]*unit{},
		askWait: minAsk,
	}
}

// DeleteEnded reports the end of an OrderDelete. The unit was given up before
// the order went out, whatever became of it.
func (s *State) DeleteEnded(now time.Time, u Unit, res Result) []Order {
	s.unit(u).busy = false
	s.unclear = s.unclear || res == ResultUnknown
	return s.Tick(now)
}

// ListFailed reports that an OrderList had no answer.
func (s *State) ListFailed(now time.Time) {
	s.asking = false
	s.backOff(now)
}

// Listed takes the answer to an OrderList.
func (s *State) Listed(now time.Time, records []Record) []Order {
	s.asking = false
	s.unclear = false
	taken := map[Unit]bool{}
	holders := map[ggscore.LeaseID]bool{s.lease.ID: true}
	orders := []Order{}
	for _, r := range records {
		taken[r.Unit] = true
		holders[r.Lease] = holders[r.Lease] || r.Unit != Wanted
		s.adopt(now, r)
		orders = append(orders, s.clean(r)...)
	}
	orders = append(orders, s.borrow(now, taken)...)
	if s.wants(now) > 0 {
		s.backOff(now)
		orders = append(orders, s.call(taken, len(holders))...)
	}
	orders = append(orders, s.yield(now, taken[Wanted], len(holders))...)
	if s.demand <= s.static() && s.idleAt.IsZero() && len(s.heldUnits()) > 0 {
		s.idleAt = now.Add(idleTime)
	}
	return orders
}

// Next returns when Tick is wanted next, or the zero time.
func (s *State) Next() time.Time {
	next := time.Time{}
	for _, t := range []time.Time{s.grows, s.idleAt, s.askNext, s.turnEnds(), s.lease.Expires} {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	return next
}

// PutEnded reports the end of an OrderPut, with the record's revision where it
// was done.
//
// The answer may come after the lease under which the record was put has
// lapsed and another is held: the record has then vanished, and another
// borrower may have the unit. Only a record of the lease held now counts.
func (s *State) PutEnded(now time.Time, u Unit, l ggscore.LeaseID, rev ggscore.StoreRevision, res Result) []Order {
	x := s.unit(u)
	x.busy = false
	if res == ResultDone {
		s.adopt(now, Record{Unit: u, Revision: rev, Lease: l})
		s.askWait = minAsk
		return s.Tick(now)
	}
	s.unclear = s.unclear || res == ResultUnknown
	s.backOff(now)
	return nil
}

// SetDemand sets the number of loads that the group could start now.
func (s *State) SetDemand(now time.Time, loads int) []Order {
	s.demand = loads
	if loads > s.static() {
		s.idleAt = time.Time{}
	} else if s.idleAt.IsZero() {
		s.idleAt = now.Add(idleTime)
	}
	return s.Tick(now)
}

// SetLease takes the VM's lease, new or renewed. Records of an earlier lease
// are lost with it.
func (s *State) SetLease(l Lease) {
	if l.ID != s.lease.ID {
		for _, x := range s.units {
			x.held = 0
		}
	}
	s.lease = l
}

// SetOwner says whether the VM owns its group's endpoints.
func (s *State) SetOwner(owner bool) { s.owner = owner }

// SetPlan changes the plan; the first is in force at once. What it takes away is taken away now; what it adds
// comes after the settling time.
//
// The groups hear of a change one after the other. A group that grew at once
// would use what another, which hasn't heard yet, still uses.
func (s *State) SetPlan(now time.Time, p Plan) {
	if s.plan == (Plan{}) {
		s.plan = p
	}
	if s.plan == p {
		s.next, s.grows = Plan{}, time.Time{}
		return
	}
	s.next = p
	s.grows = now.Add(settleTime)
}

// Share returns what the group may use now. It is to be asked immediately
// before each load, and not kept.
//
// A VM that was paused, or cut off from the platform, still believes that it
// borrows its units when others have them, and the store would get both VMs'
// loads. The lease's end is compared on the VM's own monotonic clock at each
// call; it was counted from before the renewal was sent, so the platform's
// comes later.
func (s *State) Share(now time.Time) ggscore.LoadShare {
	units := s.static()
	if now.Before(s.lease.Expires) {
		for u, x := range s.units {
			if u != Wanted && x.held != 0 && int(u) < s.borrowable() {
				units++
			}
		}
	}
	return s.smallerPlan().Share(units)
}

// Tick does what is due at now.
func (s *State) Tick(now time.Time) []Order {
	if !s.grows.IsZero() && !now.Before(s.grows) {
		s.plan, s.next, s.grows = s.next, Plan{}, time.Time{}
	}
	if s.asking && now.Sub(s.asked) > askTimeout {
		s.ListFailed(now)
	}
	if !s.idleAt.IsZero() && !now.Before(s.idleAt) {
		s.idleAt = time.Time{}
		return s.giveUp(now, append(s.heldUnits(), Wanted))
	}
	if s.asking || now.Before(s.askNext) || !s.needsList(now) {
		return nil
	}
	s.asking = true
	s.asked = now
	return []Order{{Kind: OrderList}}
}

// adopt counts a record as held, if it is the own one of the lease held now.
//
// A delete whose answer was lost may take effect much later, and a list may
// show the record as it was before the delete. Used again, the unit would have
// two holders once another borrows it. A revision that was given up is
// therefore never adopted; a later put gives the record a new one, for which
// the late delete no longer holds.
func (s *State) adopt(now time.Time, r Record) {
	x := s.unit(r.Unit)
	if r.Lease != s.lease.ID || r.Lease == 0 || r.Revision <= x.givenUp {
		return
	}
	if x.held != r.Revision {
		x.held = r.Revision
		x.since = now
	}
}

// backOff sets the time of the next attempt to borrow.
func (s *State) backOff(now time.Time) {
	wait := s.askWait/2 + time.Duration(s.rng.Int64N(int64(s.askWait)))
	s.askNext = now.Add(wait)
	s.askWait = min(2*s.askWait, maxAsk)
}

// borrow orders as many of the free units as are wanted, from a random one on,
// so that borrowers don't all ask for the same.
func (s *State) borrow(now time.Time, taken map[Unit]bool) []Order {
	orders := []Order{}
	want := s.wants(now)
	n := s.borrowable()
	if n <= 0 || want <= 0 {
		return nil
	}
	start := s.rng.IntN(n)
	for i := range n {
		u := Unit((start + i) % n)
		x := s.unit(u)
		if len(orders) == want {
			break
		}
		if taken[u] || x.held != 0 || x.busy {
			continue
		}
		x.busy = true
		orders = append(orders, s.put(u))
	}
	return orders
}

// borrowable returns the number of units that may be borrowed by the old plan
// and by the new one.
func (s *State) borrowable() int {
	if s.grows.IsZero() {
		return s.plan.Borrowed()
	}
	return min(s.plan.Borrowed(), s.next.Borrowed())
}

// call asks for a turn, where the borrower has less than an equal part and
// nobody else asks.
func (s *State) call(taken map[Unit]bool, holders int) []Order {
	x := s.unit(Wanted)
	if taken[Wanted] || x.held != 0 || x.busy {
		return nil
	}
	if len(s.heldUnits()) >= max(s.borrowable()/holders, 1) {
		return nil
	}
	x.busy = true
	return []Order{s.put(Wanted)}
}

// clean deletes an own record that is still there although it was given up,
// since the delete got lost. Nobody could borrow the unit until the lease ends.
func (s *State) clean(r Record) []Order {
	x := s.unit(r.Unit)
	if r.Lease != s.lease.ID || r.Lease == 0 || r.Revision != x.givenUp || x.busy {
		return nil
	}
	x.busy = true
	return []Order{{Kind: OrderDelete, Unit: r.Unit, Prev: r.Revision}}
}

// giveUp stops using units, and orders the deletes of their records.
func (s *State) giveUp(now time.Time, units []Unit) []Order {
	orders := []Order{}
	for _, u := range units {
		x := s.unit(u)
		if x.busy || x.held == 0 {
			continue
		}
		orders = append(orders, Order{Kind: OrderDelete, Unit: u, Prev: x.held})
		x.busy = true
		x.givenUp = x.held
		x.held = 0
	}
	if len(orders) > 0 {
		s.askNext = now.Add(minAsk)
	}
	return orders
}

// heldUnits returns the held units in order, the mark apart.
func (s *State) heldUnits() []Unit {
	list := []Unit{}
	for u, x := range s.units {
		if u != Wanted && x.held != 0 {
			list = append(list, u)
		}
	}
	slices.Sort(list)
	return list
}

// needsList reports whether the records are to be read.
func (s *State) needsList(now time.Time) bool {
	if s.lease.ID == 0 || !now.Before(s.lease.Expires) {
		return false
	}
	ends := s.turnEnds()
	return s.unclear || s.wants(now) > 0 || !ends.IsZero() && !now.Before(ends)
}

// put returns the order to write a unit's record.
func (s *State) put(u Unit) Order {
	return Order{
		Kind:   OrderPut,
		Unit:   u,
		Lease:  s.lease.ID,
		Holder: s.options.Self,
	}
}

// smallerPlan returns the plan whose units allow fewer loads a second, while
// two are in question.
func (s *State) smallerPlan() Plan {
	if !s.grows.IsZero() && s.next.Share(1).LoadsPerSecond < s.plan.Share(1).LoadsPerSecond {
		return s.next
	}
	return s.plan
}

// static returns the number of static units that may be used.
func (s *State) static() int {
	if !s.owner {
		return 0
	}
	n := s.plan.Static(s.options.Group)
	if s.grows.IsZero() {
		return n
	}
	return min(n, s.next.Static(s.options.Group))
}

// turnEnds returns when the oldest held unit has had its turn.
func (s *State) turnEnds() time.Time {
	ends := time.Time{}
	for u, x := range s.units {
		end := x.since.Add(turnTime)
		if u != Wanted && x.held != 0 && (ends.IsZero() || end.Before(ends)) {
			ends = end
		}
	}
	return ends
}

// unit returns what is known of a unit.
func (s *State) unit(u Unit) *unit {
	x, ok := s.units[u]
	if !ok {
		x = &unit{}
		s.units[u] = x
	}
	return x
}

// wants returns how many units more the demand asks for.
func (s *State) wants(now time.Time) int {
	if !s.owner || !now.Before(s.lease.Expires) {
		return 0
	}
	want := s.demand - s.static()
	for u, x := range s.units {
		if u != Wanted && (x.held != 0 || x.busy) {
			want--
		}
	}
	return want
}

// yield gives up units that have had their turn, if another borrower has asked
// for one and this one has more than an equal part; else their next turn
// begins. It then waits until the other has asked again.
func (s *State) yield(now time.Time, wanted bool, holders int) []Order {
	if mark := s.unit(Wanted); mark.held != 0 {
		return s.unmark(now, holders)
	}
	ended := []Unit{}
	held := s.heldUnits()
	for _, u := range held {
		if now.Sub(s.units[u].since) < turnTime {
			continue
		}
		s.units[u].since = now
		ended = append(ended, u)
	}
	spare := len(held) - s.borrowable()/(holders+1)
	if !wanted || spare <= 0 {
		return nil
	}
	orders := s.giveUp(now, ended[:min((spare+1)/2, len(ended))])
	if len(orders) > 0 {
		s.askNext = now.Add(2 * maxAsk)
	}
	return orders
}

// unmark gives up the mark once the borrower has what it wants, or an equal
// part.
func (s *State) unmark(now time.Time, holders int) []Order {
	if s.wants(now) > 0 && len(s.heldUnits()) < max(s.borrowable()/holders, 1) {
		return nil
	}
	return s.giveUp(now, []Unit{Wanted})
}
