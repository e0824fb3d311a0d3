// Package ggsturn decides when an endpoint may begin to read a request's prompt.
//
// An engine reads prompts in pieces between the tokens of the streams that it
// runs. Prompts that begin together fill step after step, and every stream of the
// endpoint pauses for as long. So each prompt gets a turn: within any stretch as
// long as the shortest pause that a route of the service allows, only so much is
// begun at an endpoint as it reads in that time beside its streams' own steps.
//
// # Usage
//
//	t := ggsturn.NewTable(ggsturn.Options{VM: vm})
//	t.SetService(service, gapAim)                  // by the configuration
//	e := t.Expect(now, service, endpoint, tokens)  // for the choice of an endpoint
//	n := t.Take(now, service, endpoint, tokens, w) // tell peers, wait until n.Begin
//	t.SetEndpoints(service, endpoints)             // in a large fleet
//	ok := t.Announces(now, n)                      // whether peers need to know of it
//	n, ok := t.Confirm(now, n)                     // send, or tell peers and wait again
//	t.Cancel(n)                                    // its caller left: tell peers
//	t.Add(now, n)                                  // a peer's turn
//	t.Drop(n)                                      // and its end
//	t.First(now, n, sent)                          // the first piece came
//	hurt := t.Gap(now, service, endpoint, gap)     // a pause between two pieces
//	t.Stream(now, service, endpoint, hurt)         // a stream ended, or was hurt first
//	samples, tallies := t.Untold()                 // tell peers what was seen
//	t.LearnFirst(sample)                           // what a peer saw
//	t.LearnTally(now, tally)
//	t.SetDecides(first)                            // one VM decides if prompts wait
//	t.Follow(now, mode)                            // and the others do as it says
//
// Nobody grants turns. A VM takes the next one that its own view leaves free and
// tells the others at once; two that take the same one, within the way of a
// datagram, read together, which the bound has room for. A VM that hears nobody
// goes on with what it knows. The package holds no clock, no goroutine and no lock.
package ggsturn

import (
	"time"

	ggscore "greengageslip/core"
)

// An Options sets a Table.
type Options struct {
	VM ggscore.VMID
	// First is the number of the first turn. One that differs between processes of a
	// VM keeps a new one's turns apart from those that peers know of the one before.
	First uint64
}

var _ ggscore.TurnExpecter = (*Table)(nil)

// A Table holds the turns at the endpoints, and what is known of their speed.
type Table struct {
	options  Options
	number   uint64
	decides  bool
	services map[ggscore.Service]*service
	queues   map[ggscore.EndpointID]*queue
	// samples and tallies are what peers weren't told of.
	samples []ggscore.TurnSample
	tallies []ggscore.TurnTally
}

// A service is what is known of the endpoints of a service.
type service struct {
	// gapAim is the shortest pause between pieces that a route allows, zero where
	// none limits it.
	gapAim time.Duration
	speed  speed
	pauses pauses
	size   usualSize
	// observed are the endpoints whose turns are announced while prompts don't wait, nil
	// for all.
	observed map[ggscore.EndpointID]bool
}

// A queue holds an endpoint's turns in the order of their beginning.
type queue struct {
	turns []ggscore.PromptTurn
	// free is when the endpoint is expected to have read all.
	free time.Time
	// slowness is how much longer its first pieces take than expected.
	slowness float64
}

// keepFor is how long turns are kept after their beginning: a prompt of 10,000
// tokens is read within it by the slowest engines known, at 10 tokens a ms.
const keepFor = 2 * time.Second

// NewTable returns a table without turns.
func NewTable(o Options) *Table {
	return &Table{options: o, number: o.First, services: map[ggscore.Service]*service{}, queues: map[ggscore.EndpointID]*queue{}}
}

// SetDecides sets whether this VM decides if prompts wait. One does for all: where some
// VMs had theirs wait and others didn't, streams were hurt and callers waited for it.
func (t *Table) SetDecides(decides bool) { t.decides = decides }

// SetService sets the shortest pause between pieces that a route to the service
// allows, zero for none.
func (t *Table) SetService(s ggscore.Service, gapAim time.Duration) { t.service(s).gapAim = gapAim }

// Remove forgets an endpoint.
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

// Expect returns what a prompt would meet. Zero tokens stand for a usual prompt.
func (t *Table) Expect(now time.Time, s ggscore.Service, id ggscore.EndpointID, tokens int) ggscore.TurnEstimate {
	v, q := t.service(s), t.queue(id)
	work := v.work(q, v.size.or(tokens))
	begin := t.next(now, v, q, work)
	return ggscore.TurnEstimate{Wait: begin.Sub(now), Ready: later(begin, q.free).Add(work).Sub(now)}
}

