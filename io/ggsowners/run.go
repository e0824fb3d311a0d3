package ggsowners

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsowner"
)

// noticeEvery is how often the passing of a lease's end is looked for. Check
// doesn't depend on it.
const noticeEvery = 500 * time.Millisecond

// Leave ends the pins of what this process ran and revokes its lease. It is
// called after all in progress has ended, before Run's context ends.
func (o *Owners) Leave(ctx context.Context) error {
	err := o.await(ctx, func(g *ggsowner.Group) bool { return g.Released() && !g.HasPins() })
	o.mu.Lock()
	id := o.lease.ID()
	o.lease.Lost()
	o.left = true
	o.mu.Unlock()
	if id != 0 {
		err = errors.CombineErrors(err, o.store.Revoke(ctx, id))
	}
	return errors.Wrap(err, "leave")
}

// Release gives all groups up: from now on there is no new work and no order.
// It returns once this is recorded, so that others take over at once.
func (o *Owners) Release(ctx context.Context) error {
	o.mu.Lock()
	for _, g := range o.groups {
		g.state.Release()
	}
	o.mu.Unlock()
	o.poke()
	return errors.Wrap(o.await(ctx, (*ggsowner.Group).Released), "release")
}

// Run keeps the lease and the groups until ctx ends. It returns nil.
func (o *Owners) Run(ctx context.Context) error {
	var g sync.WaitGroup
	g.Go(func() { o.runLease(ctx) })
	g.Go(func() { o.runGroups(ctx) })
	g.Wait()
	return nil
}

// await polls until all groups that this process has a part in are done.
func (o *Owners) await(ctx context.Context, done func(*ggsowner.Group) bool) error {
	t := time.NewTicker(o.opts.PollEvery / 8)
	defer t.Stop()
	for {
		left := o.count(done)
		if left == 0 {
			return nil
		}
		o.poke()
		select {
		case <-t.C:
		case <-ctx.Done():
			return &ReleaseError{Groups: left, Cause: ctx.Err()}
		}
	}
}

func (o *Owners) count(done func(*ggsowner.Group) bool) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	left := 0
	for _, g := range o.groups {
		if g.state.Involved() && !done(g.state) {
			left++
		}
	}
	return left
}

func (o *Owners) runLease(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		wait := jitter(o.opts.RenewEvery)
		if err := o.Renew(ctx); err != nil {
			_ = level.Warn(o.log).Log("event", "leaseNotRenewed", "vm", o.self.VM, "err", err)
			wait /= 3
		}
		o.tell()
		t.Reset(wait)
	}
}

func (o *Owners) runGroups(ctx context.Context) {
	poll := time.NewTimer(0)
	defer poll.Stop()
	notice := time.NewTicker(noticeEvery)
	defer notice.Stop()
	for {
		select {
		case <-poll.C:
			o.Poll(ctx)
			poll.Reset(jitter(o.opts.PollEvery))
		case <-o.wake:
			o.serveAll(ctx)
		case <-notice.C:
		case <-ctx.Done():
			return
		}
		o.tell()
	}
}

// tell calls the subscribers where a group's status changed.
func (o *Owners) tell() {
	o.mu.Lock()
	now := o.clock()
	changed := false
	for i, g := range o.groups {
		s := o.status(i, now)
		if s != g.last {
			changed = true
			_ = level.Info(o.log).Log("event", "ownershipChanged", "group", g.key, "mode", s.Mode,
				"owner", s.Owner.VM, "fence", s.Fence, "released", s.Released, "pins", s.Pins)
		}
		g.last = s
	}
	notify := o.notify
	o.mu.Unlock()
	if !changed {
		return
	}
	for _, f := range notify {
		f()
	}
}

// Renew renews the lease, or asks for one. Run calls it in time.
func (o *Owners) Renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, o.opts.CallTimeout)
	defer cancel()
	o.mu.Lock()
	id, left := o.lease.ID(), o.left
	o.mu.Unlock()
	if left {
		return nil
	}
	// The lease counts from before the call: the platform can't have counted
	// from earlier, however late the answer comes.
	sent := o.clock()
	if id == 0 {
		return o.grant(ctx, sent)
	}
	err := o.store.Renew(ctx, id)
	var lapsed *ggscore.LeaseExpiredError
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.lease.ID() != id:
	case err == nil:
		o.lease.Renewed(sent)
	case errors.As(err, &lapsed):
		o.lease.Lost()
	}
	return errors.Wrap(err, "renew lease")
}

// grant gets a lease and puts the key that shows it. The lease counts only
// once the key is known to stand, since others take a missing key for a lapse.
func (o *Owners) grant(ctx context.Context, sent time.Time) error {
	id, err := o.store.Grant(ctx, o.opts.Limits.TTL)
	if err != nil {
		return errors.Wrap(err, "grant lease")
	}
	key := o.leaseKey(o.self.VM)
	e, err := o.store.Get(ctx, key)
	if err == nil {
		_, err = o.store.Put(ctx, key, []byte(o.self.Incarnation), e.Revision, id)
	}
	if err != nil {
		return &LeaseKeyError{Key: key, Cause: err}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.left {
		o.lease.Granted(id, sent)
	}
	o.poke()
	return nil
}

func (o *Owners) leaseKey(vm ggscore.VMID) ggscore.Key {
	return ggscore.KeyOf("dispatchers", string(o.opts.Domain), string(vm))
}

func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}
