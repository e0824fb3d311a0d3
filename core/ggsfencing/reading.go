package ggsfencing

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// Observe applies a reading of the store as of a position. A reading that is older than the last
// one is ignored. The zero position marks a partial reading from a peer. A record that is absent
// from a partial reading may still exist, so partial readings are only used until this VM has
// read the store.
func (t *OwnershipTracker) Observe(now time.Time, at ggscore.StorePosition, r Reading) {
	if at.IsZero() && t.synced || at.Before(ggscore.StorePosition{Epoch: t.epoch, Revision: t.readRevision}) && !at.IsZero() {
		return
	}
	if t.started.IsZero() {
		t.started = now
	}
	if !at.IsZero() && (!t.synced || at.Epoch != t.epoch) {
		t.beginEpoch(now, at.Epoch, r)
	}
	t.readRevision = at.Revision
	t.storedSettled = r.SettledEpoch
	t.settled = t.settled || r.SettledEpoch == t.epoch
	seen := make(map[ggscore.EndpointID]bool, len(r.Records))
	for _, x := range r.Records {
		seen[x.Endpoint] = true
		t.observeRecord(now, x)
	}
	for id, x := range t.records {
		if !seen[id] && x.Revision <= at.Revision {
			delete(t.records, id)
			delete(t.rights, id)
		}
	}
	t.observeHeartbeats(now, at, r.Heartbeats)
}

// beginEpoch starts an epoch with its first reading.
func (t *OwnershipTracker) beginEpoch(now time.Time, e ggscore.StoreEpoch, r Reading) {
	first := !t.synced
	t.previousOwners = map[ggscore.EndpointID]ggscore.VMID{}
	for id := range t.records {
		t.previousOwners[id] = t.Owner(id)
	}
	t.epoch, t.epochSince, t.synced, t.readRevision, t.ownRevision = e, now, true, 0, 0
	// A store without epochs is never restored from an older copy, so no earlier right exists.
	t.settled = e == 0 || first && t.options.FirstStart && t.allWrittenIn(e, r.Records)
	clear(t.records)
	clear(t.heartbeats)
}

func (t *OwnershipTracker) allWrittenIn(e ggscore.StoreEpoch, rs []Record) bool {
	return !slices.ContainsFunc(rs, func(r Record) bool { return r.Epoch != e })
}

func (t *OwnershipTracker) observeHeartbeats(now time.Time, at ggscore.StorePosition, heartbeats []Heartbeat) {
	alive := make(map[ggscore.VMID]bool, len(heartbeats))
	for _, b := range heartbeats {
		alive[b.VM] = true
		if h := t.heartbeats[b.VM]; h == nil || h.Revision != b.Revision {
			t.heartbeats[b.VM] = &heartbeat{Heartbeat: b, since: now}
		}
		if b.VM == t.options.Self && b.Revision > t.ownRevision {
			t.ownRevision = b.Revision
		}
	}
	for vm, b := range t.heartbeats {
		if !at.IsZero() && !alive[vm] && b.Revision != 0 {
			t.heartbeats[vm] = &heartbeat{Heartbeat: Heartbeat{VM: vm}, since: now}
		}
	}
}

// observeRecord applies a record that was read from the store.
func (t *OwnershipTracker) observeRecord(now time.Time, r Record) {
	h := t.records[r.Endpoint]
	if h != nil && h.Revision >= r.Revision {
		return
	}
	t.records[r.Endpoint] = &record{Record: r, since: now}
	if t.inCurrentEpoch(r) && (r.Owner != t.options.Self || r.Released) {
		delete(t.rights, r.Endpoint)
	}
}

// inCurrentEpoch reports whether a record was written in the current epoch, and so names the
// current owner.
func (t *OwnershipTracker) inCurrentEpoch(r Record) bool { return r.Epoch == t.epoch }

// earlierRightsExpired reports whether all rights from earlier epochs have expired.
func (t *OwnershipTracker) earlierRightsExpired(now time.Time) bool {
	return t.settled || t.synced && now.Sub(t.epochSince) >= t.takeoverWait()
}

// SetListed replaces the list of known endpoints.
func (t *OwnershipTracker) SetListed(now time.Time, list []ggscore.Instance) {
	listed := make(map[ggscore.EndpointID]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
	}
	for id, r := range t.records {
		switch {
		case listed[id]:
			r.unlistedSince = time.Time{}
		case r.unlistedSince.IsZero():
			r.unlistedSince = now
		}
	}
}
