package ggsclaims

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsclaim"
)

// sweptKey holds the first epoch that is not deleted yet.
const sweptKey ggscore.Key = "claimsSwept"

// idleEpochs is how long a shard without work is remembered.
const idleEpochs = 3

// maxSweepEpochs bounds the epochs that one sweep deletes.
const maxSweepEpochs = 60

// Sweep deletes the forgotten epochs of keys whole and forgets shards that
// have no work. Sweeps of several processes at once do no harm: an epoch is
// deleted only when no process grants keys of it any more.
func (c *Committer) Sweep(ctx context.Context) error {
	now := c.clock()
	c.forgetIdle(now)
	e, err := c.store.Get(ctx, sweptKey)
	if err != nil {
		return errors.Wrap(err, "sweep claims")
	}
	first := oldestEpoch(now, c.opts.Limits)
	if e.Revision != 0 {
		n, size := binary.Varint(e.Value)
		if size <= 0 {
			return errors.Wrap(&BadShardError{Bytes: len(e.Value), Detail: "swept epoch"}, "sweep claims")
		}
		first = n
	}
	epoch := first
	for c.opts.Limits.EpochExpired(now, epoch) && epoch < first+maxSweepEpochs {
		if err := c.deleteEpoch(ctx, epoch); err != nil {
			return errors.Wrap(err, "sweep claims")
		}
		epoch++
	}
	if e.Revision != 0 && epoch == first {
		return nil
	}
	_, err = c.store.Put(ctx, sweptKey, binary.AppendVarint(nil, epoch), e.Revision, 0)
	return errors.Wrap(err, "sweep claims")
}

func (c *Committer) deleteEpoch(ctx context.Context, epoch int64) error {
	entries, err := c.store.List(ctx, epochPrefix(epoch))
	if err != nil {
		return err
	}
	for _, e := range entries {
		if err := c.store.Delete(ctx, e.Key, e.Revision); err != nil {
			return err
		}
	}
	return nil
}

func (c *Committer) forgetIdle(now time.Time) {
	oldest := now.UnixMilli()/ggsclaim.EpochLength.Milliseconds() - idleEpochs
	c.mu.Lock()
	defer c.mu.Unlock()
	for s, sh := range c.shards {
		if s.Epoch < oldest && !sh.queued && sh.writer.Len() == 0 {
			delete(c.shards, s)
		}
	}
}

// sweepOften sweeps with jitter, so that processes that started together don't
// ask together.
func (c *Committer) sweepOften(ctx context.Context) {
	t := time.NewTimer(jitter(c.opts.SweepEvery))
	defer t.Stop()
	for {
		select {
		case <-t.C:
			// A sweep that failed is done again by the next one.
			_ = c.Sweep(ctx)
			t.Reset(jitter(c.opts.SweepEvery))
		case <-ctx.Done():
			return
		}
	}
}

func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// oldestEpoch returns the epoch before all that can hold keys.
func oldestEpoch(now time.Time, l ggsclaim.Limits) int64 {
	age := time.Duration(l.MaxEpochs()) * ggsclaim.EpochLength
	return now.Add(-age).UnixMilli() / ggsclaim.EpochLength.Milliseconds()
}
