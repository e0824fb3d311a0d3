package ggsroute

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// A source is the state of another board whose changes are merged.
type source struct {
	version uint64
	members map[uint32]*sourceMember
}

// A sourceMember is a dispatcher as a source describes it.
type sourceMember struct {
	entry       *entry
	incarnation string
	gone        bool
}

// Merge applies changes of another board. It returns false if the changes don't
// start at the version that was last read of the other board; the caller then
// reads that board again from version zero.
//
// A relay polls a dispatcher's board and may skip states in between. If a relay
// forwarded only the values that differ from its own copy, a reader that received
// such a skipped state from another relay would keep it forever. A relay
// therefore forwards all changes that it receives, also those that leave its own
// copy as it was, and it forwards a whole entry as a whole entry.
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
		b.mergeDispatcher(now, s, &c.Groups[i])
	}
	for _, m := range s.members {
		if !m.gone && m.incarnation == m.entry.order.incarnation {
			b.markAlive(now, m.entry)
		}
	}
	return true
}

// RemoveSource deletes the state of a board that is no longer read.
func (b *Board) RemoveSource(board string) { delete(b.sources, board) }

// Version returns the version up to which another board was read, or zero.
func (b *Board) Version(board string) uint64 {
	if s, ok := b.sources[board]; ok {
		return s.version
	}
	return 0
}

// markAlive records that a dispatcher is alive.
func (b *Board) markAlive(now time.Time, e *entry) {
	e.lastSeen = now
	if e.gone {
		e.gone = false
		b.version++
		e.version = b.version
	}
}

// mergeDispatcher merges the change of one dispatcher.
func (b *Board) mergeDispatcher(now time.Time, s *source, c *GroupChange) {
	m := s.members[c.Number]
	if c.Identity != nil {
		m = &sourceMember{entry: b.entryOf(c.Identity.VM), incarnation: c.Identity.Incarnation}
		s.members[c.Number] = m
	}
	if m == nil {
		return
	}
	m.gone = c.Gone
	summary := ggscore.DispatcherSummary{Incarnation: m.incarnation, Sequence: c.Sequence, Leaving: c.Leaving}
	if !m.entry.order.accept(&summary, now.Sub(m.entry.lastSeen) >= b.maxAge) {
		return
	}
	b.version++
	m.entry.version = b.version
	if c.Identity != nil {
		m.entry.identity = *c.Identity
		m.entry.deltaFloor = b.version
		m.entry.pools = nil
	}
	for i := range c.Pools {
		m.entry.merge(b.version, &c.Pools[i])
	}
}

// merge records the change of one pool, whether or not it differs from the state.
func (e *entry) merge(version uint64, c *PoolChange) {
	p := e.pool(c.Service)
	homes := p.change.Homes
	if c.Homes != nil {
		homes = slices.Clone(c.Homes)
		p.homesVersion = version
	}
	p.change = *c
	p.change.Homes = homes
	p.change.Held = nil
	p.version = version
	for _, h := range c.Held {
		p.held[h.Adapter] = versionedHolding{Holding: h, version: version}
	}
	e.trim(p)
}
