package ggsfencing

import (
	"maps"

	ggscore "greengageslip/core"
)

// Clone returns an independent copy.
func (k *OwnershipTracker) Clone() *OwnershipTracker {
	c := *k
	c.records = make(map[ggscore.EndpointID]*record, len(k.records))
	for id, r := range k.records {
		x := *r
		c.records[id] = &x
	}
	c.heartbeats = maps.Clone(k.heartbeats) // heartbeats are replaced, never modified
	c.rights, c.previousOwners = maps.Clone(k.rights), maps.Clone(k.previousOwners)
	return &c
}
