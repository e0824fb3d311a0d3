package ggsroute

import "time"

// crossRegionBurstSeconds is the size of the bucket, in seconds of its rate.
const crossRegionBurstSeconds = 2

// A tokenBucket limits the bytes sent between regions. A rate of zero means no
// limit. The tokens become negative when answers are longer than predicted; no
// request crosses until the bucket has refilled.
type tokenBucket struct {
	rate   float64
	tokens float64
	at     time.Time
	// total is the number of bytes sent so far.
	total int64
}

// allows reports whether a request may cross now that takes the given number of bytes, its
// answer included. A request larger than the bucket may cross when the bucket is full.
func (b *tokenBucket) allows(now time.Time, bytes int) bool {
	b.refill(now)
	return b.rate == 0 || b.tokens >= min(float64(bytes), b.rate*crossRegionBurstSeconds)
}

// refill adds the tokens that are due since the last call.
func (b *tokenBucket) refill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.tokens = min(b.tokens+d.Seconds()*b.rate, b.rate*crossRegionBurstSeconds)
		b.at = now
	}
}

// setRate changes the rate and keeps the tokens, up to the new size of the bucket.
func (b *tokenBucket) setRate(rate float64) {
	if b.rate == 0 {
		b.tokens = rate * crossRegionBurstSeconds
	}
	b.rate = max(rate, 0)
	b.tokens = min(b.tokens, b.rate*crossRegionBurstSeconds)
}

// consume counts bytes that cross. A negative number corrects an earlier count.
func (b *tokenBucket) consume(now time.Time, bytes int) {
	b.refill(now)
	b.total += int64(bytes)
	if b.rate > 0 {
		b.tokens -= float64(bytes)
	}
}

// waitFor returns the time until a request that takes the given number of bytes may cross.
func (b *tokenBucket) waitFor(bytes int) time.Duration {
	if b.rate == 0 {
		return 0
	}
	missing := min(float64(bytes), b.rate*crossRegionBurstSeconds) - b.tokens
	return time.Duration(max(missing, 0) / b.rate * float64(time.Second))
}
