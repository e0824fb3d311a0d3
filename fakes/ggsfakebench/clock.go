package ggsfakebench

import (
	"sync/atomic"
	"time"
)

// startSeconds is the Unix time at which clocks start.
const startSeconds = 1_800_000_000

// A Clock is moved by the test. It may be read and moved by many goroutines.
type Clock struct {
	nanoseconds atomic.Int64
}

// NewClock returns a clock that shows the Unix time 1,800,000,000.
func NewClock() *Clock {
	k := &Clock{}
	k.nanoseconds.Store(time.Unix(startSeconds, 0).UnixNano())
	return k
}

// Advance moves the clock on.
func (k *Clock) Advance(d time.Duration) { k.nanoseconds.Add(int64(d)) }

// Now returns the time that the clock shows.
func (k *Clock) Now() time.Time { return time.Unix(0, k.nanoseconds.Load()) }
