package ggsfakeengine

import (
	"context"
	"strconv"
	"sync"
	"time"

	ggscore "greengageslip/core"
)

// An Engine is a simulated inference engine. It is safe for concurrent use.
type Engine struct {
	options Options

	mu     sync.Mutex
	faults Faults
	stats  Stats
	// work holds the functions that cancel the requests and orders of this incarnation.
	work          map[uint64]context.CancelCauseFunc
	lastWorkID    uint64
	incarnation   int
	closed        bool
	frozenUntil   time.Time
	greatestFence ggscore.FencingToken
	resident      map[ggscore.AdapterRef]*adapter
	loading       map[ggscore.AdapterRef]*load
	running       int
	queue         queue
	arrivals      uint64
	runs          map[string]int
	history       []snapshot
	busySince     time.Time
}

type adapter struct {
	running int
	// unloaded is closed when the adapter is unloaded.
	unloaded chan struct{}
}

// A load is an adapter load in progress.
type load struct {
	// done is closed when the load ends; err is set before.
	done chan struct{}
	err  error
}

// New returns an engine without resident adapters.
func New(o Options) *Engine {
	e := &Engine{options: o, runs: map[string]int{}, work: map[uint64]context.CancelCauseFunc{}}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startIncarnation()
	return e
}

// Close aborts all work in progress. A closed engine aborts every new request and order.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.abortWork("engine closed")
}

// Freeze stops the engine for d: no token, answer or load is completed meanwhile.
func (e *Engine) Freeze(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozenUntil = e.options.Now().Add(d)
}

// Resident returns the adapters that are resident now, without the report lag.
func (e *Engine) Resident() []ggscore.AdapterRef {
	e.mu.Lock()
	defer e.mu.Unlock()
	return sortedRefs(e.resident)
}

// Restart aborts all work and starts a new incarnation without resident adapters. Runs and
// Stats are kept.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abortWork("engine restarted")
	e.startIncarnation()
}

// Runs returns the number of runs by request ID.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := make(map[string]int, len(e.runs))
	for id, n := range e.runs {
		m[id] = n
	}
	return m
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addBusyTime()
	s := e.stats
	s.Waiting = len(e.queue)
	return s
}

// addBusyTime adds the busy time of slots since its last call. It is called with the lock
// held, before the number of running requests changes.
func (e *Engine) addBusyTime() {
	now := e.options.Now()
	if !e.busySince.IsZero() {
		e.stats.BusySlots += time.Duration(e.running) * now.Sub(e.busySince)
	}
	e.busySince = now
}

// startIncarnation resets the state and starts a new incarnation. It is called with the
// lock held.
func (e *Engine) startIncarnation() {
	e.addBusyTime()
	e.incarnation++
	e.greatestFence = 0
	e.resident = map[ggscore.AdapterRef]*adapter{}
	e.loading = map[ggscore.AdapterRef]*load{}
	e.running = 0
	e.queue = nil
	e.frozenUntil = time.Time{}
	e.recordState()
}

// beginWork returns a context that ends with the current incarnation, and a function that
// the caller calls when its work ends.
func (e *Engine) beginWork(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		cancel(&abortedError{reason: "engine closed"})
	}
	e.lastWorkID++
	id := e.lastWorkID
	e.work[id] = cancel
	return ctx, func() {
		e.mu.Lock()
		delete(e.work, id)
		e.mu.Unlock()
		cancel(nil)
	}
}

// waitUnfrozen waits until the engine isn't frozen. It returns the context's cause if the
// context ends first.
func (e *Engine) waitUnfrozen(ctx context.Context) error {
	for {
		e.mu.Lock()
		d := e.frozenUntil.Sub(e.options.Now())
		e.mu.Unlock()
		if d <= 0 {
			return context.Cause(ctx)
		}
		if err := sleep(ctx, d); err != nil {
			return err
		}
	}
}

// abortWork cancels all work of the incarnation. It is called with the lock held.
func (e *Engine) abortWork(reason string) {
	for id, cancel := range e.work {
		cancel(&abortedError{reason: reason})
		delete(e.work, id)
	}
}

// incarnationName returns the name of the incarnation. It is called with the lock held.
func (e *Engine) incarnationName() string {
	return string(e.options.ID) + "-" + strconv.Itoa(e.incarnation)
}

// sleep waits for d, or returns the context's cause if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
