package ggsfencing

import (
	"maps"

	ggscore "greengageslip/core"
)

// Clone returns an independent copy.
func (t *OwnershipTracker) Clone() *OwnershipTracker {
	c := *t
	c.records = make(map[ggscore.EndpointID]*record, len(t.records))
	for id, r := range t.records {
		x := *r
		c.records[id] = &x
	}
	c.heartbeats = maps.Clone(t.heartbeats) // heartbeats are replaced, never modified
	c.rights, c.previousOwners = maps.Clone(t.rights), maps.Clone(t.previousOwners)
	return &c
}
