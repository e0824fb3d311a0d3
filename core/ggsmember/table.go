package ggsmember

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

// An entry is the local state of another member.
type entry struct {
	member Member
	// lastSeen is when current state of the member last arrived from any sender. lastDirect
	// is when the last heartbeat arrived from the member itself.
	lastSeen   time.Time
	lastDirect time.Time
	// monitored is set if the member requested to be monitored by this one.
	monitored bool
	// sendsAsMonitor is the number of heartbeats still to be sent to the member as a monitor of
	// this VM. It is renewed while the member is selected as a monitor. After that, the
	// remaining heartbeats withdraw the request to monitor this VM.
	sendsAsMonitor int
	listed         bool
	// listedLeaving is the leaving state in the list, which applies to later incarnations too.
	listedLeaving bool
	gone          bool
	// sends is the number of heartbeats that still carry the member's update. urgent says
	// that the update must be sent before the next regular heartbeat.
	sends  int
	urgent bool
}

// A Table is one dispatcher's view of the membership.
type Table struct {
	self    Member
	limits  Limits
	entries map[ggscore.VMID]*entry
	// order lists the entries by VM ID, so that iteration is deterministic.
	order []ggscore.VMID
	// next is the index in order of the member whose state was last sent round-robin.
	next int
	// broadcasts is the number of heartbeats that still go to all members.
	broadcasts int
	selfUrgent bool
	listKnown  bool
}

// NewTable returns a table that contains only self.
func NewTable(self Member, l Limits) *Table {
	return &Table{self: self, limits: l, entries: make(map[ggscore.VMID]*entry)}
}

// NextHeartbeat returns the next heartbeat. It is called once for each heartbeat, after Targets.
func (t *Table) NextHeartbeat(now time.Time) Heartbeat {
	t.expire(now)
	t.self.Sequence++
	t.selfUrgent = false
	if t.broadcasts > 0 {
		t.broadcasts--
	}
	h := Heartbeat{Sender: t.self}
	for _, id := range t.order {
		e := t.entries[id]
		if e.sends == 0 || len(h.Updates) >= t.limits.MaxUpdates {
			continue
		}
		e.sends--
		e.urgent = false
		h.Updates = append(h.Updates, e.update())
	}
	if len(h.Updates) == 0 && t.usesMonitors() {
		h.Updates = t.roundRobin()
	}
	return h
}

