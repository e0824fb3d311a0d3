package ggsroute

import "time"

// crossingBurst is how many seconds' worth of bytes may cross at once.
const crossingBurst = 2

// A bucket bounds the bytes that cross regions. A rate of zero means no
// bound. It may go below zero, by answers that turn out longer than expected;
// nothing crosses until that is paid back.
type bucket struct {
	rate   float64
	tokens float64
	at     time.Time
	// total counts all bytes.
	total int64
}

// allows reports whether bytes may cross now.
func (b *bucket) allows(now time.Time, bytes int) bool {
	b.fill(now)
	return b.rate == 0 || b.tokens >= min(float64(bytes), b.rate*crossingBurst)
}

// fill adds the tokens that have come up since it was last called.
func (b *bucket) fill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.tokens = min(b.tokens+d.Seconds()*b.rate, b.rate*crossingBurst)
		b.at = now
	}
}

// setRate changes the rate and keeps the level.
func (b *bucket) setRate(rate float64) {
	if b.rate == 0 {
		b.tokens = rate * crossingBurst
	}
	b.rate = max(rate, 0)
	b.tokens = min(b.tokens, b.rate*crossingBurst)
}

// take counts bytes that cross, or fewer than were counted before.
func (b *bucket) take(now time.Time, bytes int) {
	b.fill(now)
	b.total += int64(bytes)
	if b.rate > 0 {
		b.tokens -= float64(bytes)
	}
}

// until returns when bytes may cross.
func (b *bucket) until(bytes int) time.Duration {
	if b.rate == 0 {
		return 0
	}
	missing := min(float64(bytes), b.rate*crossingBurst) - b.tokens
	return time.Duration(max(missing, 0) / b.rate * float64(time.Second))
}
