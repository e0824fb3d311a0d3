package ggsbudget

import (
	"cmp"
	"container/list"
	"slices"
	"time"
)

// The time without progress after which a client may have to give way.
const (
	// headPatience is short, because a client that behaves sends a head at once, and doesn't apply while connections are short.
	// bodyPatience and answerPatience allow for lost packets.
	headPatience   = 250 * time.Millisecond
	bodyPatience   = time.Second
	answerPatience = 2 * time.Second
)

const (
	// minProgressBytes is what a client must send or read to count as making progress.
	minProgressBytes = 1 << 10
	// highWater is the share of the memory above which victims are looked for.
	highWater = 0.85
	// greed is how much more memory than another a connection must have drawn to give way to it.
	greed = 2
)

// A Class is a set of connections with a limit of its own, such as those of a listener.
type Class string

// A Wait is what the process waits for at a connection.
type Wait int

// The waits, in the order in which clients give way while connections are short.
const (
	WaitHead Wait = iota
	WaitBody
	WaitAnswer
	// WaitIdle is the wait for the next request.
	WaitIdle
	waits
	// waitNone means that the process works on a request.
	waitNone = waits
)

// A Kind is what memory is drawn for.
type Kind int

// The kinds.
const (
	// KindHead is memory for a connection, the heads of its requests, and their answers.
	KindHead Kind = iota
	// KindBody is memory for bodies, of which a part is kept free for others' heads.
	KindBody
)

// Limits are what the clients of a process may take together.
type Limits struct {
	// Bytes is the memory, and BodyBytes the part of it for bodies.
	Bytes, BodyBytes int64
	// ConnBytes is what an open connection costs.
	ConnBytes int64
	// Conns are the connections by class.
	Conns map[Class]int
	// Requests are the places in flight of connections that call Begin. Zero means no limit. RequestBytes is what each costs.
	Requests     int
	RequestBytes int64
}

// A Holder is a connection and what it has drawn.
type Holder struct {
	class Class
	conn  int64
	// heads and bodies are the bytes drawn for the current request, and held those until the end of the connection.
	heads, bodies, held int64
	request             bool
	closed              bool
	// Interrupted is set once the holder is a victim whose request has to be refused.
	Interrupted bool

	wait     Wait
	since    time.Time
	progress int64
	place    *list.Element
}

// Bytes returns what the holder has drawn.
func (h *Holder) Bytes() int64 { return h.conn + h.heads + h.bodies + h.held }

// A Table has the connections of a process.
type Table struct {
	limits   Limits
	bytes    int64
	bodies   int64
	requests int
	conns    map[Class]int
	// waiting has the holders by what the process waits for, the one without progress for longest first.
	waiting [waits]*list.List
}

// NewTable returns a Table without connections.
func NewTable(l Limits) *Table {
	t := &Table{limits: l, conns: map[Class]int{}}
	for w := range t.waiting {
		t.waiting[w] = list.New()
	}
	return t
}

// Usage returns what all clients have taken.
func (t *Table) Usage() Usage {
	u := Usage{Bytes: t.bytes, BodyBytes: t.bodies, Requests: t.requests}
	for _, n := range t.conns {
		u.Conns += n
	}
	return u
}

// A Usage is what the clients of a process have taken.
type Usage struct {
	Bytes, BodyBytes int64
	Conns, Requests  int
}

// Open adds a connection, from which nothing was read yet. The error is a *FullError.
func (t *Table) Open(now time.Time, c Class) (h *Holder, victims []*Holder, err error) {
	if t.conns[c] >= t.limits.Conns[c] {
		v := t.connVictim(now, c)
		if v == nil {
			return nil, nil, &FullError{Resource: ResourceConns, Limit: int64(t.limits.Conns[c])}
		}
		victims = append(victims, v)
		t.Close(v)
	}
	h = &Holder{class: c, wait: waitNone}
	more, err := t.draw(now, h, &h.conn, KindHead, t.limits.ConnBytes)
	victims = append(victims, more...)
	if err != nil {
		return nil, victims, err
	}
	t.conns[c]++
	return h, victims, nil
}

