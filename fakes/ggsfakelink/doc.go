// Package ggsfakelink simulates a network link. It forwards TCP connections to a target with
// a delay and a bandwidth, and simulates partitions and refused connections.
//
// # Usage
//
//	l := ggsfakelink.New(target)
//	l.SetFaults(ggsfakelink.Faults{Delay: 8 * time.Millisecond})
//	err := l.Serve(ctx, listener) // until the context ends
//	l.SetFaults(ggsfakelink.Faults{Stall: true})
//
// A stalled link keeps its connections open and holds all bytes. The bytes arrive when the stall
// ends, as after a network partition. A refusing link resets its connections, and closes new
// ones at once. Resets are passed on. The link accepts new connections also while it stalls. During a stall a dial therefore
// succeeds, unlike on a partitioned network, and the link holds the bytes that are written.
//
// Handler serves POST /v1/faults {stall,refuse,delay} and GET /v1/stats.
//
// Locks: Link.mu guards the faults. The mutex of each direction guards its bandwidth. No lock
// is held during I/O.
package ggsfakelink
