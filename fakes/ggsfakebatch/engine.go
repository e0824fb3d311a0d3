// Package ggsfakebatch simulates an inference engine with continuous batching in virtual
// time.
//
// Each step generates one token for every running request whose prompt has been read. The
// same step reads a chunk of the prompts that are still unread, in the order in which their
// requests were admitted. Requests are admitted by priority, then by arrival. Reading more
// prompt tokens makes the step longer for all running requests. A request occupies memory
// for its prompt and its answer while it runs.
//
// # Usage
//
//	e := ggsfakebatch.New(params, start)
//	e.Submit(now, ggsfakebatch.Request{ID: 1, Prompt: 1400, Output: 170})
//	for _, p := range e.Advance(now) { … }   // the pieces generated up to now
//	e.Cancel(1)
//
// The test chooses the engine's parameters. The code under test doesn't know them.
package ggsfakebatch

import (
	"cmp"
	"slices"
	"time"
)

// Params sets an engine's capacity and step times.
type Params struct {
	// Slots is the maximum number of running requests. Memory is the maximum number of
	// tokens that running requests occupy together.
	Slots  int
	Memory int
	// Step is the base time of a step, PerSlot the additional time per running request,
	// and PerToken the additional time per prompt token that the step reads.
	Step     time.Duration
	PerSlot  time.Duration
	PerToken time.Duration
	// Chunk is the maximum number of prompt tokens that a step reads.
	Chunk int
	// PieceTokens is the number of tokens in a piece of an answer.
	PieceTokens int
}

// A Request is a request to the engine.
type Request struct {
	ID int
	// Prompt and Output are the sizes of the prompt and of the answer in tokens.
	Prompt int
	Output int
	// Priority is the priority of the request; lower values run first.
	Priority int
}

// A Piece is a part of an answer, generated at a point in virtual time.
type Piece struct {
	ID    int
	At    time.Time
	First bool
	Last  bool
}

// An Engine simulates the processing of requests. It is not safe for concurrent use.
type Engine struct {
	params  Params
	now     time.Time
	waiting []Request
	running []*run
	// PromptTokensRead counts the prompt tokens that were read. Preempted counts the requests
	// that were moved back to the queue because memory ran out.
	PromptTokensRead int
	Preempted        int
}

// A run is a running request.
type run struct {
	Request
	unreadPrompt int
	generated    int
	// emitted is the number of tokens in the pieces returned so far.
	emitted int
}

// New returns an engine without requests whose virtual time is start.
func New(p Params, start time.Time) *Engine { return &Engine{params: p, now: start} }

// Submit adds a request to the queue. The request waits there for a slot and for memory.
func (e *Engine) Submit(now time.Time, r Request) {
	if e.now.Before(now) && len(e.running) == 0 && len(e.waiting) == 0 {
		e.now = now
	}
	e.waiting = append(e.waiting, r)
	slices.SortStableFunc(e.waiting, func(a, b Request) int { return cmp.Compare(a.Priority, b.Priority) })
}

// Cancel removes a waiting or running request.
func (e *Engine) Cancel(id int) {
	e.waiting = slices.DeleteFunc(e.waiting, func(r Request) bool { return r.ID == id })
	e.running = slices.DeleteFunc(e.running, func(r *run) bool { return r.ID == id })
}

// InFlight returns the number of running and waiting requests.
func (e *Engine) InFlight() int { return len(e.running) + len(e.waiting) }

// Advance simulates the steps that end no later than now and returns the pieces that they
// generate.
func (e *Engine) Advance(now time.Time) []Piece {
	var ps []Piece
	for {
		e.admit()
		if len(e.running) == 0 {
			e.now = now
			return ps
		}
		read := e.nextRead()
		end := e.now.Add(e.params.Step + time.Duration(len(e.running))*e.params.PerSlot + time.Duration(read)*e.params.PerToken)
		if end.After(now) {
			return ps
		}
		e.now = end
		ps = append(ps, e.step()...)
	}
}

// memory returns the number of tokens that running requests occupy.
func (e *Engine) memory() int {
	n := 0
	for _, r := range e.running {
		n += r.Prompt - r.unreadPrompt + r.generated
	}
	return n
}

func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.params.Slots && e.memory()+e.waiting[0].Prompt <= e.params.Memory {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, &run{Request: r, unreadPrompt: r.Prompt})
	}
}

// nextRead returns the number of prompt tokens that the next step reads, at most Params.Chunk.
func (e *Engine) nextRead() int {
	n := 0
	for _, r := range e.running {
		n += r.unreadPrompt
	}
	return min(n, e.params.Chunk)
}

// step simulates one step and returns its pieces.
func (e *Engine) step() []Piece {
	budget := e.params.Chunk
	var ps []Piece
	var remaining []*run
	for _, r := range e.running {
		n := min(r.unreadPrompt, budget)
		budget -= n
		e.PromptTokensRead += n
		if r.unreadPrompt -= n; r.unreadPrompt == 0 {
			r.generated++
		}
		last := r.generated >= r.Output
		if r.generated == 1 || r.generated-r.emitted >= e.params.PieceTokens || last {
			ps = append(ps, Piece{ID: r.ID, At: e.now, First: r.emitted == 0, Last: last})
			r.emitted = r.generated
		}
		if !last {
			remaining = append(remaining, r)
		}
	}
	e.running = remaining
	e.preempt()
	return ps
}

// preempt moves requests of the lowest priority back to the queue while running requests
// exceed the memory. It prefers the newest running request if that has the lowest priority.
func (e *Engine) preempt() {
	for len(e.running) > 1 && e.memory() > e.params.Memory {
		i := len(e.running) - 1
		for j, r := range e.running {
			if r.Priority > e.running[i].Priority {
				i = j
			}
		}
		r := e.running[i]
		r.Prompt, r.Output = r.Prompt+r.generated, r.Output-r.generated
		e.running = slices.Delete(e.running, i, i+1)
		e.waiting = append([]Request{r.Request}, e.waiting...)
		e.Preempted++
	}
}
