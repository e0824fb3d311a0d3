package ggsclaim

import (
	"encoding/binary"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	ggscore "greengageslip/core"
)

// delayedWrite is a write whose writer got no answer.
type delayedWrite struct {
	next Shard
	prev ggscore.StoreRevision
}

// process is a Writer with its I/O in flight.
type process struct {
	writer *Writer
	step   Step
}

// attempt is one attempt of a request, or the record of an outcome.
type attempt struct {
	in       input
	process  int
	call     int64
	answered bool
	grant    Grant
}

// simulation simulates one shard of the platform's key-value service and the processes that
// claim keys in it. Every action is one event, so a seed reproduces a run.
type simulation struct {
	now       time.Time
	limits    Limits
	shard     Shard
	revision  ggscore.StoreRevision
	delayed   []delayedWrite
	processes []*process
	attempts  map[OpID]*attempt
	lastOp    OpID
	clock     int64
	history   []porcupine.Operation
	granted   []*attempt
	running   []*attempt
	runs      map[KeyHash]int
}

func newSimulation(n int) *simulation {
	w := &simulation{
		now:      time.Unix(1_800_000_000, 0),
		limits:   DefaultLimits(time.Hour),
		attempts: map[OpID]*attempt{},
		runs:     map[KeyHash]int{},
	}
	for range n {
		w.processes = append(w.processes, &process{writer: NewWriter(w.limits)})
	}
	return w
}

func (w *simulation) tick() int64 {
	w.clock++
	return w.clock
}

func (w *simulation) key(n byte) Key {
	return Key{Hash: KeyHash{n}, Issued: time.Unix(1_800_000_000, 0)}
}

func (w *simulation) begin(p int, key, body byte) OpID {
	w.lastOp++
	var id ClaimID
	binary.BigEndian.PutUint64(id[:], uint64(w.lastOp))
	k := w.key(key)
	in := input{key: k.Hash, claim: id, body: BodyHash{body}}
	w.attempts[w.lastOp] = &attempt{in: in, process: p, call: w.tick()}
	w.processes[p].writer.Begin(w.lastOp, k, in.body, id, w.now)
	return w.lastOp
}

func (w *simulation) finish(p int, a *attempt, s State) {
	w.lastOp++
	in := input{key: a.in.key, claim: a.in.claim, finish: s}
	w.attempts[w.lastOp] = &attempt{in: in, process: p, call: w.tick()}
	w.processes[p].writer.Finish(w.lastOp, a.grant, s, Result{}, w.now)
}

// startIO starts a process's next I/O if it has none in flight.
func (w *simulation) startIO(p int) {
	pr := w.processes[p]
	if pr.step.Kind == StepIdle {
		pr.step = pr.writer.Next(w.now)
	}
	w.collect(p)
}

// The results of I/O that a test may choose.
const (
	endAnswered = iota
	endLostAfterEffect
	endLostBeforeEffect
	endUnavailable
)

// finishIO finishes a process's I/O.
func (w *simulation) finishIO(p, how int) {
	pr := w.processes[p]
	step := pr.step
	pr.step = Step{}
	switch {
	case step.Kind == StepIdle:
		return
	case how == endUnavailable, step.Kind == StepRead && how != endAnswered:
		pr.writer.Unavailable(time.Second)
	case step.Kind == StepRead:
		pr.writer.ReadDone(w.shard, w.revision)
	case how == endLostBeforeEffect:
		w.delayed = append(w.delayed, delayedWrite{next: step.Next, prev: step.Prev})
		pr.writer.WriteDone(w.now, WriteAmbiguous, 0)
	case how == endLostAfterEffect:
		w.put(step.Next, step.Prev)
		pr.writer.WriteDone(w.now, WriteAmbiguous, 0)
	case w.put(step.Next, step.Prev):
		pr.writer.WriteDone(w.now, WriteOK, w.revision)
	default:
		pr.writer.WriteDone(w.now, WriteConflict, 0)
	}
	w.collect(p)
}

func (w *simulation) put(s Shard, prev ggscore.StoreRevision) bool {
	if prev != w.revision {
		return false
	}
	w.shard = s
	w.revision++
	return true
}

// applyDelayed lets a delayed write reach the service.
func (w *simulation) applyDelayed(i int) {
	d := w.delayed[i]
	w.delayed = append(w.delayed[:i:i], w.delayed[i+1:]...)
	w.put(d.next, d.prev)
}

func (w *simulation) collect(p int) {
	for _, s := range w.processes[p].writer.Settled() {
		a := w.attempts[s.Op]
		w.answer(a, s.Decision)
		if s.Decision.Kind == DecisionGranted {
			a.grant = s.Decision.Grant
			w.granted = append(w.granted, a)
		}
	}
}

func (w *simulation) answer(a *attempt, d Decision) {
	a.answered = true
	w.history = append(w.history, porcupine.Operation{
		Input: a.in, Call: a.call, Output: output{kind: d.Kind, state: d.State}, Return: w.tick(),
	})
	// The Writer may release an abandoned claim at any time from now on.
	if d.Kind == DecisionUnavailable {
		w.recordPossibleRelease(a)
	}
}

func (w *simulation) recordPossibleRelease(a *attempt) {
	in := input{key: a.in.key, claim: a.in.claim, finish: StateReleased}
	w.history = append(w.history, porcupine.Operation{Input: in, Call: w.tick(), Output: output{}, Return: 1 << 60})
}

func (w *simulation) cancel(op OpID) {
	a := w.attempts[op]
	w.processes[a.process].writer.Cancel(op)
	w.answer(a, Decision{Kind: DecisionUnavailable})
}

// crash discards the state of a process; its write may still take effect.
func (w *simulation) crash(p int) {
	pr := w.processes[p]
	if pr.step.Kind == StepWrite {
		w.delayed = append(w.delayed, delayedWrite{next: pr.step.Next, prev: pr.step.Prev})
	}
	w.processes[p] = &process{writer: NewWriter(w.limits)}
	for _, a := range w.attempts {
		if a.process == p && !a.answered {
			w.recordLost(a)
		}
	}
}

// recordLost ends an attempt without an answer: it may have taken effect or may still
// do so.
func (w *simulation) recordLost(a *attempt) {
	a.answered = true
	w.history = append(w.history, porcupine.Operation{Input: a.in, Call: a.call, Output: output{}, Return: 1 << 60})
}

func (w *simulation) recordAllLost() {
	for _, a := range w.attempts {
		if !a.answered {
			w.recordLost(a)
		}
	}
}

// dispatch runs the request of a grant, or releases the grant unused.
func (w *simulation) dispatch(t *rapid.T, i int, run bool) {
	a := w.granted[i]
	w.granted = append(w.granted[:i:i], w.granted[i+1:]...)
	if !run {
		w.finish(a.process, a, StateReleased)
		return
	}
	w.runs[a.in.key]++
	if w.runs[a.in.key] > 1 {
		t.Fatalf("key %v ran %d times", a.in.key[0], w.runs[a.in.key])
	}
	w.running = append(w.running, a)
}

// pick draws one of n actions, if there are any.
func pick(t *rapid.T, n int, do func(int)) {
	if n > 0 {
		do(rapid.IntRange(0, n-1).Draw(t, "pick"))
	}
}
