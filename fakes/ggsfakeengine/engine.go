package ggsfakeengine

import (
	"context"
	"strconv"
	"sync"
	"time"

	ggscore "greengageslip/core"
)

// An Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	options Options

	mu     sync.Mutex
	faults Faults
	stats  Stats
	// live ends the work of this incarnation.
	live        map[uint64]context.CancelCauseFunc
	lastWork    uint64
	incarnation int
	closed      bool
	thaw        time.Time
	seen        ggscore.FencingToken
	resident    map[ggscore.AdapterRef]*adapter
	loading     map[ggscore.AdapterRef]*load
	running     int
	queue       queue
	arrivals    uint64
	runs        map[string]int
	history     []snapshot
	busySince   time.Time
}

type adapter struct {
	running int
	// gone is closed when it is unloaded.
	gone chan struct{}
}

// A load is a load under way.
type load struct {
	// done is closed at its end; err is set before.
	done chan struct{}
	err  error
}

// New returns an engine with nothing loaded.
func New(o Options) *Engine {
	e := &Engine{options: o, runs: map[string]int{}, live: map[uint64]context.CancelCauseFunc{}}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot()
	return e
}

// Close ends all that is under way. A closed engine breaks every request.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.kill("engine closed")
}

// Freeze stops everything for so long: no token, answer or load ends.
func (e *Engine) Freeze(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.thaw = e.options.Now().Add(d)
}

// Resident returns the adapters that are loaded now, without the lag.
func (e *Engine) Resident() []ggscore.AdapterRef {
	e.mu.Lock()
	defer e.mu.Unlock()
	return sortedRefs(e.resident)
}

// Restart drops everything and starts a new incarnation with nothing loaded.
// Counts of runs stay.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kill("engine restarted")
	e.boot()
}

// Runs returns how often each request id ran.
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

// Stats returns the counts so far.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.account()
	s := e.stats
	s.Waiting = len(e.queue)
	return s
}

// account adds up the time of busy slots until now. It is called with the lock
// held, before the number of running requests changes.
func (e *Engine) account() {
	now := e.options.Now()
	if !e.busySince.IsZero() {
		e.stats.BusySlots += time.Duration(e.running) * now.Sub(e.busySince)
	}
	e.busySince = now
}

// boot starts an incarnation. It is called with the lock held.
func (e *Engine) boot() {
	e.account()
	e.incarnation++
	e.seen = 0
	e.resident = map[ggscore.AdapterRef]*adapter{}
	e.loading = map[ggscore.AdapterRef]*load{}
	e.running = 0
	e.queue = nil
	e.thaw = time.Time{}
	e.note()
}

// enter returns a context for work of the present incarnation, and a function
// that is to be called at its end.
func (e *Engine) enter(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		cancel(&brokenError{reason: "engine closed"})
	}
	e.lastWork++
	id := e.lastWork
	e.live[id] = cancel
	return ctx, func() {
		e.mu.Lock()
		delete(e.live, id)
		e.mu.Unlock()
		cancel(nil)
	}
}

// gate waits until the engine isn't frozen.
func (e *Engine) gate(ctx context.Context) error {
	for {
		e.mu.Lock()
		d := e.thaw.Sub(e.options.Now())
		e.mu.Unlock()
		if d <= 0 {
			return context.Cause(ctx)
		}
		if err := pause(ctx, d); err != nil {
			return err
		}
	}
}

// kill ends all work of the incarnation. It is called with the lock held.
func (e *Engine) kill(reason string) {
	for id, cancel := range e.live {
		cancel(&brokenError{reason: reason})
		delete(e.live, id)
	}
}

// name returns the incarnation's name. It is called with the lock held.
func (e *Engine) name() string {
	return string(e.options.ID) + "-" + strconv.Itoa(e.incarnation)
}

// pause waits, and returns the context's cause where that ends first.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
