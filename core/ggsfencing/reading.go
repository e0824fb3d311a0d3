package ggsfencing

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// Observe takes a reading of the store as of a position. One that is older
// than the last is passed over. The zero position stands for a part of a peer's
// reading, which says nothing of what it doesn't have and counts until the store is read.
func (k *Keeper) Observe(now time.Time, at ggscore.StorePosition, r Reading) {
	if at.IsZero() && k.synced || at.Before(ggscore.StorePosition{Epoch: k.epoch, Revision: k.read}) && !at.IsZero() {
		return
	}
	if k.started.IsZero() {
		k.started = now
	}
	if !at.IsZero() && (!k.synced || at.Epoch != k.epoch) {
		k.enter(now, at.Epoch, r)
	}
	k.read = at.Revision
	k.written = r.Settled
	k.settled = k.settled || r.Settled == k.epoch
	seen := make(map[ggscore.EndpointID]bool, len(r.Records))
	for _, x := range r.Records {
		seen[x.Endpoint] = true
		k.see(now, x)
	}
	for id, x := range k.records {
		if !seen[id] && x.Revision <= at.Revision {
			delete(k.records, id)
			delete(k.rights, id)
		}
	}
	k.seeBeats(now, at, r.Beats)
}

// enter begins an epoch with its first reading.
func (k *Keeper) enter(now time.Time, e ggscore.StoreEpoch, r Reading) {
	first := !k.synced
	k.owners = map[ggscore.EndpointID]ggscore.VMID{}
	for id := range k.records {
		k.owners[id] = k.Owner(id)
	}
	k.epoch, k.since, k.synced, k.read, k.own = e, now, true, 0, 0
	// A store that names no epochs loses nothing.
	k.settled = e == 0 || first && k.options.FirstStart && k.allOf(e, r.Records)
	clear(k.records)
	clear(k.beats)
}

// allOf reports whether all records were written in the epoch.
func (k *Keeper) allOf(e ggscore.StoreEpoch, rs []Record) bool {
	return !slices.ContainsFunc(rs, func(r Record) bool { return r.Epoch != e })
}

func (k *Keeper) seeBeats(now time.Time, at ggscore.StorePosition, beats []Beat) {
	alive := make(map[ggscore.VMID]bool, len(beats))
	for _, b := range beats {
		alive[b.VM] = true
		if h := k.beats[b.VM]; h == nil || h.Revision != b.Revision {
			k.beats[b.VM] = &beat{Beat: b, since: now}
		}
		if b.VM == k.options.Self && b.Revision > k.own {
			k.own = b.Revision
		}
	}
	for vm, b := range k.beats {
		if !at.IsZero() && !alive[vm] && b.Revision != 0 {
			k.beats[vm] = &beat{Beat: Beat{VM: vm}, since: now}
		}
	}
}

// see takes a record as it stands in the store.
func (k *Keeper) see(now time.Time, r Record) {
	h := k.records[r.Endpoint]
	if h != nil && h.Revision >= r.Revision {
		return
	}
	k.records[r.Endpoint] = &record{Record: r, since: now}
	if k.counts(r) && (r.Owner != k.options.Self || r.Released) {
		delete(k.rights, r.Endpoint)
	}
}

// counts reports whether a record says who gives orders in the present epoch.
func (k *Keeper) counts(r Record) bool { return r.Epoch == k.epoch }

// waited reports whether no right of an epoch before goes on.
func (k *Keeper) waited(now time.Time) bool {
	return k.settled || k.synced && now.Sub(k.since) >= k.wait()
}

// SetListed takes the endpoints that are on the list.
func (k *Keeper) SetListed(now time.Time, list []ggscore.Instance) {
	listed := make(map[ggscore.EndpointID]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
	}
	for id, r := range k.records {
		switch {
		case listed[id]:
			r.gone = time.Time{}
		case r.gone.IsZero():
			r.gone = now
		}
	}
}
