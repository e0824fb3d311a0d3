package ggsshare

import (
	"math/rand/v2"
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

// SetPlan changes the plan; the first is in force at once. What a change takes
// away is taken away now; what it adds comes after the settling time.
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
