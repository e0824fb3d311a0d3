package ggsclaim

import (
	"time"

	ggscore "greengageslip/core"
)

// An OpID identifies an operation of a Writer. The caller assigns it.
type OpID uint64

// A StepKind is the kind of I/O that a Writer needs.
type StepKind int

// The kinds of steps.
const (
	// StepIdle needs no I/O.
	StepIdle StepKind = iota
	// StepRead needs the shard to be read.
	StepRead
	// StepWrite needs Next to be written by compare-and-swap on revision Prev.
	StepWrite
)

// A Step is the next I/O that a Writer needs.
type Step struct {
	Kind StepKind
	Next Shard
	Prev ggscore.StoreRevision
}

// A WriteResult is the result of a write.
type WriteResult int

// The results of writes.
const (
	// WriteOK means that the write took effect.
	WriteOK WriteResult = iota
	// WriteConflict means that the shard had another revision and the write had no effect.
	WriteConflict
	// WriteAmbiguous means that the write may have taken effect or may still do so.
	WriteAmbiguous
)

// A Settlement is the answer to an operation.
type Settlement struct {
	Op       OpID
	Decision Decision
}

type operation struct {
	id OpID
	// finish is the state to record. Zero means that the operation claims the key.
	finish State
	result Result
	key    Key
	body   BodyHash
	claim  ClaimID
	at     time.Time
	// maybeWritten is set once a write with the claim may have taken effect.
	maybeWritten bool
	abandoned    bool
	reading      bool
	read         bool
	decision     Decision
}

// A Writer serves one shard in one process. One I/O is in flight at a time.
type Writer struct {
	limits   Limits
	shard    Shard
	revision ggscore.StoreRevision
	cached   bool
	pending  []*operation
	inFlight []*operation
	next     Shard
	writing  bool
	// ambiguousRevision is the shard revision on which the last ambiguous write is based. While
	// the shard has this revision, that write may still take effect.
	ambiguousRevision ggscore.StoreRevision
	ambiguous         bool
	settled           []Settlement
}

// NewWriter returns a Writer that has not read its shard yet.
func NewWriter(l Limits) *Writer { return &Writer{limits: l} }

// Unavailable tells the Writer that a read failed, or that a write had no effect because the
// platform's key-value service did not accept it. Pending claims are answered at once by
// DecideFromCache, which grants none. Those that may be recorded already stay pending to be
// released. Operations that record an outcome stay pending and are retried.
func (w *Writer) Unavailable(retryAfter time.Duration) {
	w.requeue()
	w.cached = false
	kept := w.pending[:0]
	for _, o := range w.pending {
		o.reading = false
		if o.finish == 0 {
			w.settle(o, w.DecideFromCache(o.key, o.body, retryAfter))
			if !o.maybeWritten {
				continue
			}
			o.release()
		}
		kept = append(kept, o)
	}
	w.pending = kept
}

// Begin adds an operation that claims k with the unique identifier c.
func (w *Writer) Begin(id OpID, k Key, b BodyHash, c ClaimID, now time.Time) {
	w.pending = append(w.pending, &operation{id: id, key: k, body: b, claim: c, at: now})
}

// Cancel abandons an operation, which gets no answer any more. A claim that may be
// recorded already is released as soon as the platform's key-value service is
// available.
func (w *Writer) Cancel(id OpID) {
	for _, o := range w.inFlight {
		if o.id == id {
			o.abandoned = true
		}
	}
	kept := w.pending[:0]
	for _, o := range w.pending {
		if o.id == id && o.finish == 0 {
			if !o.maybeWritten {
				continue
			}
			o.release()
		}
		kept = append(kept, o)
	}
	w.pending = kept
}

