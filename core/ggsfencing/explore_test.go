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

// exploreDepth is the number of steps up to which all sequences are played.
//
//	go test ./core/ggsfencing -run TestEverySequenceKeepsOneController -explore.depth 6 -timeout 60m -v
var exploreDepth = flag.Int("explore.depth", 3, "number of steps up to which all sequences are played") //nolint:gochecknoglobals // a flag of the test

// An exploration is a world whose orders are checked as they are given.
type exploration struct {
	*world
	steps []string
	last  map[ggscore.EndpointID]order
}

// A move is a step of an exploration.
type move struct {
	name string
	do   func(x *exploration)
}

// clone returns a copy that goes its own way.
func (x *exploration) clone() *exploration {
	w := *x.world
	w.site, w.past, w.late = w.site.clone(), slices.Clone(w.past), slices.Clone(w.late)
	w.vms = make([]*vm, len(x.vms))
	for i, v := range x.vms {
		w.vms[i] = &vm{id: v.id, k: v.k.Clone()}
	}
	c := &exploration{world: &w, steps: slices.Clone(x.steps), last: map[ggscore.EndpointID]order{}}
	for id, o := range x.last {
		c.last[id] = o
	}
	return c
}

// sync has a VM read the store, write its beat and its claims.
func (x *exploration) sync(v *vm) {
	x.read(v, 0)
	x.beat(v, answered, 0)
	x.claimAll(v, answered)
}

func (x *exploration) claimAll(v *vm, f fate) {
	for range v.k.Claims(x.now, x.endpoints) {
		x.claim(v, 0, f, time.Hour)
	}
}

// give has each VM that may give each endpoint an order, which is as long on its way as it may
// be where it is the last of its VM, and returns what is wrong with it.
func (x *exploration) give() string {
	for _, e := range x.endpoints {
		for _, v := range x.vms {
			f, ok := v.k.May(x.now, e.ID)
			if !ok {
				continue
			}
			l, ordered := x.last[e.ID]
			switch {
			case ordered && l.vm != v.id && x.now.Sub(l.at) < turn:
				return fmt.Sprintf("%s orders %s %s after %s", v.id, e.ID, x.now.Sub(l.at), l.vm)
			case ordered && (f < l.fence || f == l.fence && l.vm != v.id):
				return fmt.Sprintf("%s orders %s with %d after %d of %s", v.id, e.ID, f, l.fence, l.vm)
			}
			x.last[e.ID] = order{at: x.now.Add(ggsfencing.DefaultMargin), endpoint: e.ID, vm: v.id, fence: f}
		}
	}
	return ""
}

// moves returns what may happen in a world of so many VMs.
func moves(vms int) []move {
	ms := []move{
		{"pass 2.4 s", func(x *exploration) { x.pass(2400 * time.Millisecond) }},
		{"pass 8.9 s", func(x *exploration) { x.pass(8900 * time.Millisecond) }},
		{"pass 13 s", func(x *exploration) { x.pass(13 * time.Second) }},
		{"late writes", (*exploration).carryOut},
		{"back to the start", func(x *exploration) { x.comeBack(x.past[0]) }},
		{"back to half", func(x *exploration) { x.comeBack(x.past[len(x.past)/2]) }},
		{"back to the last change but one", func(x *exploration) { x.comeBack(x.past[max(len(x.past)-2, 0)]) }},
	}
	for n := range vms {
		add := func(what string, do func(x *exploration, v *vm)) {
			ms = append(ms, move{fmt.Sprintf("vm-%d %s", n, what), func(x *exploration) { do(x, x.vms[n]) }})
		}
		add("syncs", (*exploration).sync)
		add("reads", func(x *exploration, v *vm) { x.read(v, 0) })
		add("beats, delayed", func(x *exploration, v *vm) { x.beat(v, delayed, time.Hour) })
		add("claims, delayed", func(x *exploration, v *vm) { x.claimAll(v, delayed) })
		add("releases, delayed", func(x *exploration, v *vm) { x.release(v, delayed, time.Hour) })
		add("restarts", func(_ *exploration, v *vm) { v.k = keeper(v.id) })
	}
	return ms
}

// carryOut carries all delayed writes out.
func (x *exploration) carryOut() {
	late := x.late
	x.late = nil
	for _, l := range late {
		x.apply(l.transaction)
	}
}

// comesBack returns what is wrong with control once all is calm, empty for nothing.
func (x *exploration) comesBack() string {
	for range 3 {
		for _, v := range x.vms {
			x.sync(v)
		}
		if s := x.give(); s != "" {
			return s
		}
		x.pass(6600 * time.Millisecond)
		for _, v := range x.vms {
			x.sync(v)
		}
		x.pass(6600 * time.Millisecond)
	}
	for _, v := range x.vms {
		x.sync(v)
	}
	for _, e := range x.endpoints {
		if !slices.ContainsFunc(x.vms, func(v *vm) bool { _, ok := v.k.May(x.now, e.ID); return ok }) {
			return fmt.Sprintf("nobody orders %s", e.ID)
		}
	}
	return x.give()
}

// explore plays all sequences of so many steps, and returns the number of worlds and what is
// wrong with the first bad one.
func explore(x *exploration, ms []move, depth int) (worlds int, wrong string) {
	if depth == 0 {
		if s := x.comesBack(); s != "" {
			return 1, s + ": " + strings.Join(x.steps, ", ")
		}
		return 1, ""
	}
	for _, m := range ms {
		c := x.clone()
		c.steps = append(c.steps, m.name)
		m.do(c)
		if s := c.give(); s != "" {
			return worlds + 1, s + ": " + strings.Join(c.steps, ", ")
		}
		n, s := explore(c, ms, depth-1)
		worlds += n + 1
		if s != "" {
			return worlds, s
		}
	}
	return worlds, ""
}

// Guards against two VMs that order one endpoint, fencing numbers that fall, and endpoints that nobody orders any more.
func TestEverySequenceKeepsOneController(t *testing.T) {
	t.Parallel()
	calm := func(x *exploration) {
		for range 2 {
			for _, v := range x.vms {
				x.sync(v)
			}
			x.pass(13 * time.Second)
		}
		for _, v := range x.vms {
			x.sync(v)
		}
	}
	for name, prepare := range map[string]func(x *exploration){
		"controlled": calm,
		"the controller was silent for long": func(x *exploration) {
			calm(x)
			for range 5 {
				x.pass(2400 * time.Millisecond)
				x.sync(x.vms[1])
			}
		},
		"taken over lately": func(x *exploration) {
			calm(x)
			for range 6 {
				x.pass(2400 * time.Millisecond)
				x.sync(x.vms[1])
			}
		},
		"released": func(x *exploration) {
			calm(x)
			x.release(x.vms[0], answered, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := &exploration{world: newWorld(2, 1), last: map[ggscore.EndpointID]order{}}
			prepare(x)
			if s := x.give(); s != "" {
				t.Fatal(s)
			}
			n, s := explore(x, moves(len(x.vms)), *exploreDepth)
			t.Logf("%d worlds", n)
			if s != "" {
				t.Fatal(s)
			}
		})
	}
}
