// Package ggsthrottle keeps VMs together within the rate limits that endpoints name in
// their answers.
//
// A limit holds for all VMs together, and none of them may be needed to keep it. So each
// VM knows its part without asking: of the live VMs a few are entitled to send to a
// limited endpoint, chosen by rendezvous hashing, so few that each has at least a request
// a second. Each of them keeps to its part with a token bucket. The others learn from
// their heartbeats whether the limit still stands. An endpoint that no answer has come from for a while
// gets other VMs, since those that were entitled may have no callers.
//
// # Usage
//
//	t := ggsthrottle.NewTable(vm)
//	t.SetVMs(live)                            // the live VMs, this one included
//	changed := t.Observe(now, id, limit, asOf) // an answer came
//	t.Learn(now, limits)                      // what a peer knows
//	limits := t.Known(now)                    // for the next heartbeat
//	ok := t.Allows(now, id)                   // may be chosen for a request
//	ok := t.Take(now, id)                     // right before it is sent
//	wait := t.Wait(now, id)                   // for Retry-After
//	t.Remove(id)                              // the endpoint is gone
//
// The package holds no clock, no goroutine and no lock.
package ggsthrottle
