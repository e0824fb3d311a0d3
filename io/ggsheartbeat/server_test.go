package ggsheartbeat

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/google/uuid"
	"go.uber.org/goleak"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsmember"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const domain = ggscore.Domain("cr-central-a")

// node is a Server that runs until the test ends or stop is called.
type node struct {
	*Server
	addr    netip.AddrPort
	changes chan struct{}
	stop    func()
}

func newNode(c *qt.C, vm ggscore.VMID, seeds ...netip.AddrPort) *node {
	ctx, cancel := context.WithCancel(context.Background())
	conn, err := Listen(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
	c.Assert(err, qt.IsNil)
	a, ok := conn.LocalAddr().(*net.UDPAddr)
	c.Assert(ok, qt.IsTrue)
	o := DefaultOptions(domain)
	o.Seeds = seeds
	self := ggsmember.Member{VM: vm, Incarnation: uuid.Must(uuid.NewV7()).String()}
	n := &node{
		Server:  New(conn, self, time.Now, o, log.NewNopLogger()), //nolint:forbidigo // The test uses the real clock.
		addr:    a.AddrPort(),
		changes: make(chan struct{}, 1),
	}
	n.Subscribe(func() {
		select {
		case n.changes <- struct{}{}:
		default:
		}
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(ctx)
	}()
	n.stop = func() { cancel(); <-done }
	c.Cleanup(n.stop)
	return n
}

// await waits until the members are as wanted. Each is written as its VM ID, a star if it is
// leaving, and its revision.
func (n *node) await(c *qt.C, want ...string) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for {
		var have []string
		for _, m := range n.Members() {
			star := ""
			if m.Leaving {
				star = "*"
			}
			have = append(have, fmt.Sprintf("%s%s@%d", m.VM, star, m.Revision))
		}
		if fmt.Sprint(have) == fmt.Sprint(want) {
			return
		}
		select {
		case <-n.changes:
		case <-ctx.Done():
			c.Fatalf("members %v, want %v", have, want)
		}
	}
}

// Guards against new work for a VM that is leaving or was killed. While the platform is
// unreachable, only heartbeats report this to the other members.
func TestMembershipOverUDP(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	a := newNode(c, "vm-a")
	b := newNode(c, "vm-b", a.addr)
	d := newNode(c, "vm-d", a.addr)
	d.SetSelf(false, 7)
	a.await(c, "vm-a@0", "vm-b@0", "vm-d@7")
	b.await(c, "vm-a@0", "vm-b@0", "vm-d@7")
	start := time.Now() //nolint:forbidigo // The bound of 3 s is in real time.
	d.SetSelf(true, 7)
	a.await(c, "vm-a@0", "vm-b@0", "vm-d*@7")
	b.await(c, "vm-a@0", "vm-b@0", "vm-d*@7")
	c.Assert(time.Since(start) < 3*time.Second, qt.IsTrue) //nolint:forbidigo // As above.
	d.stop()
	a.await(c, "vm-a@0", "vm-b@0")
}

// Guards against malformed or misdirected datagrams that panic the process or add a member.
func TestBadDatagramsAreDropped(t *testing.T) {
	t.Parallel()
	good := encode(domain, ggsmember.Heartbeat{Sender: ggsmember.Member{VM: "vm-b"}})
	for name, bad := range map[string][]byte{
		"empty":         {},
		"version":       append([]byte{9}, good[1:]...),
		"cut short":     good[:len(good)-1],
		"trailing":      append(append([]byte{}, good...), 0),
		"other domain":  encode("perth-a", ggsmember.Heartbeat{Sender: ggsmember.Member{VM: "vm-b"}}),
		"no VM ID":      encode(domain, ggsmember.Heartbeat{}),
		"many updates":  append(append([]byte{}, good[:len(good)-1]...), 0xff, 0xff, 3),
		"unknown flags": func() []byte { b := append([]byte{}, good...); b[5] = 0x80; return b }(),
		"too long":      make([]byte, maxDatagramBytes+1),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := decode(domain, bad)
			var e *BadDatagramError
			qt.Assert(t, err, qt.ErrorAs, &e)
		})
	}
}

func FuzzDecode(f *testing.F) {
	m := ggsmember.Member{
		VM: "vm-b", Addr: netip.MustParseAddrPort("127.0.0.1:7000"), Leaving: true, Sequence: 3, Revision: 4,
		Incarnation: "01900000-0000-7000-8000-000000000001",
	}
	f.Add(encode(domain, ggsmember.Heartbeat{Sender: m, Monitor: true, Updates: []ggsmember.Member{m}}))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		h, err := decode(domain, datagram)
		if err != nil {
			return
		}
		again, err := decode(domain, encode(domain, h))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again.Sender, qt.Equals, h.Sender)
		qt.Assert(t, again.Updates, qt.HasLen, len(h.Updates))
	})
}

// headerBytes is the size of the headers of IPv4 and UDP.
const headerBytes = 28

// traffic returns the bytes per second that a member sends and receives on average, headers
// included, in a domain of n members. One member is replaced every minute, which is five times
// the specified rate.
func traffic(n int) float64 {
	const seconds = 90
	now := time.Unix(1_800_000_000, 0)
	member := func(i, run int) ggsmember.Member {
		return ggsmember.Member{
			VM:          ggscore.VMID(fmt.Sprintf("cr-central-a-%03d", i)),
			Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000),
			Incarnation: fmt.Sprintf("01900000-%04d-7000-8000-%012d", run, i),
			Sequence:    1 << 14, Revision: 1 << 20,
		}
	}
	var tables []*ggsmember.Table
	var vms []ggscore.VM
	for i := range n {
		tables = append(tables, ggsmember.NewTable(member(i, 0), ggsmember.DefaultLimits()))
		vms = append(vms, ggscore.VM{ID: member(i, 0).VM, Addr: member(i, 0).Addr})
	}
	for _, t := range tables {
		t.SetListed(now, vms)
	}
	bytes := 0
	for s := range seconds * 4 {
		now = now.Add(time.Second / 4)
		if s%240 == 239 {
			i := s / 240 % n
			tables[i] = ggsmember.NewTable(member(i, s), ggsmember.DefaultLimits())
			tables[i].SetListed(now, vms)
		}
		for i, t := range tables {
			if !t.Urgent() && s%4 != i%4 {
				continue
			}
			to := t.Targets(now)
			h := t.NextHeartbeat(now)
			for _, a := range to {
				h.Monitor = a.Monitor
				bytes += 2 * (headerBytes + len(encode(domain, h)))
				tables[a.Addr.Addr().As4()[3]].Receive(now, member(i, 0).Addr, h)
			}
		}
	}
	return float64(bytes) / float64(n) / seconds
}

// Guards against control traffic above the bound of 2 KB per second for each node, at the largest
// domain with heartbeats to all members and at the specified 100 members per domain.
func TestTrafficStaysBelow2KB(t *testing.T) {
	t.Parallel()
	for _, n := range []int{3, 9, 10, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			perSecond := traffic(n)
			t.Logf("%d members: %.0f bytes a second a member, sent and received", n, perSecond)
			qt.Check(t, perSecond < 2000, qt.IsTrue, qt.Commentf("%d members: %.0f", n, perSecond))
		})
	}
}
