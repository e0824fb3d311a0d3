package ggsroute

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// A source is another board that a board has read.
type source struct {
	version uint64
	members map[uint32]*sourceMember
}

// A sourceMember is a dispatcher as a source tells of it.
type sourceMember struct {
	entry       *entry
	incarnation string
	gone        bool
}

// Merge takes what has changed on another board, and reports whether it builds
// on what was read of that board; else it is to be read from version zero.
//
// A dispatcher's own board knows each of its changes; one that reads it now
// and then doesn't. If a relay told only what differs from what it knew, a
// reader that had heard something else in between, from another relay, would
// keep that for ever. A relay therefore tells on all that it was told, whether
// it differs or not, and an entry that it was given whole it gives whole.
func (b *Board) Merge(now time.Time, c *Changes) bool {
	s, ok := b.sources[c.Board]
	if !ok || c.From == 0 {
		s = &source{members: map[uint32]*sourceMember{}}
		b.sources[c.Board] = s
	}
	if c.From != s.version {
		return false
	}
	s.version = c.To
	for i := range c.Groups {
		b.mergeGroup(now, s, &c.Groups[i])
	}
	for _, m := range s.members {
		if !m.gone && m.incarnation == m.entry.order.incarnation {
			b.hear(now, m.entry)
		}
	}
	return true
}

// Forget drops a board that is no longer read.
func (b *Board) Forget(board string) { delete(b.sources, board) }

// Version returns how far another board was read.
func (b *Board) Version(board string) uint64 {
	if s, ok := b.sources[board]; ok {
		return s.version
	}
	return 0
}

// hear notes that a dispatcher is alive.
func (b *Board) hear(now time.Time, e *entry) {
	e.heard = now
	if e.gone {
		e.gone = false
		b.version++
		e.version = b.version
	}
}

// mergeGroup takes the change of one dispatcher.
func (b *Board) mergeGroup(now time.Time, s *source, c *GroupChange) {
	m := s.members[c.Number]
	if c.Identity != nil {
		m = &sourceMember{entry: b.entryOf(c.Identity.VM), incarnation: c.Identity.Incarnation}
		s.members[c.Number] = m
	}
	if m == nil {
		return
	}
	m.gone = c.Gone
	news := ggscore.DispatcherSummary{Incarnation: m.incarnation, Sequence: c.Sequence, Leaving: c.Leaving}
	if !m.entry.order.accept(&news, now.Sub(m.entry.heard) >= b.maxAge) {
		return
	}
	b.version++
	m.entry.version = b.version
	if c.Identity != nil {
		m.entry.identity = *c.Identity
		m.entry.floor = b.version
		m.entry.pools = nil
	}
	for i := range c.Pools {
		m.entry.merge(b.version, &c.Pools[i])
	}
}

// merge takes the change of one pool as it was told.
func (e *entry) merge(version uint64, c *PoolChange) {
	p := e.pool(c.Service)
	homes := p.change.Homes
	if c.Homes != nil {
		homes = slices.Clone(c.Homes)
		p.homesAt = version
	}
	p.change = *c
	p.change.Homes = homes
	p.change.Held = nil
	p.version = version
	for _, h := range c.Held {
		p.held[h.Adapter] = heldAt{Holding: h, version: version}
	}
	e.trim(p)
}
