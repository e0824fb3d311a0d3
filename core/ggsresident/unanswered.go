package ggsresident

import (
	"slices"
	"time"
)

// lateOrders is how long after it was sent an order without an answer may still be carried
// out.
const lateOrders = 20 * time.Second

// An Unanswered has the orders that an endpoint didn't answer. It outlives the
// endpoint's process: an order to a process that is gone may meet its condition at the next
// one, which counts its orders anew.
type Unanswered struct{ orders []unansweredOrder }

type unansweredOrder struct {
	expected uint64
	born     time.Time
	sent     time.Time
}

// add notes an order that the process which started at the time didn't answer.
func (u *Unanswered) add(now time.Time, born time.Time, expected uint64) {
	u.prune(now)
	u.orders = append(u.orders, unansweredOrder{expected: expected, born: born, sent: now})
}

// Empty reports whether no order may still be carried out.
func (u *Unanswered) Empty(now time.Time) bool {
	u.prune(now)
	return len(u.orders) == 0
}

func (u *Unanswered) prune(now time.Time) {
	u.orders = slices.DeleteFunc(u.orders, func(o unansweredOrder) bool { return now.Sub(o.sent) > lateOrders })
}

// chain returns how many orders to former processes may be carried out in a row at the one
// that started at the time, once it has accepted so many orders.
func (u *Unanswered) chain(now time.Time, born time.Time, sequence uint64) int {
	u.prune(now)
	n := 0
	for slices.ContainsFunc(u.orders, func(o unansweredOrder) bool {
		return o.expected == sequence+uint64(n) && !o.born.Equal(born)
	}) {
		n++
	}
	return n
}
