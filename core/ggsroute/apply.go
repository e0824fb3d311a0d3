package ggsroute

import (
	"time"

	ggscore "greengageslip/core"
)

// A view is what the router has read of one board.
type view struct {
	version uint64
	members map[uint32]*member
}

// A member is a dispatcher as one board tells of it.
type member struct {
	group       *group
	incarnation string
	gone        bool
}

// Apply takes what has changed on a board, and reports whether it builds on
// what the router has read of that board; else the board is to be read from
// version zero.
//
// A board's dispatchers count as heard of whenever the board answers: it marks
// those that it has lost itself. Changes hold whole values and not
// differences, so those of a second board, of which some are older than what
// the first told, are taken where they are news and left out where not.
func (r *Router) Apply(now time.Time, c *Changes) bool {
	v, ok := r.boards[c.Board]
	if !ok || c.From == 0 {
		v = &view{members: map[uint32]*member{}}
		r.boards[c.Board] = v
	}
	if c.From != v.version {
		return false
	}
	v.version = c.To
	for i := range c.Groups {
		r.applyGroup(now, v, &c.Groups[i])
	}
	for _, m := range v.members {
		if !m.gone && m.incarnation == m.group.order.incarnation {
			m.group.expires = now.Add(r.options.MaxAge)
		}
	}
	return true
}

// Forget drops a board that is no longer read.
func (r *Router) Forget(board string) { delete(r.boards, board) }

// Version returns how far the router has read a board.
func (r *Router) Version(board string) uint64 {
	if v, ok := r.boards[board]; ok {
		return v.version
	}
	return 0
}

// applyGroup takes the change of one dispatcher.
func (r *Router) applyGroup(now time.Time, v *view, c *GroupChange) {
	m := v.members[c.Number]
	if i := c.Identity; i != nil {
		m = &member{group: r.groupOf(i.VM), incarnation: i.Incarnation}
		r.place(m.group, i.Region)
		v.members[c.Number] = m
	}
	if m == nil {
		return
	}
	m.gone = c.Gone
	if c.Gone {
		m.group.expires = time.Time{}
	}
	s := ggscore.DispatcherSummary{Incarnation: m.incarnation, Sequence: c.Sequence, Leaving: c.Leaving}
	if !m.group.order.accept(&s, m.group.silent(now)) {
		return
	}
	for i := range c.Pools {
		r.poolOf(m.group, c.Pools[i].Service).apply(now, &c.Pools[i], c.Identity != nil)
	}
}

// apply takes the change of one pool. A whole one replaces all that was known.
func (p *pool) apply(now time.Time, c *PoolChange, whole bool) {
	homes := p.homes
	if whole {
		p.clear()
	} else {
		p.service.loading -= p.loading
		p.sent = 0
	}
	p.homes = homes
	if c.Homes != nil {
		p.homes = append(homes[:0], c.Homes...)
	}
	p.slots, p.reported, p.loading = c.Slots, c.Load, c.Loading
	p.endpoints = c.Endpoints
	for _, h := range c.Held {
		p.applyHolding(h)
	}
	p.spread()
	if whole || len(c.Held) > 0 {
		p.settle(now)
		return
	}
	p.service.loading += p.loading
}

// applyHolding takes where one adapter is.
func (p *pool) applyHolding(h Holding) {
	x := p.hold(h.Adapter)
	if h.Resident == 0 && !h.Loading {
		x.generation = 0
		x.loading = false
		return
	}
	x.loading = h.Resident == 0
	x.runners = int(h.Resident)
	x.presumedUntil = time.Time{}
}

// spread gives each holder its runners' part of the pool's load.
func (p *pool) spread() {
	for _, a := range p.held {
		h := a.holder(p)
		h.slots = p.slots * h.runners / max(p.endpoints, 1)
		h.load = p.reported * h.runners / max(p.endpoints, 1)
		h.sent = 0
	}
}
