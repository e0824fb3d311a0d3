package ggsowners

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsowner"
)

// Poll looks at the groups that this dispatcher has a part in or that would
// fall to it, and takes over what it may. Run calls it in time.
func (o *Owners) Poll(ctx context.Context) {
	for _, g := range o.groups {
		if o.prepare(g) {
			o.serve(ctx, g)
		}
	}
}

// prepare asks for a fresh look where one is of use. A held lease that the
// record names proves the ownership without a read. The first two candidates
// look: one of them takes over, whoever the owner is.
func (o *Owners) prepare(g *group) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	first, _ := ggsowner.PreferredCandidate(g.key, o.candidates, "")
	second, _ := ggsowner.PreferredCandidate(g.key, o.candidates, first.VM)
	if first.VM != o.self.VM && second.VM != o.self.VM && !g.state.Involved() {
		return false
	}
	if g.state.Mode(o.clock(), &o.lease) != ggscore.ModeFull || len(g.state.Record().Pins) > 0 {
		g.state.Invalidate()
	}
	return true
}

// wanted reports whether the group falls to this dispatcher when its owner
// ends: it is the first candidate but for the owner, or a later life of it.
func (o *Owners) wanted(g *group) bool {
	owner := g.state.Record().Owner.VM
	first, ok := ggsowner.PreferredCandidate(g.key, o.candidates, owner)
	return owner == o.self.VM || (ok && first.VM == o.self.VM)
}

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

// serve does a group's I/O until it wants none or a call fails.
func (o *Owners) serve(ctx context.Context, g *group) {
	for ctx.Err() == nil {
		o.noteIdle(g)
		o.mu.Lock()
		now := o.clock()
		o.noteStopped(g.state, now)
		g.state.SetCandidate(o.wanted(g))
		step := g.state.Next(now, &o.lease)
		o.mu.Unlock()
		if step.Kind == ggsowner.StepIdle {
			return
		}
		if err := o.do(ctx, g, step); err != nil {
			_ = level.Warn(o.log).Log("event", "ownershipCallFailed", "group", g.key, "err", err)
			return
		}
	}
}

// noteIdle asks whether runs are left in a group that takes no new ones. That
// no new ones are taken is seen first, and each run counts from before its
// Check: none can slip in between.
func (o *Owners) noteIdle(g *group) {
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

func (o *Owners) do(ctx context.Context, g *group, step ggsowner.Step) error {
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
	if err != nil {
		g.state.IOFailed()
		return err
	}
	g.state.RecordRead(r, e.Revision)
	return nil
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
		g.state.WriteDone(ggsowner.WriteOK, rev)
		return nil
	case errors.As(err, &conflict):
		g.state.WriteDone(ggsowner.WriteConflict, 0)
		return nil
	case hadNoEffect(err):
		g.state.IOFailed()
	default:
		// Whatever isn't known to have had no effect may still have one.
		g.state.WriteDone(ggsowner.WriteAmbiguous, 0)
	}
	return err
}

func hadNoEffect(err error) bool {
	var away *ggscore.StoreUnavailableError
	var busy *ggscore.StoreBusyError
	return errors.As(err, &away) || errors.As(err, &busy)
}
