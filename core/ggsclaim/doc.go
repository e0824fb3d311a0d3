// Package ggsclaim decides whether a non-idempotent request may be dispatched.
//
// A claim of the request's key is recorded in the platform's key-value service
// before the one dispatch. Claims are kept in shards: the key's issue time
// picks the epoch and its hash the shard, so that every process of every region
// looks for a key in the same place. Safety rests on compare-and-swap alone:
// only the attempt whose claim identifier stands in the shard may dispatch.
//
// # Usage
//
//	k, err := ggsclaim.ParseKey(market, key, issued)
//	w := ggsclaim.NewWriter(limits)
//	w.Begin(op, k, body, id, now)
//	for s := w.Next(now); s.Kind != ggsclaim.StepIdle; s = w.Next(now) {
//		// read or write the shard, then report by ReadDone, WriteDone or Away
//	}
//	for _, s := range w.Settled() {
//		// s.Decision answers the operation s.Op
//	}
//
// A Writer serves one shard in one process and gathers all that arrives while
// a write is in flight into the next write. The caller performs the I/O and
// reports back; the package holds no clock, no goroutine and no lock.
package ggsclaim
