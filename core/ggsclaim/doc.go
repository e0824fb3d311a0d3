// Package ggsclaim decides whether a non-idempotent request may be dispatched.
//
// The inputs are idempotency keys with the hash of the request body, the outcomes of
// dispatches, and the results of reads and writes of the key-value service. The outputs
// are decisions on operations and the next read or write to perform.
//
// A claim of the request's key is recorded in the platform's key-value service before
// the request is dispatched, at most once. Claims are stored in shards: the key's issue
// time selects the epoch and its hash selects the shard, so every process in every
// region reads a key from the same place. Safety relies on compare-and-swap alone: only
// the attempt whose claim identifier is recorded in the shard may dispatch.
//
// # Usage
//
//	k, err := ggsclaim.ParseKey(market, key, issued)
//	w := ggsclaim.NewWriter(limits)
//	w.Begin(op, k, body, id, now)
//	for s := w.Next(now); s.Kind != ggsclaim.StepIdle; s = w.Next(now) {
//		// read or write the shard, then report by ReadDone, WriteDone or Unavailable
//	}
//	for _, s := range w.Settled() {
//		// s.Decision answers the operation s.Op
//	}
//
// A Writer serves one shard in one process. It batches all operations that arrive while
// a write is in flight into the next write. The caller performs the I/O and reports the
// result. The package has no clock, no goroutine and no lock: the caller must serialize
// the calls to a Writer.
package ggsclaim
