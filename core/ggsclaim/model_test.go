package ggsclaim

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/anishathalye/porcupine"
)

// input is an operation on a key: a claim if finish is zero, otherwise the record of the outcome
// finish.
type input struct {
	key    KeyHash
	claim  ClaimID
	body   BodyHash
	finish State
}

// output is the answer to an operation; the zero value means that no answer arrived.
type output struct {
	kind  DecisionKind
	state State
}

// register is the state of one key; the zero value is an unclaimed key.
type register struct {
	state State
	claim ClaimID
	body  BodyHash
}

// model is the specification of a key's claims: the request is dispatched at most once.
func model() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Partition: partition,
		Init:      func() []any { return []any{register{}} },
		Step: func(s, in, out any) []any {
			r, i, o := s.(register), in.(input), out.(output)
			if i.finish != 0 {
				return stepFinish(r, i, o)
			}
			return stepBegin(r, i, o)
		},
	}
	return m.ToModel()
}

func partition(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := map[KeyHash][]porcupine.Operation{}
	for _, o := range history {
		k := o.Input.(input).key
		byKey[k] = append(byKey[k], o)
	}
	var parts [][]porcupine.Operation
	for _, p := range byKey {
		parts = append(parts, p)
	}
	return parts
}

func stepBegin(r register, i input, o output) []any {
	claimed := register{state: StateClaimed, claim: i.claim, body: i.body}
	free := r.state == 0 || (r.state == StateReleased && r.body == i.body)
	same := r.state != 0 && r.body == i.body
	ok := false
	switch o.kind {
	case DecisionGranted:
		if free {
			return []any{claimed}
		}
	case DecisionInProgress:
		ok = same && r.state == StateClaimed
	case DecisionReplay:
		ok = same && (r.state == o.state || (r.state == StateClaimed && o.state == StateUnknown))
	case DecisionReused:
		ok = r.state != 0 && r.body != i.body
	case DecisionExpired:
		ok = true
	case DecisionUnavailable, 0:
		if free {
			return []any{r, claimed}
		}
		ok = true
	default:
	}
	if ok {
		return []any{r}
	}
	return nil
}

func stepFinish(r register, i input, o output) []any {
	mine := r.claim == i.claim
	open := mine && (r.state == StateClaimed || r.state == StateUnknown)
	ended := register{state: i.finish, claim: r.claim, body: r.body}
	switch {
	// DecisionClaimMissing is also the answer to a record whose write took effect, if the answer
	// was lost and the key was claimed again afterwards.
	case (o.kind == DecisionRecorded || o.kind == DecisionClaimMissing) && open:
		return []any{ended}
	case o.kind == DecisionRecorded && mine, o.kind == DecisionClaimMissing && !mine:
		return []any{r}
	case o.kind == 0 && open:
		return []any{r, ended}
	case o.kind == 0:
		return []any{r}
	}
	return nil
}

// print formats the history with one operation a line.
func (w *simulation) print() string {
	var b strings.Builder
	for _, o := range w.history {
		i, out := o.Input.(input), o.Output.(output)
		fmt.Fprintf(&b, "[%d,%d] key %d claim %d body %d finish %d -> %d %d\n", o.Call, o.Return,
			i.key[0], binary.BigEndian.Uint64(i.claim[:]), i.body[0], i.finish, out.kind, out.state)
	}
	return b.String()
}
