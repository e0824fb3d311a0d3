package ggsplace

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggspopularity"
)

// ForgetFailures forgets the failures at an endpoint that this VM observed and has not reported yet,
// and closes its circuit breaker.
func (t *Table) ForgetFailures(id ggscore.EndpointID) {
	t.breakers.Remove(id)
	if e := t.endpoints[id]; e != nil {
		e.failed = ggspopularity.Recent{}
		e.unreported.Failed = 0
	}
}

// failures returns the fraction of recent requests that failed.
func (e *endpoint) failures(now time.Time) float64 {
	return e.failed.PerSecond(now) / (e.ended.PerSecond(now) + failurePriorRate)
}

// toleratedFailures returns the failure fraction up to which an endpoint counts as healthy: the
// usual fraction plus twice the median of all endpoints. Where all endpoints fail alike, some
// fail more by chance, and rerouting requests to the others only causes further adapter loads.
func toleratedFailures(now time.Time, list []*endpoint) float64 {
	fs := make([]float64, 0, len(list))
	for _, e := range list {
		fs = append(fs, e.failures(now))
	}
	if len(fs) == 0 {
		return usualFailures
	}
	slices.Sort(fs)
	return usualFailures + 2*fs[len(fs)/2]
}
