package ggsshare

import (
	"math/rand/v2"
	"time"

	ggscore "greengageslip/core"
)

const (
	// growDelay is the time from a change of plan until shares grow, so that the groups whose
	// shares shrink have received the change before.
	growDelay = 15 * time.Second
	// idleTimeout is how long borrowed units are kept without demand.
	idleTimeout = 2 * time.Second
	// turnDuration is how long a unit is kept while another borrower waits for one.
	turnDuration = 10 * time.Second
	// minAttemptWait and maxAttemptWait bound the backoff between attempts to borrow, before
	// jitter.
	minAttemptWait = 250 * time.Millisecond
	maxAttemptWait = 4 * time.Second
	// listTimeout is how long to wait for the answer to an OrderList.
	listTimeout = 5 * time.Second
)

// shareStream selects a random stream for borrowers that is independent of others with the same
// seed.
const shareStream = 0x7368617265

// A Lease is the VM's lease in the platform's key-value service. Expires is a time on the VM's
// own monotonic clock: the time at which the call that granted or renewed the lease was sent,
// plus the lease's duration, less a margin and the longest time that a load may take.
type Lease struct {
	ID      ggscore.LeaseID
	Expires time.Time
}

// Options configures one borrower.
type Options struct {
	Self ggscore.VMID
	// Group is the number of the borrower's group.
	Group int
	Seed  uint64
}

// A Borrower is the state of one borrower.
type Borrower struct {
	options Options
	rng     *rand.Rand
	plan    Plan
	// nextPlan is a plan that takes full effect at growsAt.
	nextPlan     Plan
	growsAt      time.Time
	lease        Lease
	owner        bool
	demand       int
	idleAt       time.Time
	units        map[Unit]*unitState
	listSentAt   time.Time
	listInFlight bool
	nextAttempt  time.Time
	attemptWait  time.Duration
	// mayHaveUnknownRecord is set while a record of this borrower may exist that isn't in units.
	mayHaveUnknownRecord bool
}

// NewBorrower returns a Borrower without a plan, a lease or ownership. Its share is zero.
func NewBorrower(o Options) *Borrower {
	return &Borrower{
		options:     o,
		rng:         rand.New(rand.NewPCG(o.Seed, shareStream)),
		units:       map[Unit]*unitState{},
		attemptWait: minAttemptWait,
	}
}

// DeleteEnded processes the result of an OrderDelete. The unit stays released whatever the
// result is, since it was released before the order was returned.
func (s *Borrower) DeleteEnded(now time.Time, u Unit, res Result) []Order {
	s.unitState(u).inFlight = false
	s.mayHaveUnknownRecord = s.mayHaveUnknownRecord || res == ResultUnknown
	return s.Tick(now)
}

// ListFailed processes the failure of an OrderList.
func (s *Borrower) ListFailed(now time.Time) {
	s.listInFlight = false
	s.backOff(now)
}

// Listed processes the answer to an OrderList.
func (s *Borrower) Listed(now time.Time, records []Record) []Order {
	s.listInFlight = false
	s.mayHaveUnknownRecord = false
	taken := map[Unit]bool{}
	holders := map[ggscore.LeaseID]bool{s.lease.ID: true}
	orders := []Order{}
	for _, r := range records {
		taken[r.Unit] = true
		holders[r.Lease] = holders[r.Lease] || r.Unit != WaitMarker
		s.adopt(now, r)
		orders = append(orders, s.deleteReleased(r)...)
	}
	orders = append(orders, s.borrow(now, taken)...)
	if s.shortfall(now) > 0 {
		s.backOff(now)
		orders = append(orders, s.requestTurn(taken, len(holders))...)
	}
	orders = append(orders, s.yield(now, taken[WaitMarker], len(holders))...)
	if s.demand <= s.staticUnits() && s.idleAt.IsZero() && len(s.heldUnits()) > 0 {
		s.idleAt = now.Add(idleTimeout)
	}
	return orders
}

