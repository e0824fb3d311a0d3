package ggsclaim

import (
	"time"

	ggscore "greengageslip/core"
)

// An OpID names an operation of a Writer. The caller numbers them.
type OpID uint64

// A StepKind says what I/O a Writer wants.
type StepKind int

// The kinds of steps.
const (
	// StepIdle wants none.
	StepIdle StepKind = iota
	// StepRead wants the shard read.
	StepRead
	// StepWrite wants Next put at revision Prev.
	StepWrite
)

// A Step is the next I/O that a Writer wants.
type Step struct {
	Kind StepKind
	Next Shard
	Prev ggscore.StoreRevision
}

// A WriteResult says how a write ended.
type WriteResult int

// The ends of writes.
const (
	// WriteOK means that it took effect.
	WriteOK WriteResult = iota
	// WriteConflict means that it met another revision and had no effect.
	WriteConflict
	// WriteAmbiguous means that it may have taken effect or may yet do so.
	WriteAmbiguous
)

// A Settlement is an operation's answer.
type Settlement struct {
	Op       OpID
	Decision Decision
}

type operation struct {
	id OpID
	// finish is the state to record; zero claims the key.
	finish State
	result Result
	key    Key
	body   BodyHash
	claim  ClaimID
	at     time.Time
	// mayStand is set once a write with the claim may have taken effect.
	mayStand  bool
	abandoned bool
	reading   bool
	fresh     bool
	decision  Decision
}

// A Writer serves one shard in one process. One I/O is in flight at a time.
type Writer struct {
	limits   Limits
	shard    Shard
	revision ggscore.StoreRevision
	known    bool
	pending  []*operation
	inFlight []*operation
	next     Shard
	writing  bool
	// doubt is the revision on which an ambiguous write stands that may still
	// take effect.
	doubt   ggscore.StoreRevision
	inDoubt bool
	settled []Settlement
}

// NewWriter returns a Writer that knows nothing of its shard yet.
func NewWriter(l Limits) *Writer { return &Writer{limits: l} }

// Away reports that a read or write had no effect, since the platform's
// service did not take it, or that a read failed. Claims are answered at once,
// by Recall, and not dispatched; outcomes stay for a later try.
func (w *Writer) Away(retryAfter time.Duration) {
	w.requeue()
	w.known = false
	kept := w.pending[:0]
	for _, o := range w.pending {
		o.reading = false
		if o.finish == 0 {
			w.settle(o, w.Recall(o.key, o.body, retryAfter))
			if !o.mayStand {
				continue
			}
			o.release()
		}
		kept = append(kept, o)
	}
	w.pending = kept
}

// Begin adds a claim of k with an identifier of its own.
func (w *Writer) Begin(id OpID, k Key, b BodyHash, c ClaimID, now time.Time) {
	w.pending = append(w.pending, &operation{id: id, key: k, body: b, claim: c, at: now})
}

// Cancel gives an operation up: it is not answered any more. A claim that may
// stand already is released as soon as the platform's service allows.
func (w *Writer) Cancel(id OpID) {
	for _, o := range w.inFlight {
		if o.id == id {
			o.abandoned = true
		}
	}
	kept := w.pending[:0]
	for _, o := range w.pending {
		if o.id == id && o.finish == 0 {
			if !o.mayStand {
				continue
			}
			o.release()
		}
		kept = append(kept, o)
	}
	w.pending = kept
}

// Finish adds the outcome of the claim's one dispatch: StateDone, StateUnknown
// or, where it is proved that the request did not run, StateReleased.
func (w *Writer) Finish(id OpID, g Grant, s State, r Result, now time.Time) {
	if !r.Kept || len(r.Body) > w.limits.BodyBytes {
		r.Kept = false
		r.Body = nil
	}
	w.pending = append(w.pending, &operation{id: id, finish: s, result: r, key: g.Key, claim: g.ID, at: now})
}

// Len returns the number of operations that wait.
func (w *Writer) Len() int { return len(w.pending) + len(w.inFlight) }

// Next returns the I/O to do now. It is called when none is in flight.
func (w *Writer) Next(now time.Time) Step {
	if w.writing || len(w.pending) == 0 {
		return Step{}
	}
	if !w.known {
		return w.read()
	}
	next, changed := w.apply(now)
	// An ambiguous write on the present revision may land at any time. Any
	// write on that revision that succeeds shuts it out, also one that
	// changes nothing; without it a claim given up could appear later and
	// stand until it expires.
	if changed || (w.inDoubt && w.doubt == w.revision) {
		w.next, w.writing = next, true
		w.inFlight, w.pending = w.pending, nil
		return Step{Kind: StepWrite, Next: next, Prev: w.revision}
	}
	if !w.allFresh() {
		return w.read()
	}
	for _, o := range w.pending {
		w.conclude(now, o)
	}
	w.pending = nil
	return Step{}
}

