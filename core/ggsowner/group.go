package ggsowner

import (
	"time"

	ggscore "greengageslip/core"
)

// A StepKind is the kind of I/O that a Group needs.
type StepKind int

// The kinds of steps.
const (
	// StepIdle means that no I/O is needed.
	StepIdle StepKind = iota
	// StepReadRecord reads the record.
	StepReadRecord
	// StepReadLease reads whether Lease of Owner has expired.
	StepReadLease
	// StepWriteRecord writes Record if the stored record has revision Prev.
	StepWriteRecord
)

// A Step is the next I/O that a Group needs.
type Step struct {
	Kind   StepKind
	Owner  ggscore.VMID
	Lease  ggscore.LeaseID
	Record Record
	Prev   ggscore.StoreRevision
}

// A WriteResult is the result of a write.
type WriteResult int

// The results of writes.
const (
	// WriteOK means that the write took effect.
	WriteOK WriteResult = iota
	// WriteConflict means that the record had another revision and the write had
	// no effect.
	WriteConflict
	// WriteAmbiguous means that the write may have taken effect or may do so later.
	WriteAmbiguous
)

// leaseState is the last known state of the recorded owner's lease.
type leaseState int

const (
	leaseUnknown leaseState = iota
	leaseHeld
	leaseExpired
)

// A Group is one dispatcher's state of a group of endpoints, which always have the same owner.
// At most one I/O per Group is in flight.
type Group struct {
	self     Holder
	record   Record
	revision ggscore.StoreRevision
	upToDate bool
	// unreadable is set while the stored record can't be decoded. record is then the last one
	// that could be. replaceable is set once no owner is expected to replace the stored one.
	unreadable, replaceable bool
	ownerLease              leaseState
	candidate               bool
	// desired contains the adapters that the record should protect. confirmed contains those
	// that the record certainly protects, whether or not ambiguous writes take effect.
	desired   AdapterSet
	confirmed AdapterSet
	releasing bool
	idle      bool
	stopped   map[Holder]bool
	// inDoubtRevision is the revision that an ambiguous write replaces, if that
	// write may still take effect.
	inDoubtRevision ggscore.StoreRevision
	inDoubt         bool
	next            Record
	writeInFlight   bool
}

// NewGroup returns a group whose record hasn't been read.
func NewGroup(self Holder) *Group {
	return &Group{self: self, stopped: make(map[Holder]bool)}
}

// IOFailed records that a read failed, or that a write failed without effect.
func (g *Group) IOFailed() {
	g.writeInFlight, g.next = false, Record{}
	g.upToDate = false
}

// Check returns the fencing token for an order, or an error if the order must not
// be sent now. It must be called immediately before the order is written, in the
// goroutine that writes the order. The errors are *NotOwnerError,
// *NotProtectedError and *PinnedError.
func (g *Group) Check(
	now time.Time, l *Lease, id ggscore.EndpointID, a ggscore.AdapterRef, k ggscore.OrderKind,
) (ggscore.FencingToken, error) {
	m := g.Mode(now, l)
	if m == ggscore.ModeNone || (m == ggscore.ModeResidentOnly && k != ggscore.OrderDispatch) {
		return 0, &NotOwnerError{Endpoint: id, Mode: m}
	}
	// The next owner treats the adapters that the record protects as pinned. It may evict any
	// other adapter if the lease expires during a run, and a run that uses that adapter breaks
	// off.
	if k == ggscore.OrderDispatch && !a.IsZero() && !g.confirmed.Has(id, a) {
		return 0, &NotProtectedError{Endpoint: id, Adapter: a}
	}
	if k == ggscore.OrderUnload {
		if h, ok := g.record.pinned(id, a, g.self); ok {
			return 0, &PinnedError{Endpoint: id, Adapter: a, Holder: h}
		}
	}
	g.idle = false
	return g.record.Fence, nil
}

// Mode returns what this dispatcher may do with the group now.
func (g *Group) Mode(now time.Time, l *Lease) ggscore.OwnerMode {
	switch {
	case !g.Owned() || g.releasing:
		return ggscore.ModeNone
	case l.HeldAt(now) && l.ID() == g.record.Lease:
		return ggscore.ModeFull
	default:
		return ggscore.ModeResidentOnly
	}
}

