package ggsdispatch

import (
	"context"
	"sync"
	"time"

	ggscore "greengageslip/core"
)

// maxUnreadBytes bounds what a stream holds for a slow reader. The endpoint's
// answer is then read no further until the reader catches up.
const maxUnreadBytes = 1 << 20

// A stream holds the pieces of one answer until they are acknowledged.
type stream struct {
	mu      sync.Mutex
	base    int
	chunks  []ggscore.Chunk
	unread  int
	final   bool
	read    time.Time
	changed chan struct{}
}

func newStream(now time.Time) *stream {
	return &stream{read: now, changed: make(chan struct{})}
}

// append adds a piece under the next number. It waits while the reader is
// behind by more than maxUnreadBytes.
func (s *stream) append(ctx context.Context, c ggscore.Chunk) error {
	for {
		s.mu.Lock()
		if s.final {
			s.mu.Unlock()
			return &StreamEndedError{}
		}
		if s.unread < maxUnreadBytes || c.Final {
			s.add(c)
			s.mu.Unlock()
			return nil
		}
		w := s.changed
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w:
		}
	}
}

// add needs s.mu.
func (s *stream) add(c ggscore.Chunk) {
	c.Seq = s.base + len(s.chunks)
	s.chunks = append(s.chunks, c)
	s.unread += len(c.Data)
	s.final = c.Final
	s.signal()
}

// end adds the final piece of an answer that ended short, unless the answer
// has ended already.
func (s *stream) end(f *ggscore.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.final {
		s.add(ggscore.Chunk{Final: true, Failure: f})
	}
}

// idleSince returns when the stream was last read, and whether all of an ended
// answer was acknowledged.
func (s *stream) idleSince() (read time.Time, consumed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read, s.final && len(s.chunks) == 0
}

// next returns the pieces from a number on, waiting for the first of them. It
// acknowledges those below. lost is set when the piece is no longer held.
func (s *stream) next(ctx context.Context, now func() time.Time, from int) (chunks []ggscore.Chunk, lost bool) {
	for {
		s.mu.Lock()
		s.read = now()
		s.acknowledge(from)
		if from < s.base || from > s.base+len(s.chunks) {
			s.mu.Unlock()
			return nil, true
		}
		c := s.chunks[from-s.base:]
		if len(c) > 0 || s.final {
			c = append([]ggscore.Chunk(nil), c...)
			s.mu.Unlock()
			return c, false
		}
		w := s.changed
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, false
		case <-w:
		}
	}
}

// acknowledge needs s.mu.
func (s *stream) acknowledge(from int) {
	n := min(from-s.base, len(s.chunks))
	if n <= 0 {
		return
	}
	for i := range n {
		s.unread -= len(s.chunks[i].Data)
		s.chunks[i] = ggscore.Chunk{}
	}
	s.chunks = s.chunks[n:]
	s.base += n
	s.signal()
}

// signal needs s.mu.
func (s *stream) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}
