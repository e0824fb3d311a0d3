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

// maxExcludedShare bounds the share of targets that Exclude returns.
const maxExcludedShare = 0.5

// breakerStream selects a random stream for breakers that is independent of others with the
// same seed.
const breakerStream = 0x627265616b

// BreakerOptions configures circuit breakers. Zero fields take their defaults.
type BreakerOptions struct {
	Seed uint64
	// Failures is the number of consecutive failures that open a breaker.
	Failures int
	// Open is how long a breaker stays open at first. The time doubles with each failed probe,
	// up to MaxOpen. Up to half of the time is added at random.
	Open    time.Duration
	MaxOpen time.Duration
	// Probe is how long a probe may take before another one is allowed.
	Probe time.Duration
}

// A Result is the outcome of a call, as evidence for or against its target.
type Result int

// The results of calls.
const (
	ResultOK Result = iota
	// ResultFailed counts as a failure of the target.
	ResultFailed
	// ResultNeutral counts neither as a success nor as a failure of the target: the caller
	// disconnected, or a limit of the caller was reached.
	ResultNeutral
	// ResultAbsent shows that the target isn't where calls to it go. It opens the breaker at once.
	ResultAbsent
)

// Breakers holds the circuit breakers of many targets.
type Breakers[K comparable] struct {
	options  BreakerOptions
	rng      *rand.Rand
	breakers map[K]*breaker
	// tripped lists the targets whose breakers aren't closed, in the order in which the
	// breakers opened.
	tripped []K
}

// A breaker is closed while it isn't tripped. A tripped breaker is open until openUntil, and
// then allows one probe at a time.
type breaker struct {
	failures      int
	tripped       bool
	open          time.Duration
	openUntil     time.Time
	probing       bool
	probeDeadline time.Time
}

// NewBreakers returns a set in which the breaker of each target is closed.
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

// Allow reports whether a call to the target may start now.
func (b *Breakers[K]) Allow(now time.Time, k K) bool {
	t, ok := b.breakers[k]
	return !ok || !t.tripped || t.mayProbe(now)
}

// Ended records the result of a call to the target.
func (b *Breakers[K]) Ended(now time.Time, k K, r Result) {
	t := b.target(k)
	t.probing = false
	switch r {
	case ResultOK:
		b.reset(k, t)
	case ResultFailed:
		b.fail(now, k, t)
	case ResultAbsent:
		t.failures = max(t.failures, b.options.Failures-1)
		b.fail(now, k, t)
	case ResultNeutral:
	}
}

// Exclude appends to list the targets that must not be called now. At most half of the known
// targets are excluded: those whose breakers opened first.
//
// All targets of a gateway fail while the gateway itself is disconnected. If the gateway
// excluded all of them, it would refuse every request until the last breaker's open time ends,
// long after its link is restored.
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

// Remove deletes a target and its breaker.
func (b *Breakers[K]) Remove(k K) {
	if t, ok := b.breakers[k]; ok {
		b.reset(k, t)
		delete(b.breakers, k)
	}
}

// Started records that a call to the target has started.
func (b *Breakers[K]) Started(now time.Time, k K) {
	t := b.target(k)
	if t.tripped && t.mayProbe(now) {
		t.probing = true
		t.probeDeadline = now.Add(b.options.Probe)
	}
}

// fail counts a failure, and opens the breaker or extends its open time.
//
// Calls that started before the breaker opened may fail afterwards. These failures are no new
// evidence, so only a failure after the open time extends that time.
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

// target returns the breaker of a target. It adds a closed one if there is none.
func (b *Breakers[K]) target(k K) *breaker {
	t, ok := b.breakers[k]
	if !ok {
		t = &breaker{}
		b.breakers[k] = t
	}
	return t
}

// mayProbe reports whether a tripped breaker allows a call.
func (t *breaker) mayProbe(now time.Time) bool {
	if now.Before(t.openUntil) {
		return false
	}
	return !t.probing || !now.Before(t.probeDeadline)
}