// Next returns the I/O to do now. It must be called only if none is in flight.
func (g *Group) Next(now time.Time, l *Lease) Step {
	if g.writeInFlight {
		return Step{}
	}
	if !g.upToDate {
		return Step{Kind: StepReadRecord}
	}
	next, changed, step := g.plan(now, l)
	if step.Kind != StepIdle {
		return step
	}
	// An ambiguous write on the present revision may take effect at any time. It could remove
	// the protection of an adapter in use, or make a VM the owner although that VM no longer
	// expects to become it. Any successful write on that revision excludes the ambiguous one.
	if mayTakeEffect := g.inDoubtHere() && !g.unreadable; !changed && !mayTakeEffect {
		return Step{}
	}
	g.next, g.writeInFlight = next, true
	return Step{Kind: StepWriteRecord, Record: next, Prev: g.revision}
}

// Owned reports whether the last record read or written names this holder as the
// owner and isn't released.
func (g *Group) Owned() bool { return g.record.Owner == g.self && !g.record.Released }

// Invalidate makes Next read the record again.
func (g *Group) Invalidate() { g.upToDate = false }

// Protect sets the adapters that the record of an owned group should protect. It reports whether
// the record has to be written to protect them.
func (g *Group) Protect(s AdapterSet) bool {
	if !g.Owned() {
		return false
	}
	g.desired = s
	return !s.Equal(g.record.Protected)
}

// Protected reports whether the record certainly protects an adapter.
func (g *Group) Protected(id ggscore.EndpointID, a ggscore.AdapterRef) bool {
	return g.confirmed.Has(id, a)
}

// Record returns the record as last read or written.
func (g *Group) Record() Record { return g.record }

// RecordRead records the result of StepReadRecord. A missing record has revision
// zero.
func (g *Group) RecordRead(r Record, rev ggscore.StoreRevision) {
	if r.Owner != g.record.Owner || r.Lease != g.record.Lease {
		g.ownerLease = leaseUnknown
	}
	if g.ownerLease == leaseHeld {
		g.ownerLease = leaseUnknown
	}
	g.record, g.revision, g.upToDate = r, rev, true
	g.unreadable = false
	if g.inDoubtRevision != rev {
		g.inDoubt = false
	}
	if !g.inDoubt {
		g.updateConfirmed()
	}
}

// RecordUnreadable records that StepReadRecord found a record that can't be decoded. An owner
// that holds the lease of its last record replaces it, because nobody else can have taken the
// group over. Others replace it only if replaceable is set, since they don't know the owner and
// the pins that it names.
func (g *Group) RecordUnreadable(rev ggscore.StoreRevision, replaceable bool) {
	g.revision, g.upToDate = rev, true
	g.unreadable, g.replaceable = true, replaceable
	if g.inDoubtRevision != rev {
		g.inDoubt = false
	}
}

// LeaseRead records the result of StepReadLease.
func (g *Group) LeaseRead(expired bool) {
	g.ownerLease = leaseHeld
	if expired {
		g.ownerLease = leaseExpired
	}
}

// Release starts to give up the ownership: from now on, Check refuses all orders.
// The protected adapters stay pinned until SetIdle reports this holder as idle.
func (g *Group) Release() { g.releasing = true }

// Released reports whether it is certain that this holder doesn't own the group.
func (g *Group) Released() bool { return g.upToDate && !g.Owned() && !g.inDoubt }

// SetIdle sets whether this holder has no requests in progress in the group. The
// value is ignored while the holder may still dispatch requests, since the next
// dispatch would invalidate it.
func (g *Group) SetIdle(idle bool) { g.idle = idle && (g.releasing || !g.Owned()) }

// Involved reports whether the record names this holder as the owner, also if
// released, or has pins of this holder.
func (g *Group) Involved() bool { return g.record.Owner == g.self || g.HasPins() }

// HasPins reports whether the record has pins of this holder.
func (g *Group) HasPins() bool {
	for _, p := range g.record.Pins {
		if p.Holder == g.self {
			return true
		}
	}
	return false
}

// MarkStopped records that an earlier holder has certainly stopped: its process was
// replaced by another, or its VM no longer exists.
func (g *Group) MarkStopped(h Holder) { g.stopped[h] = true }

// SetCandidate sets whether this dispatcher is the first candidate to take the group over
// from the owner that the record names.
func (g *Group) SetCandidate(candidate bool) { g.candidate = candidate }

