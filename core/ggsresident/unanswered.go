package ggsresident

import (
	"slices"
	"time"
)

// lateOrderMaxAge is how long after sending an unanswered order may still be executed.
const lateOrderMaxAge = 20 * time.Second

// An Unanswered holds the orders that an endpoint didn't answer. An order that expects a number
// which the endpoint hasn't reached may take effect later. An Unanswered is kept across
// restarts of the endpoint, because the next process counts its orders from zero and may reach
// the number again.
type Unanswered struct{ orders []unansweredOrder }

type unansweredOrder struct {
	expected uint64
	sent     time.Time
}

// add records an unanswered order.
func (u *Unanswered) add(now time.Time, expected uint64) {
	u.prune(now)
	u.orders = append(u.orders, unansweredOrder{expected: expected, sent: now})
}

// Empty reports whether no unanswered order may still be executed.
func (u *Unanswered) Empty(now time.Time) bool {
	u.prune(now)
	return len(u.orders) == 0
}

func (u *Unanswered) prune(now time.Time) {
	u.orders = slices.DeleteFunc(u.orders, func(o unansweredOrder) bool { return now.Sub(o.sent) > lateOrderMaxAge })
}

// consecutive returns how many unanswered orders may be executed in a row once the endpoint has
// accepted the given number of orders.
func (u *Unanswered) consecutive(now time.Time, sequence uint64) int {
	u.prune(now)
	n := 0
	for slices.ContainsFunc(u.orders, func(o unansweredOrder) bool { return o.expected == sequence+uint64(n) }) {
		n++
	}
	return n
}
