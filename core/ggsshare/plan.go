// Package ggsshare keeps the loads of a whole deployment within the weight
// store's limits, although its groups decide on their loads apart.
//
// # Usage
//
//	plan := ggsshare.NewPlan(ggscore.LoadShare{LoadsPerSecond: 4, InTransit: 24}, groups)
//	s := ggsshare.New(ggsshare.Options{Self: vm, Group: 2, Seed: 1})
//	s.SetPlan(now, plan)
//	s.SetLease(lease)           // whenever the VM's lease is granted or renewed
//	s.SetOwner(true)            // while the VM owns its group's endpoints
//	for _, o := range s.SetDemand(now, waitingLoads) {
//		// list, put or delete as o says, then report with Listed,
//		// PutEnded or DeleteEnded, which return the next orders
//	}
//	scheduler.SetLoadShare(now, s.Share(now)) // also at s.Next()
//
// The limits are cut into units: each allows one load in transit and its part
// of the loads a second. A few units are static: they belong to the groups by
// their number and may be used by whoever owns the group, also when the
// platform is away. The others are borrowed: a unit is a record in the
// platform's service under the borrower's lease, and counts only while that
// lease is held by the borrower's monotonic clock, less its margin. A record
// that was given up, or may have been, is never used again.
//
// The package holds no clock, no goroutine and no lock.
package ggsshare

import ggscore "greengageslip/core"

// staticPart is small, since a static unit lies idle while its group loads
// nothing; without any, a group that is cut off could load nothing at all.
const staticPart = 0.25

// A Unit numbers a borrowed unit.
type Unit int

// Wanted stands for no unit: its record says that a borrower found none free.
const Wanted Unit = -1

// A Plan cuts the limits into units. The zero Plan has none.
type Plan struct {
	limit  ggscore.LoadShare
	groups int
}

// NewPlan returns the plan for a number of groups.
func NewPlan(limit ggscore.LoadShare, groups int) Plan {
	return Plan{limit: limit, groups: max(groups, 0)}
}

// Borrowed returns the number of units that are borrowed.
func (p Plan) Borrowed() int {
	n := max(p.limit.InTransit, 0)
	for g := range min(p.groups, n) {
		n -= p.Static(g)
	}
	return n
}

// Share returns what a number of units allows.
func (p Plan) Share(units int) ggscore.LoadShare {
	if p.limit.InTransit <= 0 {
		return ggscore.LoadShare{}
	}
	part := float64(units) / float64(p.limit.InTransit)
	return ggscore.LoadShare{LoadsPerSecond: p.limit.LoadsPerSecond * part, InTransit: units}
}

// Static returns the number of units that belong to a group. Where there are
// more groups than static units, the first groups have one and the rest none;
// groups are numbered across the domains in turn, so that each domain has some.
func (p Plan) Static(group int) int {
	if group < 0 || group >= p.groups {
		return 0
	}
	units := int(staticPart * float64(max(p.limit.InTransit, 0)))
	if units < p.groups {
		if group < units {
			return 1
		}
		return 0
	}
	return units / p.groups
}
