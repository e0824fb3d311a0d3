// Package ggspopularity estimates how often an adapter is asked for, as rates
// that decay exponentially.
//
// # Usage
//
//	var m ggspopularity.Meter
//	m.Add(now)
//	if m.Rising(now) { /* fetch it ahead of demand */ }
//	perSecond := m.PerSecond(now)
//
// A Meter is a small value that is kept beside each adapter's entry. It holds
// no clock: the time comes in with each call and must not go back.
package ggspopularity

import (
	"math"
	"time"
)

const (
	// fastConstant follows a shift of popularity within seconds.
	fastConstant = 15 * time.Second
	// slowConstant keeps the popularity of adapters that are asked for every
	// few minutes.
	slowConstant = 3 * time.Minute
	// risingRatio separates a rise from the noise of single arrivals.
	risingRatio = 2
	// risingWeight is the least number of recent arrivals of a rise.
	risingWeight = 2
)

// A Meter holds a fast and a slow estimate of one adapter's arrivals. Its zero
// value has seen none.
type Meter struct {
	fast float64
	slow float64
	at   time.Time
}

// Add counts an arrival.
func (m *Meter) Add(now time.Time) {
	m.advance(now)
	m.fast++
	m.slow++
}

// PerSecond returns the greater of the two estimates, in arrivals a second: a
// rise shows at once in the fast one, and a short silence doesn't hide a
// popularity that the slow one has learnt.
func (m *Meter) PerSecond(now time.Time) float64 {
	d := now.Sub(m.at)
	f := decayed(m.fast, d, fastConstant) / fastConstant.Seconds()
	s := decayed(m.slow, d, slowConstant) / slowConstant.Seconds()
	return max(f, s)
}

// Rising reports whether arrivals have become more frequent lately.
func (m *Meter) Rising(now time.Time) bool {
	d := now.Sub(m.at)
	f := decayed(m.fast, d, fastConstant)
	s := decayed(m.slow, d, slowConstant)
	return f >= risingWeight && f/fastConstant.Seconds() > risingRatio*s/slowConstant.Seconds()
}

// advance moves both estimates to now.
func (m *Meter) advance(now time.Time) {
	d := now.Sub(m.at)
	if d > 0 {
		m.fast = decayed(m.fast, d, fastConstant)
		m.slow = decayed(m.slow, d, slowConstant)
		m.at = now
	}
}

// decayed returns v after d at a time constant.
func decayed(v float64, d, constant time.Duration) float64 {
	if v == 0 || d <= 0 {
		return v
	}
	return v * math.Exp(-float64(d)/float64(constant))
}
