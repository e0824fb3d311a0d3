package ggsconn

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

// A Watchdog ends a call whose peer is silent. An answer may take as long as its bytes
// keep coming: read again from its start, it would take no less.
type Watchdog struct {
	cancel  context.CancelFunc
	timer   *time.Timer
	silence time.Duration
	fired   atomic.Bool
}

// NewWatchdog returns the context of one call and the watchdog that ends it: when the
// answer's first byte isn't read within the time first, or a later one within silence
// of the one before.
func NewWatchdog(ctx context.Context, first, silence time.Duration) (context.Context, *Watchdog) {
	ctx, cancel := context.WithCancel(ctx)
	w := &Watchdog{cancel: cancel, silence: silence}
	w.timer = time.AfterFunc(first, func() {
		w.fired.Store(true)
		cancel()
	})
	return ctx, w
}

// Reader returns a reader of the answer's body that tells the watchdog of each byte.
func (w *Watchdog) Reader(r io.Reader) io.Reader { return &watchedReader{Reader: r, dog: w} }

// Explain returns the error of a call: a *SilentError if the watchdog ended it.
func (w *Watchdog) Explain(err error) error {
	if w.fired.Load() {
		return &SilentError{}
	}
	return err
}

// Stop ends the watch and the call's context.
func (w *Watchdog) Stop() {
	w.timer.Stop()
	w.cancel()
}

type watchedReader struct {
	io.Reader
	dog *Watchdog
}

// Read implements io.Reader.
func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.dog.timer.Reset(r.dog.silence)
	}
	return n, err
}
