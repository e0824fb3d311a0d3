package ggsconn

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

// minProgressBytes is the number of bytes that must arrive within a watchdog's idle timeout. A trickle without end would keep a call
// waiting forever otherwise.
const minProgressBytes = 4 << 10

// A Watchdog cancels a call when too few bytes arrive within a timeout. It doesn't bound the total time
// of an answer, because a retry would start the answer again and take as long.
type Watchdog struct {
	cancel      context.CancelFunc
	timer       *time.Timer
	idleTimeout time.Duration
	fired       atomic.Bool
}

// NewWatchdog returns the context of one call and the watchdog that cancels it. The watchdog fires
// if the answer's first byte isn't read within the time first, or if it neither ends nor has minProgressBytes more within
// idleTimeout.
func NewWatchdog(ctx context.Context, first, idleTimeout time.Duration) (context.Context, *Watchdog) {
	ctx, cancel := context.WithCancel(ctx)
	w := &Watchdog{cancel: cancel, idleTimeout: idleTimeout}
	w.timer = time.AfterFunc(first, func() {
		w.fired.Store(true)
		cancel()
	})
	return ctx, w
}

// Reader returns a reader of the answer's body that resets the watchdog's timer as bytes arrive.
func (w *Watchdog) Reader(r io.Reader) io.Reader { return &watchedReader{Reader: r, watchdog: w} }

// Explain returns an *IdleTimeoutError if the watchdog has cancelled the call, and err otherwise.
func (w *Watchdog) Explain(err error) error {
	if w.fired.Load() {
		return &IdleTimeoutError{}
	}
	return err
}

// Stop stops the watchdog and cancels the call's context.
func (w *Watchdog) Stop() {
	w.timer.Stop()
	w.cancel()
}

type watchedReader struct {
	io.Reader
	watchdog *Watchdog
	// begun is set after the first byte, and progress counts the bytes since the timer was last reset.
	begun    bool
	progress int
}

// Read implements io.Reader.
func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.progress += n
	if n > 0 && !r.begun || r.progress >= minProgressBytes {
		r.begun, r.progress = true, 0
		r.watchdog.timer.Reset(r.watchdog.idleTimeout)
	}
	return n, err
}
