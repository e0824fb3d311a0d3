package ggsresident

import (
	"slices"
	"time"
)

// lateOrders is how long after it was sent an order without an answer may still be carried
// out.
const lateOrders = 20 * time.Second

// An Unanswered has the orders that an endpoint didn't answer. One that was given under a
// number which the endpoint hadn't reached meets its condition later. It outlives the
// endpoint's process: the next one counts its orders anew.
type Unanswered struct{ orders []unansweredOrder }

type unansweredOrder struct {
	expected uint64
	sent     time.Time
}

// add notes an order that wasn't answered.
func (u *Unanswered) add(now time.Time, expected uint64) {
	u.prune(now)
	u.orders = append(u.orders, unansweredOrder{expected: expected, sent: now})
}

// Empty reports whether no order may still be carried out.
func (u *Unanswered) Empty(now time.Time) bool {
	u.prune(now)
	return len(u.orders) == 0
}

func (u *Unanswered) prune(now time.Time) {
	u.orders = slices.DeleteFunc(u.orders, func(o unansweredOrder) bool { return now.Sub(o.sent) > lateOrders })
}

// chain returns how many late orders may be carried out in a row once the endpoint has
// accepted so many orders.
func (u *Unanswered) chain(now time.Time, sequence uint64) int {
	u.prune(now)
	n := 0
	for slices.ContainsFunc(u.orders, func(o unansweredOrder) bool { return o.expected == sequence+uint64(n) }) {
		n++
	}
	return n
}
