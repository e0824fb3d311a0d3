package ggsmember

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	ggscore "greengageslip/core"
)

// domain is a failure domain's members and the heartbeats between them.
type domain struct {
	now    time.Time
	tables []*Table
	// cut says which members can't reach others.
	cut map[int]bool
	// lost draws whether a heartbeat is lost.
	lost func() bool
	sent int
}

func member(i, life int) Member {
	return Member{
		VM:          ggscore.VMID(fmt.Sprintf("vm%03d", i)),
		Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 7000),
		Incarnation: fmt.Sprintf("00000000-%04d-7000-8000-%012d", life, i),
	}
}

func newDomain(n int) *domain {
	d := &domain{now: time.Unix(1_800_000_000, 0), cut: map[int]bool{}, lost: func() bool { return false }}
	var vms []ggscore.VM
	for i := range n {
		m := member(i, 0)
		vms = append(vms, ggscore.VM{ID: m.VM, Addr: m.Addr})
		d.tables = append(d.tables, NewTable(m, DefaultLimits()))
	}
	for _, t := range d.tables {
		t.SetListed(d.now, vms)
	}
	return d
}

func (d *domain) beat(i int) {
	t := d.tables[i]
	to := t.Targets(d.now)
	h := t.Beat(d.now)
	for _, a := range to {
		j := int(a.Addr.Addr().As4()[3])
		h.Watch = a.Watch
		d.sent++
		if !d.cut[i] && !d.cut[j] && !d.lost() {
			d.tables[j].Receive(d.now, t.self.Addr, h)
		}
	}
}

// pass lets time pass, in steps of a quarter of a heartbeat's time, in which
// members with news send at once.
func (d *domain) pass(span time.Duration) {
	const steps = 4
	for range steps * int(span/time.Second) {
		d.now = d.now.Add(time.Second / steps)
		for i, t := range d.tables {
			if t.Urgent() || int(d.now.UnixMilli()/(1000/steps))%steps == i%steps {
				d.beat(i)
			}
		}
	}
}

// see returns what a member knows of the second, or nil.
func (d *domain) see(i int) *Member {
	for _, m := range d.tables[i].Members(d.now) {
		if m.VM == member(1, 0).VM {
			return &m
		}
	}
	return nil
}

// An agency's requests are still sent to a VM that is about to go: the
// platform's list lags, or the platform is away. Every member knows within 3 s
// from heartbeats alone, at all sizes, also when a fifth of them is lost.
func TestLeavingIsKnownWithin3s(t *testing.T) {
	t.Parallel()
	for name, n := range map[string]int{"3 members": 3, "9 members": 9, "10 members": 10, "100 members": 100} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			d := newDomain(n)
			r := rand.New(rand.NewPCG(1, uint64(n)))
			d.lost = func() bool { return r.IntN(5) == 0 }
			d.pass(3 * time.Second)
			d.tables[1].SetSelf(true, 0)
			d.pass(3 * time.Second)
			for i := range d.tables {
				m := d.see(i)
				c.Assert(m, qt.IsNotNil, qt.Commentf("seen by %d", i))
				c.Assert(m.Leaving, qt.IsTrue, qt.Commentf("seen by %d", i))
			}
		})
	}
}

// A VM dies and its requests go on being sent to it. All others know it after
// the silence and the time that news takes, and nobody else is lost.
func TestDeadMemberIsGone(t *testing.T) {
	t.Parallel()
	for name, n := range map[string]int{"3 members": 3, "100 members": 100} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			d := newDomain(n)
			d.pass(5 * time.Second)
			d.cut[1] = true
			d.pass(9 * time.Second)
			for i := range d.tables {
				if i == 1 {
					continue
				}
				c.Assert(d.see(i), qt.IsNil, qt.Commentf("seen by %d", i))
				c.Assert(d.tables[i].Members(d.now), qt.HasLen, n-1)
			}
			d.cut[1] = false
			d.pass(9 * time.Second)
			for i := range d.tables {
				c.Assert(d.see(i), qt.IsNotNil, qt.Commentf("seen by %d", i))
			}
		})
	}
}

