package ggsfencing

import (
	"maps"

	ggscore "greengageslip/core"
)

// Clone returns a copy that goes its own way.
func (k *Keeper) Clone() *Keeper {
	c := *k
	c.records = make(map[ggscore.EndpointID]*record, len(k.records))
	for id, r := range k.records {
		x := *r
		c.records[id] = &x
	}
	c.beats = maps.Clone(k.beats) // beats are replaced, never changed
	c.rights, c.owners = maps.Clone(k.rights), maps.Clone(k.owners)
	return &c
}
