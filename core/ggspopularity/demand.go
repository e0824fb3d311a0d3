package ggspopularity

import (
	"math"
	"time"

	ggscore "greengageslip/core"
)

const (
	// maxAdapters is the number of adapters above which idle ones are evicted. At that number,
	// the demand uses up to 2 MB of memory. More are kept if all were requested within
	// evictAfter. A deployment of 72 runners gets requests for fewer in that time.
	maxAdapters = 16384
	// evictAfter is the idle time after which the demand of an adapter can be evicted.
	evictAfter = 20 * time.Second
	// longTermTimeConstant is the time in which past requests lose two thirds of their weight.
	// It distinguishes the rates of adapters that are requested every minute.
	longTermTimeConstant = 5 * time.Minute
	// minObservation is the least time over which a long-term rate is computed. Over a shorter
	// time, a single request looks like a high rate.
	minObservation = 4 * time.Second
)

// A Demand counts the requests for adapters. Its zero value isn't usable: call NewDemand.
type Demand struct {
	adapters map[ggscore.ModelAdapter]*adapterDemand
	// since is when the first request was counted.
	since time.Time
}

type adapterDemand struct {
	recent Recent
	// longTerm is the decayed sum of requests at the time of the last one.
	longTerm float64
}

// NewDemand returns a Demand without requests.
func NewDemand() *Demand { return &Demand{adapters: map[ggscore.ModelAdapter]*adapterDemand{}} }

// Add counts n requests for an adapter.
func (d *Demand) Add(now time.Time, a ggscore.ModelAdapter, n int) {
	if d.since.IsZero() {
		d.since = now
	}
	s := d.adapters[a]
	if s == nil {
		s = &adapterDemand{}
		d.adapters[a] = s
	}
	s.longTerm = decayed(s.longTerm, now.Sub(s.recent.Last()), longTermTimeConstant) + float64(n)
	s.recent.Add(now, n)
	if len(d.adapters) > maxAdapters {
		d.evictIdle(now)
	}
}

// Recent returns an adapter's requests per second over the last seconds. It determines how
// many replicas of the adapter are useful now.
func (d *Demand) Recent(now time.Time, a ggscore.ModelAdapter) float64 {
	if s := d.adapters[a]; s != nil {
		return s.recent.PerSecond(now)
	}
	return 0
}

// LongTerm returns an adapter's requests per second over the last minutes. It determines which
// of two adapters would be missed more if evicted. The time since the last request bounds the
// rate of an adapter that was popular before.
func (d *Demand) LongTerm(now time.Time, a ggscore.ModelAdapter) float64 {
	s := d.adapters[a]
	if s == nil {
		return 0
	}
	idle := now.Sub(s.recent.Last())
	observed := max(now.Sub(d.since), minObservation)
	span := longTermTimeConstant.Seconds() * -math.Expm1(-float64(observed)/float64(longTermTimeConstant))
	rate := decayed(s.longTerm, idle, longTermTimeConstant) / span
	if idle > 0 {
		rate = min(rate, idleArrivals/idle.Seconds())
	}
	return rate
}

func (d *Demand) evictIdle(now time.Time) {
	for a, s := range d.adapters {
		if now.Sub(s.recent.Last()) > evictAfter {
			delete(d.adapters, a)
		}
	}
}
