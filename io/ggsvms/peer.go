package ggsvms

import (
	"context"
	"crypto/sha256"
	"net/netip"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/io/ggsrpc"
)

// ServiceName is the net/rpc service name under which dispatchers serve the list.
const ServiceName = "VMs"

const methodList = ServiceName + ".List"

// A Peer is the address of a dispatcher.
type Peer = netip.AddrPort

// An Answer is a peer's list and the list's age. Known is false if the peer has no list. Same is
// set if the list has the digest of the request; VMs is then empty.
type Answer struct {
	Known bool
	Same  bool
	Age   time.Duration
	VMs   []ggscore.VM
}

// A PeerLister fetches the list of a peer, unless the list has the digest d.
type PeerLister interface {
	VMs(ctx context.Context, p Peer, d ggscore.Digest) (Answer, error)
}

// Peers is a PeerLister that asks dispatchers for their lists of VMs over net/rpc.
type Peers struct{ pool *ggsrpc.Pool }

var _ PeerLister = (*Peers)(nil)

// NewPeers returns a PeerLister over net/rpc.
func NewPeers(p *ggsrpc.Pool) *Peers { return &Peers{pool: p} }

// VMs implements PeerLister.
func (p *Peers) VMs(ctx context.Context, a Peer, d ggscore.Digest) (Answer, error) {
	var r ListReply
	if err := p.pool.Call(ctx, a, methodList, &ListArgs{Digest: d}, &r); err != nil {
		return Answer{}, err
	}
	n := Answer{Known: r.Known, Same: r.Same, Age: r.Age, VMs: make([]ggscore.VM, 0, len(r.VMs))}
	for i := range r.VMs {
		n.VMs = append(n.VMs, r.VMs[i].vm())
	}
	return n, nil
}

// A Service serves the list to peers over net/rpc.
type Service struct{ follower *Follower }

// NewService returns the net/rpc service of f.
func NewService(f *Follower) *Service { return &Service{follower: f} }

// List implements the net/rpc method VMs.List.
func (s *Service) List(a *ListArgs, r *ListReply) error {
	n := s.follower.answer(a.Digest)
	r.Known, r.Same, r.Age = n.Known, n.Same, n.Age
	r.VMs = make([]VMWire, 0, len(n.VMs))
	for i := range n.VMs {
		r.VMs = append(r.VMs, fromVM(&n.VMs[i]))
	}
	return nil
}

// ListArgs has the digest of the caller's list. It and the types below are exported because
// net/rpc requires it.
type ListArgs struct{ Digest [sha256.Size]byte }

// ListReply is the wire form of an Answer.
type ListReply struct {
	Known, Same bool
	Age         time.Duration
	VMs         []VMWire
}

// VMWire is the wire form of a VM.
type VMWire struct {
	ID, Region, Domain, Service string
	Role, State                 int
	Addr                        netip.AddrPort
}

func fromVM(v *ggscore.VM) VMWire {
	return VMWire{
		ID: string(v.ID), Region: string(v.Region), Domain: string(v.Domain), Service: string(v.Service),
		Role: int(v.Role), State: int(v.State), Addr: v.Addr,
	}
}

func (w *VMWire) vm() ggscore.VM {
	return ggscore.VM{
		ID: ggscore.VMID(w.ID), Region: ggscore.Region(w.Region), Domain: ggscore.Domain(w.Domain),
		Service: ggscore.Service(w.Service), Role: ggscore.VMRole(w.Role), State: ggscore.VMState(w.State), Addr: w.Addr,
	}
}

// digestOf returns a digest of all fields of the listed VMs.
func digestOf(vms []ggscore.VM) ggscore.Digest {
	h := sha256.New()
	for i := range vms {
		v := &vms[i]
		for _, t := range []string{string(v.ID), string(v.Region), string(v.Domain), string(v.Service), v.Addr.String()} {
			h.Write([]byte(t))
			h.Write([]byte{0})
		}
		h.Write([]byte{byte(v.Role), byte(v.State)})
	}
	return ggscore.Digest(h.Sum(nil))
}
