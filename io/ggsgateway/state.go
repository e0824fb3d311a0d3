package ggsgateway

import (
	"net/netip"

	ggscore "greengageslip/core"
)

// A State is what a dump shows of a Gateway.
type State struct {
	Draining    bool
	Revision    ggscore.Revision
	InFlight    int64
	Dispatchers map[ggscore.VMID]netip.AddrPort
}

// A NotReadyError says why the gateway doesn't serve.
type NotReadyError struct{ Reason string }

// Error implements error.
func (e *NotReadyError) Error() string { return e.Reason }

// Ready returns nil where the balancer is to send callers here.
func (g *Gateway) Ready() error {
	switch {
	case g.draining.Load():
		return &NotReadyError{Reason: "stopping"}
	case g.parts.Document() == nil:
		return &NotReadyError{Reason: "no document"}
	}
	return nil
}

// State returns the state for a dump.
func (g *Gateway) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := State{
		Draining: g.draining.Load(), Revision: g.revision, InFlight: g.inFlight.Load(),
		Dispatchers: make(map[ggscore.VMID]netip.AddrPort, len(g.addrs)),
	}
	for vm, a := range g.addrs {
		s.Dispatchers[vm] = a
	}
	return s
}
