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

// entry is what is known of a member.
type entry struct {
	member Member
	// heard is the last sign of life, and direct the last heartbeat that came
	// from the member itself.
	heard  time.Time
	direct time.Time
	// watched says that the member asked to be missed here.
	watched bool
	// target is how often it still gets heartbeats as a monitor of this
	// member: without end while it is one, a few times more to take leave.
	target int
	listed bool
	// listedLeaving is the list's word, which holds for later lives as well.
	listedLeaving bool
	gone          bool
	// sends is how often its news is still to be sent, and urgent says that it
	// can't wait for the next heartbeat.
	sends  int
	urgent bool
}

// A Table is the membership as one dispatcher knows it.
type Table struct {
	self    Member
	limits  Limits
	entries map[ggscore.VMID]*entry
	// order lists the entries by name, so that equal events give equal orders.
	order []ggscore.VMID
	// next is the place in order of the member that is passed on by turns.
	next int
	// farewells is how many heartbeats still go to all members.
	farewells int
	selfNews  bool
	listKnown bool
}

// NewTable returns a table of the member itself alone.
func NewTable(self Member, l Limits) *Table {
	return &Table{self: self, limits: l, entries: make(map[ggscore.VMID]*entry)}
}

// Beat returns the next heartbeat.
func (t *Table) Beat(now time.Time) Heartbeat {
	t.expire(now)
	t.self.Sequence++
	t.selfNews = false
	if t.farewells > 0 {
		t.farewells--
	}
	h := Heartbeat{Sender: t.self}
	for _, id := range t.order {
		e := t.entries[id]
		if e.sends == 0 || len(h.News) >= t.limits.News {
			continue
		}
		e.sends--
		e.urgent = false
		h.News = append(h.News, e.news())
	}
	if len(h.News) == 0 && t.large() {
		h.News = t.byTurns()
	}
	return h
}

// Members returns those that live, itself among them, in the order of names.
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

// Receive takes a heartbeat that came from an address.
func (t *Table) Receive(now time.Time, from netip.AddrPort, h Heartbeat) {
	s := h.Sender
	s.Addr, s.Gone = from, false
	if s.VM == t.self.VM {
		return
	}
	if e := t.merge(now, s); e != nil {
		e.heard, e.direct, e.watched = now, now, h.Watch
	}
	for _, m := range h.News {
		if m.VM == t.self.VM {
			t.refute(m)
			continue
		}
		t.merge(now, m)
	}
}

// SetListed takes a reading of the platform's list: the live and leaving
// entry VMs of the own domain. It lags, so that it never takes back what a
// heartbeat said.
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
			t.hurry(e)
		}
		if e.member.Incarnation == "" {
			e.member.Leaving, e.member.Addr = leaving, v.Addr
		}
	}
}

// SetSelf says what the member itself is. Leaving is never taken back.
func (t *Table) SetSelf(leaving bool, r ggscore.Revision) {
	if leaving && !t.self.Leaving {
		t.self.Leaving = true
		t.selfNews = true
		// The members that may send new work here are all members: a few
		// heartbeats go to each of them at once.
		t.farewells = t.limits.NewsSends
	}
	t.self.Revision = max(t.self.Revision, r)
}

// Targets returns where to send the next heartbeat. It is called once for each.
func (t *Table) Targets(now time.Time) []Target {
	t.expire(now)
	monitors := t.order
	if t.large() {
		monitors = t.monitors()
	}
	for _, id := range monitors {
		t.entries[id].target = t.limits.NewsSends + 1
	}
	var to []Target
	for _, id := range t.order {
		e := t.entries[id]
		watch := e.target > t.limits.NewsSends
		// A member that is gone but listed is asked on, since it may have been
		// cut off only.
		if (e.target > 0 || t.farewells > 0) && (!e.gone || e.listed) && e.member.Addr.IsValid() {
			to = append(to, Target{Addr: e.member.Addr, Watch: watch})
		}
		e.target = max(0, e.target-1)
	}
	return to
}

