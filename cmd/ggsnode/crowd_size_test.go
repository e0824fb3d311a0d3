package ggsnode_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengageslip/io/ggsedge"
)

// The crowds and bounds of the tests of processes with the limits of the smallest VMs of a large deployment.
const (
	smallestMemory  = 184 << 20
	smallestFiles   = 4100
	smallestReserve = 800
	largeCrowd      = 1600
)

// smallestLimits returns the limits of the smallest VMs of a large deployment.
func smallestLimits() crowdLimits {
	return crowdLimits{memory: smallestMemory, files: smallestFiles, reserve: smallestReserve}
}

// Guards against limits that hold for few connections only: what the system has received for many, and the process hasn't read yet,
// counts as its memory.
//
//nolint:paralleltest // a crowd is measured apart from other load
func TestCrowdsAsLargeAsTheSmallestVMs(t *testing.T) {
	heads, bodies, calls := headForms("/look/1"), bodyForms(edgeHead()), rpcForms("Placement.Entries", ggsedge.EntriesArgs{})
	callers := func(e *crowdEdge) netip.AddrPort { return e.settings.Callers }
	control := func(e *crowdEdge) netip.AddrPort { return e.settings.Control }
	for name, tc := range map[string]struct {
		addr func(*crowdEdge) netip.AddrPort
		form crowdForm
	}{
		"heads without end":                           {callers, heads["heads without end"]},
		"heads of many short lines that stop short":   {callers, heads["heads of many short lines that stop short"]},
		"requests in a row whose answers aren't read": {callers, heads["requests in a row whose answers aren't read"]},
		"bodies that stop short where none is read":   {callers, heads["bodies that stop short where none is read"]},
		"whole bodies that stop short":                {callers, bodies["whole bodies that stop short"]},
		"large chunks that stop short":                {callers, bodies["large chunks that stop short"]},
		"very small chunks that stop short":           {callers, bodies["very small chunks that stop short"]},
		"long messages that stop short":               {control, calls["long messages that stop short"]},
		"calls in a row whose answers aren't read":    {control, calls["calls in a row whose answers aren't read"]},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := startCrowdEdge(c, smallestLimits())
			crowdForm{largeCrowd, tc.form.send}.gather(c, tc.addr(e))
			e.check(e.ordinary)
		})
	}
}

// Guards against the same at a gateway and a dispatcher.
//
//nolint:paralleltest // a crowd is measured apart from other load
func TestCrowdsAsLargeAsTheSmallestVMsAtAGatewayAndADispatcher(t *testing.T) {
	heads, bodies, calls := headForms("/healthz"), bodyForms(gatewayHead), dispatchForms()
	callers := func(d *crowdDeployment) uint16 { return d.gatewayVM.port }
	dispatch := func(d *crowdDeployment) uint16 { return d.dispatcherVM.port }
	for name, tc := range map[string]struct {
		port func(*crowdDeployment) uint16
		form crowdForm
	}{
		"heads of many short lines that stop short":   {callers, heads["heads of many short lines that stop short"]},
		"requests in a row whose answers aren't read": {callers, heads["requests in a row whose answers aren't read"]},
		"whole bodies that stop short":                {callers, bodies["whole bodies that stop short"]},
		"long messages that stop short":               {dispatch, calls["long messages that stop short"]},
		"calls in a row whose answers aren't read":    {dispatch, calls["calls in a row whose answers aren't read"]},
	} {
		t.Run(name, func(t *testing.T) {
			d := startCrowdDeployment(t, smallestLimits())
			crowdForm{largeCrowd, tc.form.send}.gather(d.c, d.addr(tc.port(d)))
			d.gateway.check(d.ordinary)
			d.dispatcher.check(d.ordinary)
		})
	}
}
