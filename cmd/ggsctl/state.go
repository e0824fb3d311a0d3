package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"golang.org/x/sync/errgroup"

	ggscore "greengageslip/core"
	"greengageslip/io/ggsedge"
)

const (
	statePath = "/state"
	// maxStateBytes bounds the state that is read from a process.
	maxStateBytes = 64 << 20
	// maxStateCalls bounds the concurrent reads of states.
	maxStateCalls = 16
)

// stateWire is the part of a process's state that is read.
type stateWire struct {
	Program string `json:"program"`
	VM      string `json:"vm"`
	Parts   struct {
		Document struct {
			Revision uint64 `json:"revision"`
		} `json:"document"`
		// Edge is the state of a VM on the users' platform.
		Edge *ggsedge.State `json:"edge"`
	} `json:"parts"`
}

// A processState is a process's state, or the error of reading it.
type processState struct {
	addr     netip.AddrPort
	program  string
	vm       ggscore.VMID
	revision ggscore.Revision
	// edge is nil for gateways and dispatchers.
	edge *ggsedge.State
	err  error
}

// readState reads the bytes of a process's state.
func readState(ctx context.Context, addr netip.AddrPort) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+statePath, http.NoBody)
	if err != nil {
		return nil, &stateError{addr: addr, cause: err}
	}
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	s, err := c.Do(r)
	if err != nil {
		return nil, &stateError{addr: addr, cause: err}
	}
	defer func() { _ = s.Body.Close() }()
	if s.StatusCode != http.StatusOK {
		return nil, &stateError{addr: addr, cause: &statusError{status: s.StatusCode}}
	}
	b, err := io.ReadAll(io.LimitReader(s.Body, maxStateBytes))
	if err != nil {
		return nil, &stateError{addr: addr, cause: err}
	}
	return b, nil
}

// states reads the states of all entry processes, in the order of the settings.
func (a *app) states(ctx context.Context) []processState {
	l := make([]processState, len(a.settings.Entries))
	var g errgroup.Group
	g.SetLimit(maxStateCalls)
	for i, addr := range a.settings.Entries {
		g.Go(func() error {
			l[i] = stateOf(ctx, addr)
			return nil
		})
	}
	_ = g.Wait() // its functions return nil
	return l
}

func stateOf(ctx context.Context, addr netip.AddrPort) processState {
	b, err := readState(ctx, addr)
	if err != nil {
		return processState{addr: addr, err: err}
	}
	var w stateWire
	if err = json.Unmarshal(b, &w); err != nil {
		return processState{addr: addr, err: &stateError{addr: addr, cause: err}}
	}
	return processState{
		addr: addr, program: w.Program, vm: ggscore.VMID(w.VM), revision: ggscore.Revision(w.Parts.Document.Revision),
		edge: w.Parts.Edge,
	}
}

// revisionInForce returns the highest revision that any entry process has, or zero if
// none is known.
//
// A change must get a higher revision. On a platform that was restored from an older
// backup, a change could otherwise be accepted with a revision that the processes have
// passed: none would apply it, and the change would be lost silently.
func (a *app) revisionInForce(ctx context.Context) ggscore.Revision {
	var r ggscore.Revision
	for _, s := range a.states(ctx) {
		r = max(r, s.revision)
	}
	return r
}
