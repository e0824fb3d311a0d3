package ggsroute

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// tombstoneAge is how long the position of a removed dispatcher's last summary is kept. It
// exceeds any delay of a summary in transit.
const tombstoneAge = time.Hour

// A summaryOrder decides which summaries of one dispatcher are newer than those
// accepted before.
type summaryOrder struct {
	incarnation string
	sequence    uint64
	leaving     bool
	// vmLeaving is set if the VM itself is leaving. It applies to all
	// incarnations.
	vmLeaving bool
}

// accept reports whether a summary is newer than those accepted before, and if so
// records its position.
//
// A delayed summary shows an earlier state of the dispatcher. If it were accepted,
// it would make a dispatcher that has left since usable again, and requests sent
// there would be refused. Within an incarnation, summaries are ordered by their
// sequence, and an incarnation that is leaving stays so. Incarnations are ordered
// by name, which is a UUID of version 7 and starts with the time of the process's
// start. If the VM's clock was set back before a restart, the later incarnation
// has the lower name. It is accepted once the last summary of the earlier one is
// stale.
func (o *summaryOrder) accept(s *ggscore.DispatcherSummary, stale bool) bool {
	if s.Incarnation == o.incarnation {
		if s.Sequence <= o.sequence {
			return false
		}
		o.sequence = s.Sequence
		o.leaving = o.leaving || s.Leaving
		return true
	}
	if s.Incarnation < o.incarnation && !stale {
		return false
	}
	o.incarnation = s.Incarnation
	o.sequence = s.Sequence
	o.leaving = s.Leaving || o.vmLeaving
	return true
}

// MarkLeaving marks a dispatcher's VM as leaving. The mark is permanent. Its source is
// the platform's list or a heartbeat, which may arrive before a summary.
func (r *Router) MarkLeaving(vm ggscore.VMID) {
	d := r.dispatcherOf(vm)
	d.order.vmLeaving = true
	d.order.leaving = true
}

// Remove deletes the state of a dispatcher that no longer exists. The position of its last
// summary is kept for tombstoneAge, so that a delayed summary can't make the dispatcher usable
// again.
func (r *Router) Remove(now time.Time, vm ggscore.VMID) {
	r.evictRemoved(now)
	d, ok := r.dispatchers[vm]
	if !ok {
		return
	}
	for _, p := range d.pools {
		p.clear()
		p.finishUpdate(now)
		p.service.removePool(p)
	}
	d.pools = nil
	d.expires = time.Time{}
	d.removed = now
}

// Update applies a dispatcher's summary. It returns false if the summary is older
// than one applied before.
func (r *Router) Update(now time.Time, s *ggscore.DispatcherSummary) bool {
	d := r.dispatcherOf(s.VM)
	if !d.order.accept(s, d.stale(now)) {
		return false
	}
	r.setRegion(d, s.Region)
	d.expires = now.Add(r.options.MaxAge)
	for _, p := range d.pools {
		p.clear()
	}
	for i := range s.Runners {
		r.poolOf(d, s.Runners[i].Service).addRunner(&s.Runners[i])
	}
	for _, p := range d.pools {
		p.finishUpdate(now)
	}
	return true
}

// setRegion records a dispatcher's region and counts the regions.
func (r *Router) setRegion(d *dispatcher, region ggscore.Region) {
	if d.region == region {
		return
	}
	d.region = region
	d.local = region == r.options.Region
	regions := map[ggscore.Region]bool{r.options.Region: true}
	for _, o := range r.dispatchers {
		if o.region != "" {
			regions[o.region] = true
		}
	}
	r.regions = len(regions)
}

// dispatcherOf returns the state of a dispatcher and creates it if there is none.
func (r *Router) dispatcherOf(vm ggscore.VMID) *dispatcher {
	d, ok := r.dispatchers[vm]
	if !ok {
		d = &dispatcher{vm: vm}
		r.dispatchers[vm] = d
	}
	d.removed = time.Time{}
	return d
}

// evictRemoved deletes the dispatchers that were removed more than tombstoneAge ago.
func (r *Router) evictRemoved(now time.Time) {
	for vm, d := range r.dispatchers {
		if !d.removed.IsZero() && now.Sub(d.removed) > tombstoneAge {
			delete(r.dispatchers, vm)
		}
	}
}

// removePool removes a pool from the service.
func (s *service) removePool(p *pool) {
	same := func(o *pool) bool { return o == p }
	s.local = slices.DeleteFunc(s.local, same)
	s.remote = slices.DeleteFunc(s.remote, same)
}

// poolOf returns a dispatcher's pool of a service and creates it if there is none.
func (r *Router) poolOf(d *dispatcher, name ggscore.Service) *pool {
	for _, p := range d.pools {
		if p.service.name == name {
			return p
		}
	}
	s := r.serviceOf(name)
	p := &pool{dispatcher: d, service: s, generation: 1}
	d.pools = append(d.pools, p)
	if d.local {
		s.local = append(s.local, p)
	} else {
		s.remote = append(s.remote, p)
	}
	return p
}

// Observe sets the load of the chosen pool, in requests running and queued, as
// reported in a dispatcher's answer.
//
// In a large deployment, boards are read seldom, and each gateway sends a small
// part of all requests. The load in the answers keeps the gateway's state of the
// busiest pools recent without additional messages.
func (r *Router) Observe(c Choice, load int) {
	c.pool.reported = max(load, 0)
	c.pool.unreported = 0
}
