package ggsroute

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// tombstoneAge is how long the order of a removed dispatcher's summaries is
// kept. No summary is on its way for that long.
const tombstoneAge = time.Hour

// An order decides which summaries of one dispatcher are news.
type order struct {
	incarnation string
	sequence    uint64
	leaving     bool
	// left is set when the VM itself is leaving, in whatever incarnation.
	left bool
}

// accept reports whether a summary is news, and takes its place in the order.
//
// A summary that was held up on the way shows the dispatcher as it was: taken
// as news, it would bring back one that has left since, and requests would go
// there to be refused. Sequences order one incarnation's summaries, and one
// that is leaving never stops leaving. Incarnations are ordered by their names,
// which begin with the time of their start (a UUID of version 7). Where a
// clock was set back, the later one is the lesser: it is accepted once the
// earlier one has been silent.
func (o *order) accept(s *ggscore.DispatcherSummary, silent bool) bool {
	if s.Incarnation == o.incarnation {
		if s.Sequence <= o.sequence {
			return false
		}
		o.sequence = s.Sequence
		o.leaving = o.leaving || s.Leaving
		return true
	}
	if s.Incarnation < o.incarnation && !silent {
		return false
	}
	o.incarnation = s.Incarnation
	o.sequence = s.Sequence
	o.leaving = s.Leaving || o.left
	return true
}

// Leave marks a dispatcher's VM as leaving, for good: the platform's list or a
// heartbeat said so, perhaps before its summary.
func (r *Router) Leave(vm ggscore.VMID) {
	g := r.groupOf(vm)
	g.order.left = true
	g.order.leaving = true
}

// Remove forgets a dispatcher that is gone. Its place in the order of its
// summaries is kept, so that a late one can't bring it back.
func (r *Router) Remove(now time.Time, vm ggscore.VMID) {
	r.sweep(now)
	g, ok := r.groups[vm]
	if !ok {
		return
	}
	for _, p := range g.pools {
		p.clear()
		p.settle(now)
		p.service.drop(p)
	}
	g.pools = nil
	g.expires = time.Time{}
	g.removed = now
}

// Update takes a dispatcher's summary and reports whether it was news.
func (r *Router) Update(now time.Time, s *ggscore.DispatcherSummary) bool {
	g := r.groupOf(s.VM)
	if !g.order.accept(s, g.silent(now)) {
		return false
	}
	r.place(g, s.Region)
	g.expires = now.Add(r.options.MaxAge)
	for _, p := range g.pools {
		p.clear()
	}
	for i := range s.Runners {
		r.poolOf(g, s.Runners[i].Service).take(&s.Runners[i])
	}
	for _, p := range g.pools {
		p.settle(now)
	}
	return true
}

// place notes where a dispatcher stands.
func (r *Router) place(g *group, region ggscore.Region) {
	if g.region == region {
		return
	}
	g.region = region
	g.local = region == r.options.Region
	regions := map[ggscore.Region]bool{r.options.Region: true}
	for _, o := range r.groups {
		if o.region != "" {
			regions[o.region] = true
		}
	}
	r.regions = len(regions)
}

// groupOf returns the state of a dispatcher, new where there was none.
func (r *Router) groupOf(vm ggscore.VMID) *group {
	g, ok := r.groups[vm]
	if !ok {
		g = &group{vm: vm}
		r.groups[vm] = g
	}
	g.removed = time.Time{}
	return g
}

// sweep forgets the dispatchers that were removed long ago.
func (r *Router) sweep(now time.Time) {
	for vm, g := range r.groups {
		if !g.removed.IsZero() && now.Sub(g.removed) > tombstoneAge {
			delete(r.groups, vm)
		}
	}
}

// drop removes a pool from the service.
func (s *service) drop(p *pool) {
	same := func(o *pool) bool { return o == p }
	s.local = slices.DeleteFunc(s.local, same)
	s.remote = slices.DeleteFunc(s.remote, same)
}

// poolOf returns a dispatcher's pool of a service, new where there was none.
func (r *Router) poolOf(g *group, name ggscore.Service) *pool {
	for _, p := range g.pools {
		if p.service.name == name {
			return p
		}
	}
	s := r.serviceOf(name)
	p := &pool{group: g, service: s, generation: 1}
	g.pools = append(g.pools, p)
	if g.local {
		s.local = append(s.local, p)
	} else {
		s.remote = append(s.remote, p)
	}
	return p
}

// Observe takes a dispatcher's own word on its load, which its answers carry:
// the requests that run and wait on the chosen pool.
//
// Boards are read seldom in a large deployment, and each gateway sends little
// of the whole. The answers that pass through it keep what it knows of the
// busiest pools fresh, without a message of their own.
func (r *Router) Observe(c Choice, load int) {
	c.pool.reported = max(load, 0)
	c.pool.sent = 0
}
