// Package ggslimit admits requests by market. It limits the rate of each market with a token
// bucket. It also bounds the requests in flight, and reserves a part of them for each market so
// that a busy market can't use up all of them.
//
// # Usage
//
//	l := ggslimit.New(ggslimit.Options{MaxInFlight: 2000})
//	l.SetMarket("cr", ggslimit.Limit{RequestsPerSecond: 50, Burst: 100, Weight: 1})
//	l.SetGateways(9)
//	if err := l.Admit(now, "cr"); err != nil {
//		// *OverLimitError: answer 429 with its RetryAfter
//	}
//	defer l.Ended("cr", timeInFlight)
//
// A market's limit applies to the whole deployment. Each gateway enforces an equal share of it,
// since the load balancer spreads callers evenly.
//
// The package has no clock, goroutine or lock. Callers pass the time and serialize access.
package ggslimit

import (
	"math"
	"time"

	ggscore "greengageslip/core"
)

// reservedShare is the share of MaxInFlight that is reserved for the markets by weight. The rest
// is given to requests in the order of their arrival.
const reservedShare = 0.5

// initialInFlightTime is the assumed mean time in flight before any request has ended.
const initialInFlightTime = 500 * time.Millisecond

// inFlightTimeGain is the weight of a new sample in the moving average of the time in flight.
const inFlightTimeGain = 0.05

// minRetryAfter keeps a refused caller from retrying immediately.
const minRetryAfter = 50 * time.Millisecond

// Options configures what the markets of one gateway share.
type Options struct {
	// MaxInFlight bounds the admitted requests that haven't ended. Zero means no bound.
	MaxInFlight int
}

// A Limit is the limit of a market in the whole deployment.
type Limit struct {
	// RequestsPerSecond and Burst are the rate and the size of the market's token bucket. A
	// rate of zero means no limit.
	RequestsPerSecond float64
	Burst             int
	// Weight is the market's relative share of the reserved in-flight slots. A weight below
	// one counts as one.
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
	options     Options
	gateways    int
	markets     map[ggscore.Market]*market
	totalWeight int
	inFlight    int
	// unusedReserved is the number of reserved slots that their markets don't use.
	unusedReserved int
	// meanInFlightTime is a moving average over the requests that have ended.
	meanInFlightTime time.Duration
}

// A market is the state of one market at this gateway.
type market struct {
	limit Limit
	// interval is the time in which the bucket gains one token, zero for no limit.
	interval time.Duration
	// burstTime is the time in which an empty bucket becomes full.
	burstTime time.Duration
	// fullAt is when the bucket is full again. It represents the level of the bucket, so that
	// idle markets need no refill.
	fullAt   time.Time
	reserved int
	inFlight int
}

// New returns a limiter without markets, for one gateway.
func New(o Options) *Limiter {
	return &Limiter{
		options:          o,
		gateways:         1,
		markets:          map[ggscore.Market]*market{},
		meanInFlightTime: initialInFlightTime,
	}
}

// Admit admits a request, or returns an *OverLimitError or an *UnknownMarketError. The caller
// must call Ended once for each admitted request.
func (l *Limiter) Admit(now time.Time, name ggscore.Market) error {
	m, ok := l.markets[name]
	if !ok {
		return &UnknownMarketError{Market: name}
	}
	if wait := m.wait(now); wait > 0 {
		return &OverLimitError{Market: name, Cause: CauseRate, RetryAfter: wait}
	}
	if !l.hasSlot(m) {
		return &OverLimitError{Market: name, Cause: CauseInFlight, RetryAfter: l.expectedRelease()}
	}
	m.takeToken(now)
	if m.inFlight < m.reserved {
		l.unusedReserved--
	}
	m.inFlight++
	l.inFlight++
	return nil
}

