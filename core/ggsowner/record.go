package ggsowner

import (
	"maps"
	"slices"

	ggscore "greengageslip/core"
)

// A Holder is one incarnation of a dispatcher on a VM.
type Holder struct {
	VM          ggscore.VMID
	Incarnation string
}

// An AdapterSet is a set of adapters per endpoint. It must not be changed once it is shared.
type AdapterSet map[ggscore.EndpointID][]ggscore.AdapterRef

// Has reports whether s contains an adapter on an endpoint.
func (s AdapterSet) Has(id ggscore.EndpointID, a ggscore.AdapterRef) bool {
	return slices.Contains(s[id], a)
}

// Equal reports whether s and o contain the same adapters, in any order.
func (s AdapterSet) Equal(o AdapterSet) bool { return s.subsetOf(o) && o.subsetOf(s) }

// Clone returns a deep copy.
func (s AdapterSet) Clone() AdapterSet {
	c := make(AdapterSet, len(s))
	for id, refs := range s {
		c[id] = slices.Clone(refs)
	}
	return c
}

func (s AdapterSet) subsetOf(o AdapterSet) bool {
	for id, refs := range s {
		for _, r := range refs {
			if !o.Has(id, r) {
				return false
			}
		}
	}
	return true
}

// intersect returns the adapters that are in both sets.
func intersect(a, b AdapterSet) AdapterSet {
	c := AdapterSet{}
	for id, refs := range a {
		for _, r := range refs {
			if b.Has(id, r) {
				c[id] = append(c[id], r)
			}
		}
	}
	return c
}

// A Pin prevents the eviction of the adapters that an earlier owner's requests may still be
// using.
type Pin struct {
	Holder    Holder
	Protected AdapterSet
}

// A Record is the stored ownership of a group. The zero value is that of a group
// without an owner so far.
type Record struct {
	Owner Holder
	// Lease is the owner's lease. The owner may send orders other than dispatches
	// only while it holds this lease.
	Lease ggscore.LeaseID
	Fence ggscore.FencingToken
	// Released is set if the owner sends no more orders and accepts no new requests. The
	// adapters of the owner's requests in flight are in Pins.
	Released bool
	// Protected contains the adapters for which the owner may dispatch requests.
	Protected AdapterSet
	Pins      []Pin
}

func (r Record) clone() Record {
	r.Pins = slices.Clone(r.Pins)
	return r
}

// pin sets the adapters that a holder may be using, in place of its earlier pin.
func (r *Record) pin(h Holder, s AdapterSet) {
	r.unpin(func(o Holder) bool { return o == h })
	if len(s) > 0 {
		r.Pins = append(r.Pins, Pin{Holder: h, Protected: s})
	}
}

// unpin removes the pins of stopped holders and reports whether there were any.
func (r *Record) unpin(stopped func(Holder) bool) bool {
	n := len(r.Pins)
	r.Pins = slices.DeleteFunc(r.Pins, func(p Pin) bool { return stopped(p.Holder) })
	return len(r.Pins) < n
}

// pinned returns a holder other than self that may be using an adapter.
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
