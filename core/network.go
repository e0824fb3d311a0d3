package ggscore

import (
	"context"
	"net"
	"net/netip"
)

// A PacketConn sends and receives datagrams.
type PacketConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// A PeerNetwork is how a VM and its peers reach each other.
type PeerNetwork interface {
	Dialer
	// Listen accepts peers' connections for calls.
	Listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error)
	// ListenPacket opens the socket for peers' datagrams.
	ListenPacket(ctx context.Context, addr netip.AddrPort) (PacketConn, error)
}
