// Package ggsqueue orders waiting work by priority class, then by weighted fair
// sharing between markets, then by deadline.
//
// # Usage
//
//	var c ggsqueue.Clock
//	s := c.Share("cr")               // one per market, never deleted
//	var q ggsqueue.Queue[*job]       // one per adapter
//	j.item = ggsqueue.Item[*job]{Value: j, Share: s, Class: 1, Deadline: t}
//	q.Push(&c, &j.item)
//	i := q.Head()                    // nil if empty
//	q.Remove(i)
//	c.Charge(s)                      // when i.Value is dispatched
//
// Several queues may use one clock. Less compares the heads of the queues whose
// work can run now, so that sharing is fair over all these queues. Markets are
// served in the order of their virtual times (start-time fair queueing). A market's
// virtual time grows with each dispatch by the inverse of the market's weight. A
// market with new work after an idle time starts at the present virtual time: it
// gets its share from then on, and receives no credit for the idle time.
//
// The package has no lock: a Clock and its queues must not be used concurrently.
package ggsqueue

import (
	"container/heap"
	"time"

	ggscore "greengageslip/core"
)

// A Share is the state of one market in the fair sharing.
type Share struct {
	weight  float64
	virtual float64
	backlog int
	// rank is the market's position in the order of first use. It is meant for a
	// tie-break that gives the same decisions for the same events, but Less doesn't use it.
	rank int
}

// A Clock holds the virtual time and the markets' shares.
type Clock struct {
	virtual float64
	shares  map[ggscore.Market]*Share
}

// Charge adds one dispatch to a market's virtual time.
func (c *Clock) Charge(s *Share) {
	s.virtual = max(s.virtual, c.virtual)
	c.virtual = s.virtual
	s.virtual += 1 / s.weight
}

// SetWeights sets the weights of markets. All other markets get weight one.
func (c *Clock) SetWeights(weights map[ggscore.Market]int) {
	for _, s := range c.shares {
		s.weight = 1
	}
	for m, w := range weights {
		c.Share(m).weight = float64(max(w, 1))
	}
}

// Share returns a market's share and creates one of weight one if there is none.
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

// An Item is one unit of waiting work. Callers embed it in their own structs, so
// that queueing doesn't allocate items.
type Item[T any] struct {
	Value    T
	Share    *Share
	Class    int
	Deadline time.Time
	// Seq orders items that are otherwise equal.
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
		return dueBefore(a, b)
	case a.Share.virtual != b.Share.virtual:
		return a.Share.virtual < b.Share.virtual
	}
	return dueBefore(a, b)
}

// classIndex returns the index of a class in Queue.counts.
func classIndex(class int) int { return min(max(class, 0), Classes-1) }

// dueBefore orders items of one class by deadline, then by Seq.
func dueBefore[T any](a, b *Item[T]) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.Seq < b.Seq
}

// Classes is the number of classes that Ahead distinguishes. Higher classes count
// as the last one.
const Classes = 4

// A Queue holds the waiting work of one adapter. Its zero value is empty.
type Queue[T any] struct {
	flows  []*flow[T]
	length int
	counts [Classes]int
}

// Ahead returns the number of items of a class and of the classes served before it.
func (q *Queue[T]) Ahead(class int) int {
	n := 0
	for _, c := range q.counts[:classIndex(class)+1] {
		n += c
	}
	return n
}

// All calls yield with each item, in no particular order, until yield returns
// false.
func (q *Queue[T]) All(yield func(*Item[T]) bool) {
	for _, f := range q.flows {
		for _, i := range f.items {
			if !yield(i) {
				return
			}
		}
	}
}

// Head returns the item that is served next, or nil.
func (q *Queue[T]) Head() *Item[T] {
	var best *Item[T]
	for _, f := range q.flows {
		if len(f.items) > 0 && (best == nil || Less(f.items[0], best)) {
			best = f.items[0]
		}
	}
	return best
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return q.length }

// Push adds an item. The clock must be the one that created the item's share.
func (q *Queue[T]) Push(c *Clock, i *Item[T]) {
	if i.Share.backlog == 0 {
		i.Share.virtual = max(i.Share.virtual, c.virtual)
	}
	i.Share.backlog++
	f := q.flow(i.Share)
	i.flow = f
	heap.Push(f, i)
	q.length++
	q.counts[classIndex(i.Class)]++
}

// Remove removes an item, which must be in this queue.
func (q *Queue[T]) Remove(i *Item[T]) {
	f := i.flow
	heap.Remove(f, i.index)
	i.flow = nil
	i.Share.backlog--
	q.length--
	q.counts[classIndex(i.Class)]--
}

// flow returns a market's part of the queue and creates it if there is none.
func (q *Queue[T]) flow(s *Share) *flow[T] {
	for _, f := range q.flows {
		if f.share == s {
			return f
		}
	}
	f := &flow[T]{share: s}
	q.flows = append(q.flows, f)
	return f
}

// A flow is one market's part of a queue: a heap by class and deadline.
type flow[T any] struct {
	share *Share
	items []*Item[T]
}

// Len implements heap.Interface.
func (f *flow[T]) Len() int { return len(f.items) }

// Less implements heap.Interface.
func (f *flow[T]) Less(i, j int) bool { return Less(f.items[i], f.items[j]) }

// Pop implements heap.Interface.
func (f *flow[T]) Pop() any {
	n := len(f.items) - 1
	i := f.items[n]
	f.items[n] = nil
	f.items = f.items[:n]
	return i
}

// Push implements heap.Interface.
func (f *flow[T]) Push(x any) {
	i, ok := x.(*Item[T])
	if !ok {
		return
	}
	i.index = len(f.items)
	f.items = append(f.items, i)
}

// Swap implements heap.Interface.
func (f *flow[T]) Swap(i, j int) {
	f.items[i], f.items[j] = f.items[j], f.items[i]
	f.items[i].index = i
	f.items[j].index = j
}
