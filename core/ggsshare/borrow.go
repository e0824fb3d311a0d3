package ggsshare

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// A unitState is the borrower's state of one borrowed unit.
type unitState struct {
	// heldRevision is the revision of this borrower's record, zero if it holds none.
	heldRevision ggscore.StoreRevision
	// turnStart is when the current turn began: the time for which the unit may be kept although
	// another borrower waits.
	turnStart time.Time
	// releasedRevision is the greatest revision that the borrower has released.
	releasedRevision ggscore.StoreRevision
	// inFlight is set while a call on the record is in flight.
	inFlight bool
}

// adopt marks a record's unit as held if the record belongs to the current lease.
//
// A delete whose answer was lost may take effect much later, and a list may still contain the
// record from before the delete. If the borrower used the unit again, the late delete would free
// it for another borrower, and the unit would have two holders. A released revision is therefore
// never adopted. A later put gives the record a new revision, which the late delete doesn't
// match.
func (b *Borrower) adopt(now time.Time, r Record) {
	x := b.unitState(r.Unit)
	if r.Lease != b.lease.ID || r.Lease == 0 || r.Revision <= x.releasedRevision {
		return
	}
	if x.heldRevision != r.Revision {
		x.heldRevision = r.Revision
		x.turnStart = now
	}
}

// backOff sets the time of the next attempt to borrow, with exponential backoff and jitter.
func (b *Borrower) backOff(now time.Time) {
	wait := b.attemptWait/2 + time.Duration(b.rng.Int64N(int64(b.attemptWait)))
	b.nextAttempt = now.Add(wait)
	b.attemptWait = min(2*b.attemptWait, maxAttemptWait)
}

// borrow returns puts for as many free units as the demand needs. It starts at a random unit,
// so that borrowers don't contend for the same ones.
func (b *Borrower) borrow(now time.Time, taken map[Unit]bool) []Order {
	orders := []Order{}
	needed := b.shortfall(now)
	n := b.borrowable()
	if n <= 0 || needed <= 0 {
		return nil
	}
	start := b.rng.IntN(n)
	for i := range n {
		u := Unit((start + i) % n)
		x := b.unitState(u)
		if len(orders) == needed {
			break
		}
		if taken[u] || x.heldRevision != 0 || x.inFlight {
			continue
		}
		x.inFlight = true
		orders = append(orders, b.putOrder(u))
	}
	return orders
}

// borrowable returns the number of units that may be borrowed. During a change of plan, the
// smaller of the two plans' numbers counts.
func (b *Borrower) borrowable() int {
	if b.growsAt.IsZero() {
		return b.plan.Borrowed()
	}
	return min(b.plan.Borrowed(), b.nextPlan.Borrowed())
}

// requestTurn returns a put of the WaitMarker record, if the borrower holds less than an equal
// share of the units and no borrower has put that record yet.
func (b *Borrower) requestTurn(taken map[Unit]bool, holders int) []Order {
	x := b.unitState(WaitMarker)
	if taken[WaitMarker] || x.heldRevision != 0 || x.inFlight {
		return nil
	}
	if len(b.heldUnits()) >= max(b.borrowable()/holders, 1) {
		return nil
	}
	x.inFlight = true
	return []Order{b.putOrder(WaitMarker)}
}

// deleteReleased deletes a released record that still exists because its delete was lost.
// Otherwise no borrower could use the unit until the lease ends.
func (b *Borrower) deleteReleased(r Record) []Order {
	x := b.unitState(r.Unit)
	if r.Lease != b.lease.ID || r.Lease == 0 || r.Revision != x.releasedRevision || x.inFlight {
		return nil
	}
	x.inFlight = true
	return []Order{{Kind: OrderDelete, Unit: r.Unit, Prev: r.Revision}}
}

