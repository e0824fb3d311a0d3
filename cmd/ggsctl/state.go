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
	// maxStateBytes bounds the state that is read of a process.
	maxStateBytes = 64 << 20
	// stateCalls bounds the calls of states at once.
	stateCalls = 16
)

// stateWire is what is read of a process's state.
type stateWire struct {
	Program string `json:"program"`
	VM      string `json:"vm"`
	Parts   struct {
		Document struct {
			Revision uint64 `json:"revision"`
		} `json:"document"`
		// Edge is what a VM on the users' platform goes by.
		Edge *ggsedge.State `json:"edge"`
	} `json:"parts"`
}

// A processState is what a process says of itself.
type processState struct {
	addr     netip.AddrPort
	program  string
	vm       ggscore.VMID
	revision ggscore.Revision
	// edge is nil for the processes of the product's own interface.
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

// states asks all entry processes for their states, in the order of the
// settings.
func (a *app) states(ctx context.Context) []processState {
	l := make([]processState, len(a.settings.Entries))
	var g errgroup.Group
	g.SetLimit(stateCalls)
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

// revisionInForce returns the highest revision that an entry process has, zero
// where none is known.
//
// It guards against a platform that was restored from an older copy: a change
// accepted there would get a revision that the processes have passed, so none
// would take it, and it would be lost without a word.
func (a *app) revisionInForce(ctx context.Context) ggscore.Revision {
	var r ggscore.Revision
	for _, s := range a.states(ctx) {
		r = max(r, s.revision)
	}
	return r
}
