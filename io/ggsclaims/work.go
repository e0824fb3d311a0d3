package ggsclaims

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsclaim"
)

// busyPauseDivisor divides RetryAfter for the pause after a rate-limited call.
const busyPauseDivisor = 10

// work serves ready shards until ctx ends.
func (c *Committer) work(ctx context.Context) {
	for {
		sh := c.takeReady()
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

// takeReady removes and returns the first ready shard, or nil if there is none.
func (c *Committer) takeReady() *shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ready) == 0 {
		return nil
	}
	sh := c.ready[0]
	c.ready = c.ready[1:]
	return sh
}

// serve performs a shard's I/O until its writer is idle, a call fails or ctx ends.
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

// next returns the shard's next step, and false if there is none or ctx has ended. In that
// case the shard is no longer queued.
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
	c.updatePending(before, sh)
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
	var bad *BadShardError
	if errors.As(err, &bad) && e.Revision != sh.unreadable {
		sh.unreadable = e.Revision
		c.logUnreadable(e, bad)
	}
	if err != nil {
		c.handleFailure(sh, err)
		return false
	}
	sh.writer.ReadDone(s, e.Revision)
	return true
}

// logUnreadable names an entry that another program must have written.
func (c *Committer) logUnreadable(e ggscore.Entry, err *BadShardError) {
	_ = level.Warn(c.log).Log("event", "claimsUnreadable", "key", e.Key, "revision", e.Revision, "err", err)
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
		c.handleFailure(sh, err)
		return false
	}
	before := sh.writer.Len()
	sh.writer.WriteDone(c.clock(), c.writeResult(err), r)
	c.deliver(sh)
	c.updatePending(before, sh)
	return true
}

// handleFailure answers a shard's pending claims after a call without effect and keeps its
// outcomes for a retry. The caller holds c.mu.
func (c *Committer) handleFailure(sh *shard, err error) {
	until := c.clock().Add(c.pauseAfter(err))
	if until.After(c.unavailableUntil) {
		c.unavailableUntil = until
	}
	before := sh.writer.Len()
	sh.writer.Unavailable(c.opts.RetryAfter)
	sh.queued = false
	c.deliver(sh)
	c.updatePending(before, sh)
}

// pauseAfter returns how long the process makes no calls for new claims after a call failed
// with err. A value that can't be decoded isn't an outage, and a pause would stop the
// claims of all other shards. A rate-limited call isn't an outage either: only a part of
// the calls has to be refused, so the pause is short.
func (c *Committer) pauseAfter(err error) time.Duration {
	var bad *BadShardError
	var busy *ggscore.StoreBusyError
	switch {
	case errors.As(err, &bad):
		return 0
	case errors.As(err, &busy):
		return c.opts.RetryAfter / busyPauseDivisor
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
	// Any other failure is ambiguous, including a time-out, because the write may have
	// taken effect.
	c.stats.Ambiguous++
	return ggsclaim.WriteAmbiguous
}

// runRetries queues shards with pending outcomes every OutcomeDelay until ctx ends.
func (c *Committer) runRetries(ctx context.Context) {
	t := time.NewTicker(c.opts.OutcomeDelay)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.retryPending()
		case <-ctx.Done():
			return
		}
	}
}

// retryPending queues all shards with pending operations unless calls are paused.
func (c *Committer) retryPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stats.Pending > 0 && !c.clock().Before(c.unavailableUntil) {
		c.queueAll()
	}
}

// hadNoEffect reports whether a failed write certainly had no effect.
func hadNoEffect(err error) bool {
	var unavailable *ggscore.StoreUnavailableError
	var busy *ggscore.StoreBusyError
	return errors.As(err, &unavailable) || errors.As(err, &busy)
}