// Close removes a connection with all that it has drawn.
func (t *Table) Close(h *Holder) {
	if h.closed {
		return
	}
	t.Work(h)
	t.End(h)
	t.bytes -= h.conn + h.held
	h.conn, h.held = 0, 0
	h.closed = true
	t.conns[h.class]--
}

// Wait records that the process waits for the client from now on.
func (t *Table) Wait(now time.Time, h *Holder, w Wait) {
	if h.closed || h.wait == w {
		return
	}
	t.Work(h)
	h.wait, h.since, h.progress = w, now, 0
	h.place = t.waiting[w].PushBack(h)
}

// Waiting returns what the process waits for, and false if it doesn't wait for the client.
func (h *Holder) Waiting() (w Wait, ok bool) { return h.wait, h.place != nil }

// Work records that the process doesn't wait for the client.
func (t *Table) Work(h *Holder) {
	if h.place == nil {
		return
	}
	t.waiting[h.wait].Remove(h.place)
	h.place, h.wait = nil, waitNone
}

// Advance records bytes that the client sent or read while the process waits for it.
func (t *Table) Advance(now time.Time, h *Holder, n int) {
	if h.place == nil {
		return
	}
	h.progress += int64(n)
	if h.progress < minProgressBytes {
		return
	}
	h.progress, h.since = 0, now
	t.waiting[h.wait].MoveToBack(h.place)
}

// Draw takes memory for the current request of a connection. The error is a *FullError. Victims may have to give way in either
// case.
func (t *Table) Draw(now time.Time, h *Holder, k Kind, n int64) (victims []*Holder, err error) {
	if k == KindBody {
		return t.draw(now, h, &h.bodies, k, n)
	}
	return t.draw(now, h, &h.heads, k, n)
}

// Hold takes memory until the end of the connection.
func (t *Table) Hold(now time.Time, h *Holder, n int64) (victims []*Holder, err error) {
	return t.draw(now, h, &h.held, KindHead, n)
}

// Return gives back a part of what was drawn for the current request.
func (t *Table) Return(h *Holder, k Kind, n int64) {
	if k == KindBody {
		n = min(n, h.bodies)
		h.bodies -= n
		t.bodies -= n
	} else {
		n = min(n, h.heads)
		h.heads -= n
	}
	t.bytes -= n
}

func (t *Table) draw(now time.Time, h *Holder, to *int64, k Kind, n int64) (victims []*Holder, err error) {
	if h.closed {
		return nil, &FullError{Resource: ResourceMemory, Limit: t.limits.Bytes}
	}
	limit, used := t.limits.Bytes, &t.bytes
	if k == KindBody && t.limits.Bytes-t.bytes > t.limits.BodyBytes-t.bodies {
		limit, used = t.limits.BodyBytes, &t.bodies
	}
	if over := *used + n - int64(highWater*float64(limit)); over > 0 {
		victims = t.memoryVictims(now, h, over)
		t.release(victims)
	}
	if over := t.bytes + n - t.limits.Bytes; over > 0 && k == KindHead {
		greedy := t.greedyVictims(h, n, over)
		t.release(greedy)
		victims = append(victims, greedy...)
	}
	if *used+n > limit || t.bytes+n > t.limits.Bytes {
		return victims, &FullError{Resource: ResourceMemory, Limit: limit}
	}
	*to += n
	t.bytes += n
	if k == KindBody {
		t.bodies += n
	}
	return victims, nil
}

// release closes the victims that aren't interrupted.
func (t *Table) release(victims []*Holder) {
	for _, v := range victims {
		if !v.Interrupted {
			t.Close(v)
		}
	}
}

