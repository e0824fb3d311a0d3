package ggsdispatch

import (
	"context"
	"sync"

	ggscore "greengageslip/core"
)

// An orderQueue passes orders to a pool of workers. Adding never waits, so it
// may be done under Dispatcher.mu.
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

// take waits for an order; ok is false when the context has ended.
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

func (q *orderQueue) wake() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}
