// Package ggsclaims records the claims of non-idempotent requests in the platform's
// key-value service, so that a request with an idempotency key is dispatched at most
// once. It performs the I/O for the state machines of ggsclaim.
//
// # Usage
//
//	c := ggsclaims.New(store, clock, ids, ggsclaims.DefaultOptions(retention), logger)
//	go c.Run(ctx)
//	d, err := c.Begin(ctx, ggscore.ClaimRequest{Market: m, Key: k, Body: digest})
//	if err == nil && d.Answer == ggscore.ClaimGranted {
//		// dispatch once, before d.Before
//		err = c.Finish(ctx, d.ID, ggscore.ClaimResult{Outcome: ggscore.OutcomeDone})
//	}
//
// Begin waits until the claim is written. Finish doesn't wait: outcomes are batched into a
// later write of their shard, and Flush waits for these writes at a planned stop. If a
// process crashes before that write, its claim has no outcome and later counts as unknown.
//
// # Concurrency
//
// A shard is one store entry, which holds the claims of a part of the keys issued in one epoch
// (a fixed span of time). A fixed pool of workers serves the shards. Each shard has at most
// one I/O in flight, so all operations that arrive during a write are batched into the next
// one. The Committer's mutex is the only lock and is never held during I/O.
package ggsclaims
