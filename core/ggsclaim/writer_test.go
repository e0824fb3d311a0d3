package ggsclaim

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	ggscore "greengageslip/core"
)

// Guards against a second dispatch of a request that a caller repeats through another gateway
// while answers of the key-value service are lost, writes take effect late and processes crash.
func TestAtMostOnceUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(3)
		names, act := actions(w)
		for range rapid.IntRange(100, 200).Draw(t, "steps") {
			act[rapid.SampledFrom(names).Draw(t, "action")](t)
		}
		w.recordAllLost()
		if !porcupine.CheckOperations(model(), w.history) {
			t.Fatalf("history is no at-most-once register:\n%s", w.print())
		}
	})
}

// actions returns the actions by name, and the names repeated according to their
// weight.
func actions(w *simulation) ([]string, map[string]func(*rapid.T)) {
	process := rapid.IntRange(0, len(w.processes)-1)
	act := map[string]func(*rapid.T){
		"begin": func(t *rapid.T) {
			key := rapid.SampledFrom([]byte{1, 1, 1, 2}).Draw(t, "key")
			w.begin(process.Draw(t, "process"), key, rapid.SampledFrom([]byte{1, 1, 1, 2}).Draw(t, "body"))
		},
		"start":  func(t *rapid.T) { w.startIO(process.Draw(t, "process")) },
		"answer": func(t *rapid.T) { w.finishIO(process.Draw(t, "process"), endAnswered) },
		"settle": func(t *rapid.T) { w.settle(process.Draw(t, "process")) },
		"lose": func(t *rapid.T) {
			w.finishIO(process.Draw(t, "process"), rapid.IntRange(endLostAfterEffect, endUnavailable).Draw(t, "how"))
		},
		"land":   func(t *rapid.T) { pick(t, len(w.delayed), w.applyDelayed) },
		"crash":  func(t *rapid.T) { w.crash(process.Draw(t, "process")) },
		"cancel": func(t *rapid.T) { open := w.open(); pick(t, len(open), func(i int) { w.cancel(open[i]) }) },
		"dispatch": func(t *rapid.T) {
			pick(t, len(w.granted), func(i int) { w.dispatch(t, i, rapid.IntRange(0, 3).Draw(t, "run") > 0) })
		},
		"finish": func(t *rapid.T) {
			pick(t, len(w.running), func(i int) {
				a := w.running[i]
				w.running = append(w.running[:i:i], w.running[i+1:]...)
				w.finish(a.process, a, rapid.SampledFrom([]State{StateDone, StateUnknown}).Draw(t, "state"))
			})
		},
		"wait": func(*rapid.T) { w.now = w.now.Add(2 * time.Minute) },
	}
	names := []string{"crash", "wait", "cancel"}
	for _, common := range []string{"start", "answer", "lose", "land", "begin", "dispatch", "finish"} {
		names = append(names, common, common)
	}
	for _, frequent := range []string{"begin", "settle", "dispatch"} {
		names = append(names, frequent, frequent, frequent, frequent)
	}
	return names, act
}

// open returns the claims that have no answer yet.
func (w *simulation) open() []OpID {
	var open []OpID
	for op := OpID(1); op <= w.lastOp; op++ {
		if a := w.attempts[op]; !a.answered && a.in.finish == 0 {
			open = append(open, op)
		}
	}
	return open
}

// settle runs a process without faults until it needs no I/O.
func (w *simulation) settle(p int) {
	for w.startIO(p); w.processes[p].step.Kind != StepIdle; w.startIO(p) {
		w.finishIO(p, endAnswered)
	}
}

// claimAndSettle claims key 1 by a process, without faults, and returns the answer.
func (w *simulation) claimAndSettle(p int) output {
	w.begin(p, 1, 1)
	w.settle(p)
	return w.lastAnswer()
}

// beginWrite claims key 1 by the first process, up to the start of the claim's write.
func (w *simulation) beginWrite() OpID {
	op := w.begin(0, 1, 1)
	w.startIO(0)
	w.finishIO(0, endAnswered)
	w.startIO(0)
	return op
}

// lastAnswer returns the last answer to a claim.
func (w *simulation) lastAnswer() output {
	return w.history[len(w.history)-1].Output.(output)
}

// Guards against an attempt that is refused because of its own claim. The claim's write took
// effect and its answer was lost, so the writer must recognize the claim when it reads it back.
func TestLostAnswerIsReadBack(t *testing.T) {
	t.Parallel()
	for name, how := range map[string]int{"took effect": endLostAfterEffect, "takes effect later": endLostBeforeEffect} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := newSimulation(1)
			w.beginWrite()
			w.finishIO(0, how)
			w.settle(0)
			c.Assert(w.lastAnswer().kind, qt.Equals, DecisionGranted)
			for i := range w.delayed {
				w.applyDelayed(i)
			}
			c.Assert(w.claimAndSettle(0).kind, qt.Equals, DecisionInProgress)
		})
	}
}

