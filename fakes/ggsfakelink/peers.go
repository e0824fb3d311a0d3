package ggsfakelink

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	ggscore "greengageslip/core"
)

// A PeerPartition is a network of peers from which its VM can be cut off, both ways or one way. Connections hang while it is cut
// off in either direction, and datagrams are lost in those that are cut.
type PeerPartition struct {
	network ggscore.PeerNetwork
	calls   *Partition
	in, out atomic.Bool
}

var _ ggscore.PeerNetwork = (*PeerPartition)(nil)

// NewPeerPartition returns a network that isn't cut.
func NewPeerPartition(n ggscore.PeerNetwork) *PeerPartition {
	return &PeerPartition{network: n, calls: NewPartition(n)}
}

// Cut cuts the VM off from what peers send to it, and peers from what it sends.
func (p *PeerPartition) Cut(in, out bool) {
	p.in.Store(in)
	p.out.Store(out)
	if in || out {
		p.calls.SetMode(PartitionHang)
		return
	}
	p.calls.SetMode(PartitionNone)
}

// Dial implements ggscore.Dialer.
func (p *PeerPartition) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return p.calls.Dial(ctx, addr)
}

// Listen implements ggscore.PeerNetwork.
func (p *PeerPartition) Listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	l, err := p.network.Listen(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &partitionedListener{Listener: l, partition: p.calls}, nil
}

// ListenPacket implements ggscore.PeerNetwork.
func (p *PeerPartition) ListenPacket(ctx context.Context, addr netip.AddrPort) (ggscore.PacketConn, error) {
	c, err := p.network.ListenPacket(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &partitionedPackets{PacketConn: c, partition: p}, nil
}

type partitionedListener struct {
	net.Listener
	partition *Partition
}

// Accept implements net.Listener.
func (l *partitionedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.partition.add(c), nil
}

type partitionedPackets struct {
	ggscore.PacketConn
	partition *PeerPartition
}

// ReadFromUDPAddrPort implements ggscore.PacketConn.
func (c *partitionedPackets) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	for {
		n, from, err := c.PacketConn.ReadFromUDPAddrPort(b)
		if err != nil || !c.partition.in.Load() {
			return n, from, err
		}
	}
}

// WriteToUDPAddrPort implements ggscore.PacketConn.
func (c *partitionedPackets) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	if c.partition.out.Load() {
		return len(b), nil
	}
	return c.PacketConn.WriteToUDPAddrPort(b, to)
}
