package ggsretry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Defaults of BreakerOptions.
const (
	DefaultFailures = 5
	DefaultOpen     = 500 * time.Millisecond
	DefaultMaxOpen  = 15 * time.Second
	DefaultProbe    = 5 * time.Second
)

// maxExcludedShare bounds the part of the targets that breakers exclude.
const maxExcludedShare = 0.5

// breakerStream separates the breakers' random numbers from others of one
// seed.
const breakerStream = 0x627265616b

// A BreakerOptions sets circuit breakers. Zero fields take their defaults.
type BreakerOptions struct {
	Seed uint64
	// Failures in a row open a breaker.
	Failures int
	// Open is how long a breaker is first open; it doubles with each probe
	// that fails, up to MaxOpen.
	Open    time.Duration
	MaxOpen time.Duration
	// Probe is how long a probe may take before another is let through.
	Probe time.Duration
}

// A Result is how a call of a target ended.
type Result int

// The results of calls.
const (
	ResultOK Result = iota
	// ResultFailed speaks against the target.
	ResultFailed
	// ResultNeutral says nothing of it: a caller went away, or a limit of the
	// caller's was met.
	ResultNeutral
)

// A Breakers holds the circuit breakers of many targets.
type Breakers[K comparable] struct {
	options  BreakerOptions
	rng      *rand.Rand
	breakers map[K]*breaker
	// tripped lists the targets that are not closed, in the order in which
	// they opened.
	tripped []K
}

// A breaker is closed while it isn't tripped; tripped, it is open until
// openUntil, then lets one probe through at a time.
type breaker struct {
	failures  int
	tripped   bool
	open      time.Duration
	openUntil time.Time
	probing   bool
	probeEnds time.Time
}

// NewBreakers returns breakers that are all closed.
func NewBreakers[K comparable](o BreakerOptions) *Breakers[K] {
	o.Failures = cmp.Or(o.Failures, DefaultFailures)
	o.Open = cmp.Or(o.Open, DefaultOpen)
	o.MaxOpen = cmp.Or(o.MaxOpen, DefaultMaxOpen)
	o.Probe = cmp.Or(o.Probe, DefaultProbe)
	return &Breakers[K]{
		options:  o,
		rng:      rand.New(rand.NewPCG(o.Seed, breakerStream)),
		breakers: map[K]*breaker{},
	}
}

// Allow reports whether a call of the target may start now.
func (b *Breakers[K]) Allow(now time.Time, k K) bool {
	t, ok := b.breakers[k]
	return !ok || !t.tripped || t.mayProbe(now)
}

// Ended takes the result of a call.
func (b *Breakers[K]) Ended(now time.Time, k K, r Result) {
	t := b.target(k)
	t.probing = false
	switch r {
	case ResultOK:
		b.reset(k, t)
	case ResultFailed:
		b.fail(now, k, t)
	case ResultNeutral:
	}
}

// Exclude appends the targets that may not be called now to list.
//
// A gateway that is itself cut off sees all its targets fail. If it excluded
// all, it would refuse every request until the last breaker's time was over,
// long after the link was back. At most half of the known targets are
// excluded, those that opened first.
func (b *Breakers[K]) Exclude(now time.Time, list []K) []K {
	limit := int(maxExcludedShare * float64(len(b.breakers)))
	for _, k := range b.tripped {
		if limit == 0 {
			break
		}
		if !b.breakers[k].mayProbe(now) {
			list = append(list, k)
			limit--
		}
	}
	return list
}

// Remove forgets a target.
func (b *Breakers[K]) Remove(k K) {
	if t, ok := b.breakers[k]; ok {
		b.reset(k, t)
		delete(b.breakers, k)
	}
}

// Started notes that a call of the target has started.
func (b *Breakers[K]) Started(now time.Time, k K) {
	t := b.target(k)
	if t.tripped && t.mayProbe(now) {
		t.probing = true
		t.probeEnds = now.Add(b.options.Probe)
	}
}

// fail counts a failure, and opens the breaker or opens it for longer.
//
// Calls that started before the breaker opened go on failing afterwards. They
// say nothing new, so only a failure after the open time lengthens it.
func (b *Breakers[K]) fail(now time.Time, k K, t *breaker) {
	t.failures++
	if t.failures < b.options.Failures || t.tripped && now.Before(t.openUntil) {
		return
	}
	if !t.tripped {
		t.tripped = true
		t.open = b.options.Open
		b.tripped = append(b.tripped, k)
	} else {
		t.open = min(2*t.open, b.options.MaxOpen)
	}
	jitter := time.Duration(b.rng.Int64N(int64(t.open)/2 + 1))
	t.openUntil = now.Add(t.open + jitter)
}

// reset closes the breaker.
func (b *Breakers[K]) reset(k K, t *breaker) {
	if t.tripped {
		b.tripped = slices.DeleteFunc(b.tripped, func(o K) bool { return o == k })
	}
	*t = breaker{}
}

// target returns the breaker of a target, closed where there was none.
func (b *Breakers[K]) target(k K) *breaker {
	t, ok := b.breakers[k]
	if !ok {
		t = &breaker{}
		b.breakers[k] = t
	}
	return t
}

// mayProbe reports whether a tripped breaker lets a call through.
func (t *breaker) mayProbe(now time.Time) bool {
	if now.Before(t.openUntil) {
		return false
	}
	return !t.probing || !now.Before(t.probeEnds)
}
