package ggsclaims

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsclaim"
)

const claimsPrefix = "claims"

// Stats holds counters since the Committer's start, and its current Pending operations
// and cached Shards.
type Stats struct {
	Reads     uint64
	Writes    uint64
	Conflicts uint64
	Ambiguous uint64
	Away      uint64
	Begun     uint64
	Granted   uint64
	Finished  uint64
	Pending   int
	Shards    int
}

// A Committer claims idempotency keys for one process. It is safe for concurrent use.
type Committer struct {
	store ggscore.Store
	clock func() time.Time
	ids   func() ggsclaim.ClaimID
	opts  Options
	log   log.Logger
	wake  chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	shards  map[ggsclaim.Slot]*shard
	ready   []*shard
	answers map[ggsclaim.OpID]chan ggsclaim.Decision
	flushes []chan struct{}
	lastOp  ggsclaim.OpID
	// unavailableUntil is the end of the pause after a failed call. Until then, claims
	// are answered without a call.
	unavailableUntil time.Time
	stats            Stats
}

var _ ggscore.Claimer = (*Committer)(nil)

type shard struct {
	key    ggscore.Key
	slot   ggsclaim.Slot
	writer *ggsclaim.Writer
	// unreadable is the last revision that was logged because it can't be decoded.
	unreadable ggscore.StoreRevision
	// queued is set while the shard is in Committer.ready or a worker serves it.
	queued bool
}

// New returns a Committer. clock returns the wall time, and ids returns globally unique
// identifiers.
func New(
	s ggscore.Store, clock func() time.Time, ids func() ggsclaim.ClaimID, o Options, l log.Logger,
) *Committer {
	return &Committer{
		store:   s,
		clock:   clock,
		ids:     ids,
		opts:    o,
		log:     l,
		wake:    make(chan struct{}, o.Workers),
		shards:  make(map[ggsclaim.Slot]*shard),
		answers: make(map[ggsclaim.OpID]chan ggsclaim.Decision),
	}
}

// Begin claims a key for one dispatch and waits until the claim is recorded. If ctx ends
// first, the claim counts as not granted and is released as soon as the platform's
// service is available. A failure is a *ggscore.Failure.
func (c *Committer) Begin(ctx context.Context, r ggscore.ClaimRequest) (ggscore.ClaimDecision, error) {
	key, err := ggsclaim.ParseKey(r.Market, r.Key, r.Issued)
	if err != nil {
		return ggscore.ClaimDecision{}, badKeyFailure(err)
	}
	now := c.clock()
	if key.Issued.After(now.Add(c.opts.Limits.Margin)) {
		err := &ggsclaim.FutureKeyError{Issued: key.Issued, Now: now}
		return ggscore.ClaimDecision{}, futureKeyFailure(err, r.FirstSend)
	}
	if c.opts.Limits.Expired(now, key.Issued) {
		return ggscore.ClaimDecision{Answer: ggscore.ClaimExpired}, nil
	}
	body := ggsclaim.HashBody(r.Body)
	sh, id, answer := c.begin(now, key, body)
	if answer == nil {
		return claimDecision(c.decideFromCache(key, body), r.FirstSend)
	}
	select {
	case d := <-answer:
		return claimDecision(d, r.FirstSend)
	case <-ctx.Done():
		return claimDecision(c.cancel(sh, id, answer), r.FirstSend)
	}
}

// Finish queues a claim's result for recording and doesn't wait. OutcomeNotRun releases
// the key, so it must be passed only if it is proved that the request didn't run. A
// failure wraps a *ggsclaim.BadClaimIDError.
func (c *Committer) Finish(_ context.Context, id ggscore.ClaimID, r ggscore.ClaimResult) error {
	g, err := ggsclaim.ParseGrant(id)
	if err != nil {
		return errors.Wrap(err, "finish claim")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// An outcome beyond the limit is dropped. The claim stays recorded without an
	// outcome and later counts as unknown, which is correct.
	if c.stats.Pending >= 2*c.opts.MaxPending {
		return nil
	}
	c.lastOp++
	c.stats.Finished++
	sh := c.shard(g.Key.Slot())
	sh.writer.Finish(c.lastOp, g, stateOf(r.Outcome), resultOf(r), c.clock())
	c.stats.Pending++
	return nil
}

// Flush waits until all pending operations are recorded. A failure is a *FlushError.
func (c *Committer) Flush(ctx context.Context) error {
	c.mu.Lock()
	if c.stats.Pending == 0 {
		c.mu.Unlock()
		return nil
	}
	done := make(chan struct{})
	c.flushes = append(c.flushes, done)
	c.queueAll()
	c.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return &FlushError{Pending: c.Stats().Pending, Cause: ctx.Err()}
	}
}