// Guards against a key that stays blocked for a day because an attempt was cancelled while its
// claim's write was delayed. The writer must exclude the delayed write or release the claim.
func TestCancelledClaimIsReleased(t *testing.T) {
	t.Parallel()
	for name, applyFirst := range map[string]bool{"applied before the retry": true, "applied after the retry": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := newSimulation(2)
			op := w.beginWrite()
			w.finishIO(0, endLostBeforeEffect)
			w.cancel(op)
			if applyFirst {
				w.applyDelayed(0)
			}
			w.settle(0)
			if !applyFirst {
				w.applyDelayed(0)
			}
			c.Assert(w.claimAndSettle(1).kind, qt.Equals, DecisionGranted)
		})
	}
}

// Guards against a key that stays blocked for a day because an attempt was cancelled while the
// successful write of its claim was in flight.
func TestCancelledClaimInFlightIsReleased(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newSimulation(2)
	op := w.beginWrite()
	w.cancel(op)
	w.finishIO(0, endAnswered)
	w.settle(0)
	c.Assert(w.claimAndSettle(1).kind, qt.Equals, DecisionGranted)
}

// Guards against a key that stays blocked because its claim took effect, the answer was lost,
// and the service became unavailable before the claim could be read back.
func TestClaimBeforeOutageIsReleased(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newSimulation(2)
	w.beginWrite()
	w.finishIO(0, endLostAfterEffect)
	w.startIO(0)
	w.finishIO(0, endUnavailable)
	w.settle(0)
	c.Assert(w.claimAndSettle(1).kind, qt.Equals, DecisionGranted)
}

// Guards against a second run of a request after a late outcome. A holder that has released its
// claim must not record over a later attempt's claim, and a recorded run must not become notRun.
func TestLateOutcomeChangesNothing(t *testing.T) {
	t.Parallel()
	for name, late := range map[string]State{"late done": StateDone, "late release": StateReleased} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := newSimulation(2)
			w.claimAndSettle(0)
			first := w.granted[0]
			w.finish(0, first, StateReleased)
			w.settle(0)
			w.claimAndSettle(1)
			w.claimAndSettle(0)
			w.finish(0, first, late)
			w.settle(0)
			c.Assert(w.claimAndSettle(0).kind, qt.Equals, DecisionInProgress)
			w.finish(1, w.granted[1], StateDone)
			w.finish(1, w.granted[1], StateReleased)
			w.settle(1)
			c.Assert(w.claimAndSettle(0), qt.Equals, output{kind: DecisionReplay, state: StateDone})
		})
	}
}

// Guards against a second run of a request whose answer broke off, so that its outcome was
// recorded as unknown. TestAtMostOnceUnderFaults fails if such requests are dispatched.
func TestUnknownOutcomeIsNotRunAgain(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newSimulation(2)
	w.claimAndSettle(0)
	w.finish(0, w.granted[0], StateUnknown)
	w.settle(0)
	c.Assert(w.claimAndSettle(1), qt.Equals, output{kind: DecisionReplay, state: StateUnknown})
}

// Guards against a wrong answer if a release took effect, its answer was lost, and the key was
// claimed again: it must be DecisionClaimMissing. The model once excluded this answer (seed
// 5158163687557833157 of TestAtMostOnceUnderFaults).
func TestReleaseWithLostAnswer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newSimulation(2)
	w.claimAndSettle(0)
	w.finish(0, w.granted[0], StateReleased)
	w.startIO(0)
	w.finishIO(0, endLostAfterEffect)
	c.Assert(w.claimAndSettle(1).kind, qt.Equals, DecisionGranted)
	w.settle(0)
	c.Assert(w.lastAnswer().kind, qt.Equals, DecisionClaimMissing)
	c.Assert(porcupine.CheckOperations(model(), w.history), qt.IsTrue, qt.Commentf(w.print()))
}

// Guards against a second run by a grant whose write was delayed until the key's epoch was
// deleted, and then created a new shard.
func TestLateGrantIsRefused(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newSimulation(1)
	w.beginWrite()
	w.now = w.now.Add(2 * w.limits.Retention)
	w.finishIO(0, endAnswered)
	c.Assert(w.lastAnswer().kind, qt.Equals, DecisionExpired)
	c.Assert(w.granted, qt.HasLen, 0)
}

// Guards against a crashed holder's claim that stays in progress. Once it is older than every
// deadline its outcome is unknown, and the request is not run again, since the holder may have
// dispatched it.
func TestClaimOfCrashedHolderBecomesUnknown(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newSimulation(2)
	w.claimAndSettle(0)
	c.Assert(w.granted, qt.HasLen, 1)
	w.crash(0)
	c.Assert(w.claimAndSettle(1).kind, qt.Equals, DecisionInProgress)
	w.now = w.now.Add(w.limits.InProgress + time.Second)
	c.Assert(w.claimAndSettle(1), qt.Equals, output{kind: DecisionReplay, state: StateUnknown})
}

// Guards against one write per claim, which would exceed the platform's write rate. Claims that
// arrive during a write must share the next one.
func TestClaimsAreBatchedIntoOneWrite(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newSimulation(1)
	w.beginWrite()
	for key := byte(2); key < 100; key++ {
		w.begin(0, key, 1)
	}
	w.finishIO(0, endAnswered)
	w.settle(0)
	c.Assert(w.revision, qt.Equals, ggscore.StoreRevision(2))
	c.Assert(w.granted, qt.HasLen, 99)
}
