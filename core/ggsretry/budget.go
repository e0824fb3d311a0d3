// Package ggsretry provides a retry policy with a retry budget for each market, and circuit
// breakers for dispatchers or endpoints.
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
// A request is retried only if it is known not to have run. The requests of a market add to
// its retry budget, so that retries during an outage can't multiply the traffic.
//
// The package has no clock, goroutine or lock. Callers pass the time and serialize access.
// Random numbers come from a seed.
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

// idleRefill is the time in which an idle market's empty budget becomes full, so that a market
// with few requests can retry too.
const idleRefill = 100 * time.Second

// policyStream selects a random stream for policies that is independent of others with the same
// seed.
const policyStream = 0x7265747279

// Options configures a retry policy. Zero fields take their defaults.
type Options struct {
	Seed uint64
	// Ratio is the number of retries that each request adds to its market's budget.
	Ratio float64
	// Depth is the greatest number of retries in a market's budget.
	Depth float64
	// MaxAttempts is the greatest number of attempts of a request, the first included.
	MaxAttempts int
	// Base is the mean wait before the first retry. Waits are drawn from zero to twice the
	// mean, which doubles with each retry. MaxWait bounds the range of the draw. A failure's
	// RetryAfter is added to the wait.
	Base    time.Duration
	MaxWait time.Duration
}

// An Attempt is a failed attempt of a request.
type Attempt struct {
	Market ggscore.Market
	// Number is 1 for the first attempt.
	Number  int
	Failure *ggscore.Failure
	// Left is the time until the request's deadline.
	Left time.Duration
}

// A Policy decides whether and when failed requests are retried.
type Policy struct {
	options Options
	rng     *rand.Rand
	budgets map[ggscore.Market]*budget
}

// A budget is a token bucket with one token for each retry that a market may make.
type budget struct {
	tokens    float64
	updatedAt time.Time
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
		rng:     rand.New(rand.NewPCG(o.Seed, policyStream)),
		budgets: map[ggscore.Market]*budget{},
	}
}

// SetDepth changes the greatest number of retries in a market's budget. Tokens beyond it are
// discarded.
func (p *Policy) SetDepth(depth float64) {
	p.options.Depth = depth
	for _, b := range p.budgets {
		b.tokens = min(b.tokens, depth)
	}
}

// RetainMarkets removes the budgets of markets that aren't in markets, the markets of the
// document.
func (p *Policy) RetainMarkets(markets map[ggscore.Market]ggscore.MarketSpec) {
	for m := range p.budgets {
		if _, ok := markets[m]; !ok {
			delete(p.budgets, m)
		}
	}
}

// Request adds Ratio to the market's budget. It is called once for each request, and not for
// retries.
func (p *Policy) Request(now time.Time, m ggscore.Market) {
	b := p.budget(now, m)
	b.tokens = min(b.tokens+p.options.Ratio, p.options.Depth)
}

// Retry returns the wait before the next attempt, or a *NoRetryError.
//
// While an endpoint is down, all its requests fail. If each were retried three times, the
// remaining endpoints would get four times the traffic while there are fewer of them, and
// would fail too. The market's budget bounds the added traffic to Ratio. Waits are drawn
// at random from their full range, so that requests that failed at the same time aren't
// retried at the same time.
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

// budget returns the market's budget, refilled up to now.
func (p *Policy) budget(now time.Time, m ggscore.Market) *budget {
	b, ok := p.budgets[m]
	if !ok {
		b = &budget{tokens: p.options.Depth, updatedAt: now}
		p.budgets[m] = b
	}
	if age := now.Sub(b.updatedAt); age > 0 {
		refill := p.options.Depth * age.Seconds() / idleRefill.Seconds()
		b.tokens = min(b.tokens+refill, p.options.Depth)
		b.updatedAt = now
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

// retryable reports whether a failed attempt may be retried elsewhere: the request is known
// not to have run, and another dispatcher may succeed.
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