// Urgent reports whether there is news that has not been sent yet.
func (t *Table) Urgent() bool {
	if t.selfNews {
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
	e := &entry{member: m, heard: now}
	t.entries[m.VM] = e
	t.order = slices.Sorted(maps.Keys(t.entries))
	return e
}

// byTurns passes one known member on, so that a member that starts while the
// platform is away comes to know all.
func (t *Table) byTurns() []Member {
	for range t.order {
		t.next = (t.next + 1) % len(t.order)
		e := t.entries[t.order[t.next]]
		if !e.gone && e.member.Incarnation != "" {
			return []Member{e.news()}
		}
	}
	return nil
}

// expire marks as gone those of whom no sign of life came in time, and forgets
// those that the list lacks as well.
func (t *Table) expire(now time.Time) {
	forgot := false
	for _, id := range t.order {
		e := t.entries[id]
		long := t.long()
		switch {
		case e.gone:
		case e.watched && now.Sub(e.direct) > t.silence(e):
			e.gone = true
			t.hurry(e)
		// Those whose heartbeats go to others are told of in turns; where
		// that ends, all that heard of them are cut off or gone with them.
		case now.Sub(e.heard) > long:
			e.gone = true
		}
		if e.gone && !e.listed && now.Sub(e.heard) > long {
			delete(t.entries, id)
			forgot = true
		}
	}
	if forgot {
		t.order = slices.Sorted(maps.Keys(t.entries))
	}
}

func (t *Table) silence(e *entry) time.Duration {
	if t.listKnown && !e.listed {
		return t.limits.UnlistedSilence
	}
	return t.limits.Silence
}

// long is how long a member is remembered without a sign of life, so that late
// heartbeats of one that is gone aren't taken for a new one. Turns come round
// once in as many heartbeats as there are members.
func (t *Table) long() time.Duration {
	return max(forgetAfter*t.limits.Silence, forgetTurns*time.Duration(len(t.order))*t.limits.Every)
}

const (
	forgetAfter = 12
	forgetTurns = 2
)

// hurry has news of a member sent at once and more than once.
func (t *Table) hurry(e *entry) {
	e.sends = t.limits.NewsSends
	e.urgent = true
}

func (t *Table) large() bool { return len(t.entries)+1 > t.limits.AllToAll }

// merge takes what was said of a member and returns its entry, or nil where it
// was out of date.
func (t *Table) merge(now time.Time, m Member) *entry {
	e := t.entries[m.VM]
	if e == nil {
		if m.Gone {
			return nil
		}
		e = t.add(m, now)
		e.sends = 1
		return e
	}
	if e.member.Incarnation != m.Incarnation {
		return t.mergeLife(now, e, m)
	}
	if m.Gone {
		if m.Sequence >= e.member.Sequence && !e.gone {
			e.gone = true
			t.hurry(e)
		}
		// News of the member that is older than the word that it is gone must
		// not bring it back, though it is newer than what was known here.
		e.member.Sequence = max(e.member.Sequence, m.Sequence)
		return nil
	}
	changed := m.Leaving && !e.member.Leaving
	if m.Sequence > e.member.Sequence {
		// A member that is heard of again may be sending to others by now.
		e.watched = e.watched && !e.gone
		changed = changed || e.gone
		e.gone = false
		e.heard = now
		e.member.Sequence, e.member.Addr = m.Sequence, m.Addr
	}
	e.member.Leaving = e.member.Leaving || m.Leaving
	e.member.Revision = max(e.member.Revision, m.Revision)
	if changed {
		t.hurry(e)
	}
	return e
}

// mergeLife takes another life of a member. An earlier one is out of date: a
// late heartbeat of a process that has ended would bring it back.
func (t *Table) mergeLife(now time.Time, e *entry, m Member) *entry {
	unknown := e.member.Incarnation == ""
	if m.Gone || m.Incarnation == "" || (!unknown && !Supersedes(m.Incarnation, e.member.Incarnation)) {
		return nil
	}
	m.Leaving = m.Leaving || e.listedLeaving
	e.member, e.gone, e.heard, e.watched = m, false, now, false
	// Nothing goes wrong while a new life is not known everywhere. One sending
	// from each that learns of it is enough, and a restart of all together
	// stays cheap.
	e.sends = 1
	return e
}

// monitors returns those that this member's heartbeats go to.
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

// refute answers a word that this member is gone.
func (t *Table) refute(m Member) {
	if m.Gone && m.Incarnation == t.self.Incarnation {
		t.self.Sequence = max(t.self.Sequence, m.Sequence)
		t.selfNews = true
		t.farewells = max(t.farewells, 1)
	}
}

// news returns what is told of a member.
func (e *entry) news() Member {
	m := e.member
	m.Gone = e.gone
	return m
}
