package ggspopularity

import (
	"math"
	"time"

	ggscore "greengageslip/core"
)

const (
	// maxAdapters bounds the adapters whose demand is kept: more than a
	// deployment of 72 runners is asked for within forgetAfter. It is 2 MB.
	maxAdapters = 16384
	// forgetAfter is the silence after which an adapter's demand makes room.
	forgetAfter = 20 * time.Second
	// usualConstant is the time in which what was seen loses two thirds of its
	// weight: it tells apart adapters that are asked for every minute.
	usualConstant = 5 * time.Minute
	// leastWatch is the time that a usual rate is told by at least: with less, one
	// request looks like many a second.
	leastWatch = 4 * time.Second
)

// A Demand counts the requests for adapters. Its zero value can't be used.
type Demand struct {
	asked map[ggscore.ModelAdapter]*asked
	// since is when the first request was counted.
	since time.Time
}

type asked struct {
	recent Recent
	// usual is the sum of requests, decayed to the last one.
	usual float64
}

// NewDemand returns a Demand that has seen no request.
func NewDemand() *Demand { return &Demand{asked: map[ggscore.ModelAdapter]*asked{}} }

// Add counts n requests for an adapter.
func (d *Demand) Add(now time.Time, a ggscore.ModelAdapter, n int) {
	if d.since.IsZero() {
		d.since = now
	}
	s := d.asked[a]
	if s == nil {
		s = &asked{}
		d.asked[a] = s
	}
	s.usual = decayed(s.usual, now.Sub(s.recent.Last()), usualConstant) + float64(n)
	s.recent.Add(now, n)
	if len(d.asked) > maxAdapters {
		d.forget(now)
	}
}

// Recent returns an adapter's requests a second over the last seconds: how many
// copies of it are of use now.
func (d *Demand) Recent(now time.Time, a ggscore.ModelAdapter) float64 {
	if s := d.asked[a]; s != nil {
		return s.recent.PerSecond(now)
	}
	return 0
}

// Usual returns an adapter's requests a second over minutes: which of two
// adapters will be missed more. One that was popular and fell silent counts by
// its silence.
func (d *Demand) Usual(now time.Time, a ggscore.ModelAdapter) float64 {
	s := d.asked[a]
	if s == nil {
		return 0
	}
	silence := now.Sub(s.recent.Last())
	watched := max(now.Sub(d.since), leastWatch)
	span := usualConstant.Seconds() * -math.Expm1(-float64(watched)/float64(usualConstant))
	rate := decayed(s.usual, silence, usualConstant) / span
	if silence > 0 {
		rate = min(rate, silenceArrivals/silence.Seconds())
	}
	return rate
}

func (d *Demand) forget(now time.Time) {
	for a, s := range d.asked {
		if now.Sub(s.recent.Last()) > forgetAfter {
			delete(d.asked, a)
		}
	}
}