// ReadDone reports the shard as read.
func (w *Writer) ReadDone(s Shard, r ggscore.StoreRevision) {
	w.shard, w.revision, w.known = s, r, true
	if w.doubt != r {
		w.inDoubt = false
	}
	for _, o := range w.pending {
		o.fresh = o.fresh || o.reading
		o.reading = false
	}
}

// Recall decides on a key while the platform's service is away, from what was
// last known of the shard: a recorded answer stays true. Any other claim may
// have changed since, so that the key is only known to have been sent before.
func (w *Writer) Recall(k Key, b BodyHash, retryAfter time.Duration) Decision {
	c, seen := w.shard.Claims[k.Hash]
	if seen && c.State == StateDone && c.Body == b {
		return Decision{Kind: DecisionReplay, State: c.State, Result: c.Result}
	}
	return Decision{Kind: DecisionAway, Seen: seen, RetryAfter: retryAfter}
}

// Settled returns the operations answered since the last call.
func (w *Writer) Settled() []Settlement {
	s := w.settled
	w.settled = nil
	return s
}

// WriteDone reports a write's end; r is the new revision with WriteOK.
func (w *Writer) WriteDone(now time.Time, res WriteResult, r ggscore.StoreRevision) {
	if res != WriteOK {
		w.known = false
		if res == WriteAmbiguous {
			w.inDoubt, w.doubt = true, w.revision
			for _, o := range w.inFlight {
				o.mayStand = true
			}
		}
		w.requeue()
		return
	}
	w.shard, w.revision, w.inDoubt = w.next, r, false
	done := w.inFlight
	w.inFlight, w.writing, w.next = nil, false, Shard{}
	for _, o := range done {
		w.conclude(now, o)
	}
}

func (w *Writer) allFresh() bool {
	for _, o := range w.pending {
		if o.finish == 0 && !o.fresh {
			return false
		}
	}
	return true
}

// apply judges all that waits against the shard, in order.
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
		return w.granted(o), false
	case ok && c.Body != o.body:
		return Decision{Kind: DecisionReused}, false
	case ok && (c.State == StateDone || c.State == StateUnknown):
		return Decision{Kind: DecisionReplay, State: c.State, Result: c.Result}, false
	// The holder of a claim that is older than every deadline has died or was
	// cut off. It may have dispatched, so that nobody runs the request again.
	case ok && c.State == StateClaimed && now.Sub(c.At) > w.limits.InProgress:
		return Decision{Kind: DecisionReplay, State: StateUnknown}, false
	case ok && c.State == StateClaimed:
		return Decision{Kind: DecisionInProgress, RetryAfter: retryAfter}, false
	case !ok && s.size+claimBytes > w.limits.ShardBytes:
		return Decision{Kind: DecisionFull, RetryAfter: EpochLength}, false
	}
	s.set(o.key.Hash, Claim{ID: o.claim, Body: o.body, State: StateClaimed, At: o.at})
	return w.granted(o), true
}

// conclude answers an operation whose decision stands in the shard.
func (w *Writer) conclude(now time.Time, o *operation) {
	d := o.decision
	if d.Kind == DecisionGranted {
		// A claim whose write was held up past the key's retention may have
		// met a shard that was deleted and begun anew: it proves nothing.
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

func (w *Writer) granted(o *operation) Decision {
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
		return Decision{Kind: DecisionGone}, false
	}
	if c.State != StateClaimed && c.State != StateUnknown || c.State == o.finish {
		return Decision{Kind: DecisionRecorded}, false
	}
	c.State, c.Result = o.finish, o.result
	room := min(w.limits.BodyBudgetBytes-s.bodies, w.limits.ShardBytes-s.size-len(c.Result.ContentType))
	if len(c.Result.Body) > room {
		c.Result.Kept, c.Result.Body = false, nil
	}
	s.set(o.key.Hash, c)
	return Decision{Kind: DecisionRecorded}, true
}

// requeue puts what was in flight back before all that arrived since.
func (w *Writer) requeue() {
	back := w.inFlight
	w.inFlight, w.writing, w.next = nil, false, Shard{}
	kept := back[:0]
	for _, o := range back {
		if o.abandoned && o.finish == 0 {
			if !o.mayStand {
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

// release turns a claim that is given up into the record that it did not run.
func (o *operation) release() {
	if o.finish == 0 {
		o.finish = StateReleased
	}
	o.abandoned = true
}
