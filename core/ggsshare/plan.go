// Package ggsshare keeps the loads of a whole deployment within the limits of the weight store.
// The deployment's endpoints form groups, each with one owner at a time, and the owners schedule
// their loads independently of each other.
//
// # Usage
//
//	plan := ggsshare.NewPlan(ggscore.LoadShare{LoadsPerSecond: 4, InTransit: 24}, groups)
//	s := ggsshare.NewBorrower(ggsshare.Options{Self: vm, Group: 2, Seed: 1})
//	s.SetPlan(now, plan)
//	s.SetLease(lease)           // when the VM's lease is granted or renewed
//	s.SetOwner(true)            // while the VM owns its group's endpoints
//	for _, o := range s.SetDemand(now, waitingLoads) {
//		// execute the list, put or delete, then report its result with
//		// Listed, ListFailed, PutEnded or DeleteEnded; execute the orders
//		// that these return
//	}
//	scheduler.SetLoadShare(now, s.Share(now)) // also at s.Next()
//
// The limits are divided into units. Each unit allows one load in transit and an equal share
// of the loads per second. Some units are static: they are assigned to the groups by the
// group's number, and the owner of a group may use them even when the platform is unreachable.
// The other units are borrowed. A borrowed unit is a record in the platform's key-value service
// under the borrower's lease. The unit counts only until the lease expires by the borrower's
// monotonic clock, less a margin. A record that was released, or may have been, is never used
// again.
//
// The package has no clock, goroutine or lock. Callers pass the time and serialize access.
package ggsshare

import ggscore "greengageslip/core"

// staticShare is the share of units that are static. It is small, since a static unit is idle
// while its group loads nothing. It isn't zero, since a group that can't reach the platform can
// use static units only and could then load nothing.
const staticShare = 0.25

// A Unit is the number of a borrowed unit.
type Unit int

// WaitMarker isn't a unit. Its record shows that a borrower found no free unit and waits for one.
const WaitMarker Unit = -1

// A Plan divides the limits into units. The zero Plan has no units.
type Plan struct {
	limit  ggscore.LoadShare
	groups int
}

// NewPlan returns the plan that divides limit between a number of groups.
func NewPlan(limit ggscore.LoadShare, groups int) Plan {
	return Plan{limit: limit, groups: max(groups, 0)}
}

// Borrowed returns the number of units that aren't static.
func (p Plan) Borrowed() int {
	n := max(p.limit.InTransit, 0)
	for g := range min(p.groups, n) {
		n -= p.Static(g)
	}
	return n
}

// Share returns the loads that a number of units allows.
func (p Plan) Share(units int) ggscore.LoadShare {
	if p.limit.InTransit <= 0 {
		return ggscore.LoadShare{}
	}
	fraction := float64(units) / float64(p.limit.InTransit)
	return ggscore.LoadShare{LoadsPerSecond: p.limit.LoadsPerSecond * fraction, InTransit: units}
}

// Static returns the number of static units of a group. If there are more groups than static
// units, the first groups have one each and the others none. Consecutive groups are in
// different domains, so that each domain has some static units.
func (p Plan) Static(group int) int {
	if group < 0 || group >= p.groups {
		return 0
	}
	units := int(staticShare * float64(max(p.limit.InTransit, 0)))
	if units < p.groups {
		if group < units {
			return 1
		}
		return 0
	}
	return units / p.groups
}
