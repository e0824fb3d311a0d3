package ggsshare

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
)

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

// unmark gives up the mark once the borrower has what it wants, or an equal
// part.
func (s *State) unmark(now time.Time, holders int) []Order {
	if s.wants(now) > 0 && len(s.heldUnits()) < max(s.borrowable()/holders, 1) {
		return nil
	}
	return s.giveUp(now, []Unit{Wanted})
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
