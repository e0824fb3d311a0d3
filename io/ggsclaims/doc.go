// Package ggsclaims keeps the claims of non-idempotent requests in the
// platform's key-value service, by the decisions of ggsclaim.
//
// # Usage
//
//	c := ggsclaims.New(store, clock, ids, ggsclaims.DefaultOptions(retention))
//	go c.Run(ctx)
//	d, err := c.Begin(ctx, ggscore.ClaimRequest{Market: m, Key: k, Body: digest})
//	if err == nil && d.Answer == ggscore.ClaimGranted {
//		// dispatch once, before d.Before
//		err = c.Finish(ctx, d.ID, ggscore.ClaimResult{Outcome: ggscore.OutcomeDone})
//	}
//
// Begin waits for the claim's write; Finish doesn't wait: outcomes are
// gathered with the next write of their shard, and Flush waits for them at a
// planned stop. A process that dies before leaves a claim without outcome,
// which later counts as unknown.
//
// A fixed pool of workers serves the shards, one I/O a shard at a time, so that
// all that arrives while a write is in flight goes into the next one. The lock
// of the Committer is the only one and is never held during I/O.
package ggsclaims
