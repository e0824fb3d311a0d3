package ggsnode

import (
	"greengageslip/core/ggsmember"
	"greengageslip/io/ggsowners"
)

// An ownerState is one group of endpoints, which have a common owner, in the state dump.
type ownerState struct {
	Group    int    `json:"group"`
	Mode     string `json:"mode"`
	Owner    string `json:"owner"`
	Fence    uint64 `json:"fence"`
	Released bool   `json:"released"`
	Pins     int    `json:"pins"`
}

// A memberState is one dispatcher of the domain in the state dump.
type memberState struct {
	VM       string `json:"vm"`
	Addr     string `json:"addr"`
	Leaving  bool   `json:"leaving"`
	Revision uint64 `json:"revision"`
}

func memberStates(ms []ggsmember.Member) []memberState {
	all := make([]memberState, 0, len(ms))
	for _, m := range ms {
		all = append(all, memberState{VM: string(m.VM), Addr: m.Addr.String(), Leaving: m.Leaving, Revision: uint64(m.Revision)})
	}
	return all
}

func ownerStates(gs []ggsowners.GroupStatus) []ownerState {
	all := make([]ownerState, 0, len(gs))
	for _, g := range gs {
		all = append(all, ownerState{
			Group: g.Group, Mode: g.Mode.String(), Owner: string(g.Owner.VM), Fence: uint64(g.Fence),
			Released: g.Released, Pins: g.Pins,
		})
	}
	return all
}