// Take gives a prompt its turn. Zero tokens stand for a usual prompt. A turn that is
// limited by others begins no sooner than the way that word of it takes to the VMs that
// send to the endpoint too; it is to be confirmed then.
func (t *Table) Take(now time.Time, s ggscore.Service, id ggscore.EndpointID, tokens int, way time.Duration) ggscore.PromptTurn {
	v, q := t.service(s), t.queue(id)
	v.size.add(tokens)
	t.number++
	n := ggscore.PromptTurn{VM: t.options.VM, Number: t.number, Service: s, Endpoint: id, Tokens: v.size.or(tokens)}
	n.Begin = t.next(now, v, q, v.work(q, n.Tokens))
	if v.limit() > 0 {
		n.Begin = later(n.Begin, now.Add(way))
	}
	t.Add(now, n)
	return n
}

// Confirm looks at a turn of this VM once more when it is due. Two VMs that took turns
// at the same moment didn't know of each other's, and the endpoint would read both at
// once: the later one gets its turn anew, and ok is false.
func (t *Table) Confirm(now time.Time, n ggscore.PromptTurn) (turn ggscore.PromptTurn, ok bool) {
	v, q := t.service(n.Service), t.queue(n.Endpoint)
	limit := v.limit()
	i := q.find(n)
	if limit <= 0 || i < 0 {
		return n, true
	}
	var begun time.Duration
	for _, o := range q.turns[:i] {
		if n.Begin.Sub(o.Begin) < v.gapAim {
			begun += v.work(q, o.Tokens)
		}
	}
	work := v.work(q, n.Tokens)
	if begun == 0 || begun+work <= limit {
		return n, true
	}
	t.Drop(n)
	n.Begin = t.next(now, v, q, work)
	t.Add(now, n)
	return n, false
}

// Add notes a turn, of this VM or of a peer.
func (t *Table) Add(now time.Time, n ggscore.PromptTurn) {
	v, q := t.service(n.Service), t.queue(n.Endpoint)
	q.forget(now)
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
	q.read(v)
}

// Drop takes a turn back that wasn't used.
func (t *Table) Drop(n ggscore.PromptTurn) {
	q := t.queues[n.Endpoint]
	if q == nil {
		return
	}
	if i := q.find(n); i >= 0 {
		q.turns = append(q.turns[:i], q.turns[i+1:]...)
		q.read(t.service(n.Service))
	}
}

// next returns the earliest beginning of a turn of so much work. Turns begin in
// the order in which they were taken: a long prompt would never find its time
// among short ones that pass it.
func (t *Table) next(now time.Time, v *service, q *queue, work time.Duration) time.Time {
	limit := v.limit()
	if limit <= 0 {
		return now
	}
	at := now
	if n := len(q.turns); n > 0 {
		at = later(at, q.turns[n-1].Begin)
	}
	begun, i := time.Duration(0), 0
	for j, n := range q.turns {
		if at.Sub(n.Begin) >= v.gapAim {
			i = j + 1
			continue
		}
		begun += v.work(q, n.Tokens)
	}
	// The oldest turns leave the stretch one after the other.
	for ; i < len(q.turns) && begun+work > limit; i++ {
		at = q.turns[i].Begin.Add(v.gapAim)
		begun -= v.work(q, q.turns[i].Tokens)
	}
	return at
}

// before reports whether a turn comes before another. All VMs agree on it.
func before(a, b ggscore.PromptTurn) bool {
	if !a.Begin.Equal(b.Begin) {
		return a.Begin.Before(b.Begin)
	}
	return a.VM < b.VM || a.VM == b.VM && a.Number < b.Number
}

// find returns the index of a turn, -1 where it isn't there.
func (q *queue) find(n ggscore.PromptTurn) int {
	for i := range q.turns {
		if q.turns[i].VM == n.VM && q.turns[i].Number == n.Number {
			return i
		}
	}
	return -1
}

// forget drops turns that were read long ago.
func (q *queue) forget(now time.Time) {
	i := 0
	for i < len(q.turns) && now.Sub(q.turns[i].Begin) > keepFor {
		i++
	}
	q.turns = append(q.turns[:0], q.turns[i:]...)
}

// read works out when the endpoint will have read all turns.
func (q *queue) read(v *service) {
	q.free = time.Time{}
	for _, n := range q.turns {
		q.free = later(n.Begin, q.free).Add(v.work(q, n.Tokens))
	}
}

// work returns the time that an endpoint takes to read tokens.
func (v *service) work(q *queue, tokens int) time.Duration {
	return time.Duration(float64(v.usual(tokens)) * q.slow())
}

// usual returns the time that endpoints of the service usually take to read tokens.
func (v *service) usual(tokens int) time.Duration {
	return time.Duration(tokens) * v.speed.perToken()
}

// limit returns the work that may begin within a stretch of the shortest pause,
// zero for no limit.
func (v *service) limit() time.Duration {
	if v.gapAim <= 0 {
		return 0
	}
	return v.pauses.limit(v.gapAim)
}
