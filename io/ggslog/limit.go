package ggslog

import (
	"sync"
	"time"

	"github.com/go-kit/log"
)

const (
	// eventLines is the number of lines of one event that are written in a
	// second. An entry VM ends some 60 requests a second on the heaviest days; a
	// storm of refusals is ten times that, and says the same in each line.
	eventLines = 300
	// limitWindow is the time for which lines are counted.
	limitWindow = time.Second
)

// A Limit is a logger that leaves out lines of an event that comes too often,
// and says how many.
type Limit struct {
	next log.Logger
	now  func() time.Time

	mu      sync.Mutex
	windows map[any]*window
}

// A window counts an event's lines since a moment.
type window struct {
	since time.Time
	lines int
	left  int
}

var _ log.Logger = (*Limit)(nil)

// NewLimit returns a logger that passes lines on to next.
func NewLimit(next log.Logger, now func() time.Time) *Limit {
	return &Limit{next: next, now: now, windows: map[any]*window{}}
}

// Log implements log.Logger.
func (l *Limit) Log(keyvals ...any) error {
	pass, left, event := l.count(keyvals)
	if left > 0 {
		if err := l.next.Log("event", EventLogSampled, "sampled", event, "count", left); err != nil {
			return err
		}
	}
	if !pass {
		return nil
	}
	return l.next.Log(keyvals...)
}

// count reports whether a line passes, and how many of its event were left out
// in the window before.
func (l *Limit) count(keyvals []any) (pass bool, left int, event any) {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == "event" {
			event = keyvals[i+1]
		}
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.windows[event]
	if w == nil {
		w = &window{since: now}
		l.windows[event] = w
	}
	if now.Sub(w.since) >= limitWindow {
		left = w.left
		*w = window{since: now}
	}
	if w.lines >= eventLines {
		w.left++
		return false, left, event
	}
	w.lines++
	return true, left, event
}
