package ggsedge

import (
	"net/netip"

	ggscore "greengageslip/core"
)

// workingPaths are paths that always work.
type workingPaths struct{}

var _ ggscore.Paths = workingPaths{}

// Blocked implements ggscore.Paths.
func (workingPaths) Blocked(netip.AddrPort) bool { return false }

// Isolated implements ggscore.Paths.
func (workingPaths) Isolated() bool { return false }

// SetPeers implements ggscore.Paths.
func (workingPaths) SetPeers([]ggscore.TunnelPeer) {}

// SetEndpoints implements ggscore.Paths.
func (workingPaths) SetEndpoints([]netip.AddrPort) {}

// KnowsEndpoint reports whether an endpoint has the address.
func (e *Edge) KnowsEndpoint(addr netip.AddrPort) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, i := range e.table.Instances("") {
		if i.Addr == addr {
			return true
		}
	}
	return false
}

// PathsChanged must be called after paths to endpoints broke or work again. What failed before may
// have failed because of a path, also at endpoints whose paths are not known to be broken yet. A store
// heartbeat is due if other VMs need to know.
func (e *Edge) PathsChanged() {
	isolated := e.Paths.Isolated()
	e.mu.Lock()
	due := isolated != e.isolated
	e.isolated = isolated
	for _, i := range e.table.Instances("") {
		e.table.ForgetFailures(i.ID)
		due = due || e.Paths.Blocked(i.Addr) && e.workers[i.ID] != nil
	}
	e.mu.Unlock()
	if due {
		e.requestStoreHeartbeat()
	}
}

// setPathEndpoints passes the endpoints' addresses to Paths. Edge.mu is held.
func (e *Edge) setPathEndpoints() {
	var as []netip.AddrPort
	for _, i := range e.table.Instances("") {
		as = append(as, i.Addr)
	}
	e.Paths.SetEndpoints(as)
}

// setTunnelPeers passes the peers that may open tunnels to Paths. Edge.mu is held.
func (e *Edge) setTunnelPeers() {
	ps := make([]ggscore.TunnelPeer, 0, len(e.peers))
	for vm, p := range e.peers {
		if !p.isolated {
			ps = append(ps, ggscore.TunnelPeer{VM: vm, Addr: p.datagramAddr, Domain: p.domain})
		}
	}
	e.Paths.SetPeers(ps)
}

// blockedCount returns the number of endpoints to which this VM has no path. Edge.mu is held.
func (e *Edge) blockedCount() int {
	n := 0
	for _, i := range e.table.Instances("") {
		if e.Paths.Blocked(i.Addr) {
			n++
		}
	}
	return n
}
