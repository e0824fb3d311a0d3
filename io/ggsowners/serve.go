package ggsowners

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsowner"
)

// Poll reads the records of the groups in which this dispatcher is involved or may be the
// next owner, and takes groups over if allowed. Run calls it periodically.
func (o *Owners) Poll(ctx context.Context) {
	for _, g := range o.groups {
		if o.prepare(g) {
			o.serve(ctx, g)
		}
	}
}

// ownReadDivisor divides UnreadableTimeout into the intervals at which an owner reads the records
// that its lease proves to be its own.
const ownReadDivisor = 4

// prepare reports whether to serve a group, and invalidates its record if a new read is
// needed. A held lease that the record names proves the ownership without a read, which is needed
// now and then only to find that another writer has damaged the record. The first
// two candidates serve the group, because one of them takes over whoever the owner is.
func (o *Owners) prepare(g *group) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	first, _ := ggsowner.PreferredCandidate(g.key, o.candidates, "")
	second, _ := ggsowner.PreferredCandidate(g.key, o.candidates, first.VM)
	if first.VM != o.self.VM && second.VM != o.self.VM && !g.state.Involved() {
		return false
	}
	now := o.clock()
	if g.state.Mode(now, &o.lease) != ggscore.ModeFull || len(g.state.Record().Pins) > 0 ||
		now.Sub(g.read) >= o.opts.UnreadableTimeout/ownReadDivisor {
		g.state.Invalidate()
	}
	return true
}

// isCandidate reports whether this dispatcher takes the group over when its owner stops: it is the
// preferred candidate other than the owner, or runs on the owner's VM. The caller holds o.mu.
func (o *Owners) isCandidate(g *group) bool {
	owner := g.state.Record().Owner.VM
	first, ok := ggsowner.PreferredCandidate(g.key, o.candidates, owner)
	return owner == o.self.VM || (ok && first.VM == o.self.VM)
}

// serveAll serves all groups in which this dispatcher is involved.
func (o *Owners) serveAll(ctx context.Context) {
	for _, g := range o.groups {
		o.mu.Lock()
		involved := g.state.Involved()
		o.mu.Unlock()
		if involved {
			o.serve(ctx, g)
		}
	}
}

// serve performs a group's I/O until the group is idle, a call fails or ctx ends.
func (o *Owners) serve(ctx context.Context, g *group) {
	for ctx.Err() == nil {
		o.updateIdle(g)
		o.mu.Lock()
		now := o.clock()
		o.markStopped(g.state, now)
		g.state.SetCandidate(o.isCandidate(g))
		step := g.state.Next(now, &o.lease)
		o.mu.Unlock()
		if step.Kind == ggsowner.StepIdle {
			return
		}
		if err := o.perform(ctx, g, step); err != nil {
			_ = level.Warn(o.log).Log("event", "ownershipCallFailed", "group", g.key, "err", err)
			return
		}
	}
}

// updateIdle sets whether a group that accepts no new runs has no run in progress. It reads
// the mode before it calls Busy, and Busy counts a run from before the run's Check. A run
// that starts in between is therefore refused by Check or counted by Busy.
func (o *Owners) updateIdle(g *group) {
	o.mu.Lock()
	now := o.clock()
	closed := g.state.Mode(now, &o.lease) == ggscore.ModeNone && g.state.Involved()
	var ids []ggscore.EndpointID
	for id, e := range o.endpoints {
		if o.groups[e.group] == g {
			ids = append(ids, id)
		}
	}
	o.mu.Unlock()
	if !closed {
		return
	}
	idle := !o.opts.Busy(ids)
	o.mu.Lock()
	g.state.SetIdle(idle)
	o.mu.Unlock()
}

func (o *Owners) perform(ctx context.Context, g *group, step ggsowner.Step) error {
	ctx, cancel := context.WithTimeout(ctx, o.opts.CallTimeout)
	defer cancel()
	switch step.Kind {
	case ggsowner.StepReadRecord:
		return o.readRecord(ctx, g)
	case ggsowner.StepReadLease:
		return o.readLease(ctx, g, step)
	case ggsowner.StepWriteRecord:
		return o.writeRecord(ctx, g, step)
	case ggsowner.StepIdle:
	}
	return nil
}

func (o *Owners) readRecord(ctx context.Context, g *group) error {
	e, err := o.store.Get(ctx, g.key)
	var r ggsowner.Record
	if err == nil {
		r, err = decodeRecord(e)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	var bad *BadRecordError
	switch {
	case errors.As(err, &bad):
		o.noteUnreadable(g, e.Revision, bad, now)
	case err != nil:
		g.state.IOFailed()
		return err
	default:
		g.unreadable = 0
		g.state.RecordRead(r, e.Revision)
	}
	g.read = now
	return nil
}

// noteUnreadable logs a record that can't be decoded once for each of its revisions. The caller
// holds o.mu.
func (o *Owners) noteUnreadable(g *group, rev ggscore.StoreRevision, bad *BadRecordError, now time.Time) {
	if g.unreadable != rev {
		g.unreadable, g.unreadableSince = rev, now
		_ = level.Warn(o.log).Log("event", "recordUnreadable", "key", bad.Key, "revision", rev, "err", bad.Cause)
	}
	g.state.RecordUnreadable(rev, now.Sub(g.unreadableSince) >= o.opts.UnreadableTimeout)
}

func (o *Owners) readLease(ctx context.Context, g *group, step ggsowner.Step) error {
	e, err := o.store.Get(ctx, o.leaseKey(step.Owner))
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		g.state.IOFailed()
		return err
	}
	g.state.LeaseRead(e.Revision == 0 || e.Lease != step.Lease)
	return nil
}

func (o *Owners) writeRecord(ctx context.Context, g *group, step ggsowner.Step) error {
	value, err := encodeRecord(step.Record)
	if err != nil {
		o.mu.Lock()
		g.state.IOFailed()
		o.mu.Unlock()
		return err
	}
	rev, err := o.store.Put(ctx, g.key, value, step.Prev, 0)
	o.mu.Lock()
	defer o.mu.Unlock()
	var conflict *ggscore.ConflictError
	switch {
	case err == nil:
		if g.unreadable != 0 {
			_ = level.Info(o.log).Log("event", "recordReplaced", "key", g.key, "revision", g.unreadable)
		}
		g.unreadable = 0
		g.state.WriteDone(ggsowner.WriteOK, rev)
		return nil
	case errors.As(err, &conflict):
		g.state.WriteDone(ggsowner.WriteConflict, 0)
		return nil
	case hadNoEffect(err):
		g.state.IOFailed()
	default:
		// Any other failed write may still take effect.
		g.state.WriteDone(ggsowner.WriteAmbiguous, 0)
	}
	return err
}

// hadNoEffect reports whether a failed write certainly had no effect.
func hadNoEffect(err error) bool {
	var unavailable *ggscore.StoreUnavailableError
	var busy *ggscore.StoreBusyError
	return errors.As(err, &unavailable) || errors.As(err, &busy)
}
