package ggsfakebench

import (
	"sync/atomic"
	"time"
)

// startSeconds is the Unix time in seconds at which clocks start.
const startSeconds = 1_800_000_000

// A Clock is a manual clock: its time changes only with Advance. It is safe for concurrent
// use.
type Clock struct {
	nanoseconds atomic.Int64
}

// NewClock returns a clock at the Unix time 1,800,000,000 s.
func NewClock() *Clock {
	k := &Clock{}
	k.nanoseconds.Store(time.Unix(startSeconds, 0).UnixNano())
	return k
}

// Advance adds d to the time of the clock.
func (k *Clock) Advance(d time.Duration) { k.nanoseconds.Add(int64(d)) }

// Now returns the time of the clock.
func (k *Clock) Now() time.Time { return time.Unix(0, k.nanoseconds.Load()) }
