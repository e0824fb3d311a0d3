package ggsthrottle

import "time"

// A bucket is a token bucket, one token per request.
type bucket struct {
	tokens float64
	at     time.Time
}

// refill adds the tokens accrued since the last refill, up to the capacity for the given rate and
// window.
func (b *bucket) refill(now time.Time, perSecond float64, window time.Duration) {
	if d := now.Sub(b.at); d > 0 {
		b.tokens += perSecond * d.Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, capacity(perSecond, window))
}

// capacity returns the number of tokens that a bucket holds at the given rate: those of a window.
func capacity(perSecond float64, window time.Duration) float64 {
	if perSecond == 0 {
		return 0
	}
	return max(perSecond*window.Seconds(), minBurst)
}

// allows reports whether a token is left.
func (b *bucket) allows() bool { return b.tokens >= 1 }

// take takes a token.
func (b *bucket) take() { b.tokens-- }

// wait returns the time until a token is available.
func (b *bucket) wait(perSecond float64) time.Duration {
	return time.Duration(max(1-b.tokens, 0) / perSecond * float64(time.Second))
}
