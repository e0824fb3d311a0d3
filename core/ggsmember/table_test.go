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

// A domain simulates the members of a failure domain and the heartbeats between them.
type domain struct {
	now    time.Time
	tables []*Table
	// isolated holds the members that can't reach others.
	isolated map[int]bool
	// lost returns whether to drop the next heartbeat.
	lost func() bool
	sent int
}

func member(i, incarnation int) Member {
	return Member{
		VM:          ggscore.VMID(fmt.Sprintf("vm%03d", i)),
		Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 7000),
		Incarnation: fmt.Sprintf("00000000-%04d-7000-8000-%012d", incarnation, i),
	}
}

func newDomain(n int) *domain {
	d := &domain{now: time.Unix(1_800_000_000, 0), isolated: map[int]bool{}, lost: func() bool { return false }}
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

func (d *domain) sendHeartbeat(i int) {
	t := d.tables[i]
	to := t.Targets(d.now)
	h := t.NextHeartbeat(d.now)
	for _, a := range to {
		j := int(a.Addr.Addr().As4()[3])
		h.Monitor = a.Monitor
		d.sent++
		if !d.isolated[i] && !d.isolated[j] && !d.lost() {
			d.tables[j].Receive(d.now, t.self.Addr, h)
		}
	}
}

// advance advances the time in steps of a quarter of the heartbeat interval. Members with an
// urgent update send a heartbeat in each step.
func (d *domain) advance(span time.Duration) {
	const steps = 4
	for range steps * int(span/time.Second) {
		d.now = d.now.Add(time.Second / steps)
		for i, t := range d.tables {
			if t.Urgent() || int(d.now.UnixMilli()/(1000/steps))%steps == i%steps {
				d.sendHeartbeat(i)
			}
		}
	}
}

// view returns what member i knows of member 1, or nil.
func (d *domain) view(i int) *Member {
	for _, m := range d.tables[i].Members(d.now) {
		if m.VM == member(1, 0).VM {
			return &m
		}
	}
	return nil
}

// Guards against requests that are sent to a leaving VM because the platform's list lags or the
// platform is unreachable. All members know it within 3 s from heartbeats alone, at each size of
// the domain and with 20% of the heartbeats lost.
func TestLeavingIsKnownWithin3s(t *testing.T) {
	t.Parallel()
	for name, n := range map[string]int{"3 members": 3, "9 members": 9, "10 members": 10, "100 members": 100} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			d := newDomain(n)
			r := rand.New(rand.NewPCG(1, uint64(n)))
			d.lost = func() bool { return r.IntN(5) == 0 }
			d.advance(3 * time.Second)
			d.tables[1].SetSelf(true, 0)
			d.advance(3 * time.Second)
			for i := range d.tables {
				m := d.view(i)
				c.Assert(m, qt.IsNotNil, qt.Commentf("seen by %d", i))
				c.Assert(m.Leaving, qt.IsTrue, qt.Commentf("seen by %d", i))
			}
		})
	}
}

// Guards against requests that are sent to a failed VM. All others mark it as gone after the
// timeout and the time that updates take to spread, and mark no other member as gone.
func TestFailedMemberIsGone(t *testing.T) {
	t.Parallel()
	for name, n := range map[string]int{"3 members": 3, "100 members": 100} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			d := newDomain(n)
			d.advance(5 * time.Second)
			d.isolated[1] = true
			d.advance(9 * time.Second)
			for i := range d.tables {
				if i == 1 {
					continue
				}
				c.Assert(d.view(i), qt.IsNil, qt.Commentf("seen by %d", i))
				c.Assert(d.tables[i].Members(d.now), qt.HasLen, n-1)
			}
			d.isolated[1] = false
			d.advance(9 * time.Second)
			for i := range d.tables {
				c.Assert(d.view(i), qt.IsNotNil, qt.Commentf("seen by %d", i))
			}
		})
	}
}

