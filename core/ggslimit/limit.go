// Package ggslimit admits requests by market: a token bucket for each market's
// rate, and a bound on requests in flight that a busy market can't use up
// alone.
//
// # Usage
//
//	l := ggslimit.New(ggslimit.Options{MaxInFlight: 2000})
//	l.SetMarket("cr", ggslimit.Limit{RequestsPerSecond: 50, Burst: 100, Weight: 1})
//	l.SetGateways(9)
//	if err := l.Admit(now, "cr"); err != nil {
//		// *OverLimitError: answer 429 with its RetryAfter
//	}
//	defer l.Ended("cr", held)
//
// A market's limit holds for the whole deployment; each gateway enforces its
// equal part, since the balancer spreads callers evenly. The package holds no
// clock, no goroutine and no lock.
package ggslimit

import (
	"math"
	"time"

	ggscore "greengageslip/core"
)

// reservedShare is the part of MaxInFlight that is set aside for the markets
// by weight. The rest goes to whoever comes first.
const reservedShare = 0.5

// initialHold is the guess of a request's time in flight before any ended.
const initialHold = 500 * time.Millisecond

// holdGain is the weight of a new sample in the mean time in flight.
const holdGain = 0.05

// minRetryAfter keeps a refused caller from coming back at once.
const minRetryAfter = 50 * time.Millisecond

// An Options bounds what is shared by the markets of one gateway.
type Options struct {
	// MaxInFlight bounds admitted requests that haven't ended; zero means no
	// bound.
	MaxInFlight int
}

// A Limit is what a market may use of the deployment.
type Limit struct {
	// RequestsPerSecond and Burst describe its bucket; a rate of zero means
	// no limit.
	RequestsPerSecond float64
	Burst             int
	// Weight is its part of the reserved in-flight requests; below one counts
	// as one.
	Weight int
}

// LimitOf returns the limit that a document sets for a market.
func LimitOf(m ggscore.MarketSpec) Limit {
	return Limit{
		RequestsPerSecond: m.RequestsPerSecond,
		Burst:             m.Burst,
		Weight:            m.Weight,
	}
}

// A Limiter admits the requests of one gateway.
type Limiter struct {
	options  Options
	gateways int
	markets  map[ggscore.Market]*market
	weights  int
	inFlight int
	// unused is the sum of reserved places that their markets don't use.
	unused int
	hold   time.Duration
}

// A market is one market's state.
type market struct {
	limit    Limit
	interval time.Duration
	depth    time.Duration
	// fullAt is when the bucket is full again: the bucket's level is held as
	// an instant, so that idle markets need no refill.
	fullAt   time.Time
	reserved int
	inFlight int
}

// New returns a limiter without markets, for one gateway.
func New(o Options) *Limiter {
	return &Limiter{
		options:  o,
		gateways: 1,
		markets:  map[ggscore.Market]*market{},
		hold:     initialHold,
	}
}

// Admit takes a request in, or returns an *OverLimitError, or an
// *UnknownMarketError. Each admitted request ends with Ended.
func (l *Limiter) Admit(now time.Time, name ggscore.Market) error {
	m, ok := l.markets[name]
	if !ok {
		return &UnknownMarketError{Market: name}
	}
	if wait := m.wait(now); wait > 0 {
		return &OverLimitError{Market: name, Cause: CauseRate, RetryAfter: wait}
	}
	if !l.hasRoom(m) {
		return &OverLimitError{Market: name, Cause: CauseInFlight, RetryAfter: l.nextEnd()}
	}
	m.take(now)
	if m.inFlight < m.reserved {
		l.unused--
	}
	m.inFlight++
	l.inFlight++
	return nil
}

// Ended gives back the place of an admitted request that was in flight for
// held.
func (l *Limiter) Ended(name ggscore.Market, held time.Duration) {
	m, ok := l.markets[name]
	if !ok || m.inFlight == 0 {
		return
	}
	m.inFlight--
	l.inFlight--
	if m.inFlight < m.reserved {
		l.unused++
	}
	l.hold += time.Duration(holdGain * float64(held-l.hold))
}

// InFlight returns the number of admitted requests that haven't ended.
func (l *Limiter) InFlight() int { return l.inFlight }

// RemoveMarket forgets a market that the document no longer names. Its
// requests in flight are no longer counted.
func (l *Limiter) RemoveMarket(name ggscore.Market) {
	m, ok := l.markets[name]
	if !ok {
		return
	}
	delete(l.markets, name)
	l.inFlight -= m.inFlight
	l.weights -= m.limit.Weight
	l.reserve()
}

// SetGateways sets the number of live gateways that share the limits.
func (l *Limiter) SetGateways(n int) {
	l.gateways = max(n, 1)
	for _, m := range l.markets {
		m.setRate(l.gateways)
	}
}

// SetMarket adds or changes a market. A changed market keeps the level of its
// bucket and its requests in flight.
func (l *Limiter) SetMarket(name ggscore.Market, limit Limit) {
	limit.Weight = max(limit.Weight, 1)
	m, ok := l.markets[name]
	if !ok {
		m = &market{}
		l.markets[name] = m
	}
	l.weights += limit.Weight - m.limit.Weight
	m.limit = limit
	m.setRate(l.gateways)
	l.reserve()
}

// hasRoom reports whether a place is free for m.
//
// A market whose callers all come at once would fill the gateway, and the
// others' lookups would be refused although they stay under their limits. A
// market beyond its reserved places therefore leaves the others' free.
func (l *Limiter) hasRoom(m *market) bool {
	if l.options.MaxInFlight == 0 {
		return true
	}
	free := l.options.MaxInFlight - l.inFlight
	if m.inFlight < m.reserved {
		return free > 0
	}
	return free > l.unused
}

// nextEnd predicts when a place becomes free.
func (l *Limiter) nextEnd() time.Duration {
	return max(l.hold/time.Duration(max(l.inFlight, 1)), minRetryAfter)
}

// reserve divides the reserved places by weight.
func (l *Limiter) reserve() {
	l.unused = 0
	for _, m := range l.markets {
		part := float64(m.limit.Weight) / float64(l.weights)
		m.reserved = int(reservedShare * float64(l.options.MaxInFlight) * part)
		l.unused += max(m.reserved-m.inFlight, 0)
	}
}

// setRate works out the gateway's part of the market's rate and burst.
func (m *market) setRate(gateways int) {
	if m.limit.RequestsPerSecond <= 0 {
		m.interval, m.depth = 0, 0
		return
	}
	rate := m.limit.RequestsPerSecond / float64(gateways)
	burst := max(m.limit.Burst/gateways, 1)
	m.interval = time.Duration(math.Ceil(float64(time.Second) / rate))
	m.depth = m.interval * time.Duration(burst)
}

// take removes a token that wait said is there.
func (m *market) take(now time.Time) {
	if m.interval == 0 {
		return
	}
	if m.fullAt.Before(now) {
		m.fullAt = now
	}
	m.fullAt = m.fullAt.Add(m.interval)
}

// wait returns the time until the bucket holds a token: exactly after it a
// request is admitted, if no other takes the token.
func (m *market) wait(now time.Time) time.Duration {
	if m.interval == 0 || !m.fullAt.After(now) {
		return 0
	}
	return max(m.fullAt.Add(m.interval).Sub(now)-m.depth, 0)
}
