package ggsschedule

import ggscore "greengageslip/core"

// Demand returns the number of loads that the owner could use now: the loads in
// flight, and the distinct adapters with waiting requests that no runner holds
// or is getting.
func (s *Scheduler) Demand() int {
	n := s.bucket.inTransit
	for _, v := range s.ordered {
		if v.kind != ggscore.KindModel {
			continue
		}
		for _, a := range v.waiting {
			if !a.anywhere() && !a.placed() {
				n++
			}
		}
	}
	return n
}

// placed reports whether a runner holds the adapter or is getting it.
func (a *adapter) placed() bool {
	for _, r := range a.replicas {
		if r.state != stateGone && r.state != stateUnloading {
			return true
		}
	}
	return false
}
