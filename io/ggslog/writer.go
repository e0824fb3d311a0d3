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
	// maxBufferBytes bounds the buffered lines: a few seconds of log at peak load.
	maxBufferBytes = 1 << 20
	// flushInterval is the maximum time that a line is buffered. One write for many
	// lines costs a fraction of one write for each.
	flushInterval = 100 * time.Millisecond
)

// A Writer buffers log lines and writes them in batches. Write never blocks on the
// log's reader: while the reader is slow, lines beyond the buffer are dropped, and a
// line with event=logDropped has their number.
type Writer struct {
	w       io.Writer
	dropped atomic.Int64

	mu     sync.Mutex
	buffer []byte
}

// NewWriter returns a Writer whose Run writes the lines to w.
func NewWriter(w io.Writer) *Writer { return &Writer{w: w} }

// Write implements io.Writer. Each call must have one complete line.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(p) > maxBufferBytes {
		w.dropped.Add(1)
		return len(p), nil
	}
	w.buffer = append(w.buffer, p...)
	return len(p), nil
}

// Run writes buffered lines until the context ends, and then the remaining ones.
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

// Flush writes the buffered lines. It takes spare as the next buffer and returns the
// written one for reuse.
func (w *Writer) Flush(spare []byte) []byte {
	w.mu.Lock()
	b := w.buffer
	w.buffer = spare[:0]
	w.mu.Unlock()
	if n := w.dropped.Swap(0); n > 0 {
		b = fmt.Appendf(b, "event=logDropped count=%d\n", n)
	}
	if len(b) == 0 {
		return b
	}
	// A failure to write the log can't be logged.
	_, _ = w.w.Write(b)
	return b
}
