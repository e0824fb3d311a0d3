// Package ggspopularity estimates how often an adapter is asked for, as rates
// that decay exponentially.
//
// # Usage
//
//	var d ggspopularity.Drift    // one per service
//	var m ggspopularity.Meter    // one per adapter
//	d.Observe(now, m.PerSecond(now, d.Since()) <= evicted)
//	m.Add(now, d.Since())
//	perSecond := m.PerSecond(now, d.Since())
//
// A Meter is a small value that is kept beside each adapter's entry. The package
// holds no clock: the time comes in with each call and must not go back.
package ggspopularity

import (
	"math"
	"time"
)

const (
	// fastConstant follows a shift of popularity within seconds.
	fastConstant = 20 * time.Second
	// slowConstant tells apart adapters that are asked for every few minutes.
	slowConstant = 10 * time.Minute
	// fastNoise is taken off the fast estimate: one or two arrivals close
	// together are no sign of a rise.
	fastNoise = 2
	// silenceArrivals bounds a rate by the silence since the last arrival: at
	// that rate so many arrivals would have been expected meanwhile.
	silenceArrivals = 3
)

// A Meter holds a fast and a slow estimate of one adapter's arrivals. Its zero
// value has seen none.
type Meter struct {
	fast float64
	slow float64
	at   time.Time
}

// Add counts an arrival. Those before since are forgotten.
func (m *Meter) Add(now, since time.Time) {
	if m.at.Before(since) {
		*m = Meter{}
	}
	d := now.Sub(m.at)
	m.fast = decayed(m.fast, d, fastConstant) + 1
	m.slow = decayed(m.slow, d, slowConstant) + 1
	m.at = now
}

// PerSecond estimates arrivals a second, from those after since. The slow
// estimate tells rarely used adapters apart; the fast one, less its noise, shows
// a rise at once; and the silence since the last arrival shows a fall long
// before the slow one does.
func (m *Meter) PerSecond(now, since time.Time) float64 {
	if m.at.Before(since) {
		return 0
	}
	d := now.Sub(m.at)
	f := (decayed(m.fast, d, fastConstant) - fastNoise) / fastConstant.Seconds()
	s := decayed(m.slow, d, slowConstant) / slowConstant.Seconds()
	r := max(f, s)
	if d > 0 {
		r = min(r, silenceArrivals/d.Seconds())
	}
	return r
}

// decayed returns v after d at a time constant.
func decayed(v float64, d, constant time.Duration) float64 {
	if v == 0 || d <= 0 {
		return v
	}
	return v * math.Exp(-float64(d)/float64(constant))
}
