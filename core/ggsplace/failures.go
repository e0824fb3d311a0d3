package ggsplace

import (
	"slices"
	"time"
)

// failures returns the part of the requests of the last seconds that failed.
func (e *endpoint) failures(now time.Time) float64 {
	return e.failed.PerSecond(now) / (e.ended.PerSecond(now) + failurePrior)
}

// soundFailures returns the part of requests up to which an endpoint counts as
// sound: what sound ones fail usually, and twice what half of the endpoints do.
// Where all fail alike, by chance some fail more, and moving requests to the
// others only has their adapters loaded once more.
func soundFailures(now time.Time, list []*endpoint) float64 {
	fs := make([]float64, 0, len(list))
	for _, e := range list {
		fs = append(fs, e.failures(now))
	}
	if len(fs) == 0 {
		return failureUsual
	}
	slices.Sort(fs)
	return failureUsual + 2*fs[len(fs)/2]
}
