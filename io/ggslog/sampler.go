package ggslog

import (
	"sync"
	"time"

	"github.com/go-kit/log"
)

const (
	// maxEventLines bounds the lines of one event that are written in a window. At
	// peak load an entry VM ends about 60 requests a second. A burst of refusals has
	// ten times as many lines, which are all alike.
	maxEventLines = 300
	// limitWindow is the length of a window.
	limitWindow = time.Second
)

// A Sampler is a logger that drops lines of an event above a rate, and logs the
// number of dropped lines with EventLogSampled. It is safe for concurrent use.
type Sampler struct {
	next log.Logger
	now  func() time.Time

	mu      sync.Mutex
	windows map[any]*window
}

// A window counts an event's lines since its start.
type window struct {
	start   time.Time
	lines   int
	dropped int
}

var _ log.Logger = (*Sampler)(nil)

// NewSampler returns a logger that passes lines on to next. The function now is its
// clock.
func NewSampler(next log.Logger, now func() time.Time) *Sampler {
	return &Sampler{next: next, now: now, windows: map[any]*window{}}
}

// Log implements log.Logger.
func (s *Sampler) Log(keyvals ...any) error {
	pass, dropped, event := s.count(keyvals)
	if dropped > 0 {
		if err := s.next.Log("event", EventLogSampled, "sampled", event, "count", dropped); err != nil {
			return err
		}
	}
	if !pass {
		return nil
	}
	return s.next.Log(keyvals...)
}

// count reports whether a line passes, and how many lines of its event were dropped
// in the previous window.
func (s *Sampler) count(keyvals []any) (pass bool, dropped int, event any) {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == "event" {
			event = keyvals[i+1]
		}
	}
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.windows[event]
	if w == nil {
		w = &window{start: now}
		s.windows[event] = w
	}
	if now.Sub(w.start) >= limitWindow {
		dropped = w.dropped
		*w = window{start: now}
	}
	if w.lines >= maxEventLines {
		w.dropped++
		return false, dropped, event
	}
	w.lines++
	return true, dropped, event
}