// Next returns when to call Tick next, or the zero time if no call is needed.
func (s *Borrower) Next() time.Time {
	next := time.Time{}
	for _, t := range []time.Time{s.growsAt, s.idleAt, s.nextAttempt, s.nextTurnEnd(), s.lease.Expires} {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	return next
}

// PutEnded processes the result of an OrderPut. rev is the record's revision if res is
// ResultDone.
//
// The answer may arrive when the lease of the record has expired and the VM holds another one.
// The record is then deleted, and another borrower may hold the unit. Only a record of the
// current lease counts.
func (s *Borrower) PutEnded(now time.Time, u Unit, l ggscore.LeaseID, rev ggscore.StoreRevision, res Result) []Order {
	x := s.unitState(u)
	x.inFlight = false
	if res == ResultDone {
		s.adopt(now, Record{Unit: u, Revision: rev, Lease: l})
		s.attemptWait = minAttemptWait
		return s.Tick(now)
	}
	s.mayHaveUnknownRecord = s.mayHaveUnknownRecord || res == ResultUnknown
	s.backOff(now)
	return nil
}

// SetDemand sets the number of loads that the group could start now. It returns orders to
// execute.
func (s *Borrower) SetDemand(now time.Time, loads int) []Order {
	s.demand = loads
	if loads > s.staticUnits() {
		s.idleAt = time.Time{}
	} else if s.idleAt.IsZero() {
		s.idleAt = now.Add(idleTimeout)
	}
	return s.Tick(now)
}

// SetLease sets the VM's new or renewed lease. Units held under an earlier lease are dropped,
// since their records expire with that lease.
func (s *Borrower) SetLease(l Lease) {
	if l.ID != s.lease.ID {
		for _, x := range s.units {
			x.heldRevision = 0
		}
	}
	s.lease = l
}

// SetOwner sets whether the VM owns its group's endpoints.
func (s *Borrower) SetOwner(owner bool) { s.owner = owner }

// SetPlan changes the plan. The first plan takes effect immediately. A later change reduces
// shares immediately, and increases them after growDelay.
//
// The groups receive a change at different times. A group that grew immediately would use units
// that another group still uses, because that group hasn't received the change yet.
func (s *Borrower) SetPlan(now time.Time, p Plan) {
	if s.plan == (Plan{}) {
		s.plan = p
	}
	if s.plan == p {
		s.nextPlan, s.growsAt = Plan{}, time.Time{}
		return
	}
	s.nextPlan = p
	s.growsAt = now.Add(growDelay)
}

// Share returns the loads that the group may use now. It must be called immediately before
// each load, and its result must not be cached.
//
// A VM that was paused or disconnected from the platform still has its borrowed units in its
// state when other VMs hold them, and the store would get the loads of both. Share therefore
// compares the lease's expiry with the VM's own monotonic clock at each call. The expiry is
// counted from before the renewal was sent, so the lease expires later on the platform.
func (s *Borrower) Share(now time.Time) ggscore.LoadShare {
	units := s.staticUnits()
	if now.Before(s.lease.Expires) {
		for u, x := range s.units {
			if u != WaitMarker && x.heldRevision != 0 && int(u) < s.borrowable() {
				units++
			}
		}
	}
	return s.lowerRatePlan().Share(units)
}

// Tick handles the timeouts that are due at now, and returns orders to execute.
func (s *Borrower) Tick(now time.Time) []Order {
	if !s.growsAt.IsZero() && !now.Before(s.growsAt) {
		s.plan, s.nextPlan, s.growsAt = s.nextPlan, Plan{}, time.Time{}
	}
	if s.listInFlight && now.Sub(s.listSentAt) > listTimeout {
		s.ListFailed(now)
	}
	if !s.idleAt.IsZero() && !now.Before(s.idleAt) {
		s.idleAt = time.Time{}
		return s.release(now, append(s.heldUnits(), WaitMarker))
	}
	if s.listInFlight || now.Before(s.nextAttempt) || !s.needsList(now) {
		return nil
	}
	s.listInFlight = true
	s.listSentAt = now
	return []Order{{Kind: OrderList}}
}

// lowerRatePlan returns the plan whose units allow fewer loads per second. During a change of
// plan it compares both plans.
func (s *Borrower) lowerRatePlan() Plan {
	if !s.growsAt.IsZero() && s.nextPlan.Share(1).LoadsPerSecond < s.plan.Share(1).LoadsPerSecond {
		return s.nextPlan
	}
	return s.plan
}

// staticUnits returns the number of static units that the VM may use.
func (s *Borrower) staticUnits() int {
	if !s.owner {
		return 0
	}
	n := s.plan.Static(s.options.Group)
	if s.growsAt.IsZero() {
		return n
	}
	return min(n, s.nextPlan.Static(s.options.Group))
}
