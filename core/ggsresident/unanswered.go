package ggsresident

import (
	"slices"
	"time"
)

const (
	// lateOrderMaxAge is how long after sending an unanswered order may still be executed.
	lateOrderMaxAge = 20 * time.Second
	// rerecordAge is the age of an order's record from which a repetition of the order is recorded
	// again, so that the record doesn't expire before the repetition.
	rerecordAge = 5 * time.Second
)

// An Unanswered holds the orders that an endpoint didn't answer. An order that expects a number
// which the endpoint hasn't reached may take effect later. An Unanswered is kept across
// restarts of the endpoint, because the next process counts its orders from zero and may reach
// the number again.
//
// The owner records these orders where its successor finds them: the next process of its VM, or
// another VM. Until an order is recorded, the owner sends none that expects another number. A
// successor therefore knows all numbers but one.
type Unanswered struct {
	orders []unansweredOrder
	// takeovers are the times at which a successor took over. For each, one order may be missing
	// in orders.
	takeovers []time.Time
	// stored is set if the last record has any content.
	stored bool
	// unrecorded is set if nobody records the orders, so that none waits for a record.
	unrecorded bool
}

type unansweredOrder struct {
	expected uint64
	sent     time.Time
	// recorded is the value of sent in the last record, zero for none.
	recorded time.Time
}

// An OrderRecord is what an endpoint's owner records for its successor.
type OrderRecord struct {
	// Expected are the numbers that unanswered orders expect.
	Expected []uint64
	// Takeovers is the number of owners that recently took over from another one.
	Takeovers int
}

// Inherit applies the record of the previous owner, whose orders may have been sent until now.
func (u *Unanswered) Inherit(now time.Time, r OrderRecord) {
	for _, n := range r.Expected {
		u.add(now, n)
		u.find(n).recorded = now
	}
	for range r.Takeovers + 1 {
		u.takeovers = append(u.takeovers, now)
	}
}

// Record returns what is to be recorded.
func (u *Unanswered) Record(now time.Time) OrderRecord {
	u.prune(now)
	r := OrderRecord{Takeovers: len(u.takeovers)}
	for i := range u.orders {
		r.Expected = append(r.Expected, u.orders[i].expected)
	}
	return r
}

// Recorded applies that a record was stored. It was made at the given time.
func (u *Unanswered) Recorded(made time.Time, r OrderRecord) {
	u.stored = len(r.Expected) > 0 || r.Takeovers > 0
	for _, n := range r.Expected {
		if o := u.find(n); o != nil {
			o.recorded = made
			if o.sent.Before(made) {
				o.recorded = o.sent
			}
		}
	}
}

// RecordDue returns when the next record is due, zero for never.
func (u *Unanswered) RecordDue(now time.Time) time.Time {
	u.prune(now)
	if slices.ContainsFunc(u.orders, func(o unansweredOrder) bool { return o.sent.Sub(o.recorded) > rerecordAge }) {
		return now
	}
	if !u.stored {
		return time.Time{}
	}
	// Once nothing is left, an empty record ends what a successor would otherwise inherit.
	due := now
	for i := range u.orders {
		due = later(due, u.orders[i].sent.Add(lateOrderMaxAge+time.Nanosecond))
	}
	for _, t := range u.takeovers {
		due = later(due, t.Add(lateOrderMaxAge+time.Nanosecond))
	}
	return due
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// Blocks reports whether an order that expects a number has to wait for the record of another
// order.
func (u *Unanswered) Blocks(now time.Time, expected uint64) bool {
	u.prune(now)
	return !u.unrecorded && slices.ContainsFunc(u.orders, func(o unansweredOrder) bool { return o.recorded.IsZero() && o.expected != expected })
}

// Empty reports whether no unanswered order may still be executed.
func (u *Unanswered) Empty(now time.Time) bool {
	u.prune(now)
	return len(u.orders) == 0 && len(u.takeovers) == 0
}

// add records an unanswered order.
func (u *Unanswered) add(now time.Time, expected uint64) {
	u.prune(now)
	if o := u.find(expected); o != nil {
		o.sent = now
		return
	}
	u.orders = append(u.orders, unansweredOrder{expected: expected, sent: now})
}

// find returns the order that expects a number, nil for none.
func (u *Unanswered) find(expected uint64) *unansweredOrder {
	for i := range u.orders {
		if u.orders[i].expected == expected {
			return &u.orders[i]
		}
	}
	return nil
}

func (u *Unanswered) prune(now time.Time) {
	u.orders = slices.DeleteFunc(u.orders, func(o unansweredOrder) bool { return now.Sub(o.sent) > lateOrderMaxAge })
	u.takeovers = slices.DeleteFunc(u.takeovers, func(t time.Time) bool { return now.Sub(t) > lateOrderMaxAge })
}

// consecutive returns how many unanswered orders may be executed in a row once the endpoint has
// accepted the given number of orders. An order of an earlier owner that isn't known may expect
// any number, unless it was sent to the process that still runs: there, it expects one that comes
// no more once the next order is accepted. The process has started by the given time, zero if that
// isn't known.
func (u *Unanswered) consecutive(now time.Time, sequence uint64, started time.Time) int {
	u.prune(now)
	n, unknown := 0, 0
	for _, t := range u.takeovers {
		if started.IsZero() || t.Sub(started) < lateOrderMaxAge {
			unknown++
		}
	}
	for {
		if u.find(sequence+uint64(n)) == nil { //nolint:gosec // n counts orders
			if unknown == 0 {
				return n
			}
			unknown--
		}
		n++
	}
}
