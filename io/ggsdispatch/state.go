package ggsdispatch

import (
	ggscore "greengageslip/core"
)

// A State is the part of a state dump that describes a Dispatcher.
type State struct {
	Draining  bool            `json:"draining"`
	Endpoints []EndpointState `json:"endpoints"`
	Jobs      []JobState      `json:"jobs"`
}

// An EndpointState describes one endpoint in a state dump.
type EndpointState struct {
	ID       string   `json:"id"`
	Service  string   `json:"service"`
	Mode     string   `json:"mode"`
	Leaving  bool     `json:"leaving"`
	Slots    int      `json:"slots"`
	Running  int      `json:"running"`
	Queued   int      `json:"queued"`
	Resident []string `json:"resident,omitempty"`
	Loading  []string `json:"loading,omitempty"`
}

// A JobState describes one request in a state dump.
type JobState struct {
	ID       string `json:"id"`
	Market   string `json:"market"`
	Adapter  string `json:"adapter,omitempty"`
	State    string `json:"state"`
	Age      string `json:"age"`
	Revision uint64 `json:"revision"`
}

// State returns the dispatcher's state for a state dump. It omits ended requests.
func (d *Dispatcher) State() State {
	v := d.Summary()
	d.mu.Lock()
	defer d.mu.Unlock()
	s := State{Draining: d.draining}
	for i := range v.Runners {
		s.Endpoints = append(s.Endpoints, endpointState(&v.Runners[i]))
	}
	now := d.parts.Clock()
	for k, j := range d.jobs {
		if j.state == jobEnded {
			continue
		}
		s.Jobs = append(s.Jobs, JobState{
			ID: string(k.id), Market: string(j.request.Market), Adapter: j.request.Adapter.String(),
			State: j.state.String(), Age: now.Sub(j.submittedAt).String(), Revision: uint64(j.request.Revision),
		})
	}
	return s
}

// String returns the state's name in state dumps.
func (s jobState) String() string {
	switch s {
	case jobQueued:
		return "queued"
	case jobRunning:
		return "running"
	case jobEnded:
	}
	return "ended"
}

func endpointState(r *ggscore.RunnerSummary) EndpointState {
	return EndpointState{
		ID: string(r.Endpoint), Service: string(r.Service), Mode: r.Mode.String(), Leaving: r.Leaving,
		Slots: r.Slots, Running: r.Running, Queued: r.Queued,
		Resident: refStrings(r.Resident), Loading: refStrings(r.Loading),
	}
}

func refStrings(refs []ggscore.AdapterRef) []string {
	t := make([]string, 0, len(refs))
	for _, a := range refs {
		t = append(t, a.String())
	}
	return t
}
