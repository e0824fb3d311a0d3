// Package ggsfakebatch models an engine that batches continuously, in virtual time.
//
// A step gives each running request a token and reads a piece of the prompts that
// wait to be read, in the order of urgency and arrival; the longer the piece, the
// longer the step, for all. Prompts and answers take memory while they run.
//
// # Usage
//
//	e := ggsfakebatch.New(shape, start)
//	e.Submit(now, ggsfakebatch.Request{ID: 1, Prompt: 1400, Output: 170})
//	for _, p := range e.Advance(now) { … }   // the pieces that came up to now
//	e.Cancel(1)
//
// The figures are the test's: it knows the engine's shape, what it tests doesn't.
package ggsfakebatch

import (
	"cmp"
	"slices"
	"time"
)

// A Shape is what an engine is like.
type Shape struct {
	// Slots is the number of requests that run at once, Memory that of the tokens
	// that they take together.
	Slots  int
	Memory int
	// Step is the time of a step that reads nothing, PerSlot what each running
	// request adds, PerToken the time to read a token.
	Step     time.Duration
	PerSlot  time.Duration
	PerToken time.Duration
	// Chunk is the number of prompt tokens that a step reads at most.
	Chunk int
	// PieceTokens is the number of tokens of a piece of an answer.
	PieceTokens int
}

// A Request is one to run.
type Request struct {
	ID int
	// Prompt and Output are its sizes in tokens.
	Prompt int
	Output int
	// Priority is its urgency, lower first.
	Priority int
}

// A Piece is a part of an answer.
type Piece struct {
	ID    int
	At    time.Time
	First bool
	Last  bool
}

// An Engine runs requests.
type Engine struct {
	shape   Shape
	now     time.Time
	waiting []Request
	running []*run
	// Read counts the prompt tokens that were read, Preempted the requests that
	// were put back for want of memory.
	Read      int
	Preempted int
}

// A run is a request on the engine.
type run struct {
	Request
	unread int
	made   int
	// told is the number of tokens that were passed on.
	told int
}

// New returns an engine without requests.
func New(s Shape, start time.Time) *Engine { return &Engine{shape: s, now: start} }

// Submit hands a request to the engine. It waits for a slot and for memory.
func (e *Engine) Submit(now time.Time, r Request) {
	if e.now.Before(now) && len(e.running) == 0 && len(e.waiting) == 0 {
		e.now = now
	}
	e.waiting = append(e.waiting, r)
	slices.SortStableFunc(e.waiting, func(a, b Request) int { return cmp.Compare(a.Priority, b.Priority) })
}

// Cancel takes a request back.
func (e *Engine) Cancel(id int) {
	e.waiting = slices.DeleteFunc(e.waiting, func(r Request) bool { return r.ID == id })
	e.running = slices.DeleteFunc(e.running, func(r *run) bool { return r.ID == id })
}

// Running returns the number of requests that run or wait.
func (e *Engine) Running() int { return len(e.running) + len(e.waiting) }

// Advance carries out the steps that end up to a moment and returns the pieces that
// came of them.
func (e *Engine) Advance(now time.Time) []Piece {
	var ps []Piece
	for {
		e.admit()
		if len(e.running) == 0 {
			e.now = now
			return ps
		}
		read := e.plan()
		end := e.now.Add(e.shape.Step + time.Duration(len(e.running))*e.shape.PerSlot + time.Duration(read)*e.shape.PerToken)
		if end.After(now) {
			return ps
		}
		e.now = end
		ps = append(ps, e.step()...)
	}
}

// memory returns the tokens that running requests take.
func (e *Engine) memory() int {
	n := 0
	for _, r := range e.running {
		n += r.Prompt - r.unread + r.made
	}
	return n
}

func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.shape.Slots && e.memory()+e.waiting[0].Prompt <= e.shape.Memory {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, &run{Request: r, unread: r.Prompt})
	}
}

// plan returns the number of tokens that the next step reads.
func (e *Engine) plan() int {
	n := 0
	for _, r := range e.running {
		n += r.unread
	}
	return min(n, e.shape.Chunk)
}

// step carries out a step.
func (e *Engine) step() []Piece {
	left := e.shape.Chunk
	var ps []Piece
	var still []*run
	for _, r := range e.running {
		n := min(r.unread, left)
		left -= n
		e.Read += n
		if r.unread -= n; r.unread == 0 {
			r.made++
		}
		last := r.made >= r.Output
		if r.made == 1 || r.made-r.told >= e.shape.PieceTokens || last {
			ps = append(ps, Piece{ID: r.ID, At: e.now, First: r.told == 0, Last: last})
			r.told = r.made
		}
		if !last {
			still = append(still, r)
		}
	}
	e.running = still
	e.preempt()
	return ps
}

// preempt puts the newest of the least urgent requests back while memory is short.
func (e *Engine) preempt() {
	for len(e.running) > 1 && e.memory() > e.shape.Memory {
		i := len(e.running) - 1
		for j, r := range e.running {
			if r.Priority > e.running[i].Priority {
				i = j
			}
		}
		r := e.running[i]
		r.Prompt, r.Output = r.Prompt+r.made, r.Output-r.made
		e.running = slices.Delete(e.running, i, i+1)
		e.waiting = append([]Request{r.Request}, e.waiting...)
		e.Preempted++
	}
}
