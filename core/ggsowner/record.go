package ggsowner

import (
	"maps"
	"slices"

	ggscore "greengageslip/core"
)

// A Holder is one life of a dispatcher.
type Holder struct {
	VM          ggscore.VMID
	Incarnation string
}

// A Set names adapters on each endpoint. It is immutable once shared.
type Set map[ggscore.EndpointID][]ggscore.AdapterRef

// Has reports whether s names an adapter on an endpoint.
func (s Set) Has(id ggscore.EndpointID, a ggscore.AdapterRef) bool {
	return slices.Contains(s[id], a)
}

// Equal reports whether s and o name the same adapters, in any order.
func (s Set) Equal(o Set) bool { return s.within(o) && o.within(s) }

// Clone returns a copy that may be changed.
func (s Set) Clone() Set {
	c := make(Set, len(s))
	for id, refs := range s {
		c[id] = slices.Clone(refs)
	}
	return c
}

func (s Set) within(o Set) bool {
	for id, refs := range s {
		for _, r := range refs {
			if !o.Has(id, r) {
				return false
			}
		}
	}
	return true
}

// intersect returns what both sets name.
func intersect(a, b Set) Set {
	c := Set{}
	for id, refs := range a {
		for _, r := range refs {
			if b.Has(id, r) {
				c[id] = append(c[id], r)
			}
		}
	}
	return c
}

// A Pin names what an earlier owner may still be using.
type Pin struct {
	Holder    Holder
	Protected Set
}

// A Record says who owns a group. The zero value is a group that nobody has
// owned yet.
type Record struct {
	Owner Holder
	// Lease is the owner's lease, without which the ownership has no force.
	Lease ggscore.LeaseID
	Fence ggscore.FenceNumber
	// Released says that the owner gives no orders and takes no new work; what
	// it still runs is among the pins.
	Released bool
	// Protected names the adapters that the owner may use.
	Protected Set
	Pins      []Pin
}

func (r Record) clone() Record {
	r.Pins = slices.Clone(r.Pins)
	return r
}

// pin adds what a holder may be using, in place of what it pinned before.
func (r *Record) pin(h Holder, s Set) {
	r.unpin(func(o Holder) bool { return o == h })
	if len(s) > 0 {
		r.Pins = append(r.Pins, Pin{Holder: h, Protected: s})
	}
}

// unpin drops the pins of the holders that are known to have stopped.
func (r *Record) unpin(stopped func(Holder) bool) bool {
	n := len(r.Pins)
	r.Pins = slices.DeleteFunc(r.Pins, func(p Pin) bool { return stopped(p.Holder) })
	return len(r.Pins) < n
}

// pinned returns the holder that may be using an adapter.
func (r Record) pinned(id ggscore.EndpointID, a ggscore.AdapterRef, self Holder) (Holder, bool) {
	for _, p := range r.Pins {
		if p.Holder != self && p.Protected.Has(id, a) {
			return p.Holder, true
		}
	}
	return Holder{}, false
}

// PinnedOn returns the adapters on an endpoint that holders other than self
// may be using.
func (r Record) PinnedOn(id ggscore.EndpointID, self Holder) []ggscore.AdapterRef {
	refs := map[ggscore.AdapterRef]bool{}
	for _, p := range r.Pins {
		if p.Holder == self {
			continue
		}
		for _, a := range p.Protected[id] {
			refs[a] = true
		}
	}
	return slices.Collect(maps.Keys(refs))
}