// memoryVictims returns the clients that have to give way for a number of bytes, as far as there are any.
func (t *Table) memoryVictims(now time.Time, but *Holder, n int64) []*Holder {
	var victims []*Holder
	for _, w := range []Wait{WaitBody, WaitHead, WaitAnswer} {
		for _, v := range t.stalled(now, w, patience(w), but) {
			if n <= 0 {
				return victims
			}
			n -= v.Bytes()
			v.Interrupted = w == WaitBody
			victims = append(victims, v)
		}
	}
	return victims
}

// greedyVictims returns connections between requests that have drawn far more than one that needs a number of bytes, the largest
// first, as far as there are any. So many clients that take a little are served beside a few that take all.
func (t *Table) greedyVictims(but *Holder, n, over int64) []*Holder {
	var hs []*Holder
	for _, w := range []Wait{WaitHead, WaitIdle} {
		for e := t.waiting[w].Front(); e != nil; e = e.Next() {
			if h, ok := e.Value.(*Holder); ok && h != but && h.Bytes() > greed*(but.Bytes()+n) {
				hs = append(hs, h)
			}
		}
	}
	slices.SortStableFunc(hs, func(a, b *Holder) int { return cmp.Compare(b.Bytes(), a.Bytes()) })
	for k, h := range hs {
		if over <= 0 {
			return hs[:k]
		}
		over -= h.Bytes()
	}
	return hs
}

// stalled returns the clients that have made no progress for a time at least, the longest first. Those that are interrupted already
// are left out.
func (t *Table) stalled(now time.Time, w Wait, least time.Duration, but *Holder) []*Holder {
	var hs []*Holder
	for e := t.waiting[w].Front(); e != nil; e = e.Next() {
		h, ok := e.Value.(*Holder)
		if !ok || now.Sub(h.since) < least {
			break
		}
		if h != but && !h.Interrupted {
			hs = append(hs, h)
		}
	}
	return hs
}

// patience returns the time without progress after which a client may have to give way.
func patience(w Wait) time.Duration {
	switch w {
	case WaitHead:
		return headPatience
	case WaitBody:
		return bodyPatience
	case WaitAnswer:
		return answerPatience
	case WaitIdle, waitNone:
	}
	return 0
}

// connVictim returns the connection of a class that has to give way for a new one, nil for none.
func (t *Table) connVictim(now time.Time, c Class) *Holder {
	for w := range waits {
		least := patience(w)
		if w == WaitHead {
			// A client that behaves has sent its head by the time at which it is read.
			least = 0
		}
		for _, h := range t.stalled(now, w, least, nil) {
			if h.class == c {
				return h
			}
		}
	}
	return nil
}

// Begin takes a place in flight for a request. The error is a *FullError.
func (t *Table) Begin(now time.Time, h *Holder) (victims []*Holder, err error) {
	if h.request {
		return nil, nil
	}
	if t.limits.Requests > 0 && t.requests >= t.limits.Requests {
		victims = t.requestVictims(now, h)
		t.release(victims)
		if t.requests >= t.limits.Requests {
			return victims, &FullError{Resource: ResourceRequests, Limit: int64(t.limits.Requests)}
		}
	}
	more, err := t.draw(now, h, &h.heads, KindHead, t.limits.RequestBytes)
	victims = append(victims, more...)
	if err != nil {
		return victims, err
	}
	h.request = true
	t.requests++
	return victims, nil
}

// requestVictims returns the client that has to give way for a request, if there is one.
func (t *Table) requestVictims(now time.Time, but *Holder) []*Holder {
	for _, w := range []Wait{WaitAnswer, WaitBody} {
		for _, v := range t.stalled(now, w, patience(w), but) {
			if v.request {
				v.Interrupted = w == WaitBody
				return []*Holder{v}
			}
		}
	}
	return nil
}

// End ends a request and gives back its place and all that was drawn for it.
func (t *Table) End(h *Holder) {
	if h.closed {
		return
	}
	t.bytes -= h.heads + h.bodies
	t.bodies -= h.bodies
	h.heads, h.bodies = 0, 0
	if h.request {
		h.request = false
		t.requests--
	}
}
