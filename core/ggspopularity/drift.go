package ggspopularity

import "time"

const (
	// driftFast and driftSlow are the window lengths, in arrivals, of two moving averages of the
	// fraction of surprises (see Observe).
	driftFast = 24
	driftSlow = 2000
	// driftThreshold is the excess of the fast over the slow average that counts as a shift. It
	// is four standard deviations of the fast average.
	driftThreshold = 0.3
	// driftMinInterval is the least number of arrivals between two shifts.
	driftMinInterval = 200
)

// A Drift detects a shift of popularity: a sudden rise in the fraction of arrivals for
// adapters that were considered rare. Rates from before the shift are then misleading. If they
// were kept, newly popular adapters, which have few arrivals yet, would be evicted one after
// the other in favour of formerly popular ones. A restart of a runner isn't a shift, because
// its adapters are already known to be popular.
type Drift struct {
	fast, slow float64
	arrivals   int
	since      time.Time
}

// Observe counts an arrival and reports whether popularity has shifted. A surprise is an
// arrival for an adapter that was considered rarer than those being evicted.
func (d *Drift) Observe(now time.Time, surprise bool) bool {
	x := 0.0
	if surprise {
		x = 1
	}
	d.arrivals++
	d.fast += (x - d.fast) / float64(min(d.arrivals, driftFast))
	d.slow += (x - d.slow) / float64(min(d.arrivals, driftSlow))
	if d.arrivals < driftMinInterval || d.fast-d.slow < driftThreshold {
		return false
	}
	*d = Drift{since: now}
	return true
}

// Since returns the time of the last shift. Arrivals before it have to be ignored.
func (d *Drift) Since() time.Time { return d.since }
