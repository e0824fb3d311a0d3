// Package ggsturn schedules the prefill of prompts: it decides when a request's prompt may be
// sent to its endpoint.
//
// An engine prefills prompts in chunks between the decoding steps of its streams. Prompts that
// begin together fill step after step, and every stream of the endpoint stalls meanwhile. Each
// prompt therefore gets a turn, which is the time at which it may begin. Within any window of
// the shortest gap that a route of the service allows, the prefill time of the prompts that
// begin at an endpoint is bounded by what fits beside the decoding steps.
//
// Turns are enforced only while they reduce the number of degraded streams: those with gaps
// caused by prefill, or with a first chunk that is late because of the turn.
//
// # Usage
//
//	t := ggsturn.NewTable(ggsturn.Options{VM: vm})
//	t.SetService(service, targetGap)                     // from the configuration
//	t.SetEndpoints(service, endpoints)                   // in a large fleet
//	e := t.Estimate(now, service, endpoint, tokens)      // to choose an endpoint
//	n := t.Take(now, service, endpoint, tokens, delay)   // announce to peers, wait until n.Begin
//	ok := t.Announces(now, n)                            // whether to announce the turn
//	n, ok := t.Confirm(now, n)                           // send, or announce and wait again
//	t.Add(now, n)                                        // a peer's turn
//	t.Drop(n)                                            // the turn is no longer needed
//	t.RecordFirstChunk(now, n, sent)                     // the first chunk arrived
//	degraded := t.RecordGap(now, service, endpoint, gap) // a gap between two chunks
//	t.RecordStream(now, service, endpoint, degraded)     // a stream ended or became degraded
//	samples, tallies := t.DrainUnreported()              // report to peers
//	t.AddSample(sample)                                  // a peer's sample
//	t.AddTally(now, tally)                               // a peer's stream counts
//	t.SetDecides(first)                                  // one VM decides on enforcement
//	t.ApplyMode(now, mode)                               // the other VMs apply its mode
//
// There is no central scheduler. A VM takes the next turn that is free in its own view and
// announces the turn to its peers at once. Two VMs can take the same turn within the propagation
// delay of a datagram. Confirm then replaces the later turn. Only if the announcement of one
// turn arrives after the other has begun are their prompts prefilled together. A VM that
// receives nothing from its peers continues with its own view.
//
// A Table isn't safe for concurrent use. It has no clock and no goroutines: the caller passes
// the time.
package ggsturn

import (
	"time"

	ggscore "greengageslip/core"
)

// Options configure a Table.
type Options struct {
	VM ggscore.VMID
	// LastNumber is the number before that of the table's first turn. It has to differ between
	// processes of a VM, so that turns of a new process aren't mistaken for those of the
	// previous one.
	LastNumber uint64
}

var _ ggscore.TurnEstimator = (*Table)(nil)

// A Table holds the turns of all endpoints and the learned prefill speeds.
type Table struct {
	options    Options
	lastNumber uint64
	decides    bool
	services   map[ggscore.Service]*service
	queues     map[ggscore.EndpointID]*queue
	// samples and tallies are those not yet reported to peers.
	samples []ggscore.TurnSample
	tallies []ggscore.TurnTally
}

// A service is the state of one service.
type service struct {
	// targetGap is the shortest gap between chunks that a route allows, zero for no limit.
	targetGap time.Duration
	speed     speed
	mode      modeController
	size      promptSize
	// observed is the set of endpoints whose turns are announced while turns aren't enforced,
	// nil for all.
	observed map[ggscore.EndpointID]bool
}

// A queue holds an endpoint's turns, ordered by start time.
type queue struct {
	turns []ggscore.PromptTurn
	// idleAt is when the endpoint is expected to have prefilled all prompts.
	idleAt time.Time
	// slowness is the ratio of the endpoint's times to first chunk to the expected ones.
	slowness float64
}

