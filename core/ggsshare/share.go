package ggsshare

import (
	"math/rand/v2"
	"time"

	ggscore "greengageslip/core"
)

const (
	// growDelay is the time from a change of plan until shares grow. By then the groups whose
	// shares shrink have received the change.
	growDelay = 15 * time.Second
	// idleTimeout is how long borrowed units are kept without demand.
	idleTimeout = 2 * time.Second
	// turnDuration is how long a borrowed unit may be kept, counted from the start of its turn,
	// while another borrower waits for one.
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

// A Borrower is one VM's state of the units that it borrows and of the static units of its
// group.
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
func (b *Borrower) DeleteEnded(now time.Time, u Unit, res Result) []Order {
	b.unitState(u).inFlight = false
	b.mayHaveUnknownRecord = b.mayHaveUnknownRecord || res == ResultUnknown
	return b.Tick(now)
}

// ListFailed processes the failure of an OrderList.
func (b *Borrower) ListFailed(now time.Time) {
	b.listInFlight = false
	b.backOff(now)
}

// Listed processes the answer to an OrderList.
func (b *Borrower) Listed(now time.Time, records []Record) []Order {
	b.listInFlight = false
	b.mayHaveUnknownRecord = false
	taken := map[Unit]bool{}
	holders := map[ggscore.LeaseID]bool{b.lease.ID: true}
	orders := []Order{}
	for _, r := range records {
		taken[r.Unit] = true
		holders[r.Lease] = holders[r.Lease] || r.Unit != WaitMarker
		b.adopt(now, r)
		orders = append(orders, b.deleteReleased(r)...)
	}
	orders = append(orders, b.borrow(now, taken)...)
	if b.shortfall(now) > 0 {
		b.backOff(now)
		orders = append(orders, b.requestTurn(taken, len(holders))...)
	}
	orders = append(orders, b.yield(now, taken[WaitMarker], len(holders))...)
	if b.demand <= b.staticUnits() && b.idleAt.IsZero() && len(b.heldUnits()) > 0 {
		b.idleAt = now.Add(idleTimeout)
	}
	return orders
}

// Next returns when to call Tick next, or the zero time if no call is needed.
func (b *Borrower) Next() time.Time {
	next := time.Time{}
	for _, t := range []time.Time{b.growsAt, b.idleAt, b.nextAttempt, b.nextTurnEnd(), b.lease.Expires} {
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
// The platform has then deleted the record, and another borrower may hold the unit. Only a
// record of the current lease counts.
func (b *Borrower) PutEnded(now time.Time, u Unit, l ggscore.LeaseID, rev ggscore.StoreRevision, res Result) []Order {
	x := b.unitState(u)
	x.inFlight = false
	if res == ResultDone {
		b.adopt(now, Record{Unit: u, Revision: rev, Lease: l})
		b.attemptWait = minAttemptWait
		return b.Tick(now)
	}
	b.mayHaveUnknownRecord = b.mayHaveUnknownRecord || res == ResultUnknown
	b.backOff(now)
	return nil
}

// SetDemand sets the number of loads that the group could start now. It returns orders to
// execute.
func (b *Borrower) SetDemand(now time.Time, loads int) []Order {
	b.demand = loads
	if loads > b.staticUnits() {
		b.idleAt = time.Time{}
	} else if b.idleAt.IsZero() {
		b.idleAt = now.Add(idleTimeout)
	}
	return b.Tick(now)
}

// SetLease sets the VM's new or renewed lease. Units held under an earlier lease are dropped,
// since their records expire with that lease.
func (b *Borrower) SetLease(l Lease) {
	if l.ID != b.lease.ID {
		for _, x := range b.units {
			x.heldRevision = 0
		}
	}
	b.lease = l
}

// SetOwner sets whether the VM owns its group's endpoints.
func (b *Borrower) SetOwner(owner bool) { b.owner = owner }

// SetPlan changes the plan. The first plan takes effect immediately. A later change reduces
// shares immediately, and increases them after growDelay.
//
// The groups receive a change at different times. A group that grew immediately would use units
// that another group still uses, because that group hasn't received the change yet.
func (b *Borrower) SetPlan(now time.Time, p Plan) {
	if b.plan == (Plan{}) {
		b.plan = p
	}
	if b.plan == p {
		b.nextPlan, b.growsAt = Plan{}, time.Time{}
		return
	}
	b.nextPlan = p
	b.growsAt = now.Add(growDelay)
}

// Share returns the loads that the group may use now. It must be called immediately before
// each load, and its result must not be cached.
//
// A VM that was paused or disconnected from the platform still counts its borrowed units after
// other VMs have borrowed them, and the weight store would get the loads of both. Share
// therefore compares the lease's expiry with the VM's own monotonic clock at each call. The
// expiry is counted from before the renewal was sent, so the lease expires later on the
// platform.
func (b *Borrower) Share(now time.Time) ggscore.LoadShare {
	units := b.staticUnits()
	if now.Before(b.lease.Expires) {
		for u, x := range b.units {
			if u != WaitMarker && x.heldRevision != 0 && int(u) < b.borrowable() {
				units++
			}
		}
	}
	return b.lowerRatePlan().Share(units)
}

// Tick handles the timeouts that are due at now, and returns orders to execute.
func (b *Borrower) Tick(now time.Time) []Order {
	if !b.growsAt.IsZero() && !now.Before(b.growsAt) {
		b.plan, b.nextPlan, b.growsAt = b.nextPlan, Plan{}, time.Time{}
	}
	if b.listInFlight && now.Sub(b.listSentAt) > listTimeout {
		b.ListFailed(now)
	}
	if !b.idleAt.IsZero() && !now.Before(b.idleAt) {
		b.idleAt = time.Time{}
		return b.release(now, append(b.heldUnits(), WaitMarker))
	}
	if b.listInFlight || now.Before(b.nextAttempt) || !b.needsList(now) {
		return nil
	}
	b.listInFlight = true
	b.listSentAt = now
	return []Order{{Kind: OrderList}}
}

// lowerRatePlan returns the plan whose units allow fewer loads per second. During a change of
// plan it compares both plans.
func (b *Borrower) lowerRatePlan() Plan {
	if !b.growsAt.IsZero() && b.nextPlan.Share(1).LoadsPerSecond < b.plan.Share(1).LoadsPerSecond {
		return b.nextPlan
	}
	return b.plan
}

// staticUnits returns the number of static units that the VM may use.
func (b *Borrower) staticUnits() int {
	if !b.owner {
		return 0
	}
	n := b.plan.Static(b.options.Group)
	if b.growsAt.IsZero() {
		return n
	}
	return min(n, b.nextPlan.Static(b.options.Group))
}
