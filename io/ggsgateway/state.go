package ggsgateway

import (
	"cmp"
	"slices"

	ggscore "greengageslip/core"
)

// A State is the part of a state dump that describes a Gateway.
type State struct {
	Draining    bool              `json:"draining"`
	Revision    uint64            `json:"revision"`
	InFlight    int64             `json:"inFlight"`
	Dispatchers []DispatcherState `json:"dispatchers"`
}

// A DispatcherState describes a dispatcher according to its latest summary.
type DispatcherState struct {
	VM      string        `json:"vm"`
	Addr    string        `json:"addr"`
	Leaving bool          `json:"leaving"`
	Runners []RunnerState `json:"runners"`
}

// A RunnerState describes one endpoint in a state dump.
type RunnerState struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Mode    string `json:"mode"`
}

// A NotReadyError reports why the gateway can't serve requests.
type NotReadyError struct{ Reason string }

// Error implements error.
func (e *NotReadyError) Error() string { return e.Reason }

// Ready returns nil if the gateway can serve requests, else a NotReadyError.
func (g *Gateway) Ready() error {
	if g.stop.Draining() {
		return &NotReadyError{Reason: "stopping"}
	}
	if g.parts.Document() == nil {
		return &NotReadyError{Reason: "no document"}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.dispatchers) == 0 {
		return &NotReadyError{Reason: "no dispatcher"}
	}
	return nil
}

// State returns the gateway's state for a state dump.
func (g *Gateway) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := State{Draining: g.stop.Draining(), Revision: uint64(g.revision), InFlight: g.inFlight.Load()}
	for vm, p := range g.dispatchers {
		s.Dispatchers = append(s.Dispatchers, dispatcherState(vm, p))
	}
	slices.SortFunc(s.Dispatchers, func(a, b DispatcherState) int { return cmp.Compare(a.VM, b.VM) })
	return s
}

func dispatcherState(vm ggscore.VMID, p dispatcher) DispatcherState {
	d := DispatcherState{VM: string(vm), Addr: p.addr.String(), Leaving: p.summary.Leaving}
	for i := range p.summary.Runners {
		r := &p.summary.Runners[i]
		d.Runners = append(d.Runners, RunnerState{ID: string(r.Endpoint), Service: string(r.Service), Mode: r.Mode.String()})
	}
	return d
}
