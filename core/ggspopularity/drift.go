package ggspopularity

import "time"

const (
	// driftFast and driftSlow are the numbers of arrivals over which the two
	// fractions of surprises are averaged.
	driftFast = 24
	driftSlow = 2000
	// driftRise is a rise of the fraction that chance doesn't explain: it is
	// four standard deviations of the fast average.
	driftRise = 0.3
	// driftPause is the least number of arrivals between two shifts.
	driftPause = 200
)

// A Drift notices that popularity has shifted: suddenly many more arrivals than
// usual are of adapters that were thought to be rare. What was learnt before is
// then worth nothing, and keeping it would let the new favourites, each with few
// arrivals yet, be evicted one after the other in favour of the old ones. A
// restart of a runner is no surprise, since its adapters are known to be
// popular.
type Drift struct {
	fast, slow float64
	seen       int
	since      time.Time
}

// Observe counts an arrival, a surprise being one of an adapter that was
// thought to be rarer than those that are evicted. It reports whether
// popularity has shifted.
func (d *Drift) Observe(now time.Time, surprise bool) bool {
	x := 0.0
	if surprise {
		x = 1
	}
	d.seen++
	d.fast += (x - d.fast) / float64(min(d.seen, driftFast))
	d.slow += (x - d.slow) / float64(min(d.seen, driftSlow))
	if d.seen < driftPause || d.fast-d.slow < driftRise {
		return false
	}
	*d = Drift{since: now}
	return true
}

// Since returns when popularity shifted last. Arrivals before say nothing.
func (d *Drift) Since() time.Time { return d.since }