// Finish adds the outcome of the claim's dispatch: StateDone, StateUnknown, or
// StateReleased if it is proved that the request did not run.
func (w *Writer) Finish(id OpID, g Grant, s State, r Result, now time.Time) {
	if !r.Kept || len(r.Body) > w.limits.BodyBytes {
		r.Kept = false
		r.Body = nil
	}
	w.pending = append(w.pending, &operation{id: id, finish: s, result: r, key: g.Key, claim: g.ID, at: now})
}

// Len returns the number of pending operations, including those in flight.
func (w *Writer) Len() int { return len(w.pending) + len(w.inFlight) }

// Next returns the I/O to perform now. It must be called only when no I/O is in flight.
func (w *Writer) Next(now time.Time) Step {
	if w.writing || len(w.pending) == 0 {
		return Step{}
	}
	if !w.cached {
		return w.read()
	}
	next, changed := w.apply(now)
	// An ambiguous write based on the present revision may take effect at any time. Another
	// write is needed, even of an unchanged shard, because its success excludes the ambiguous
	// one. Otherwise an abandoned claim could be recorded later and block its key until the key
	// expires.
	if changed || (w.ambiguous && w.ambiguousRevision == w.revision) {
		w.next, w.writing = next, true
		w.inFlight, w.pending = w.pending, nil
		return Step{Kind: StepWrite, Next: next, Prev: w.revision}
	}
	if !w.allRead() {
		return w.read()
	}
	for _, o := range w.pending {
		w.answer(now, o)
	}
	w.pending = nil
	return Step{}
}

// ReadDone reports the shard and its revision after a read.
func (w *Writer) ReadDone(s Shard, r ggscore.StoreRevision) {
	w.shard, w.revision, w.cached = s, r, true
	if w.ambiguousRevision != r {
		w.ambiguous = false
	}
	for _, o := range w.pending {
		o.read = o.read || o.reading
		o.reading = false
	}
}

// DecideFromCache decides on a key from the last known shard while the platform's key-value
// service is unavailable. A recorded response is replayed, since it never changes. Any other
// claim may have changed since, so the decision states only that the key was seen before.
func (w *Writer) DecideFromCache(k Key, b BodyHash, retryAfter time.Duration) Decision {
	c, seen := w.shard.Claims[k.Hash]
	if seen && c.State == StateDone && c.Body == b {
		return Decision{Kind: DecisionReplay, State: c.State, Result: c.Result}
	}
	return Decision{Kind: DecisionUnavailable, Seen: seen, RetryAfter: retryAfter}
}

// Settled returns the operations answered since the last call.
func (w *Writer) Settled() []Settlement {
	s := w.settled
	w.settled = nil
	return s
}

// WriteDone reports the result of a write. With WriteOK, r is the new revision.
func (w *Writer) WriteDone(now time.Time, res WriteResult, r ggscore.StoreRevision) {
	if res != WriteOK {
		w.cached = false
		if res == WriteAmbiguous {
			w.ambiguous, w.ambiguousRevision = true, w.revision
			for _, o := range w.inFlight {
				o.maybeWritten = true
			}
		}
		w.requeue()
		return
	}
	w.shard, w.revision, w.ambiguous = w.next, r, false
	done := w.inFlight
	w.inFlight, w.writing, w.next = nil, false, Shard{}
	for _, o := range done {
		w.answer(now, o)
	}
}

func (w *Writer) allRead() bool {
	for _, o := range w.pending {
		if o.finish == 0 && !o.read {
			return false
		}
	}
	return true
}

// apply evaluates all pending operations against the shard, in order.
func (w *Writer) apply(now time.Time) (Shard, bool) {
	next := w.shard.clone()
	changed := false
	for _, o := range w.pending {
		c := false
		if o.finish == 0 {
			o.decision, c = w.claim(now, &next, o)
		} else {
			o.decision, c = w.record(&next, o)
		}
		changed = changed || c
	}
	return next, changed
}