// turnRetention is how long a turn is kept after its start. The slowest engines, at 10 tokens
// per ms, prefill a prompt of 10,000 tokens in less.
const turnRetention = 2 * time.Second

// NewTable returns a table without turns.
func NewTable(o Options) *Table {
	return &Table{options: o, lastNumber: o.LastNumber, services: map[ggscore.Service]*service{}, queues: map[ggscore.EndpointID]*queue{}}
}

// SetDecides sets whether this VM decides on the enforcement of turns. One VM decides for all:
// where only some VMs enforced turns, streams were degraded although callers waited.
func (t *Table) SetDecides(decides bool) { t.decides = decides }

// SetService sets the shortest gap between chunks that a route to the service allows, zero for
// no limit.
func (t *Table) SetService(s ggscore.Service, targetGap time.Duration) {
	t.service(s).targetGap = targetGap
}

// Remove drops the state of an endpoint.
func (t *Table) Remove(id ggscore.EndpointID) { delete(t.queues, id) }

func (t *Table) service(s ggscore.Service) *service {
	v := t.services[s]
	if v == nil {
		v = &service{}
		t.services[s] = v
	}
	return v
}

func (t *Table) queue(id ggscore.EndpointID) *queue {
	q := t.queues[id]
	if q == nil {
		q = &queue{slowness: 1}
		t.queues[id] = q
	}
	return q
}

// Estimate estimates the wait for a turn and the time until a prompt is prefilled. Zero tokens
// stand for the service's mean prompt size.
func (t *Table) Estimate(now time.Time, s ggscore.Service, id ggscore.EndpointID, tokens int) ggscore.TurnEstimate {
	v, q := t.service(s), t.queue(id)
	prefill := v.prefillTime(q, v.size.orMean(tokens))
	begin := t.earliestBegin(now, v, q, prefill)
	return ggscore.TurnEstimate{Wait: begin.Sub(now), Ready: later(begin, q.idleAt).Add(prefill).Sub(now)}
}

// Take assigns the next turn to a prompt. Zero tokens stand for the service's mean prompt size.
// If turns are enforced, the turn begins after delay at the earliest, which is the time until
// its announcement has reached the VMs that send to the same endpoint. The turn has to be
// confirmed when it is due.
func (t *Table) Take(now time.Time, s ggscore.Service, id ggscore.EndpointID, tokens int, delay time.Duration) ggscore.PromptTurn {
	v, q := t.service(s), t.queue(id)
	v.size.add(tokens)
	t.lastNumber++
	n := ggscore.PromptTurn{VM: t.options.VM, Number: t.lastNumber, Service: s, Endpoint: id, Tokens: v.size.orMean(tokens)}
	n.Begin = t.earliestBegin(now, v, q, v.prefillTime(q, n.Tokens))
	if v.prefillLimit() > 0 {
		n.Begin = later(n.Begin, now.Add(delay))
	}
	t.Add(now, n)
	return n
}

// Confirm checks a turn of this VM again when it is due. Two VMs that took turns at the same
// time didn't know of each other's, and the endpoint would prefill both prompts at once. The
// later turn is then replaced by a new one, and ok is false.
func (t *Table) Confirm(now time.Time, n ggscore.PromptTurn) (turn ggscore.PromptTurn, ok bool) {
	v, q := t.service(n.Service), t.queue(n.Endpoint)
	limit := v.prefillLimit()
	i := q.find(n)
	if limit <= 0 || i < 0 {
		return n, true
	}
	var begun time.Duration
	for _, o := range q.turns[:i] {
		if n.Begin.Sub(o.Begin) < v.targetGap {
			begun += v.prefillTime(q, o.Tokens)
		}
	}
	prefill := v.prefillTime(q, n.Tokens)
	if begun == 0 || begun+prefill <= limit {
		return n, true
	}
	t.Drop(n)
	n.Begin = t.earliestBegin(now, v, q, prefill)
	t.Add(now, n)
	return n, false
}

