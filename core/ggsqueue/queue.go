// Package ggsqueue orders waiting work by priority, then fairly between
// markets by weight, then by deadline.
//
// # Usage
//
//	var c ggsqueue.Clock
//	s := c.Share("cr")               // one per market, kept for ever
//	var q ggsqueue.Queue[*job]       // one per adapter
//	j.item = ggsqueue.Item[*job]{Value: j, Share: s, Class: 1, Deadline: t}
//	q.Push(&j.item)
//	i := q.Head()                    // nil if empty
//	q.Remove(i)
//	c.Charge(s)                      // when i.Value is dispatched
//
// Several queues may hang on one clock: the heads of the queues whose work can
// run now are compared by Less, so that fairness spans them all. Markets are
// served in the order of their virtual times (start-time fair queueing), which
// grow with each dispatch by the inverse of the market's weight. A market that
// comes back after a pause starts at the present virtual time: it gets its
// share from now on, and can't claim what it did not use.
package ggsqueue

import (
	"container/heap"
	"time"

	ggscore "greengageslip/core"
)

// A Share is one market's standing.
type Share struct {
	weight  float64
	virtual float64
	backlog int
	// rank breaks ties in the order of the markets' first sight, so that the
	// same events give the same decisions.
	rank int
}

// A Clock holds the virtual time and the markets' shares.
type Clock struct {
	virtual float64
	shares  map[ggscore.Market]*Share
}

// Charge accounts a dispatch to a market.
func (c *Clock) Charge(s *Share) {
	s.virtual = max(s.virtual, c.virtual)
	c.virtual = s.virtual
	s.virtual += 1 / s.weight
}

// SetWeights sets the weights of markets. Others have weight one.
func (c *Clock) SetWeights(weights map[ggscore.Market]int) {
	for _, s := range c.shares {
		s.weight = 1
	}
	for m, w := range weights {
		c.Share(m).weight = float64(max(w, 1))
	}
}

// Share returns a market's share. It makes one of weight one if need be.
func (c *Clock) Share(m ggscore.Market) *Share {
	if s := c.shares[m]; s != nil {
		return s
	}
	if c.shares == nil {
		c.shares = make(map[ggscore.Market]*Share)
	}
	s := &Share{weight: 1, virtual: c.virtual, rank: len(c.shares)}
	c.shares[m] = s
	return s
}

// An Item is one piece of waiting work. It is part of the caller's own record,
// so that queueing allocates nothing.
type Item[T any] struct {
	Value    T
	Share    *Share
	Class    int
	Deadline time.Time
	// Seq orders items that are equal otherwise.
	Seq   uint64
	flow  *flow[T]
	index int
}

// Queued reports whether the item is in a queue.
func (i *Item[T]) Queued() bool { return i.flow != nil }

// Less reports whether a is served before b.
func Less[T any](a, b *Item[T]) bool {
	switch {
	case a.Class != b.Class:
		return a.Class < b.Class
	case a.Share == b.Share:
		return earlier(a, b)
	case a.Share.virtual != b.Share.virtual:
		return a.Share.virtual < b.Share.virtual
	}
	return earlier(a, b)
}

// classIndex returns the index of a class in counts.
func classIndex(class int) int { return min(max(class, 0), Classes-1) }

// earlier orders items of one class by deadline.
func earlier[T any](a, b *Item[T]) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.Seq < b.Seq
}

// Classes is the number of classes that Ahead tells apart. Higher classes count
// as the last.
const Classes = 4

// A Queue holds the waiting work of one adapter. Its zero value is empty.
type Queue[T any] struct {
	flows  []*flow[T]
	n      int
	counts [Classes]int
}

// Ahead returns the number of items of a class and those that go before it.
func (q *Queue[T]) Ahead(class int) int {
	n := 0
	for _, c := range q.counts[:classIndex(class)+1] {
		n += c
	}
	return n
}

// All calls f with each item, in no particular order, until f returns false.
func (q *Queue[T]) All(f func(*Item[T]) bool) {
	for _, w := range q.flows {
		for _, i := range w.items {
			if !f(i) {
				return
			}
		}
	}
}

// Head returns the item that is served next, or nil.
func (q *Queue[T]) Head() *Item[T] {
	var best *Item[T]
	for _, w := range q.flows {
		if len(w.items) > 0 && (best == nil || Less(w.items[0], best)) {
			best = w.items[0]
		}
	}
	return best
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return q.n }

// Push adds an item. The clock is that of the item's share.
func (q *Queue[T]) Push(c *Clock, i *Item[T]) {
	if i.Share.backlog == 0 {
		i.Share.virtual = max(i.Share.virtual, c.virtual)
	}
	i.Share.backlog++
	w := q.flow(i.Share)
	i.flow = w
	heap.Push(w, i)
	q.n++
	q.counts[classIndex(i.Class)]++
}

// Remove takes an item out.
func (q *Queue[T]) Remove(i *Item[T]) {
	w := i.flow
	heap.Remove(w, i.index)
	i.flow = nil
	i.Share.backlog--
	q.n--
	q.counts[classIndex(i.Class)]--
}

// flow returns the part of the queue that belongs to a market.
func (q *Queue[T]) flow(s *Share) *flow[T] {
	for _, w := range q.flows {
		if w.share == s {
			return w
		}
	}
	w := &flow[T]{share: s}
	q.flows = append(q.flows, w)
	return w
}

// A flow is one market's part of a queue: a heap by class and deadline.
type flow[T any] struct {
	share *Share
	items []*Item[T]
}

// Len implements heap.Interface.
func (w *flow[T]) Len() int { return len(w.items) }

// Less implements heap.Interface.
func (w *flow[T]) Less(i, j int) bool { return Less(w.items[i], w.items[j]) }

// Pop implements heap.Interface.
func (w *flow[T]) Pop() any {
	n := len(w.items) - 1
	i := w.items[n]
	w.items[n] = nil
	w.items = w.items[:n]
	return i
}

// Push implements heap.Interface.
func (w *flow[T]) Push(x any) {
	i, ok := x.(*Item[T])
	if !ok {
		return
	}
	i.index = len(w.items)
	w.items = append(w.items, i)
}

// Swap implements heap.Interface.
func (w *flow[T]) Swap(i, j int) {
	w.items[i], w.items[j] = w.items[j], w.items[i]
	w.items[i].index = i
	w.items[j].index = j
}
