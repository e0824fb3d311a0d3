package ggsclaims

import (
	"bytes"
	"context"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsclaim"
)

// sweptKey is the key of the first epoch that isn't deleted yet.
const sweptKey ggscore.Key = "claimsSwept"

// idleShardEpochs is how long an idle shard stays cached, in epochs.
const idleShardEpochs = 3

// maxSweepLag is how far the first epoch that isn't deleted yet may lie behind the oldest one that
// can have claims, after a stop of all processes.
const maxSweepLag = 366 * 24 * time.Hour

// maxSweepEpochs is the maximum number of epochs that one sweep deletes.
const maxSweepEpochs = 60

// Sweep deletes all shards of expired epochs from the store and evicts idle shards from
// the cache. Concurrent sweeps of several processes are safe: an epoch is deleted only
// after all processes refuse its keys.
func (c *Committer) Sweep(ctx context.Context) error {
	now := c.clock()
	c.evictIdle(now)
	e, err := c.store.Get(ctx, sweptKey)
	if err != nil {
		return errors.Wrap(err, "sweep claims")
	}
	first := c.firstEpoch(now, e)
	epoch := first
	for c.opts.Limits.EpochExpired(now, epoch) && epoch < first+maxSweepEpochs {
		if err := c.deleteEpoch(ctx, epoch); err != nil {
			return errors.Wrap(err, "sweep claims")
		}
		epoch++
	}
	value := binary.AppendVarint(nil, epoch)
	if bytes.Equal(value, e.Value) {
		return nil
	}
	_, err = c.store.Put(ctx, sweptKey, value, e.Revision, 0)
	return errors.Wrap(err, "sweep claims")
}

// firstEpoch returns the first epoch that isn't deleted yet. An entry that no sweep can have
// written is replaced: sweeps begin anew at the oldest epoch that can have valid claims.
func (c *Committer) firstEpoch(now time.Time, e ggscore.Entry) int64 {
	oldest := oldestEpoch(now, c.opts.Limits)
	if e.Revision == 0 {
		return oldest
	}
	n, size := binary.Varint(e.Value)
	if size <= 0 || n > epochOf(now) || n < oldest-int64(maxSweepLag/ggsclaim.EpochLength) {
		c.logUnreadable(e, &BadShardError{Bytes: len(e.Value), Detail: "swept epoch"})
		return oldest
	}
	return n
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

// evictIdle removes cached shards of old epochs that have no pending operations.
func (c *Committer) evictIdle(now time.Time) {
	oldest := epochOf(now) - idleShardEpochs
	c.mu.Lock()
	defer c.mu.Unlock()
	for s, sh := range c.shards {
		if s.Epoch < oldest && !sh.queued && sh.writer.Len() == 0 {
			delete(c.shards, s)
		}
	}
}

// runSweeps sweeps at jittered intervals until ctx ends. The jitter spreads the sweeps of
// processes that started at the same time.
func (c *Committer) runSweeps(ctx context.Context) {
	t := time.NewTimer(jitter(c.opts.SweepInterval))
	defer t.Stop()
	for {
		select {
		case <-t.C:
			// The next sweep repeats a failed one.
			if err := c.Sweep(ctx); err != nil {
				_ = level.Warn(c.log).Log("event", "claimsSweepFailed", "err", err)
			}
			t.Reset(jitter(c.opts.SweepInterval))
		case <-ctx.Done():
			return
		}
	}
}

func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// oldestEpoch returns an epoch that is no later than any epoch that may have claims.
func oldestEpoch(now time.Time, l ggsclaim.Limits) int64 {
	age := time.Duration(l.MaxEpochs()) * ggsclaim.EpochLength
	return epochOf(now.Add(-age))
}

func epochOf(t time.Time) int64 { return t.UnixMilli() / ggsclaim.EpochLength.Milliseconds() }