// Ended releases the slot of an admitted request that was in flight for the given time.
func (l *Limiter) Ended(name ggscore.Market, inFlight time.Duration) {
	m, ok := l.markets[name]
	if !ok || m.inFlight == 0 {
		return
	}
	m.inFlight--
	l.inFlight--
	if m.inFlight < m.reserved {
		l.unusedReserved++
	}
	l.meanInFlightTime += time.Duration(inFlightTimeGain * float64(inFlight-l.meanInFlightTime))
}

// InFlight returns the number of admitted requests that haven't ended.
func (l *Limiter) InFlight() int { return l.inFlight }

// RemoveMarket removes a market that the document no longer contains. Its requests in flight no
// longer count.
func (l *Limiter) RemoveMarket(name ggscore.Market) {
	m, ok := l.markets[name]
	if !ok {
		return
	}
	delete(l.markets, name)
	l.inFlight -= m.inFlight
	l.totalWeight -= m.limit.Weight
	l.assignReserved()
}

// SetGateways sets the number of live gateways that share the limits. Less than one counts as one.
func (l *Limiter) SetGateways(n int) {
	l.gateways = max(n, 1)
	for _, m := range l.markets {
		m.setRate(l.gateways)
	}
}

// SetMarket adds or changes a market. A changed market keeps the level of its bucket and the
// count of its requests in flight.
func (l *Limiter) SetMarket(name ggscore.Market, limit Limit) {
	limit.Weight = max(limit.Weight, 1)
	m, ok := l.markets[name]
	if !ok {
		m = &market{}
		l.markets[name] = m
	}
	l.totalWeight += limit.Weight - m.limit.Weight
	m.limit = limit
	m.setRate(l.gateways)
	l.assignReserved()
}

// hasSlot reports whether a slot is free for m.
//
// A market with a burst of callers could otherwise use all slots, and requests of other markets
// would be refused although they are within their limits. A market that has used its reserved
// slots therefore can't use the slots reserved for others.
func (l *Limiter) hasSlot(m *market) bool {
	if l.options.MaxInFlight == 0 {
		return true
	}
	free := l.options.MaxInFlight - l.inFlight
	if m.inFlight < m.reserved {
		return free > 0
	}
	return free > l.unusedReserved
}

// expectedRelease estimates the time until a slot becomes free.
func (l *Limiter) expectedRelease() time.Duration {
	return max(l.meanInFlightTime/time.Duration(max(l.inFlight, 1)), minRetryAfter)
}

// assignReserved divides the reserved slots between the markets by weight.
func (l *Limiter) assignReserved() {
	l.unusedReserved = 0
	for _, m := range l.markets {
		fraction := float64(m.limit.Weight) / float64(l.totalWeight)
		m.reserved = int(reservedShare * float64(l.options.MaxInFlight) * fraction)
		l.unusedReserved += max(m.reserved-m.inFlight, 0)
	}
}

// setRate computes the gateway's share of the market's rate and burst.
func (m *market) setRate(gateways int) {
	if m.limit.RequestsPerSecond <= 0 {
		m.interval, m.burstTime = 0, 0
		return
	}
	rate := m.limit.RequestsPerSecond / float64(gateways)
	burst := max(m.limit.Burst/gateways, 1)
	m.interval = time.Duration(math.Ceil(float64(time.Second) / rate))
	m.burstTime = m.interval * time.Duration(burst)
}

// takeToken removes a token. The caller has checked with wait that there is one.
func (m *market) takeToken(now time.Time) {
	if m.interval == 0 {
		return
	}
	if m.fullAt.Before(now) {
		m.fullAt = now
	}
	m.fullAt = m.fullAt.Add(m.interval)
}

// wait returns the time until the bucket contains a token. A request after exactly that time is
// admitted, unless another request takes the token first.
func (m *market) wait(now time.Time) time.Duration {
	if m.interval == 0 || !m.fullAt.After(now) {
		return 0
	}
	return max(m.fullAt.Add(m.interval).Sub(now)-m.burstTime, 0)
}