// Run serves the shards, retries outcomes and sweeps until ctx ends. It returns nil.
func (c *Committer) Run(ctx context.Context) error {
	var g sync.WaitGroup
	for range c.opts.Workers {
		g.Go(func() { c.work(ctx) })
	}
	g.Go(func() { c.runRetries(ctx) })
	g.Go(func() { c.runSweeps(ctx) })
	g.Wait()
	return nil
}

// Stats returns the current counters.
func (c *Committer) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	s.Shards = len(c.shards)
	return s
}

func (c *Committer) unavailable() ggsclaim.Decision {
	return ggsclaim.Decision{Kind: ggsclaim.DecisionUnavailable, RetryAfter: c.opts.RetryAfter}
}

func (c *Committer) begin(
	now time.Time, k ggsclaim.Key, b ggsclaim.BodyHash,
) (*shard, ggsclaim.OpID, chan ggsclaim.Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Begun++
	if now.Before(c.unavailableUntil) || c.stats.Pending >= c.opts.MaxPending {
		c.stats.Away++
		return nil, 0, nil
	}
	c.lastOp++
	answer := make(chan ggsclaim.Decision, 1)
	c.answers[c.lastOp] = answer
	sh := c.shard(k.Slot())
	sh.writer.Begin(c.lastOp, k, b, c.ids(), now)
	c.stats.Pending++
	c.queue(sh)
	return sh, c.lastOp, answer
}

func (c *Committer) cancel(sh *shard, id ggsclaim.OpID, answer chan ggsclaim.Decision) ggsclaim.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case d := <-answer:
		return d
	default:
	}
	delete(c.answers, id)
	before := sh.writer.Len()
	sh.writer.Cancel(id)
	c.updatePending(before, sh)
	return c.unavailable()
}

// decideFromCache answers a claim without a call, while the platform's service is
// unavailable.
func (c *Committer) decideFromCache(k ggsclaim.Key, b ggsclaim.BodyHash) ggsclaim.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sh, ok := c.shards[k.Slot()]; ok {
		return sh.writer.DecideFromCache(k, b, c.opts.RetryAfter)
	}
	return c.unavailable()
}

// updatePending updates the number of pending operations after calls of a shard's writer. The
// parameter before is the number of the writer's pending operations before these calls. When no
// operation of the Committer is pending, updatePending ends the waiting flushes. The caller holds
// c.mu.
func (c *Committer) updatePending(before int, sh *shard) {
	c.stats.Pending += sh.writer.Len() - before
	if c.stats.Pending > 0 {
		return
	}
	for _, f := range c.flushes {
		close(f)
	}
	c.flushes = nil
}

// deliver sends a shard's decisions to the waiting callers. The caller holds c.mu.
func (c *Committer) deliver(sh *shard) {
	for _, s := range sh.writer.Settled() {
		switch s.Decision.Kind {
		case ggsclaim.DecisionGranted:
			c.stats.Granted++
		case ggsclaim.DecisionUnavailable:
			c.stats.Away++
		default:
		}
		if a, ok := c.answers[s.Op]; ok {
			a <- s.Decision
			delete(c.answers, s.Op)
		}
	}
}

// queue makes a shard ready for a worker. The caller holds c.mu.
func (c *Committer) queue(sh *shard) {
	if sh.queued {
		return
	}
	sh.queued = true
	c.ready = append(c.ready, sh)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Committer) queueAll() {
	for _, sh := range c.shards {
		if sh.writer.Len() > 0 {
			c.queue(sh)
		}
	}
}

func (c *Committer) shard(s ggsclaim.Slot) *shard {
	sh, ok := c.shards[s]
	if !ok {
		sh = &shard{key: shardKey(s), slot: s, writer: ggsclaim.NewWriter(c.opts.Limits)}
		c.shards[s] = sh
	}
	return sh
}

func epochPrefix(epoch int64) ggscore.Key {
	return ggscore.KeyOf(claimsPrefix, strconv.FormatInt(epoch, 10)) + "/"
}

func shardKey(s ggsclaim.Slot) ggscore.Key {
	return epochPrefix(s.Epoch) + ggscore.Key(strconv.Itoa(s.Shard))
}