// Guards against new work for a leaving VM because a stale list, a late heartbeat or an older
// incarnation arrives after the heartbeat with the leaving state.
func TestLeavingIsFinal(t *testing.T) {
	t.Parallel()
	for name, undo := range map[string]func(*Table, time.Time, Heartbeat){
		"lagging list": func(t *Table, now time.Time, _ Heartbeat) {
			t.SetListed(now, []ggscore.VM{{ID: member(1, 0).VM, State: ggscore.VMLive}})
		},
		"late heartbeat": func(t *Table, now time.Time, old Heartbeat) { t.Receive(now, member(1, 0).Addr, old) },
		"older incarnation": func(t *Table, now time.Time, old Heartbeat) {
			old.Sender.Incarnation = "00000000-0000-7000-7000-000000000000"
			old.Sender.Sequence = 1 << 40
			t.Receive(now, member(1, 0).Addr, old)
		},
		"update from another member": func(t *Table, now time.Time, old Heartbeat) {
			t.Receive(now, member(2, 0).Addr, Heartbeat{Sender: member(2, 0), Updates: []Member{old.Sender}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			d := newDomain(3)
			old := d.tables[1].NextHeartbeat(d.now)
			d.tables[1].SetSelf(true, 0)
			d.sendHeartbeat(1)
			c.Assert(d.view(0).Leaving, qt.IsTrue)
			undo(d.tables[0], d.now, old)
			c.Assert(d.view(0).Leaving, qt.IsTrue)
			d.tables[0].Receive(d.now, member(1, 1).Addr, Heartbeat{Sender: member(1, 1)})
			c.Assert(d.view(0).Leaving, qt.IsFalse)
		})
	}
}

// Guards against new work for a VM that is leaving according to the platform's list, but whose own
// process doesn't know it yet. Members that read the list pass the state on in heartbeats.
func TestListedLeavingOverridesHeartbeats(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDomain(3)
	d.advance(2 * time.Second)
	d.tables[0].SetListed(d.now, []ggscore.VM{
		{ID: member(1, 0).VM, Addr: member(1, 0).Addr, State: ggscore.VMLeaving},
		{ID: member(2, 0).VM, Addr: member(2, 0).Addr},
	})
	c.Assert(d.view(0).Leaving, qt.IsTrue)
	d.advance(2 * time.Second)
	c.Assert(d.view(2).Leaving, qt.IsTrue)
}

// Guards against an incomplete view, and so work for the wrong VMs, at a member that starts while
// the platform is unreachable. It learns of all members from heartbeats of two of them.
func TestStartWithoutPlatformList(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDomain(40)
	d.advance(3 * time.Second)
	d.tables[39] = NewTable(member(39, 1), DefaultLimits())
	for i := range 2 {
		d.tables[39].Receive(d.now, member(i, 0).Addr, Heartbeat{Sender: member(i, 0)})
	}
	d.advance(30 * time.Second)
	c.Assert(d.tables[39].Members(d.now), qt.HasLen, 40)
}

// Guards against new work for a leaving VM in the second after its heartbeat, if that heartbeat
// went only to its few monitors. The next heartbeat goes to all members.
func TestLeavingHeartbeatGoesToAll(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDomain(100)
	d.advance(2 * time.Second)
	c.Assert(len(d.tables[1].Targets(d.now)) < 20, qt.IsTrue)
	d.tables[1].SetSelf(true, 0)
	d.sendHeartbeat(1)
	for i := range d.tables {
		c.Assert(d.view(i).Leaving, qt.IsTrue)
	}
}

// Guards against a live VM that stays out of the membership because one member missed a few of its
// heartbeats. It immediately refutes the update that marks it as gone.
func TestLiveMemberRefutes(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDomain(100)
	d.advance(2 * time.Second)
	update := *d.view(0)
	update.Failed = true
	for _, t := range d.tables {
		t.Receive(d.now, member(0, 0).Addr, Heartbeat{Sender: member(0, 0), Updates: []Member{update}})
	}
	c.Assert(d.view(2), qt.IsNil)
	c.Assert(d.tables[1].Urgent(), qt.IsTrue)
	d.sendHeartbeat(1)
	for i := range d.tables {
		c.Assert(d.view(i), qt.IsNotNil)
	}
}

// Guards against work for a failed VM: an older state of it arrives after the update that marks
// it as gone, at a member whose state of it was older still.
func TestOldUpdateDoesNotRevive(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDomain(20)
	d.tables[0].Receive(d.now, member(1, 0).Addr, Heartbeat{Sender: member(1, 0)})
	gone, old := member(1, 0), member(1, 0)
	gone.Sequence, gone.Failed, old.Sequence = 9, true, 8
	for _, m := range []Member{gone, old} {
		d.tables[0].Receive(d.now, member(2, 0).Addr, Heartbeat{Sender: member(2, 0), Updates: []Member{m}})
	}
	c.Assert(d.view(0), qt.IsNil)
}

// Guards against live VMs that repeatedly count as gone for a minute after a brief partition of two
// others: each member computed from its own view whom it monitors, and marked members as gone whose
// heartbeats went to other monitors. Found by TestMembershipUnderFaults, seed 2478101328009285172.
func TestViewsConvergeAfterPartition(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDomain(18)
	d.isolated[6] = true
	d.advance(4 * time.Second)
	d.isolated[12] = true
	d.advance(5 * time.Second)
	d.isolated = map[int]bool{}
	d.advance(5 * time.Second)
	for range 30 {
		d.advance(time.Second)
		for i := range d.tables {
			c.Assert(d.tables[i].Members(d.now), qt.HasLen, 18, qt.Commentf("seen by %d", i))
		}
	}
}

// Guards against views that still mark live members as gone, or miss leaving members, 40 s after
// random sequences of partitions, departures and list readings.
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
				d.isolated[i] = true
			case "heal":
				delete(d.isolated, i)
			case "leave":
				d.tables[i].SetSelf(true, 0)
				leaving[i] = true
			case "list":
				m := member(i, 0)
				d.tables[0].SetListed(d.now, []ggscore.VM{{ID: m.VM, Addr: m.Addr}})
			case "pass":
				d.advance(time.Duration(rapid.IntRange(1, 8).Draw(t, "s")) * time.Second)
			}
		}
		d.isolated = map[int]bool{}
		d.advance(40 * time.Second)
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
				d.tables[0].NextHeartbeat(d.now)
			}
		})
	}
}