// A leaving VM gets new work again: a reading of the list from before it was
// leaving came later than its heartbeat, or an old heartbeat was late.
func TestLeavingIsNeverTakenBack(t *testing.T) {
	t.Parallel()
	for name, undo := range map[string]func(*Table, time.Time, Heartbeat){
		"lagging list": func(t *Table, now time.Time, _ Heartbeat) {
			t.SetListed(now, []ggscore.VM{{ID: member(1, 0).VM, State: ggscore.VMLive}})
		},
		"late heartbeat": func(t *Table, now time.Time, old Heartbeat) { t.Receive(now, member(1, 0).Addr, old) },
		"older life": func(t *Table, now time.Time, old Heartbeat) {
			old.Sender.Incarnation = "00000000-0000-7000-7000-000000000000"
			old.Sender.Sequence = 1 << 40
			t.Receive(now, member(1, 0).Addr, old)
		},
		"news": func(t *Table, now time.Time, old Heartbeat) {
			t.Receive(now, member(2, 0).Addr, Heartbeat{Sender: member(2, 0), News: []Member{old.Sender}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			d := newDomain(3)
			old := d.tables[1].Beat(d.now)
			d.tables[1].SetSelf(true, 0)
			d.beat(1)
			c.Assert(d.see(0).Leaving, qt.IsTrue)
			undo(d.tables[0], d.now, old)
			c.Assert(d.see(0).Leaving, qt.IsTrue)
			d.tables[0].Receive(d.now, member(1, 1).Addr, Heartbeat{Sender: member(1, 1)})
			c.Assert(d.see(0).Leaving, qt.IsFalse)
		})
	}
}

// A VM that the platform is about to take away gets new work, since its own
// process doesn't know yet. The list says so, and heartbeats carry it on.
func TestListedLeavingWins(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDomain(3)
	d.pass(2 * time.Second)
	d.tables[0].SetListed(d.now, []ggscore.VM{
		{ID: member(1, 0).VM, Addr: member(1, 0).Addr, State: ggscore.VMLeaving},
		{ID: member(2, 0).VM, Addr: member(2, 0).Addr},
	})
	c.Assert(d.see(0).Leaving, qt.IsTrue)
	d.pass(2 * time.Second)
	c.Assert(d.see(2).Leaving, qt.IsTrue)
}

// A member that starts while the platform is away sees few others, and the
// work of the rest goes to the wrong VMs: it knows all from two of them.
func TestStartWithoutTheList(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDomain(40)
	d.pass(3 * time.Second)
	d.tables[39] = NewTable(member(39, 1), DefaultLimits())
	for i := range 2 {
		d.tables[39].Receive(d.now, member(i, 0).Addr, Heartbeat{Sender: member(i, 0)})
	}
	d.pass(30 * time.Second)
	c.Assert(d.tables[39].Members(d.now), qt.HasLen, 40)
}

// A VM gets new work for a second after it said that it is leaving, since that
// went to its few monitors only. The next heartbeat goes to all.
func TestLeavingIsToldToAll(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDomain(100)
	d.pass(2 * time.Second)
	c.Assert(len(d.tables[1].Targets(d.now)) < 20, qt.IsTrue)
	d.tables[1].SetSelf(true, 0)
	d.beat(1)
	for i := range d.tables {
		c.Assert(d.see(i).Leaving, qt.IsTrue)
	}
}

// A live VM stays out of the membership, since one member missed a few of its
// heartbeats. Told that it is gone, it says at once that it isn't.
func TestLiveMemberRefutes(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDomain(100)
	d.pass(2 * time.Second)
	word := *d.see(0)
	word.Gone = true
	for _, t := range d.tables {
		t.Receive(d.now, member(0, 0).Addr, Heartbeat{Sender: member(0, 0), News: []Member{word}})
	}
	c.Assert(d.see(2), qt.IsNil)
	c.Assert(d.tables[1].Urgent(), qt.IsTrue)
	d.beat(1)
	for i := range d.tables {
		c.Assert(d.see(i), qt.IsNotNil)
	}
}

// A dead VM gets work again: news of it from before its death came later than
// the word that it is gone, to a member that knew less of it.
func TestOldNewsDoesNotRevive(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDomain(20)
	d.tables[0].Receive(d.now, member(1, 0).Addr, Heartbeat{Sender: member(1, 0)})
	gone, old := member(1, 0), member(1, 0)
	gone.Sequence, gone.Gone, old.Sequence = 9, true, 8
	for _, m := range []Member{gone, old} {
		d.tables[0].Receive(d.now, member(2, 0).Addr, Heartbeat{Sender: member(2, 0), News: []Member{m}})
	}
	c.Assert(d.see(0), qt.IsNil)
}

// Live VMs drop out of the membership again and again for a minute after two
// others had been cut off for a moment: each worked out whose monitor it was
// from its own view, and missed members that sent elsewhere. Found by
// TestMembershipUnderFaults, seed 2478101328009285172.
func TestViewsSettleAfterACut(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDomain(18)
	d.cut[6] = true
	d.pass(4 * time.Second)
	d.cut[12] = true
	d.pass(5 * time.Second)
	d.cut = map[int]bool{}
	d.pass(5 * time.Second)
	for range 30 {
		d.pass(time.Second)
		for i := range d.tables {
			c.Assert(d.tables[i].Members(d.now), qt.HasLen, 18, qt.Commentf("seen by %d", i))
		}
	}
}

// A VM is given up though it lives, or a dead one comes back for good: events
// arrive in any order, more than once, late or never.
func TestMembershipUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 3, 3, 18}).Draw(t, "n")
		d := newDomain(n)
		leaving := map[int]bool{}
		for range rapid.IntRange(2, 10).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "member")
			switch rapid.SampledFrom([]string{"cut", "heal", "leave", "pass", "list"}).Draw(t, "action") {
			case "cut":
				d.cut[i] = true
			case "heal":
				delete(d.cut, i)
			case "leave":
				d.tables[i].SetSelf(true, 0)
				leaving[i] = true
			case "list":
				m := member(i, 0)
				d.tables[0].SetListed(d.now, []ggscore.VM{{ID: m.VM, Addr: m.Addr}})
			case "pass":
				d.pass(time.Duration(rapid.IntRange(1, 8).Draw(t, "s")) * time.Second)
			}
		}
		d.cut = map[int]bool{}
		d.pass(40 * time.Second)
		for i := range d.tables {
			members := d.tables[i].Members(d.now)
			for j, m := range members {
				if m.VM != member(j, 0).VM || m.Leaving != leaving[j] {
					t.Fatalf("member %d knows of %d: %+v, leaving %t", i, j, m, leaving[j])
				}
			}
			if len(members) != n {
				t.Fatalf("member %d knows %d members: %+v", i, len(members), members)
			}
		}
	})
}

func BenchmarkBeat(b *testing.B) {
	for _, n := range []int{16, 100, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := newDomain(1)
			var vms []ggscore.VM
			for i := range n {
				m := member(i, 0)
				vms = append(vms, ggscore.VM{ID: m.VM, Addr: m.Addr})
			}
			d.tables[0].SetListed(d.now, vms)
			b.ReportAllocs()
			for b.Loop() {
				d.tables[0].Targets(d.now)
				d.tables[0].Beat(d.now)
			}
		})
	}
}
