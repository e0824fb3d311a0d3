package ggsdispatch

import (
	"context"
	"sync"
	"time"

	ggscore "greengageslip/core"
)

// maxUnreadBytes bounds the bytes that a stream holds for a slow reader. Above it, the
// endpoint's answer isn't read further until the reader acknowledges chunks.
const maxUnreadBytes = 1 << 20

// A stream holds the chunks of one answer until they are acknowledged. firstSeq is the
// sequence number of the first chunk held.
type stream struct {
	mu          sync.Mutex
	firstSeq    int
	chunks      []ggscore.Chunk
	unreadBytes int
	final       bool
	lastRead    time.Time
	changed     chan struct{}
}

func newStream(now time.Time) *stream {
	return &stream{lastRead: now, changed: make(chan struct{})}
}

// append adds a chunk with the next sequence number. It blocks while the chunks held
// have maxUnreadBytes or more. A final chunk never blocks.
func (s *stream) append(ctx context.Context, c ggscore.Chunk) error {
	for {
		s.mu.Lock()
		if s.final {
			s.mu.Unlock()
			return &StreamEndedError{}
		}
		if s.unreadBytes < maxUnreadBytes || c.Final {
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

// add appends a chunk without blocking. The caller holds s.mu.
func (s *stream) add(c ggscore.Chunk) {
	c.Seq = s.firstSeq + len(s.chunks)
	s.chunks = append(s.chunks, c)
	s.unreadBytes += len(c.Data)
	s.final = c.Final
	s.signal()
}

// end appends a final chunk with the failure f, unless the answer has already ended.
func (s *stream) end(f *ggscore.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.final {
		s.add(ggscore.Chunk{Final: true, Failure: f})
	}
}

// readState returns when the stream was last read, and whether the answer has ended and
// all its chunks were acknowledged.
func (s *stream) readState() (lastRead time.Time, consumed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRead, s.final && len(s.chunks) == 0
}

// next returns the chunks from the sequence number from on and waits for the first of
// them. It acknowledges all chunks below. lost is set if the stream can't return the
// chunk from: it was acknowledged before, or from is beyond the next number.
func (s *stream) next(ctx context.Context, now func() time.Time, from int) (chunks []ggscore.Chunk, lost bool) {
	for {
		s.mu.Lock()
		s.lastRead = now()
		s.acknowledge(from)
		if from < s.firstSeq || from > s.firstSeq+len(s.chunks) {
			s.mu.Unlock()
			return nil, true
		}
		c := s.chunks[from-s.firstSeq:]
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

// acknowledge drops the chunks below the number from. The caller holds s.mu.
func (s *stream) acknowledge(from int) {
	n := min(from-s.firstSeq, len(s.chunks))
	if n <= 0 {
		return
	}
	for i := range n {
		s.unreadBytes -= len(s.chunks[i].Data)
		s.chunks[i] = ggscore.Chunk{}
	}
	s.chunks = s.chunks[n:]
	s.firstSeq += n
	s.signal()
}

// signal wakes all calls that wait for a change. The caller holds s.mu.
func (s *stream) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}
