package ggsdispatch

import (
	"context"
	"sync"

	ggscore "greengageslip/core"
)

// An orderQueue is an unbounded FIFO queue of orders for a pool of workers. add never
// blocks, so it may be called while Dispatcher.mu is held.
type orderQueue struct {
	mu     sync.Mutex
	orders []ggscore.Order
	ready  chan struct{}
}

func newOrderQueue() *orderQueue {
	return &orderQueue{ready: make(chan struct{}, 1)}
}

func (q *orderQueue) add(o ggscore.Order) {
	q.mu.Lock()
	q.orders = append(q.orders, o)
	q.mu.Unlock()
	q.wake()
}

// take removes the first order and waits for one if the queue is empty. ok is false if
// the context has ended.
func (q *orderQueue) take(ctx context.Context) (o ggscore.Order, ok bool) {
	for {
		q.mu.Lock()
		if len(q.orders) > 0 {
			o = q.orders[0]
			q.orders[0] = ggscore.Order{}
			q.orders = q.orders[1:]
			more := len(q.orders) > 0
			q.mu.Unlock()
			if more {
				q.wake()
			}
			return o, true
		}
		q.mu.Unlock()
		select {
		case <-ctx.Done():
			return ggscore.Order{}, false
		case <-q.ready:
		}
	}
}

// wake unblocks one worker that waits in take.
func (q *orderQueue) wake() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}