func (w *Writer) claim(now time.Time, s *Shard, o *operation) (Decision, bool) {
	if w.limits.Expired(now, o.key.Issued) {
		return Decision{Kind: DecisionExpired}, false
	}
	c, ok := s.Claims[o.key.Hash]
	switch {
	case ok && c.ID == o.claim && c.State == StateClaimed:
		return w.grant(o), false
	case ok && c.Body != o.body:
		return Decision{Kind: DecisionReused}, false
	case ok && (c.State == StateDone || c.State == StateUnknown):
		return Decision{Kind: DecisionReplay, State: c.State, Result: c.Result}, false
	// The claim is older than every deadline, so its holder has crashed or lost its connection.
	// The holder may have dispatched the request, so the request is not run again.
	case ok && c.State == StateClaimed && now.Sub(c.At) > w.limits.InProgress:
		return Decision{Kind: DecisionReplay, State: StateUnknown}, false
	case ok && c.State == StateClaimed:
		return Decision{Kind: DecisionInProgress, RetryAfter: retryAfter}, false
	case !ok && s.size+claimBytes > w.limits.ShardBytes:
		return Decision{Kind: DecisionFull, RetryAfter: EpochLength}, false
	}
	s.set(o.key.Hash, Claim{ID: o.claim, Body: o.body, State: StateClaimed, At: o.at})
	return w.grant(o), true
}

// answer settles an operation whose decision is recorded in the shard. A grant that is late or
// abandoned is released instead. If it is late and not abandoned, it is answered as expired.
func (w *Writer) answer(now time.Time, o *operation) {
	d := o.decision
	if d.Kind == DecisionGranted {
		// The write of a claim may be delayed until the key's shard is deleted, and then create
		// a new shard. A claim recorded so late doesn't prove that the key is unused.
		late := !now.Before(d.Grant.Before)
		if late && !o.abandoned {
			w.settle(o, Decision{Kind: DecisionExpired})
		}
		if late || o.abandoned {
			o.release()
			w.pending = append(w.pending, o)
			return
		}
	}
	w.settle(o, d)
}

func (w *Writer) grant(o *operation) Decision {
	g := Grant{Key: o.key, ID: o.claim, Before: w.limits.GrantBefore(o.key.Issued)}
	return Decision{Kind: DecisionGranted, Grant: g}
}

func (w *Writer) read() Step {
	for _, o := range w.pending {
		o.reading = true
	}
	return Step{Kind: StepRead}
}

func (w *Writer) record(s *Shard, o *operation) (Decision, bool) {
	c, ok := s.Claims[o.key.Hash]
	if !ok || c.ID != o.claim {
		return Decision{Kind: DecisionClaimMissing}, false
	}
	if c.State != StateClaimed && c.State != StateUnknown || c.State == o.finish {
		return Decision{Kind: DecisionRecorded}, false
	}
	c.State, c.Result = o.finish, o.result
	room := min(w.limits.BodyBudgetBytes-s.bodyBytes, w.limits.ShardBytes-s.size-len(c.Result.ContentType))
	if len(c.Result.Body) > room {
		c.Result.Kept, c.Result.Body = false, nil
	}
	s.set(o.key.Hash, c)
	return Decision{Kind: DecisionRecorded}, true
}

// requeue puts the operations in flight back before those that arrived since.
func (w *Writer) requeue() {
	back := w.inFlight
	w.inFlight, w.writing, w.next = nil, false, Shard{}
	kept := back[:0]
	for _, o := range back {
		if o.abandoned && o.finish == 0 {
			if !o.maybeWritten {
				continue
			}
			o.release()
		}
		kept = append(kept, o)
	}
	w.pending = append(kept, w.pending...)
}

func (w *Writer) settle(o *operation, d Decision) {
	if !o.abandoned {
		w.settled = append(w.settled, Settlement{Op: o.id, Decision: d})
	}
}

// release changes an abandoned claim into a record that the request did not run.
func (o *operation) release() {
	if o.finish == 0 {
		o.finish = StateReleased
	}
	o.abandoned = true
}