// WriteDone records the result of StepWriteRecord. With WriteOK, rev is the new
// revision.
func (g *Group) WriteDone(res WriteResult, rev ggscore.StoreRevision) {
	next := g.next
	g.writeInFlight, g.next = false, Record{}
	switch res {
	case WriteOK:
		if next.Owner != g.record.Owner || next.Lease != g.record.Lease {
			g.ownerLease = leaseUnknown
		}
		g.record, g.revision, g.inDoubt = next, rev, false
		g.unreadable = false
		g.updateConfirmed()
	case WriteAmbiguous:
		g.inDoubt, g.inDoubtRevision, g.upToDate = true, g.revision, false
		g.confirmed = intersect(g.confirmed, next.Protected)
	case WriteConflict:
		g.upToDate = false
	}
}

func (g *Group) updateConfirmed() {
	g.confirmed = nil
	if !g.Owned() {
		g.desired = nil
		return
	}
	g.confirmed = g.record.Protected
	// A new owner keeps its predecessor's protected adapters until Protect sets
	// those that are resident on the runners.
	if g.desired == nil {
		g.desired = g.record.Protected
	}
}

// plan returns the record as it should be and whether it changes, or the read that
// is needed first.
func (g *Group) plan(now time.Time, l *Lease) (Record, bool, Step) {
	if g.unreadable {
		next, changed := g.planReplacement(now, l)
		return next, changed, Step{}
	}
	next := g.record.clone()
	changed := next.unpin(func(h Holder) bool { return g.hasStopped(h) })
	if g.Owned() {
		return next, g.updateOwned(now, l, &next) || changed, Step{}
	}
	if !g.candidate || g.releasing || !l.HeldAt(now) {
		return next, changed, Step{}
	}
	if g.record.Owner.VM != "" && !g.record.Released && g.record.Owner.VM != g.self.VM {
		switch g.ownerLease {
		case leaseUnknown:
			return next, false, Step{Kind: StepReadLease, Owner: g.record.Owner.VM, Lease: g.record.Lease}
		case leaseHeld:
			return next, changed, Step{}
		case leaseExpired:
		}
	}
	g.takeOver(l, &next)
	return next, true, Step{}
}

// inDoubtHere reports whether an ambiguous write may still replace the present revision.
func (g *Group) inDoubtHere() bool { return g.inDoubt && g.inDoubtRevision == g.revision }

// planReplacement returns the record that replaces one that can't be decoded, as plan does. A
// replacement that may still take effect is repeated while the lease is held.
func (g *Group) planReplacement(now time.Time, l *Lease) (Record, bool) {
	next := g.record.clone()
	if g.Owned() && l.HeldAt(now) && l.ID() == g.record.Lease {
		g.updateOwned(now, l, &next)
		return next, true
	}
	mayReplace := g.replaceable && g.candidate && !g.releasing
	if !l.HeldAt(now) || !mayReplace && !g.inDoubtHere() {
		return next, false
	}
	// Each write has a greater revision and raises the token by one at most, so that no owner's
	// token is greater than the revision.
	next.Fence = max(next.Fence, ggscore.FencingToken(g.revision))
	g.takeOver(l, &next)
	return next, true
}

// hasStopped reports whether a holder's pins may be removed. This holder's own pins may be
// removed if it is idle, or if it is the owner again. Other processes on this VM ran earlier and
// have stopped.
func (g *Group) hasStopped(h Holder) bool {
	if h == g.self {
		return g.idle || g.Owned()
	}
	return g.stopped[h] || h.VM == g.self.VM
}

// updateOwned updates the record of an owned group and reports whether it changes.
func (g *Group) updateOwned(now time.Time, l *Lease, next *Record) bool {
	if g.releasing {
		next.Released = true
		if !g.idle {
			next.pin(g.self, g.record.Protected)
		}
		return true
	}
	changed := false
	if l.HeldAt(now) && l.ID() != g.record.Lease {
		next.Lease = l.ID()
		next.Fence++
		changed = true
	}
	if !g.desired.Equal(g.record.Protected) {
		next.Protected = g.desired
		changed = true
	}
	return changed
}

// takeOver makes this holder the owner. The adapters that the earlier owner may use
// stay protected, and pinned until that owner is known to have stopped.
func (g *Group) takeOver(l *Lease, next *Record) {
	old := next.Owner
	if !next.Released && old.VM != "" && !g.hasStopped(old) {
		next.pin(old, next.Protected)
	}
	next.Owner, next.Lease, next.Released = g.self, l.ID(), false
	next.Fence++
	next.unpin(func(h Holder) bool { return h == g.self })
}
