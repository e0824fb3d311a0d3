package ggsnode

import (
	"math"
	"slices"
	"time"

	"github.com/go-kit/log"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsschedule"
	"greengageslip/core/ggsshare"
	"greengageslip/io/ggsdispatch"
	"greengageslip/io/ggssettings"
	"greengageslip/io/ggsshares"
)

const (
	// longestLoad is the longest that a load may take, in load times at full
	// speed. A load that is begun at the very end of the borrower's lease and
	// lasts longer is in transit together with the next borrower's, so that
	// the limit may be passed by that one load for the rest of its time. The
	// factor covers a store at a quarter of its speed. A greater one would end
	// the borrowing between renewals where loads are slow: renewals come up to
	// 5/12 of the time to live apart, and the lease counts for 3/4 of it.
	longestLoad = 4
	// clearTime is the time in which the loads that are wanted now are to be
	// begun. By rate alone a unit may take several seconds for a load.
	clearTime = time.Second
)

func newShares(s *ggssettings.Dispatcher, store ggscore.Store, c clock, l log.Logger) *ggsshares.Shares {
	o := ggsshares.DefaultOptions(s.VM)
	o.Seed = uint64(c().UnixNano())
	return ggsshares.New(store, c, o, l)
}

// A sharedScheduler asks for the share of the weight store's limits before each
// event that may order a load.
//
// A dispatcher that woke from a pause had the next event order loads on units
// that others had borrowed meanwhile. A share is therefore never kept from one
// event to the next.
type sharedScheduler struct {
	ggscore.Scheduler
	share func(time.Time) ggscore.LoadShare
	last  ggscore.LoadShare
}

var _ ggscore.Scheduler = (*sharedScheduler)(nil)

func newSharedScheduler(k *ggsschedule.Scheduler, share func(time.Time) ggscore.LoadShare) *sharedScheduler {
	return &sharedScheduler{Scheduler: k, share: share}
}

// Cancel implements ggscore.RequestScheduler.
func (s *sharedScheduler) Cancel(now time.Time, id ggscore.RequestID) []ggscore.Order {
	return s.then(now, func() []ggscore.Order { return s.Scheduler.Cancel(now, id) })
}

// LoadEnded implements ggscore.LoadScheduler.
func (s *sharedScheduler) LoadEnded(now time.Time, id ggscore.EndpointID, a ggscore.AdapterRef, k ggscore.EndKind) []ggscore.Order {
	return s.then(now, func() []ggscore.Order { return s.Scheduler.LoadEnded(now, id, a, k) })
}

// Protect implements ggscore.EndpointScheduler.
func (s *sharedScheduler) Protect(now time.Time, id ggscore.EndpointID, refs []ggscore.AdapterRef) []ggscore.Order {
	return s.then(now, func() []ggscore.Order { return s.Scheduler.Protect(now, id, refs) })
}

// RemoveEndpoint implements ggscore.EndpointScheduler.
func (s *sharedScheduler) RemoveEndpoint(now time.Time, id ggscore.EndpointID) []ggscore.Order {
	return s.then(now, func() []ggscore.Order { return s.Scheduler.RemoveEndpoint(now, id) })
}

// Report implements ggscore.EndpointScheduler.
func (s *sharedScheduler) Report(now time.Time, r ggscore.RunnerReport) []ggscore.Order {
	return s.then(now, func() []ggscore.Order { return s.Scheduler.Report(now, r) })
}

// RequestEnded implements ggscore.RequestScheduler.
func (s *sharedScheduler) RequestEnded(now time.Time, id ggscore.RequestID, e ggscore.EndKind) []ggscore.Order {
	return s.then(now, func() []ggscore.Order { return s.Scheduler.RequestEnded(now, id, e) })
}

// SetEndpoint implements ggscore.EndpointScheduler.
func (s *sharedScheduler) SetEndpoint(now time.Time, e ggscore.Endpoint, m ggscore.OwnerMode) []ggscore.Order {
	return s.then(now, func() []ggscore.Order { return s.Scheduler.SetEndpoint(now, e, m) })
}

// Submit implements ggscore.RequestScheduler.
func (s *sharedScheduler) Submit(now time.Time, r *ggscore.Request) []ggscore.Order {
	return s.then(now, func() []ggscore.Order { return s.Scheduler.Submit(now, r) })
}

// Tick implements ggscore.Scheduler.
func (s *sharedScheduler) Tick(now time.Time) []ggscore.Order {
	return s.then(now, func() []ggscore.Order { return s.Scheduler.Tick(now) })
}

// UnloadEnded implements ggscore.LoadScheduler.
func (s *sharedScheduler) UnloadEnded(now time.Time, id ggscore.EndpointID, a ggscore.AdapterRef, k ggscore.EndKind) []ggscore.Order {
	return s.then(now, func() []ggscore.Order { return s.Scheduler.UnloadEnded(now, id, a, k) })
}

// then passes an event on under the share of now. The scheduler uses its list
// of orders again, so that the first is copied.
func (s *sharedScheduler) then(now time.Time, event func() []ggscore.Order) []ggscore.Order {
	h := s.share(now)
	if h == s.last {
		return event()
	}
	s.last = h
	orders := slices.Clone(s.SetLoadShare(now, h))
	return append(orders, event()...)
}

// setShare brings the share up to date before the endpoints are set: without
// one, nothing is loaded.
func (e *endpoints) setShare(vms []ggscore.VM, d *ggscore.Document, owned []ggsdispatch.OwnedEndpoint) {
	p := &e.parts
	group, plan := planOf(vms, d, p.Settings.Domain)
	if group < 0 {
		p.Shares.SetOwner(false)
		p.Shares.SetDemand(0)
		return
	}
	p.Shares.SetPlan(group, plan)
	id, expires := p.Owners.Lease()
	if !expires.IsZero() {
		expires = expires.Add(-longestLoad * d.Policy.LoadTime)
	}
	p.Shares.SetLease(id, expires)
	p.Shares.SetOwner(slices.ContainsFunc(owned, func(o ggsdispatch.OwnedEndpoint) bool {
		return o.Mode == ggscore.ModeFull
	}))
	loads := 0
	p.Dispatcher.Schedule(func(s ggscore.Scheduler, now time.Time) []ggscore.Order {
		loads = p.Scheduler.Demand()
		return s.Tick(now)
	})
	p.Shares.SetDemand(unitsOf(loads, d.Policy))
}

// planOf cuts the weight store's limits for the domains that have endpoints,
// and returns a domain's number among them, or -1.
func planOf(vms []ggscore.VM, d *ggscore.Document, self ggscore.Domain) (int, ggsshare.Plan) {
	domains := []ggscore.Domain{}
	for i := range vms {
		if vms[i].Role == ggscore.RoleEndpoint {
			domains = append(domains, vms[i].Domain)
		}
	}
	slices.Sort(domains)
	domains = slices.Compact(domains)
	limit := ggscore.LoadShare{LoadsPerSecond: d.Policy.LoadsPerSecond, InTransit: d.Policy.LoadsInTransit}
	return slices.Index(domains, self), ggsshare.NewPlan(limit, len(domains))
}

// unitsOf returns the units that let the wanted loads begin within clearTime.
func unitsOf(loads int, p ggscore.PolicySpec) int {
	if p.LoadsPerSecond <= 0 {
		return loads
	}
	byRate := float64(loads) * float64(p.LoadsInTransit) / (p.LoadsPerSecond * clearTime.Seconds())
	return max(loads, int(math.Ceil(byRate)))
}
