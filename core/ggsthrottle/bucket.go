package ggsthrottle

import "time"

// A bucket is a token bucket.
type bucket struct {
	tokens float64
	at     time.Time
}

// fill adds what has come in since, and drops what a lower rate has no room for.
func (b *bucket) fill(now time.Time, perSecond float64) {
	if d := now.Sub(b.at); d > 0 {
		b.tokens += perSecond * d.Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, capacity(perSecond))
}

// capacity returns the tokens that a bucket of a rate holds.
func capacity(perSecond float64) float64 {
	if perSecond == 0 {
		return 0
	}
	return max(perSecond*burst.Seconds(), leastBurst)
}

func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// wait returns the time until there is a token.
func (b *bucket) wait(perSecond float64) time.Duration {
	return time.Duration(max(1-b.tokens, 0) / perSecond * float64(time.Second))
}
