package ggsclaims

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsclaim"
)

// busyPart is the part of RetryAfter that is waited after a call over the rate.
const busyPart = 10

// work serves ready shards until ctx ends.
func (c *Committer) work(ctx context.Context) {
	for {
		sh := c.take()
		if sh != nil {
			c.serve(ctx, sh)
			continue
		}
		select {
		case <-c.wake:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Committer) take() *shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ready) == 0 {
		return nil
	}
	sh := c.ready[0]
	c.ready = c.ready[1:]
	return sh
}

// serve does I/O for a shard until it wants none or the platform's service is
// away.
func (c *Committer) serve(ctx context.Context, sh *shard) {
	for {
		step, more := c.next(ctx, sh)
		if !more {
			return
		}
		var ok bool
		if step.Kind == ggsclaim.StepRead {
			ok = c.read(ctx, sh)
		} else {
			ok = c.write(ctx, sh, step)
		}
		if !ok {
			return
		}
	}
}

func (c *Committer) next(ctx context.Context, sh *shard) (ggsclaim.Step, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		sh.queued = false
		return ggsclaim.Step{}, false
	}
	before := sh.writer.Len()
	step := sh.writer.Next(c.clock())
	c.deliver(sh)
	c.count(before, sh)
	if step.Kind == ggsclaim.StepIdle {
		sh.queued = false
		return step, false
	}
	return step, true
}

func (c *Committer) read(ctx context.Context, sh *shard) bool {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	e, err := c.store.Get(ctx, sh.key)
	var s ggsclaim.Shard
	if err == nil {
		s, err = decodeShard(e.Value)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Reads++
	if err != nil {
		c.goneAway(sh, err)
		return false
	}
	sh.writer.ReadDone(s, e.Revision)
	return true
}

func (c *Committer) write(ctx context.Context, sh *shard, step ggsclaim.Step) bool {
	value := encodeShard(step.Next)
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	r, err := c.store.Put(ctx, sh.key, value, step.Prev, 0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Writes++
	if hadNoEffect(err) {
		c.goneAway(sh, err)
		return false
	}
	before := sh.writer.Len()
	sh.writer.WriteDone(c.clock(), c.writeResult(err), r)
	c.deliver(sh)
	c.count(before, sh)
	return true
}

// goneAway answers a shard's claims and leaves its outcomes for later.
func (c *Committer) goneAway(sh *shard, err error) {
	until := c.clock().Add(c.pause(err))
	if until.After(c.awayUntil) {
		c.awayUntil = until
	}
	before := sh.writer.Len()
	sh.writer.Unavailable(c.opts.RetryAfter)
	sh.queued = false
	c.deliver(sh)
	c.count(before, sh)
}

// pause returns for how long the platform's service is spared. A value that
// can't be read is no outage: it would stop the claims of all other shards.
// Nor is a call over the rate: the others need some of them refused, not all.
func (c *Committer) pause(err error) time.Duration {
	var bad *BadShardError
	var busy *ggscore.StoreBusyError
	switch {
	case errors.As(err, &bad):
		return 0
	case errors.As(err, &busy):
		return c.opts.RetryAfter / busyPart
	default:
		return c.opts.RetryAfter
	}
}

func (c *Committer) writeResult(err error) ggsclaim.WriteResult {
	var conflict *ggscore.ConflictError
	switch {
	case err == nil:
		return ggsclaim.WriteOK
	case errors.As(err, &conflict):
		c.stats.Conflicts++
		return ggsclaim.WriteConflict
	}
	// Any failure that is not known to have had no effect is ambiguous, also
	// a call that ran out of time.
	c.stats.Ambiguous++
	return ggsclaim.WriteAmbiguous
}

// linger queues shards with outcomes that had their wait for company.
func (c *Committer) linger(ctx context.Context) {
	t := time.NewTicker(c.opts.Linger)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.retry()
		case <-ctx.Done():
			return
		}
	}
}

func (c *Committer) retry() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stats.Pending > 0 && !c.clock().Before(c.awayUntil) {
		c.queueAll()
	}
}

func hadNoEffect(err error) bool {
	var away *ggscore.StoreUnavailableError
	var busy *ggscore.StoreBusyError
	return errors.As(err, &away) || errors.As(err, &busy)
}
