package ggsfencing_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsfencing"
)

// exploreDepth is the number of steps up to which all sequences are explored.
//
//	go test ./core/ggsfencing -run TestEverySequenceKeepsOneOwner -explore.depth 6 -timeout 60m -v
var exploreDepth = flag.Int("explore.depth", 3, "number of steps up to which all sequences are explored") //nolint:gochecknoglobals // a test flag

// An exploration is a simulation that checks each order as it is sent.
type exploration struct {
	*simulation
	steps []string
	last  map[ggscore.EndpointID]order
}

type move struct {
	name string
	do   func(x *exploration)
}

// clone returns an independent copy.
func (x *exploration) clone() *exploration {
	w := *x.simulation
	w.current, w.history, w.delayed = w.current.clone(), slices.Clone(w.history), slices.Clone(w.delayed)
	w.vms = make([]*vm, len(x.vms))
	for i, v := range x.vms {
		w.vms[i] = &vm{id: v.id, tracker: v.tracker.Clone()}
	}
	c := &exploration{simulation: &w, steps: slices.Clone(x.steps), last: map[ggscore.EndpointID]order{}}
	for id, o := range x.last {
		c.last[id] = o
	}
	return c
}

// sync makes a VM read the store and write its heartbeat and its claims.
func (x *exploration) sync(v *vm) {
	x.read(v, 0)
	x.heartbeat(v, acknowledged, 0)
	x.claimAll(v, acknowledged)
}

func (x *exploration) claimAll(v *vm, f outcome) {
	for range v.tracker.Claims(x.now, x.endpoints) {
		x.claim(v, 0, f, time.Hour)
	}
}

// sendOrders makes each VM send an order to each endpoint that it may send one to. Each order
// takes the maximum time to arrive. It returns a violated invariant, empty for none.
func (x *exploration) sendOrders() string {
	for _, e := range x.endpoints {
		for _, v := range x.vms {
			f, ok := v.tracker.AuthorizeOrder(x.now, e.ID)
			if !ok {
				continue
			}
			l, ordered := x.last[e.ID]
			switch {
			case ordered && l.vm != v.id && x.now.Sub(l.at) < minOrderGap:
				return fmt.Sprintf("%s sends an order to %s only %s after %s", v.id, e.ID, x.now.Sub(l.at), l.vm)
			case ordered && (f < l.fence || f == l.fence && l.vm != v.id):
				return fmt.Sprintf("%s sends an order to %s with fencing token %d after %d of %s", v.id, e.ID, f, l.fence, l.vm)
			}
			x.last[e.ID] = order{at: x.now.Add(ggsfencing.DefaultMargin), endpoint: e.ID, vm: v.id, fence: f}
		}
	}
	return ""
}

// moves returns the possible steps of a simulation with the given number of VMs.
func moves(vms int) []move {
	ms := []move{
		{"advance 2.4 s", func(x *exploration) { x.advance(2400 * time.Millisecond) }},
		{"advance 8.9 s", func(x *exploration) { x.advance(8900 * time.Millisecond) }},
		{"advance 13 s", func(x *exploration) { x.advance(13 * time.Second) }},
		{"apply delayed writes", (*exploration).applyDelayed},
		{"restore the first state", func(x *exploration) { x.restore(x.history[0]) }},
		{"restore the middle state", func(x *exploration) { x.restore(x.history[len(x.history)/2]) }},
		{"restore the state before the last change", func(x *exploration) { x.restore(x.history[max(len(x.history)-2, 0)]) }},
	}
	for n := range vms {
		add := func(what string, do func(x *exploration, v *vm)) {
			ms = append(ms, move{fmt.Sprintf("vm-%d %s", n, what), func(x *exploration) { do(x, x.vms[n]) }})
		}
		add("syncs", (*exploration).sync)
		add("reads", func(x *exploration, v *vm) { x.read(v, 0) })
		add("heartbeat, delayed", func(x *exploration, v *vm) { x.heartbeat(v, delayed, time.Hour) })
		add("claims, delayed", func(x *exploration, v *vm) { x.claimAll(v, delayed) })
		add("releases, delayed", func(x *exploration, v *vm) { x.release(v, delayed, time.Hour) })
		add("restarts", func(_ *exploration, v *vm) { v.tracker = newTracker(v.id) })
	}
	return ms
}

// applyDelayed applies all delayed writes.
func (x *exploration) applyDelayed() {
	late := x.delayed
	x.delayed = nil
	for _, l := range late {
		x.apply(l.transaction)
	}
}

// recovers runs rounds without faults. It returns a violated invariant, or an endpoint that is
// left without an owner; empty for none.
func (x *exploration) recovers() string {
	for range 3 {
		for _, v := range x.vms {
			x.sync(v)
		}
		if s := x.sendOrders(); s != "" {
			return s
		}
		x.advance(6600 * time.Millisecond)
		for _, v := range x.vms {
			x.sync(v)
		}
		x.advance(6600 * time.Millisecond)
	}
	for _, v := range x.vms {
		x.sync(v)
	}
	for _, e := range x.endpoints {
		if !slices.ContainsFunc(x.vms, func(v *vm) bool { _, ok := v.tracker.AuthorizeOrder(x.now, e.ID); return ok }) {
			return fmt.Sprintf("%s has no owner", e.ID)
		}
	}
	return x.sendOrders()
}

// explore runs all sequences of depth steps. It returns the number of simulations and the
// first violation with its steps, empty for none.
func explore(x *exploration, ms []move, depth int) (simulations int, wrong string) {
	if depth == 0 {
		if s := x.recovers(); s != "" {
			return 1, s + ": " + strings.Join(x.steps, ", ")
		}
		return 1, ""
	}
	for _, m := range ms {
		c := x.clone()
		c.steps = append(c.steps, m.name)
		m.do(c)
		if s := c.sendOrders(); s != "" {
			return simulations + 1, s + ": " + strings.Join(c.steps, ", ")
		}
		n, s := explore(c, ms, depth-1)
		simulations += n + 1
		if s != "" {
			return simulations, s
		}
	}
	return simulations, ""
}

// Guards against two VMs that send orders to one endpoint, fencing tokens that decrease, and
// endpoints that are left without an owner.
func TestEverySequenceKeepsOneOwner(t *testing.T) {
	t.Parallel()
	syncAll := func(x *exploration) {
		for range 2 {
			for _, v := range x.vms {
				x.sync(v)
			}
			x.advance(13 * time.Second)
		}
		for _, v := range x.vms {
			x.sync(v)
		}
	}
	for name, prepare := range map[string]func(x *exploration){
		"owned": syncAll,
		"the owner sent no heartbeat for long": func(x *exploration) {
			syncAll(x)
			for range 5 {
				x.advance(2400 * time.Millisecond)
				x.sync(x.vms[1])
			}
		},
		"taken over recently": func(x *exploration) {
			syncAll(x)
			for range 6 {
				x.advance(2400 * time.Millisecond)
				x.sync(x.vms[1])
			}
		},
		"released": func(x *exploration) {
			syncAll(x)
			x.release(x.vms[0], acknowledged, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := &exploration{simulation: newSimulation(2, 1), last: map[ggscore.EndpointID]order{}}
			prepare(x)
			if s := x.sendOrders(); s != "" {
				t.Fatal(s)
			}
			n, s := explore(x, moves(len(x.vms)), *exploreDepth)
			t.Logf("%d simulations", n)
			if s != "" {
				t.Fatal(s)
			}
		})
	}
}
