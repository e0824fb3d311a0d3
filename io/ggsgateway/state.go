package ggsgateway

import (
	"cmp"
	"slices"

	ggscore "greengageslip/core"
)

// A State is what a dump shows of a Gateway.
type State struct {
	Draining    bool              `json:"draining"`
	Revision    uint64            `json:"revision"`
	InFlight    int64             `json:"inFlight"`
	Dispatchers []DispatcherState `json:"dispatchers"`
}

// A DispatcherState is a dispatcher as its latest summary shows it.
type DispatcherState struct {
	VM      string        `json:"vm"`
	Addr    string        `json:"addr"`
	Leaving bool          `json:"leaving"`
	Runners []RunnerState `json:"runners"`
}

// A RunnerState is an endpoint in a dump.
type RunnerState struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Mode    string `json:"mode"`
}

// A NotReadyError says why the gateway doesn't serve.
type NotReadyError struct{ Reason string }

// Error implements error.
func (e *NotReadyError) Error() string { return e.Reason }

// Ready returns nil where the balancer is to send callers here.
func (g *Gateway) Ready() error {
	if g.draining.Load() {
		return &NotReadyError{Reason: "stopping"}
	}
	if g.parts.Document() == nil {
		return &NotReadyError{Reason: "no document"}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.peers) == 0 {
		return &NotReadyError{Reason: "no dispatcher"}
	}
	return nil
}

// State returns the state for a dump.
func (g *Gateway) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := State{Draining: g.draining.Load(), Revision: uint64(g.revision), InFlight: g.inFlight.Load()}
	for vm, p := range g.peers {
		s.Dispatchers = append(s.Dispatchers, dispatcherState(vm, p))
	}
	slices.SortFunc(s.Dispatchers, func(a, b DispatcherState) int { return cmp.Compare(a.VM, b.VM) })
	return s
}

func dispatcherState(vm ggscore.VMID, p peer) DispatcherState {
	d := DispatcherState{VM: string(vm), Addr: p.addr.String(), Leaving: p.summary.Leaving}
	for i := range p.summary.Runners {
		r := &p.summary.Runners[i]
		d.Runners = append(d.Runners, RunnerState{ID: string(r.Endpoint), Service: string(r.Service), Mode: r.Mode.String()})
	}
	return d
}
