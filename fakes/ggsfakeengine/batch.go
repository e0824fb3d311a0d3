package ggsfakeengine

import (
	"container/heap"
	"context"
	"net/http"
	"time"

	ggscore "greengageslip/core"
)

// A waiter is a request in the queue for a batch slot.
type waiter struct {
	priority int
	arrival  uint64
	// admitted is closed when the request gets a slot.
	admitted chan struct{}
	index    int
	// incarnation is the engine's incarnation at the request's arrival.
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

// A run is a request with a batch slot.
type run struct {
	engine      *Engine
	incarnation int
	id          string
	ref         ggscore.AdapterRef
	adapter     *adapter
}

// start waits for a slot and begins the run. If it returns an error, the request didn't run.
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
	e.recordState()
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

// admit assigns free slots to waiters. It is called with the lock held.
func (e *Engine) admit() {
	for e.running < e.options.Slots && len(e.queue) > 0 {
		w, _ := heap.Pop(&e.queue).(*waiter)
		e.addBusyTime()
		e.running++
		close(w.admitted)
	}
}

// notLoaded counts and returns a refusal. It is called with the lock held.
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
	e.addBusyTime()
	e.running--
	e.admit()
}

// withdraw removes a waiter from the queue, or releases its slot if it has been admitted. It
// ignores waiters of earlier incarnations, which hold neither. It is called with the lock
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

// tokenInterval returns the time between tokens of a run at the current batch occupancy.
func (e *Engine) tokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	fill := float64(e.running) / float64(max(1, e.options.Slots))
	return time.Duration(float64(e.options.TokenInterval) * (1 + e.options.BatchSlowdown*fill))
}

// end counts the run as done or cancelled and releases its slot. A run of an earlier
// incarnation has no slot to release.
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
	e.recordState()
}

// wait waits for d. It returns an error if the caller disconnects, the incarnation ends or
// the adapter is unloaded first.
func (r *run) wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.adapter.unloaded:
		return &abortedError{reason: "adapter unloaded during the run"}
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	return r.engine.waitUnfrozen(ctx)
}
