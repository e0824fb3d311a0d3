package ggsowner

import (
	"time"

	ggscore "greengageslip/core"
)

// A StepKind says what I/O a Group wants.
type StepKind int

// The kinds of steps.
const (
	// StepIdle wants none.
	StepIdle StepKind = iota
	// StepReadRecord wants the record read.
	StepReadRecord
	// StepReadLease wants to know whether Lease of Owner has lapsed.
	StepReadLease
	// StepWriteRecord wants Record put at revision Prev.
	StepWriteRecord
)

// A Step is the next I/O that a Group wants.
type Step struct {
	Kind   StepKind
	Owner  ggscore.VMID
	Lease  ggscore.LeaseID
	Record Record
	Prev   ggscore.StoreRevision
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

// leaseState is what is known of the recorded owner's lease.
type leaseState int

const (
	leaseUnasked leaseState = iota
	leaseHeld
	leaseLapsed
)

// A Group is a group of endpoints as one dispatcher knows it. One I/O is in
// flight at a time.
type Group struct {
	self     Holder
	record   Record
	revision ggscore.StoreRevision
	known    bool
	// owner is the state of the recorded owner's lease.
	owner  leaseState
	wanted bool
	// want names what is to be protected; confirmed what the record protects
	// whatever becomes of writes that are still under way.
	want      Set
	confirmed Set
	releasing bool
	idle      bool
	stopped   map[Holder]bool
	// doubt is the revision on which an ambiguous write stands that may still
	// take effect.
	doubt   ggscore.StoreRevision
	inDoubt bool
	next    Record
	writing bool
}

// NewGroup returns a group of which nothing is known.
func NewGroup(self Holder) *Group {
	return &Group{self: self, stopped: make(map[Holder]bool)}
}

// Away reports that a read failed, or that a write had no effect.
func (g *Group) Away() {
	g.writing, g.next = false, Record{}
	g.known = false
}

// Check says whether an order may be given now, and with which fencing number.
// It is called right before the order is written, in the goroutine that writes
// it. Failures are *NotOwnerError, *NotProtectedError and *PinnedError; the
// order must then not be given.
func (g *Group) Check(
	now time.Time, l *Lease, id ggscore.EndpointID, a ggscore.AdapterRef, k ggscore.OrderKind,
) (ggscore.FenceNumber, error) {
	m := g.Mode(now, l)
	if m == ggscore.ModeNone || (m == ggscore.ModeResidentOnly && k != ggscore.OrderDispatch) {
		return 0, &NotOwnerError{Endpoint: id, Mode: m}
	}
	// A run whose adapter the record doesn't protect would be cut off, were
	// the lease to lapse during the run: the next owner evicts what it finds
	// unprotected. What the record protects it takes as pinned.
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

// Mode says what may be done now.
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

// Next returns the I/O to do now. It is called when none is in flight.
func (g *Group) Next(now time.Time, l *Lease) Step {
	if g.writing {
		return Step{}
	}
	if !g.known {
		return Step{Kind: StepReadRecord}
	}
	next, changed, step := g.plan(now, l)
	if step.Kind != StepIdle {
		return step
	}
	// An ambiguous write may land on the present revision at any time, and
	// take protection from an adapter in use, or make an owner of a VM that
	// has given up. Any write that succeeds on that revision shuts it out.
	if mayLand := g.inDoubt && g.doubt == g.revision; !changed && !mayLand {
		return Step{}
	}
	g.next, g.writing = next, true
	return Step{Kind: StepWriteRecord, Record: next, Prev: g.revision}
}

// Owned reports whether the last record read or written names this holder.
func (g *Group) Owned() bool { return g.record.Owner == g.self && !g.record.Released }

// Poll asks for a fresh look at the record.
func (g *Group) Poll() { g.known = false }

// Protect names the adapters that the record of an owned group is to protect,
// and reports whether it takes a write.
func (g *Group) Protect(s Set) bool {
	if !g.Owned() {
		return false
	}
	g.want = s
	return !s.Equal(g.record.Protected)
}

// Protected reports whether the record protects an adapter.
func (g *Group) Protected(id ggscore.EndpointID, a ggscore.AdapterRef) bool {
	return g.confirmed.Has(id, a)
}

// Record returns the record as last known.
func (g *Group) Record() Record { return g.record }

// RecordRead reports the record as read; a missing one has revision zero.
func (g *Group) RecordRead(r Record, rev ggscore.StoreRevision) {
	if r.Owner != g.record.Owner || r.Lease != g.record.Lease {
		g.owner = leaseUnasked
	}
	if g.owner == leaseHeld {
		g.owner = leaseUnasked
	}
	g.record, g.revision, g.known = r, rev, true
	if g.doubt != rev {
		g.inDoubt = false
	}
	if !g.inDoubt {
		g.confirm()
	}
}

// LeaseRead reports whether the recorded owner's lease has lapsed.
func (g *Group) LeaseRead(lapsed bool) {
	g.owner = leaseHeld
	if lapsed {
		g.owner = leaseLapsed
	}
}

// Release gives the group up: no new work and no orders from now on. What is
// protected stays pinned until SetIdle.
func (g *Group) Release() { g.releasing = true }

// Released reports whether a release has been recorded.
func (g *Group) Released() bool { return g.known && !g.Owned() && !g.inDoubt }

// SetIdle says whether this holder has nothing in progress in the group. It is
// looked at only while no new work is taken: said earlier it would be out of
// date with the next dispatch.
func (g *Group) SetIdle(idle bool) { g.idle = idle && (g.releasing || !g.Owned()) }

// Involved reports whether this holder has a part in the group: it owns it, or
// has pins left from when it did.
func (g *Group) Involved() bool { return g.record.Owner == g.self || g.Pinning() }

// Pinning reports whether the record keeps pins of this holder.
func (g *Group) Pinning() bool {
	for _, p := range g.record.Pins {
		if p.Holder == g.self {
			return true
		}
	}
	return false
}

// Stopped reports that an earlier holder has ended for certain: its process
// was replaced by another, or its VM is gone.
func (g *Group) Stopped(h Holder) { g.stopped[h] = true }

// Want says whether this dispatcher is the first candidate to take the group
// over from the owner that the record names.
func (g *Group) Want(wanted bool) { g.wanted = wanted }

// WriteDone reports a write's end; rev is the new revision with WriteOK.
func (g *Group) WriteDone(res WriteResult, rev ggscore.StoreRevision) {
	next := g.next
	g.writing, g.next = false, Record{}
	switch res {
	case WriteOK:
		if next.Owner != g.record.Owner || next.Lease != g.record.Lease {
			g.owner = leaseUnasked
		}
		g.record, g.revision, g.inDoubt = next, rev, false
		g.confirm()
	case WriteAmbiguous:
		g.inDoubt, g.doubt, g.known = true, g.revision, false
		g.confirmed = intersect(g.confirmed, next.Protected)
	case WriteConflict:
		g.known = false
	}
}

func (g *Group) confirm() {
	g.confirmed = nil
	if !g.Owned() {
		g.want = nil
		return
	}
	g.confirmed = g.record.Protected
	// A new owner goes on with what its predecessor protected, until it is
	// told what the runners hold.
	if g.want == nil {
		g.want = g.record.Protected
	}
}

// plan returns the record as it should be, or the read that it takes to know.
func (g *Group) plan(now time.Time, l *Lease) (Record, bool, Step) {
	next := g.record.clone()
	changed := next.unpin(func(h Holder) bool { return g.hasStopped(h) })
	if g.Owned() {
		return next, g.keep(now, l, &next) || changed, Step{}
	}
	if !g.wanted || g.releasing || !l.HeldAt(now) {
		return next, changed, Step{}
	}
	if g.record.Owner.VM != "" && !g.record.Released && g.record.Owner.VM != g.self.VM {
		switch g.owner {
		case leaseUnasked:
			return next, false, Step{Kind: StepReadLease, Owner: g.record.Owner.VM, Lease: g.record.Lease}
		case leaseHeld:
			return next, changed, Step{}
		case leaseLapsed:
		}
	}
	g.take(l, &next)
	return next, true, Step{}
}

// hasStopped reports whether a holder's pins may go. The holder itself says so
// of its own when it is idle and no longer the owner.
func (g *Group) hasStopped(h Holder) bool {
	if h == g.self {
		return g.idle || g.Owned()
	}
	return g.stopped[h] || h.VM == g.self.VM
}

// keep brings the record of an owned group up to date.
func (g *Group) keep(now time.Time, l *Lease, next *Record) bool {
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
	if !g.want.Equal(g.record.Protected) {
		next.Protected = g.want
		changed = true
	}
	return changed
}

// take makes this holder the owner. What the earlier one may use stays
// protected, and pinned until that holder is known to have stopped.
func (g *Group) take(l *Lease, next *Record) {
	old := next.Owner
	if !next.Released && old.VM != "" && !g.hasStopped(old) {
		next.pin(old, next.Protected)
	}
	next.Owner, next.Lease, next.Released = g.self, l.ID(), false
	next.Fence++
	next.unpin(func(h Holder) bool { return h == g.self })
}
