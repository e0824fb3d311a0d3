// Package ggsretry decides whether a failed request is tried again, when, and
// which dispatchers or endpoints are left alone for a while.
//
// # Usage
//
//	p := ggsretry.NewPolicy(ggsretry.Options{Seed: 1})
//	p.Request(now, "cr") // once for each request
//	wait, err := p.Retry(now, ggsretry.Attempt{Market: "cr", Failure: f, Number: 1, Left: left})
//	if err != nil {
//		// *NoRetryError: answer the caller with f
//	}
//	b := ggsretry.NewBreakers[ggscore.VMID](ggsretry.BreakerOptions{Seed: 1})
//	tried = b.Exclude(now, tried) // before routing
//	b.Started(now, vm)
//	b.Ended(now, vm, ggsretry.ResultFailed)
//
// Only work that is proved not to have run is tried again. Each market earns
// its retries by its requests, so that an outage multiplies nobody's traffic.
// The package holds no clock, no goroutine and no lock, and its random numbers
// come from a seed.
package ggsretry

import (
	"cmp"
	"math/rand/v2"
	"time"

	ggscore "greengageslip/core"
)

// Defaults of Options.
const (
	DefaultRatio       = 0.1
	DefaultDepth       = 10
	DefaultMaxAttempts = 3
	DefaultBase        = 10 * time.Millisecond
	DefaultMaxWait     = time.Second
)

// idleRefill is the time in which an idle market's empty budget fills up, so
// that a rare request may be tried again.
const idleRefill = 100 * time.Second

// seedStream separates the policy's random numbers from others of one seed.
const seedStream = 0x7265747279

// An Options sets a retry policy. Zero fields take their defaults.
type Options struct {
	Seed uint64
	// Ratio is the number of retries that each request earns its market.
	Ratio float64
	// Depth is the number of retries that a market can save up.
	Depth float64
	// MaxAttempts is the number of times that a request is tried in all.
	MaxAttempts int
	// Base is the mean wait before the first retry. It doubles with each, up
	// to MaxWait.
	Base    time.Duration
	MaxWait time.Duration
}

// An Attempt is one that failed.
type Attempt struct {
	Market ggscore.Market
	// Number counts from one.
	Number  int
	Failure *ggscore.Failure
	// Left is the time that is left for the request.
	Left time.Duration
}

// A Policy decides on retries.
type Policy struct {
	options Options
	rng     *rand.Rand
	budgets map[ggscore.Market]*budget
}

// A budget is the number of retries that a market has earned.
type budget struct {
	tokens float64
	at     time.Time
}

// NewPolicy returns a policy in which each market has a full budget.
func NewPolicy(o Options) *Policy {
	o.Ratio = cmp.Or(o.Ratio, DefaultRatio)
	o.Depth = cmp.Or(o.Depth, DefaultDepth)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, DefaultMaxAttempts)
	o.Base = cmp.Or(o.Base, DefaultBase)
	o.MaxWait = cmp.Or(o.MaxWait, DefaultMaxWait)
	return &Policy{
		options: o,
		rng:     rand.New(rand.NewPCG(o.Seed, seedStream)),
		budgets: map[ggscore.Market]*budget{},
	}
}

// SetDepth changes the number of retries that a market can save up. What it had
// saved beyond that is lost.
func (p *Policy) SetDepth(depth float64) {
	p.options.Depth = depth
	for _, b := range p.budgets {
		b.tokens = min(b.tokens, depth)
	}
}

// Keep forgets the budgets of markets that the document no longer names.
func (p *Policy) Keep(markets map[ggscore.Market]ggscore.MarketSpec) {
	for m := range p.budgets {
		if _, ok := markets[m]; !ok {
			delete(p.budgets, m)
		}
	}
}

// Request earns the market its part of a retry. It is called once for each
// request, not for its retries.
func (p *Policy) Request(now time.Time, m ggscore.Market) {
	b := p.budget(now, m)
	b.tokens = min(b.tokens+p.options.Ratio, p.options.Depth)
}

// Retry returns the wait before the next attempt, or a *NoRetryError.
//
// While an endpoint is away every request fails; if each were tried again
// three times, the rest would get four times the traffic just when there are
// fewer of them, and would fail in turn. The market's budget bounds the added
// part to Ratio. The waits are drawn at random from their whole range, so that
// requests that failed together don't come back together.
func (p *Policy) Retry(now time.Time, a Attempt) (time.Duration, error) {
	if !retryable(a.Failure) {
		return 0, &NoRetryError{Market: a.Market, Cause: CauseNotRetryable}
	}
	if a.Number >= p.options.MaxAttempts {
		return 0, &NoRetryError{Market: a.Market, Cause: CauseAttempts}
	}
	wait := p.wait(a)
	if wait >= a.Left {
		return 0, &NoRetryError{Market: a.Market, Cause: CauseTime}
	}
	b := p.budget(now, a.Market)
	if b.tokens < 1 {
		return 0, &NoRetryError{Market: a.Market, Cause: CauseBudget}
	}
	b.tokens--
	return wait, nil
}

// budget returns the market's budget, brought to now.
func (p *Policy) budget(now time.Time, m ggscore.Market) *budget {
	b, ok := p.budgets[m]
	if !ok {
		b = &budget{tokens: p.options.Depth, at: now}
		p.budgets[m] = b
	}
	if age := now.Sub(b.at); age > 0 {
		earned := p.options.Depth * age.Seconds() / idleRefill.Seconds()
		b.tokens = min(b.tokens+earned, p.options.Depth)
		b.at = now
	}
	return b
}

// wait draws the wait before the next attempt.
func (p *Policy) wait(a Attempt) time.Duration {
	top := p.options.MaxWait
	if shift := a.Number - 1; shift < 30 {
		top = min(2*p.options.Base<<shift, top)
	}
	return a.Failure.RetryAfter + time.Duration(p.rng.Int64N(int64(top)))
}

// retryable reports whether a failed attempt may be tried again elsewhere: it
// is proved not to have run, and another dispatcher may answer otherwise.
func retryable(f *ggscore.Failure) bool {
	if f == nil || f.Outcome != ggscore.OutcomeNotRun {
		return false
	}
	switch f.Kind {
	case ggscore.FailureNoCapacity, ggscore.FailureStopping, ggscore.FailureEndpoint,
		ggscore.FailureBroken, ggscore.FailureNotOwner, ggscore.FailureAdapterMissing,
		ggscore.FailureWrongAdapter, ggscore.FailureInternal:
		return true
	}
	return false
}
