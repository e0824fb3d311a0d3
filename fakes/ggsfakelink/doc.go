// Package ggsfakelink stands in for a network link: it passes the bytes of TCP
// connections on, with a delay and a bandwidth, and can be cut.
//
// # Usage
//
//	l := ggsfakelink.New(target)
//	l.SetFaults(ggsfakelink.Faults{Delay: 8 * time.Millisecond})
//	err := l.Serve(ctx, listener) // until the context ends
//	l.SetFaults(ggsfakelink.Faults{Stall: true})
//
// A stalled link keeps its connections and holds all bytes; they arrive when
// the stall ends, as on a network that was cut and mended. A refusing link
// breaks its connections and closes new ones at once. A new connection is
// accepted by the link itself also while it stalls: unlike on a real network a
// dial then succeeds, and what is written is held.
//
// Handler serves the switches: POST /v1/faults {stall,refuse,delay} and
// GET /v1/stats.
//
// Locks: Link.mu guards everything and is never held during I/O.
package ggsfakelink
