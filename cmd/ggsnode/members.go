package ggsnode

import (
	"context"

	"github.com/go-kit/log"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsfleet"
	"greengageslip/core/ggsmember"
	"greengageslip/io/ggsconfig"
	"greengageslip/io/ggsheartbeat"
	"greengageslip/io/ggssettings"
	"greengageslip/io/ggsvms"
)

// A dispatcherMembers lists the dispatchers of its own domain by their heartbeats, and those of
// other domains by the platform's list.
type dispatcherMembers struct {
	heartbeats *ggsheartbeat.Server
	listed     listedMembers
}

var _ ggsconfig.MemberLister = (*dispatcherMembers)(nil)

func newMembers(n *ggssettings.Node, v *ggsvms.Follower, h *ggsheartbeat.Server) ggsconfig.MemberLister {
	return &dispatcherMembers{heartbeats: h, listed: listedMembers{node: n, vms: v}}
}

// Members implements ggsconfig.MemberLister.
func (m *dispatcherMembers) Members() []ggsconfig.Member {
	var ms []ggsconfig.Member
	own := m.listed.node.Domain
	for _, h := range m.heartbeats.Members() {
		ms = append(ms, ggsconfig.Member{VM: h.VM, Domain: own, Addr: h.Addr})
	}
	for _, l := range m.listed.Members() {
		if l.Domain != own || len(ms) == 0 {
			ms = append(ms, l)
		}
	}
	return ms
}

// newHeartbeats opens the UDP socket of heartbeats, which has the port of the dispatcher's RPC
// address.
func newHeartbeats(s *ggssettings.Dispatcher, i incarnation, t clock, l log.Logger) (*ggsheartbeat.Server, error) {
	c, err := ggsheartbeat.Listen(context.Background(), s.Listen)
	if err != nil {
		return nil, err
	}
	self := ggsmember.Member{VM: s.VM, Addr: s.Listen, Incarnation: string(i)}
	h := ggsheartbeat.New(c, self, t, ggsheartbeat.DefaultOptions(s.Domain), l)
	h.SetListed(seeds(s))
	return h, nil
}

// seeds returns the dispatchers that the settings list. Heartbeats are sent to the seeds before the
// platform's list is known. A seed's own heartbeats contain its VM ID.
func seeds(s *ggssettings.Dispatcher) []ggscore.VM {
	vms := make([]ggscore.VM, 0, len(s.Dispatchers))
	for _, a := range s.Dispatchers {
		if a != s.Listen {
			vms = append(vms, ggscore.VM{ID: ggscore.VMID(a.String()), Role: ggscore.RoleEntry, Domain: s.Domain, Addr: a})
		}
	}
	return ggsfleet.Dispatchers(vms)
}