// Members returns the members that aren't gone, self included, ordered by VM ID.
func (t *Table) Members(now time.Time) []Member {
	t.expire(now)
	members := []Member{t.self}
	for _, id := range t.order {
		if e := t.entries[id]; !e.gone {
			members = append(members, e.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return members
}

// Receive processes a heartbeat that arrived from an address.
func (t *Table) Receive(now time.Time, from netip.AddrPort, h Heartbeat) {
	s := h.Sender
	s.Addr, s.Failed = from, false
	if s.VM == t.self.VM {
		return
	}
	if e := t.merge(now, s); e != nil {
		e.lastSeen, e.lastDirect, e.monitored = now, now, h.Monitor
	}
	for _, m := range h.Updates {
		if m.VM == t.self.VM {
			t.refute(m)
			continue
		}
		t.merge(now, m)
	}
}

// SetListed processes a reading of the platform's list, which contains the live and leaving
// entry VMs of this domain. The list lags, so it never overrides the leaving state from a
// heartbeat.
func (t *Table) SetListed(now time.Time, vms []ggscore.VM) {
	t.listKnown = true
	for _, e := range t.entries {
		e.listed = false
	}
	for _, v := range vms {
		leaving := v.State == ggscore.VMLeaving
		if v.ID == t.self.VM {
			t.SetSelf(leaving, t.self.Revision)
			continue
		}
		e := t.entries[v.ID]
		if e == nil {
			e = t.add(Member{VM: v.ID, Addr: v.Addr}, now)
		}
		e.listed, e.listedLeaving = true, leaving
		if leaving && !e.member.Leaving {
			e.member.Leaving = true
			t.markUrgent(e)
		}
		if e.member.Incarnation == "" {
			e.member.Leaving, e.member.Addr = leaving, v.Addr
		}
	}
}

// SetSelf sets this member's leaving state and revision. Once set, leaving stays set.
func (t *Table) SetSelf(leaving bool, r ggscore.Revision) {
	if leaving && !t.self.Leaving {
		t.self.Leaving = true
		t.selfUrgent = true
		// Any member may send new work here, so the next few heartbeats go to all of them.
		t.broadcasts = t.limits.UpdateSends
	}
	t.self.Revision = max(t.self.Revision, r)
}

// Targets returns where to send the next heartbeat. It is called once for each heartbeat.
func (t *Table) Targets(now time.Time) []Target {
	t.expire(now)
	monitors := t.order
	if t.usesMonitors() {
		monitors = t.monitors()
	}
	for _, id := range monitors {
		t.entries[id].sendsAsMonitor = t.limits.UpdateSends + 1
	}
	var to []Target
	for _, id := range t.order {
		e := t.entries[id]
		monitor := e.sendsAsMonitor > t.limits.UpdateSends
		// A member that is gone but still listed stays a target, since it may be unreachable
		// only temporarily.
		if (e.sendsAsMonitor > 0 || t.broadcasts > 0) && (!e.gone || e.listed) && e.member.Addr.IsValid() {
			to = append(to, Target{Addr: e.member.Addr, Monitor: monitor})
		}
		e.sendsAsMonitor = max(0, e.sendsAsMonitor-1)
	}
	return to
}

// Urgent reports whether an urgent update hasn't been sent yet, so that a heartbeat is due now.
func (t *Table) Urgent() bool {
	if t.selfUrgent {
		return true
	}
	for _, e := range t.entries {
		if e.urgent {
			return true
		}
	}
	return false
}

func (t *Table) add(m Member, now time.Time) *entry {
	e := &entry{member: m, lastSeen: now}
	t.entries[m.VM] = e
	t.order = slices.Sorted(maps.Keys(t.entries))
	return e
}

// roundRobin returns the state of one known member, a different one each time. A member that
// starts while the platform is unreachable learns of all members this way.
func (t *Table) roundRobin() []Member {
	for range t.order {
		t.next = (t.next + 1) % len(t.order)
		e := t.entries[t.order[t.next]]
		if !e.gone && e.member.Incarnation != "" {
			return []Member{e.update()}
		}
	}
	return nil
}

// expire marks members as gone after their timeout. It removes those that have been gone for
// the retention time and aren't listed.
func (t *Table) expire(now time.Time) {
	removed := false
	for _, id := range t.order {
		e := t.entries[id]
		retention := t.retention()
		switch {
		case e.gone:
		case e.monitored && now.Sub(e.lastDirect) > t.timeout(e):
			e.gone = true
			t.markUrgent(e)
		// This VM knows the state of a member that others monitor from round-robin updates. If
		// that state stops arriving, all members that have newer state of the member are gone or
		// unreachable too.
		case now.Sub(e.lastSeen) > retention:
			e.gone = true
		}
		if e.gone && !e.listed && now.Sub(e.lastSeen) > retention {
			delete(t.entries, id)
			removed = true
		}
	}
	if removed {
		t.order = slices.Sorted(maps.Keys(t.entries))
	}
}

func (t *Table) timeout(e *entry) time.Duration {
	if t.listKnown && !e.listed {
		return t.limits.UnlistedTimeout
	}
	return t.limits.Timeout
}

// retention is how long a member is kept without newer state, so that late heartbeats of one
// that is gone don't add it as a new member. A round of the round-robin updates takes as many
// heartbeats as there are members, so the retention grows with their number.
func (t *Table) retention() time.Duration {
	return max(retentionTimeouts*t.limits.Timeout, retentionRounds*time.Duration(len(t.order))*t.limits.Interval)
}

const (
	retentionTimeouts = 12
	retentionRounds   = 2
)

// markUrgent schedules an update about a member to be sent immediately and repeatedly.
func (t *Table) markUrgent(e *entry) {
	e.sends = t.limits.UpdateSends
	e.urgent = true
}

func (t *Table) usesMonitors() bool { return len(t.entries)+1 > t.limits.AllToAll }

// merge applies a received state of a member and returns its entry, or nil if the state was
// out of date or marks the member as gone.
func (t *Table) merge(now time.Time, m Member) *entry {
	e := t.entries[m.VM]
	if e == nil {
		if m.Failed {
			return nil
		}
		e = t.add(m, now)
		e.sends = 1
		return e
	}
	if e.member.Incarnation != m.Incarnation {
		return t.mergeIncarnation(now, e, m)
	}
	if m.Failed {
		if m.Sequence >= e.member.Sequence && !e.gone {
			e.gone = true
			t.markUrgent(e)
		}
		// A state of the member that was sent before it was marked as gone must not make it live
		// again, even if that state is newer than the one known here.
		e.member.Sequence = max(e.member.Sequence, m.Sequence)
		return nil
	}
	changed := m.Leaving && !e.member.Leaving
	if m.Sequence > e.member.Sequence {
		// A member that was gone may have other monitors now, so its earlier request to be
		// monitored ends.
		e.monitored = e.monitored && !e.gone
		changed = changed || e.gone
		e.gone = false
		e.lastSeen = now
		e.member.Sequence, e.member.Addr = m.Sequence, m.Addr
	}
	e.member.Leaving = e.member.Leaving || m.Leaving
	e.member.Revision = max(e.member.Revision, m.Revision)
	if changed {
		t.markUrgent(e)
	}
	return e
}

// mergeIncarnation applies the state of another incarnation of a member. An earlier
// incarnation is out of date and ignored: a late heartbeat of a process that has ended would
// otherwise make that process live again.
func (t *Table) mergeIncarnation(now time.Time, e *entry, m Member) *entry {
	listedOnly := e.member.Incarnation == ""
	if m.Failed || m.Incarnation == "" || (!listedOnly && !Supersedes(m.Incarnation, e.member.Incarnation)) {
		return nil
	}
	m.Leaving = m.Leaving || e.listedLeaving
	e.member, e.gone, e.lastSeen, e.monitored = m, false, now, false
	// Members that don't know a new incarnation yet cause no harm. One send from each member
	// that learns of it is enough, and keeps a restart of all members at once cheap.
	e.sends = 1
	return e
}

// monitors returns the members that are to monitor this one, by rendezvous hashing.
func (t *Table) monitors() []ggscore.VMID {
	var live []ggscore.VMID
	for _, id := range t.order {
		if !t.entries[id].gone {
			live = append(live, id)
		}
	}
	slices.SortFunc(live, func(a, b ggscore.VMID) int {
		return cmp.Compare(score(t.self.VM, b), score(t.self.VM, a))
	})
	return live[:min(len(live), t.limits.Monitors)]
}

func score(of, monitor ggscore.VMID) uint64 {
	return xxhash.Sum64String(string(of) + "\x00" + string(monitor))
}

// refute handles an update that marks this member as gone.
func (t *Table) refute(m Member) {
	if m.Failed && m.Incarnation == t.self.Incarnation {
		t.self.Sequence = max(t.self.Sequence, m.Sequence)
		t.selfUrgent = true
		t.broadcasts = max(t.broadcasts, 1)
	}
}

// update returns the state of a member to send in heartbeats.
func (e *entry) update() Member {
	m := e.member
	m.Failed = e.gone
	return m
}
