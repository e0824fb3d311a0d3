package ggsnode

import (
	"time"

	"github.com/go-kit/log"
	"go.uber.org/fx"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsfleet"
	"greengageslip/io/ggsconfig"
	"greengageslip/io/ggsplatform"
	"greengageslip/io/ggsrpc"
	"greengageslip/io/ggssettings"
	"greengageslip/io/ggsstate"
	"greengageslip/io/ggsvms"
)

// A role is a program's name and the source from which the program reads the document.
type role struct {
	program string
	// peersOnly makes the program read the document only from dispatchers, not from the store.
	peersOnly bool
}

// A clock returns the current time.
type clock func() time.Time

// common provides the parts that dispatcher and gateway share.
func common(r role) fx.Option {
	return fx.Options(
		fx.Provide(
			func(n *ggssettings.Node) *ggsplatform.Client { return ggsplatform.NewClient(n.Platform) },
			func(c *ggsplatform.Client) ggscore.Store { return c },
			newPool, newFollower, newVMs,
			func(n *ggssettings.Node, c clock) *ggsstate.State { return ggsstate.New(r.program, n.VM, c) },
			func() clock { return time.Now }, //nolint:forbidigo // the one clock of a process
			func() role { return r },
		),
	)
}

func newPool(lc fx.Lifecycle) *ggsrpc.Pool {
	p := ggsrpc.NewPool(ggsrpc.PoolOptions{})
	lc.Append(fx.StopHook(p.Close))
	return p
}

func newFollower(n *ggssettings.Node, s ggscore.Store, p *ggsrpc.Pool, m ggsconfig.MemberLister, r role, l log.Logger) *ggsconfig.Follower {
	return ggsconfig.NewFollower(ggsconfig.FollowerOptions{
		Self: n.VM, Domain: n.Domain, Store: s, Peers: ggsconfig.NewPeers(p), Members: m, Logger: l,
		PeersOnly: r.peersOnly, Repair: s,
	})
}

func newVMs(n *ggssettings.Node, c *ggsplatform.Client, p *ggsrpc.Pool, t clock, l log.Logger) *ggsvms.Follower {
	return ggsvms.New(c, ggsvms.NewPeers(p), ggsvms.Options{Interval: n.ListInterval}, t, l)
}

// startFollowers starts following the document, and adds the document and the number of listed
// VMs to the state dump.
func startFollowers(
	h host, n *ggssettings.Node, r role, m ggsconfig.MemberLister, f *ggsconfig.Follower, v *ggsvms.Follower, t *ggsstate.State,
) {
	v.SetMembers(&listMembership{node: n, role: r, members: m})
	h.background("document", f.Run)
	t.AddPart("document", func() any { return f.State() })
	t.AddPart("vms", func() any {
		vms, _ := v.List()
		return len(vms)
	})
	t.AddCounter("revision", func() int64 { return int64(f.Head().Revision) })
}

// A listedMembers lists the dispatchers on the platform's list of VMs, or those of the settings
// while the list is unknown or empty.
type listedMembers struct {
	node *ggssettings.Node
	vms  *ggsvms.Follower
}

var _ ggsconfig.MemberLister = (*listedMembers)(nil)

// Members implements ggsconfig.MemberLister.
func (m *listedMembers) Members() []ggsconfig.Member {
	vms, known := m.vms.List()
	var ms []ggsconfig.Member
	if !known || len(vms) == 0 {
		for _, a := range m.node.Dispatchers {
			ms = append(ms, ggsconfig.Member{VM: ggscore.VMID(a.String()), Domain: m.node.Domain, Addr: a})
		}
		return ms
	}
	for _, v := range ggsfleet.Dispatchers(vms) {
		ms = append(ms, ggsconfig.Member{VM: v.ID, Domain: v.Domain, Addr: v.Addr})
	}
	return ms
}
