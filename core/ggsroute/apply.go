package ggsroute

import (
	"time"

	ggscore "greengageslip/core"
)

// A boardState is the router's copy of one board, up to a version.
type boardState struct {
	version uint64
	members map[uint32]*member
}

// A member is a dispatcher as one board describes it.
type member struct {
	dispatcher  *dispatcher
	incarnation string
	gone        bool
}

// Apply applies changes of a board. It returns false if the changes don't start
// at the version that the router has of the board; the caller then reads the
// board again from version zero.
//
// Each answer of a board renews the expiry of all its dispatchers that aren't
// marked as gone: the board itself marks those whose summaries no longer arrive.
// Changes hold whole values and not differences. Changes of several boards can
// therefore be mixed, and those that are older than the router's state are skipped.
func (r *Router) Apply(now time.Time, c *Changes) bool {
	b, ok := r.boards[c.Board]
	if !ok || c.From == 0 {
		b = &boardState{members: map[uint32]*member{}}
		r.boards[c.Board] = b
	}
	if c.From != b.version {
		return false
	}
	b.version = c.To
	for i := range c.Groups {
		r.applyDispatcher(now, b, &c.Groups[i])
	}
	for _, m := range b.members {
		if !m.gone && m.incarnation == m.dispatcher.order.incarnation {
			m.dispatcher.expires = now.Add(r.options.MaxAge)
		}
	}
	return true
}

// RemoveBoard deletes the state of a board that is no longer read.
func (r *Router) RemoveBoard(board string) { delete(r.boards, board) }

// Version returns the version up to which the router has read a board, or zero.
func (r *Router) Version(board string) uint64 {
	if b, ok := r.boards[board]; ok {
		return b.version
	}
	return 0
}

// applyDispatcher applies the change of one dispatcher.
func (r *Router) applyDispatcher(now time.Time, b *boardState, c *GroupChange) {
	m := b.members[c.Number]
	if i := c.Identity; i != nil {
		m = &member{dispatcher: r.dispatcherOf(i.VM), incarnation: i.Incarnation}
		r.setRegion(m.dispatcher, i.Region)
		b.members[c.Number] = m
	}
	if m == nil {
		return
	}
	m.gone = c.Gone
	if c.Gone {
		m.dispatcher.expires = time.Time{}
	}
	s := ggscore.DispatcherSummary{Incarnation: m.incarnation, Sequence: c.Sequence, Leaving: c.Leaving}
	if !m.dispatcher.order.accept(&s, m.dispatcher.stale(now)) {
		return
	}
	for i := range c.Pools {
		r.poolOf(m.dispatcher, c.Pools[i].Service).apply(now, &c.Pools[i], c.Identity != nil)
	}
}

// apply applies the change of one pool. A whole one replaces the earlier state.
func (p *pool) apply(now time.Time, c *PoolChange, whole bool) {
	homes := p.homes
	if whole {
		p.clear()
	} else {
		p.service.loading -= p.loading
		p.unreported = 0
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
	p.distributeLoad()
	if whole || len(c.Held) > 0 {
		p.finishUpdate(now)
		return
	}
	p.service.loading += p.loading
}

// applyHolding applies the change of one adapter.
func (p *pool) applyHolding(h Holding) {
	x := p.ensureHolder(h.Adapter)
	if h.Resident == 0 && !h.Loading {
		x.generation = 0
		x.loading = false
		return
	}
	x.loading = h.Resident == 0
	x.runners = int(h.Resident)
	x.presumedUntil = time.Time{}
}

// distributeLoad gives each holder the part of the pool's slots and load that
// corresponds to the number of its runners.
func (p *pool) distributeLoad() {
	for _, a := range p.held {
		h := a.holder(p)
		h.slots = p.slots * h.runners / max(p.endpoints, 1)
		h.load = p.reported * h.runners / max(p.endpoints, 1)
		h.unreported = 0
	}
}