// release stops using those of the units that are held and without a call in flight, and returns
// the deletes of their records.
func (b *Borrower) release(now time.Time, units []Unit) []Order {
	orders := []Order{}
	for _, u := range units {
		x := b.unitState(u)
		if x.inFlight || x.heldRevision == 0 {
			continue
		}
		orders = append(orders, Order{Kind: OrderDelete, Unit: u, Prev: x.heldRevision})
		x.inFlight = true
		x.releasedRevision = x.heldRevision
		x.heldRevision = 0
	}
	if len(orders) > 0 {
		b.nextAttempt = now.Add(minAttemptWait)
	}
	return orders
}

// heldUnits returns the held units in ascending order, without WaitMarker.
func (b *Borrower) heldUnits() []Unit {
	list := []Unit{}
	for u, x := range b.units {
		if u != WaitMarker && x.heldRevision != 0 {
			list = append(list, u)
		}
	}
	slices.Sort(list)
	return list
}

// needsList reports whether the records must be read: for more units, at the end of a turn, or
// to find a record of this borrower that isn't in its state.
func (b *Borrower) needsList(now time.Time) bool {
	if b.lease.ID == 0 || !now.Before(b.lease.Expires) {
		return false
	}
	ends := b.nextTurnEnd()
	return b.mayHaveUnknownRecord || b.shortfall(now) > 0 || !ends.IsZero() && !now.Before(ends)
}

// putOrder returns the order to write a unit's record.
func (b *Borrower) putOrder(u Unit) Order {
	return Order{
		Kind:   OrderPut,
		Unit:   u,
		Lease:  b.lease.ID,
		Holder: b.options.Self,
	}
}

// nextTurnEnd returns when the first turn of a held unit ends, or the zero time.
func (b *Borrower) nextTurnEnd() time.Time {
	ends := time.Time{}
	for u, x := range b.units {
		end := x.turnStart.Add(turnDuration)
		if u != WaitMarker && x.heldRevision != 0 && (ends.IsZero() || end.Before(ends)) {
			ends = end
		}
	}
	return ends
}

// unitState returns the state of a unit, and adds it if there is none.
func (b *Borrower) unitState(u Unit) *unitState {
	x, ok := b.units[u]
	if !ok {
		x = &unitState{}
		b.units[u] = x
	}
	return x
}

// releaseWaitMarker releases the WaitMarker record once the borrower has as many units as its
// demand needs, or an equal share.
func (b *Borrower) releaseWaitMarker(now time.Time, holders int) []Order {
	if b.shortfall(now) > 0 && len(b.heldUnits()) < max(b.borrowable()/holders, 1) {
		return nil
	}
	return b.release(now, []Unit{WaitMarker})
}

// shortfall returns how many more units the demand needs than are held or being borrowed.
func (b *Borrower) shortfall(now time.Time) int {
	if !b.owner || !now.Before(b.lease.Expires) {
		return 0
	}
	n := b.demand - b.staticUnits()
	for u, x := range b.units {
		if u != WaitMarker && (x.heldRevision != 0 || x.inFlight) {
			n--
		}
	}
	return n
}

// yield releases units whose turn has ended, if another borrower has put the WaitMarker record
// and this one holds more than an equal share; otherwise the next turn of these units begins.
// After a release, yield delays the next attempt to borrow, so that the other borrower attempts
// first.
func (b *Borrower) yield(now time.Time, otherWaits bool, holders int) []Order {
	if x := b.unitState(WaitMarker); x.heldRevision != 0 {
		return b.releaseWaitMarker(now, holders)
	}
	ended := []Unit{}
	held := b.heldUnits()
	for _, u := range held {
		if now.Sub(b.units[u].turnStart) < turnDuration {
			continue
		}
		b.units[u].turnStart = now
		ended = append(ended, u)
	}
	spare := len(held) - b.borrowable()/(holders+1)
	if !otherWaits || spare <= 0 {
		return nil
	}
	orders := b.release(now, ended[:min((spare+1)/2, len(ended))])
	if len(orders) > 0 {
		b.nextAttempt = now.Add(2 * maxAttemptWait)
	}
	return orders
}
