package ggscore

import "net/netip"

// A TunnelPeer is a VM that opens connections to endpoints for other VMs.
type TunnelPeer struct {
	VM VMID
	// Addr is where the VM accepts tunnels.
	Addr   netip.AddrPort
	Domain Domain
}

// Paths reports which endpoints this VM reaches over the network without a peer's help.
type Paths interface {
	// Blocked reports whether the path to the endpoint at addr is broken, although the endpoint
	// serves other VMs.
	Blocked(addr netip.AddrPort) bool
	// Isolated reports whether the paths to all endpoints are broken.
	Isolated() bool
	// SetPeers replaces the peers that may open tunnels, SetEndpoints the known endpoints.
	SetPeers(ps []TunnelPeer)
	SetEndpoints(addrs []netip.AddrPort)
}
