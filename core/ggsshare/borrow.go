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
	// turnStart is when the current turn with the unit began.
	turnStart time.Time
	// releasedRevision is the greatest revision that the borrower has released.
	releasedRevision ggscore.StoreRevision
	// inFlight is set while a call on the record is in flight.
	inFlight bool
}

// adopt marks a record's unit as held if the record belongs to the current lease.
//
// A delete whose answer was lost may take effect much later, and a list may still contain the
// record from before the delete. If the borrower used the unit again, the unit would have two
// holders as soon as another borrows it. A released revision is therefore never adopted. A
// later put gives the record a new revision, which the late delete doesn't match.
func (s *Borrower) adopt(now time.Time, r Record) {
	x := s.unitState(r.Unit)
	if r.Lease != s.lease.ID || r.Lease == 0 || r.Revision <= x.releasedRevision {
		return
	}
	if x.heldRevision != r.Revision {
		x.heldRevision = r.Revision
		x.turnStart = now
	}
}

// backOff sets the time of the next attempt to borrow, with exponential backoff and jitter.
func (s *Borrower) backOff(now time.Time) {
	wait := s.attemptWait/2 + time.Duration(s.rng.Int64N(int64(s.attemptWait)))
	s.nextAttempt = now.Add(wait)
	s.attemptWait = min(2*s.attemptWait, maxAttemptWait)
}

// borrow returns puts for as many free units as the demand needs. It starts at a random unit,
// so that borrowers don't contend for the same ones.
func (s *Borrower) borrow(now time.Time, taken map[Unit]bool) []Order {
	orders := []Order{}
	needed := s.shortfall(now)
	n := s.borrowable()
	if n <= 0 || needed <= 0 {
		return nil
	}
	start := s.rng.IntN(n)
	for i := range n {
		u := Unit((start + i) % n)
		x := s.unitState(u)
		if len(orders) == needed {
			break
		}
		if taken[u] || x.heldRevision != 0 || x.inFlight {
			continue
		}
		x.inFlight = true
		orders = append(orders, s.putOrder(u))
	}
	return orders
}

// borrowable returns the number of units that may be borrowed. During a change of plan it is
// the smaller number of the two plans.
func (s *Borrower) borrowable() int {
	if s.growsAt.IsZero() {
		return s.plan.Borrowed()
	}
	return min(s.plan.Borrowed(), s.nextPlan.Borrowed())
}

// requestTurn returns a put of the WaitMarker record, if the borrower holds less than an equal
// share of the units and no borrower has put that record yet.
func (s *Borrower) requestTurn(taken map[Unit]bool, holders int) []Order {
	x := s.unitState(WaitMarker)
	if taken[WaitMarker] || x.heldRevision != 0 || x.inFlight {
		return nil
	}
	if len(s.heldUnits()) >= max(s.borrowable()/holders, 1) {
		return nil
	}
	x.inFlight = true
	return []Order{s.putOrder(WaitMarker)}
}

// deleteReleased deletes a released record that still exists because its delete was lost.
// Otherwise no borrower could use the unit until the lease ends.
func (s *Borrower) deleteReleased(r Record) []Order {
	x := s.unitState(r.Unit)
	if r.Lease != s.lease.ID || r.Lease == 0 || r.Revision != x.releasedRevision || x.inFlight {
		return nil
	}
	x.inFlight = true
	return []Order{{Kind: OrderDelete, Unit: r.Unit, Prev: r.Revision}}
}

// release stops using units and returns the deletes of their records.
func (s *Borrower) release(now time.Time, units []Unit) []Order {
	orders := []Order{}
	for _, u := range units {
		x := s.unitState(u)
		if x.inFlight || x.heldRevision == 0 {
			continue
		}
		orders = append(orders, Order{Kind: OrderDelete, Unit: u, Prev: x.heldRevision})
		x.inFlight = true
		x.releasedRevision = x.heldRevision
		x.heldRevision = 0
	}
	if len(orders) > 0 {
		s.nextAttempt = now.Add(minAttemptWait)
	}
	return orders
}

// heldUnits returns the held units in ascending order, without WaitMarker.
func (s *Borrower) heldUnits() []Unit {
	list := []Unit{}
	for u, x := range s.units {
		if u != WaitMarker && x.heldRevision != 0 {
			list = append(list, u)
		}
	}
	slices.Sort(list)
	return list
}

// needsList reports whether the records must be read.
func (s *Borrower) needsList(now time.Time) bool {
	if s.lease.ID == 0 || !now.Before(s.lease.Expires) {
		return false
	}
	ends := s.nextTurnEnd()
	return s.mayHaveUnknownRecord || s.shortfall(now) > 0 || !ends.IsZero() && !now.Before(ends)
}

// putOrder returns the order to write a unit's record.
func (s *Borrower) putOrder(u Unit) Order {
	return Order{
		Kind:   OrderPut,
		Unit:   u,
		Lease:  s.lease.ID,
		Holder: s.options.Self,
	}
}

// nextTurnEnd returns when the first turn of a held unit ends, or the zero time.
func (s *Borrower) nextTurnEnd() time.Time {
	ends := time.Time{}
	for u, x := range s.units {
		end := x.turnStart.Add(turnDuration)
		if u != WaitMarker && x.heldRevision != 0 && (ends.IsZero() || end.Before(ends)) {
			ends = end
		}
	}
	return ends
}

// unitState returns the state of a unit, and adds it if there is none.
func (s *Borrower) unitState(u Unit) *unitState {
	x, ok := s.units[u]
	if !ok {
		x = &unitState{}
		s.units[u] = x
	}
	return x
}

// releaseWaitMarker releases the WaitMarker record once the borrower has as many units as its
// demand needs, or an equal share.
func (s *Borrower) releaseWaitMarker(now time.Time, holders int) []Order {
	if s.shortfall(now) > 0 && len(s.heldUnits()) < max(s.borrowable()/holders, 1) {
		return nil
	}
	return s.release(now, []Unit{WaitMarker})
}

// shortfall returns how many more units the demand needs than are held or being borrowed.
func (s *Borrower) shortfall(now time.Time) int {
	if !s.owner || !now.Before(s.lease.Expires) {
		return 0
	}
	n := s.demand - s.staticUnits()
	for u, x := range s.units {
		if u != WaitMarker && (x.heldRevision != 0 || x.inFlight) {
			n--
		}
	}
	return n
}

// yield releases units whose turn has ended, if another borrower has put the WaitMarker record
// and this one holds more than an equal share; otherwise their next turn begins. After a release
// yield delays the next attempt to borrow, so that the other borrower attempts first.
func (s *Borrower) yield(now time.Time, otherWaits bool, holders int) []Order {
	if x := s.unitState(WaitMarker); x.heldRevision != 0 {
		return s.releaseWaitMarker(now, holders)
	}
	ended := []Unit{}
	held := s.heldUnits()
	for _, u := range held {
		if now.Sub(s.units[u].turnStart) < turnDuration {
			continue
		}
		s.units[u].turnStart = now
		ended = append(ended, u)
	}
	spare := len(held) - s.borrowable()/(holders+1)
	if !otherWaits || spare <= 0 {
		return nil
	}
	orders := s.release(now, ended[:min((spare+1)/2, len(ended))])
	if len(orders) > 0 {
		s.nextAttempt = now.Add(2 * maxAttemptWait)
	}
	return orders
}
