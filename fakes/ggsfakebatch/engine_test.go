package ggsfakebatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakebatch"
)

func at(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

func params() ggsfakebatch.Params {
	return ggsfakebatch.Params{
		Slots: 4, Memory: 10_000, Step: 10 * time.Millisecond, PerToken: 50 * time.Microsecond, Chunk: 2000, PieceTokens: 3,
	}
}

// Checks that reading the prompt of one request delays the stream of another. The prompt
// takes two and a half chunks, and a piece of three tokens takes three of these steps.
func TestPromptReadingDelaysStreams(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := ggsfakebatch.New(params(), at(0))
	e.Submit(at(0), ggsfakebatch.Request{ID: 1, Prompt: 100, Output: 10})
	ps := e.Advance(at(20 * time.Millisecond))
	c.Assert(ps, qt.DeepEquals, []ggsfakebatch.Piece{{ID: 1, At: at(15 * time.Millisecond), First: true}})
	e.Submit(at(20*time.Millisecond), ggsfakebatch.Request{ID: 2, Prompt: 5000, Output: 1})
	ps = e.Advance(at(time.Second))
	c.Assert(ps[0], qt.Equals, ggsfakebatch.Piece{ID: 1, At: at(15*time.Millisecond + 2*110*time.Millisecond + 60*time.Millisecond)})
	c.Assert(ps[1], qt.Equals, ggsfakebatch.Piece{ID: 2, At: ps[0].At, First: true, Last: true})
	c.Assert(ps[len(ps)-1], qt.Equals, ggsfakebatch.Piece{ID: 1, At: ps[0].At.Add(6 * 10 * time.Millisecond), Last: true})
	c.Assert(e.PromptTokensRead, qt.Equals, 5100)
}

// Checks that growing answers that exceed the memory preempt the newest request of the
// lowest priority. The preempted request goes back to the queue and is read again.
func TestPreemptionWhenMemoryRunsOut(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := params()
	s.Memory = 1000
	e := ggsfakebatch.New(s, at(0))
	e.Submit(at(0), ggsfakebatch.Request{ID: 1, Prompt: 450, Output: 200})
	e.Submit(at(0), ggsfakebatch.Request{ID: 2, Prompt: 450, Output: 200, Priority: 1})
	ends := map[int]time.Time{}
	for _, p := range e.Advance(at(time.Minute)) {
		if p.Last {
			ends[p.ID] = p.At
		}
	}
	c.Assert(e.Preempted, qt.Equals, 1)
	c.Assert(ends[1].Before(ends[2]), qt.IsTrue)
}

func TestSlotsAndCancel(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := ggsfakebatch.New(params(), at(0))
	for id := range 6 {
		e.Submit(at(0), ggsfakebatch.Request{ID: id, Prompt: 10, Output: 1000})
	}
	first := func(d time.Duration) int {
		n := 0
		for _, p := range e.Advance(at(d)) {
			if p.First {
				n++
			}
		}
		return n
	}
	c.Assert(first(100*time.Millisecond), qt.Equals, 4)
	e.Cancel(0)
	e.Cancel(5)
	c.Assert(first(200*time.Millisecond), qt.Equals, 1)
	c.Assert(e.InFlight(), qt.Equals, 4)
}
