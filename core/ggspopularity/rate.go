// Package ggspopularity estimates the request rates of adapters by exponentially decayed sums,
// and detects shifts of popularity. Inputs are arrivals with their times; outputs are rates in
// requests per second.
//
// # Usage
//
//	var d ggspopularity.Drift    // one per service
//	var m ggspopularity.Meter    // one per adapter
//	d.Observe(now, m.PerSecond(now, d.Since()) <= evicted)
//	m.Add(now, d.Since())
//	perSecond := m.PerSecond(now, d.Since())
//
// A Meter is a small value to be stored in each adapter's entry. The types aren't safe for
// concurrent use and have no clock: the caller passes the time, which must not go back.
package ggspopularity

import (
	"math"
	"time"
)

const (
	// fastTimeConstant follows a shift of popularity within seconds.
	fastTimeConstant = 20 * time.Second
	// slowTimeConstant distinguishes the rates of adapters that are requested every few
	// minutes.
	slowTimeConstant = 10 * time.Minute
	// fastNoise, in arrivals, is subtracted from the fast estimate, because one or two
	// arrivals close together don't show a rise.
	fastNoise = 2
	// idleArrivals bounds a rate by the time since the last arrival: at the bound, the
	// expected number of arrivals in that time is idleArrivals.
	idleArrivals = 3
)

// A Meter holds a fast and a slow estimate of one adapter's arrival rate. Its zero value has
// no arrivals.
type Meter struct {
	fast float64
	slow float64
	at   time.Time
}

// Add counts an arrival. Arrivals before since are discarded.
func (m *Meter) Add(now, since time.Time) {
	if m.at.Before(since) {
		*m = Meter{}
	}
	d := now.Sub(m.at)
	m.fast = decayed(m.fast, d, fastTimeConstant) + 1
	m.slow = decayed(m.slow, d, slowTimeConstant) + 1
	m.at = now
}

// PerSecond estimates the arrivals per second from those after since. The slow estimate
// distinguishes rarely used adapters. The fast estimate, less its noise, shows a rise at once.
// The time since the last arrival shows a fall long before the slow estimate does.
func (m *Meter) PerSecond(now, since time.Time) float64 {
	if m.at.Before(since) {
		return 0
	}
	d := now.Sub(m.at)
	f := (decayed(m.fast, d, fastTimeConstant) - fastNoise) / fastTimeConstant.Seconds()
	s := decayed(m.slow, d, slowTimeConstant) / slowTimeConstant.Seconds()
	r := max(f, s)
	if d > 0 {
		r = min(r, idleArrivals/d.Seconds())
	}
	return r
}

// decayed returns v after time d of exponential decay with the given time constant.
func decayed(v float64, d, constant time.Duration) float64 {
	if v == 0 || d <= 0 {
		return v
	}
	return v * math.Exp(-float64(d)/float64(constant))
}
