package ggslog

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes bounds the lines that wait for the writer: some seconds of
	// the heaviest load.
	bufferBytes = 1 << 20
	// flushInterval is how long a line may wait. One write for many lines costs
	// a fraction of one each.
	flushInterval = 100 * time.Millisecond
)

// A Writer passes lines on from a buffer. It never blocks who logs: while what
// reads the log is slow, lines are dropped, and a line says how many.
type Writer struct {
	w       io.Writer
	dropped atomic.Int64

	mu   sync.Mutex
	next []byte
}

// NewWriter returns a Writer whose Run passes lines on to w.
func NewWriter(w io.Writer) *Writer { return &Writer{w: w} }

// Write implements io.Writer for one whole line.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.next)+len(p) > bufferBytes {
		w.dropped.Add(1)
		return len(p), nil
	}
	w.next = append(w.next, p...)
	return len(p), nil
}

// Run passes lines on until the context ends, and then what is left.
func (w *Writer) Run(ctx context.Context) {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	var spare []byte
	for {
		select {
		case <-t.C:
			spare = w.Flush(spare)
		case <-ctx.Done():
			w.Flush(nil)
			return
		}
	}
}

// Flush passes on what waits, and returns its memory for the next buffer.
func (w *Writer) Flush(spare []byte) []byte {
	w.mu.Lock()
	b := w.next
	w.next = spare[:0]
	w.mu.Unlock()
	if n := w.dropped.Swap(0); n > 0 {
		b = fmt.Appendf(b, "event=logDropped count=%d\n", n)
	}
	if len(b) == 0 {
		return b
	}
	// There is nowhere to tell that the log itself can't be written.
	_, _ = w.w.Write(b)
	return b
}
