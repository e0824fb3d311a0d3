package ggsfencing

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// Observe applies a reading of the store as of a position. A reading that is older than the
// last one is ignored. The zero position marks a partial reading from a peer. A partial
// reading proves nothing about records that are absent from it, and it is only used until
// this VM has read the store.
func (k *OwnershipTracker) Observe(now time.Time, at ggscore.StorePosition, r Reading) {
	if at.IsZero() && k.synced || at.Before(ggscore.StorePosition{Epoch: k.epoch, Revision: k.readRevision}) && !at.IsZero() {
		return
	}
	if k.started.IsZero() {
		k.started = now
	}
	if !at.IsZero() && (!k.synced || at.Epoch != k.epoch) {
		k.beginEpoch(now, at.Epoch, r)
	}
	k.readRevision = at.Revision
	k.storedSettled = r.SettledEpoch
	k.settled = k.settled || r.SettledEpoch == k.epoch
	seen := make(map[ggscore.EndpointID]bool, len(r.Records))
	for _, x := range r.Records {
		seen[x.Endpoint] = true
		k.observeRecord(now, x)
	}
	for id, x := range k.records {
		if !seen[id] && x.Revision <= at.Revision {
			delete(k.records, id)
			delete(k.rights, id)
		}
	}
	k.observeHeartbeats(now, at, r.Heartbeats)
}

// beginEpoch starts an epoch with its first reading.
func (k *OwnershipTracker) beginEpoch(now time.Time, e ggscore.StoreEpoch, r Reading) {
	first := !k.synced
	k.previousOwners = map[ggscore.EndpointID]ggscore.VMID{}
	for id := range k.records {
		k.previousOwners[id] = k.Owner(id)
	}
	k.epoch, k.epochSince, k.synced, k.readRevision, k.ownRevision = e, now, true, 0, 0
	// A store without epochs is never restored from an older copy, so no earlier right exists.
	k.settled = e == 0 || first && k.options.FirstStart && k.allWrittenIn(e, r.Records)
	clear(k.records)
	clear(k.heartbeats)
}

func (k *OwnershipTracker) allWrittenIn(e ggscore.StoreEpoch, rs []Record) bool {
	return !slices.ContainsFunc(rs, func(r Record) bool { return r.Epoch != e })
}

func (k *OwnershipTracker) observeHeartbeats(now time.Time, at ggscore.StorePosition, heartbeats []Heartbeat) {
	alive := make(map[ggscore.VMID]bool, len(heartbeats))
	for _, b := range heartbeats {
		alive[b.VM] = true
		if h := k.heartbeats[b.VM]; h == nil || h.Revision != b.Revision {
			k.heartbeats[b.VM] = &heartbeat{Heartbeat: b, since: now}
		}
		if b.VM == k.options.Self && b.Revision > k.ownRevision {
			k.ownRevision = b.Revision
		}
	}
	for vm, b := range k.heartbeats {
		if !at.IsZero() && !alive[vm] && b.Revision != 0 {
			k.heartbeats[vm] = &heartbeat{Heartbeat: Heartbeat{VM: vm}, since: now}
		}
	}
}

// observeRecord applies a record that was read from the store.
func (k *OwnershipTracker) observeRecord(now time.Time, r Record) {
	h := k.records[r.Endpoint]
	if h != nil && h.Revision >= r.Revision {
		return
	}
	k.records[r.Endpoint] = &record{Record: r, since: now}
	if k.inCurrentEpoch(r) && (r.Owner != k.options.Self || r.Released) {
		delete(k.rights, r.Endpoint)
	}
}

// inCurrentEpoch reports whether a record was written in the current epoch, and so names the
// current owner.
func (k *OwnershipTracker) inCurrentEpoch(r Record) bool { return r.Epoch == k.epoch }

// earlierRightsExpired reports whether all rights from earlier epochs have expired.
func (k *OwnershipTracker) earlierRightsExpired(now time.Time) bool {
	return k.settled || k.synced && now.Sub(k.epochSince) >= k.takeoverWait()
}

// SetListed replaces the list of known endpoints.
func (k *OwnershipTracker) SetListed(now time.Time, list []ggscore.Instance) {
	listed := make(map[ggscore.EndpointID]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
	}
	for id, r := range k.records {
		switch {
		case listed[id]:
			r.unlistedSince = time.Time{}
		case r.unlistedSince.IsZero():
			r.unlistedSince = now
		}
	}
}