// Add records a turn of this VM or of a peer.
func (t *Table) Add(now time.Time, n ggscore.PromptTurn) {
	v, q := t.service(n.Service), t.queue(n.Endpoint)
	q.dropExpired(now)
	if q.find(n) >= 0 {
		return
	}
	i := len(q.turns)
	for i > 0 && before(n, q.turns[i-1]) {
		i--
	}
	q.turns = append(q.turns, ggscore.PromptTurn{})
	copy(q.turns[i+1:], q.turns[i:])
	q.turns[i] = n
	q.updateIdleAt(v)
}

// Drop removes a turn that wasn't used.
func (t *Table) Drop(n ggscore.PromptTurn) {
	q := t.queues[n.Endpoint]
	if q == nil {
		return
	}
	if i := q.find(n); i >= 0 {
		q.turns = append(q.turns[:i], q.turns[i+1:]...)
		q.updateIdleAt(t.service(n.Service))
	}
}

// earliestBegin returns the earliest start of a turn with the given prefill time. It isn't
// before the last turn that was taken. Otherwise short prompts would overtake a long one, which
// would starve.
func (t *Table) earliestBegin(now time.Time, v *service, q *queue, prefill time.Duration) time.Time {
	limit := v.prefillLimit()
	if limit <= 0 {
		return now
	}
	at := now
	if n := len(q.turns); n > 0 {
		at = later(at, q.turns[n-1].Begin)
	}
	begun, i := time.Duration(0), 0
	for j, n := range q.turns {
		if at.Sub(n.Begin) >= v.targetGap {
			i = j + 1
			continue
		}
		begun += v.prefillTime(q, n.Tokens)
	}
	// Delays the start until enough of the oldest turns have left the window.
	for ; i < len(q.turns) && begun+prefill > limit; i++ {
		at = q.turns[i].Begin.Add(v.targetGap)
		begun -= v.prefillTime(q, q.turns[i].Tokens)
	}
	return at
}

// before reports whether turn a precedes turn b. The order is the same on all VMs.
func before(a, b ggscore.PromptTurn) bool {
	if !a.Begin.Equal(b.Begin) {
		return a.Begin.Before(b.Begin)
	}
	return a.VM < b.VM || a.VM == b.VM && a.Number < b.Number
}

// find returns the index of a turn, or -1.
func (q *queue) find(n ggscore.PromptTurn) int {
	for i := range q.turns {
		if q.turns[i].VM == n.VM && q.turns[i].Number == n.Number {
			return i
		}
	}
	return -1
}

// dropExpired drops turns older than turnRetention.
func (q *queue) dropExpired(now time.Time) {
	i := 0
	for i < len(q.turns) && now.Sub(q.turns[i].Begin) > turnRetention {
		i++
	}
	q.turns = append(q.turns[:0], q.turns[i:]...)
}

// updateIdleAt recomputes when the endpoint will have prefilled all prompts.
func (q *queue) updateIdleAt(v *service) {
	q.idleAt = time.Time{}
	for _, n := range q.turns {
		q.idleAt = later(n.Begin, q.idleAt).Add(v.prefillTime(q, n.Tokens))
	}
}

// prefillTime returns the prefill time of a prompt at an endpoint.
func (v *service) prefillTime(q *queue, tokens int) time.Duration {
	return time.Duration(float64(v.usualPrefillTime(tokens)) * q.slowFactor())
}

// usualPrefillTime returns the prefill time of a prompt at an endpoint of normal speed.
func (v *service) usualPrefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * v.speed.perToken()
}

// prefillLimit returns the prefill time that may begin within a window of the shortest gap,
// zero for no limit.
func (v *service) prefillLimit() time.Duration {
	if v.targetGap <= 0 {
		return 0
	}
	return v.mode.prefillLimit(v.targetGap)
}
