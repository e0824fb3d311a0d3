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

// statusInterval is the interval at which runGroups checks for a changed status, such as the
// mode after the lease's end. Check doesn't depend on it.
const statusInterval = 500 * time.Millisecond

// Leave waits until this process's pins are removed, then revokes its lease. It must be
// called after all requests in progress have ended and before Run's context ends.
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

// Release releases all groups: from then on, Check refuses all orders. Release returns after
// the records are written, so that other dispatchers can take over at once.
func (o *Owners) Release(ctx context.Context) error {
	o.mu.Lock()
	for _, g := range o.groups {
		g.state.Release()
	}
	o.mu.Unlock()
	o.wakeGroups()
	return errors.Wrap(o.await(ctx, (*ggsowner.Group).Released), "release")
}

// Run renews the lease and serves the groups until ctx ends. It returns nil.
func (o *Owners) Run(ctx context.Context) error {
	var g sync.WaitGroup
	g.Go(func() { o.runLease(ctx) })
	g.Go(func() { o.runGroups(ctx) })
	g.Wait()
	return nil
}

// await polls until done holds for all groups in which this process is the owner or has
// pins. It returns a *ReleaseError if ctx ends first.
func (o *Owners) await(ctx context.Context, done func(*ggsowner.Group) bool) error {
	t := time.NewTicker(o.opts.PollInterval / 8)
	defer t.Stop()
	for {
		n := o.remaining(done)
		if n == 0 {
			return nil
		}
		o.wakeGroups()
		select {
		case <-t.C:
		case <-ctx.Done():
			return &ReleaseError{Groups: n, Cause: ctx.Err()}
		}
	}
}

// remaining returns the number of involved groups for which done doesn't hold.
func (o *Owners) remaining(done func(*ggsowner.Group) bool) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, g := range o.groups {
		if g.state.Involved() && !done(g.state) {
			n++
		}
	}
	return n
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
		wait := jitter(o.opts.RenewInterval)
		if err := o.Renew(ctx); err != nil {
			_ = level.Warn(o.log).Log("event", "leaseNotRenewed", "vm", o.self.VM, "err", err)
			wait /= 3
		}
		o.notifySubscribers()
		t.Reset(wait)
	}
}

func (o *Owners) runGroups(ctx context.Context) {
	poll := time.NewTimer(0)
	defer poll.Stop()
	status := time.NewTicker(statusInterval)
	defer status.Stop()
	for {
		select {
		case <-poll.C:
			o.Poll(ctx)
			poll.Reset(jitter(o.opts.PollInterval))
		case <-o.wake:
			o.serveAll(ctx)
		case <-status.C:
		case <-ctx.Done():
			return
		}
		o.notifySubscribers()
	}
}

// notifySubscribers logs changes of the groups' status, and calls the subscribers if there
// is a change.
func (o *Owners) notifySubscribers() {
	o.mu.Lock()
	now := o.clock()
	changed := false
	for i, g := range o.groups {
		s := o.status(i, now)
		if s != g.reported {
			changed = true
			_ = level.Info(o.log).Log("event", "ownershipChanged", "group", g.key, "mode", s.Mode,
				"owner", s.Owner.VM, "fence", s.Fence, "released", s.Released, "pins", s.Pins)
		}
		g.reported = s
	}
	subscribers := o.subscribers
	o.mu.Unlock()
	if !changed {
		return
	}
	for _, f := range subscribers {
		f()
	}
}

// Renew renews the lease, or requests one if none is held. Run calls it periodically.
func (o *Owners) Renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, o.opts.CallTimeout)
	defer cancel()
	o.mu.Lock()
	id, left := o.lease.ID(), o.left
	o.mu.Unlock()
	if left {
		return nil
	}
	// The lease's time to live counts from before the call, because the platform starts to
	// count no earlier, however late the answer arrives.
	sent := o.clock()
	if id == 0 {
		return o.grant(ctx, sent)
	}
	err := o.store.Renew(ctx, id)
	var expired *ggscore.LeaseExpiredError
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.lease.ID() != id:
	case err == nil:
		o.lease.Renewed(sent)
	case errors.As(err, &expired):
		o.lease.Lost()
	}
	return errors.Wrap(err, "renew lease")
}

// grant requests a lease and writes the lease key. The lease counts as held only after the
// key is written, because other dispatchers treat a missing key as an expired lease.
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
	o.wakeGroups()
	return nil
}

func (o *Owners) leaseKey(vm ggscore.VMID) ggscore.Key {
	return ggscore.KeyOf("dispatchers", string(o.opts.Domain), string(vm))
}

func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}
