package ggsfakeengine

import (
	"container/heap"
	"context"
	"net/http"
	"time"

	ggscore "greengageslip/core"
)

// A waiter is a request that waits for a slot of the batch.
type waiter struct {
	priority int
	arrival  uint64
	// admitted is closed when it has a slot.
	admitted chan struct{}
	index    int
	// incarnation is the engine's when the request came.
	incarnation int
}

// A queue orders waiters by priority, then by arrival.
type queue []*waiter

// Len implements sort.Interface.
func (q queue) Len() int { return len(q) }

// Less implements sort.Interface.
func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	*q = (*q)[:last]
	w.index = -1
	return w
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w, _ := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Swap implements sort.Interface.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// A run is a request that has a slot.
type run struct {
	engine      *Engine
	incarnation int
	id          string
	ref         ggscore.AdapterRef
	adapter     *adapter
}

// start waits for a slot and begins the run. It fails without having run
// anything.
func (e *Engine) start(ctx context.Context, id string, ref ggscore.AdapterRef, priority int) (*run, error) {
	w, err := e.enqueue(ctx, ref, priority)
	if err != nil {
		return nil, err
	}
	select {
	case <-w.admitted:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := context.Cause(ctx); err != nil {
		e.withdraw(w)
		return nil, err
	}
	a := e.resident[ref]
	if a == nil {
		e.release()
		return nil, e.notLoaded(ref)
	}
	a.running++
	e.runs[id]++
	e.stats.Started++
	e.note()
	return &run{engine: e, incarnation: e.incarnation, id: id, ref: ref, adapter: a}, nil
}

func (e *Engine) enqueue(ctx context.Context, ref ggscore.AdapterRef, priority int) (*waiter, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := context.Cause(ctx); err != nil {
		return nil, err
	}
	if e.resident[ref] == nil {
		return nil, e.notLoaded(ref)
	}
	e.arrivals++
	w := &waiter{
		priority:    priority,
		arrival:     e.arrivals,
		admitted:    make(chan struct{}),
		incarnation: e.incarnation,
	}
	heap.Push(&e.queue, w)
	e.admit()
	return w, nil
}

// admit gives free slots to waiters. It is called with the lock held.
func (e *Engine) admit() {
	for e.running < e.options.Slots && len(e.queue) > 0 {
		w, _ := heap.Pop(&e.queue).(*waiter)
		e.account()
		e.running++
		close(w.admitted)
	}
}

// notLoaded is called with the lock held.
func (e *Engine) notLoaded(ref ggscore.AdapterRef) error {
	e.stats.NotLoaded++
	return &refusal{
		status:  http.StatusNotFound,
		kind:    kindNotLoaded,
		outcome: outcomeNotRun,
		detail:  ref.String() + " is not loaded",
	}
}

// release frees a slot. It is called with the lock held.
func (e *Engine) release() {
	e.account()
	e.running--
	e.admit()
}

// withdraw takes a waiter back, whether or not it has a slot by now. One of an
// earlier incarnation has nothing to give back. It is called with the lock
// held.
func (e *Engine) withdraw(w *waiter) {
	if w.incarnation != e.incarnation {
		return
	}
	if w.index >= 0 {
		heap.Remove(&e.queue, w.index)
		return
	}
	e.release()
}

// interval returns the time to the next token at the present fill.
func (e *Engine) interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	fill := float64(e.running) / float64(max(1, e.options.Slots))
	return time.Duration(float64(e.options.TokenInterval) * (1 + e.options.BatchSlowdown*fill))
}

// end ends the run. A run of an earlier incarnation has nothing to give back.
func (r *run) end(err error) {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		e.stats.Done++
	} else {
		e.stats.Cancelled++
	}
	if r.incarnation != e.incarnation {
		return
	}
	r.adapter.running--
	e.release()
	e.note()
}

// wait waits within the run: for its caller, its incarnation and its adapter.
func (r *run) wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.adapter.gone:
		return &brokenError{reason: "adapter unloaded beneath the run"}
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	return r.engine.gate(ctx)
}
