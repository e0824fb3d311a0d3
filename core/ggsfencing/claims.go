package ggsfencing

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

// Claims returns the ownership records for this VM to write: those of endpoints without an owner
// where this VM is the preferred owner, and those that renew a right to send orders that this VM
// acquired in an earlier epoch.
//
// A record that this VM released itself is claimed again without delay. No other VM has sent
// orders since the release, because its claim would have replaced the record. With a delay,
// a rolling restart would leave the endpoints of one VM after the other without orders for
// longer than MinOrderGap.
func (t *OwnershipTracker) Claims(now time.Time, ready []ggscore.Instance) []Claim {
	if !t.synced || t.ownRevision == 0 {
		return nil
	}
	settled := now.Sub(t.started) >= t.options.ClaimDelay
	room := t.options.MaxRecords - len(t.NextHeartbeat(now).Records)
	var cs []Claim
	for i := range ready {
		if len(cs) >= room {
			break
		}
		c, ok := t.renewal(now, ready[i].ID)
		if !ok && settled {
			c, ok = t.claim(now, ready[i].ID)
			ok = ok && t.preferredOwner(&ready[i]) == t.options.Self
		}
		if ok {
			cs = append(cs, c)
		}
	}
	return cs
}

// renewal returns this VM's claim of an endpoint, and whether no other VM may send orders to the
// endpoint: this VM holds an unexpired right from an earlier epoch, or released the record in
// the current epoch.
func (t *OwnershipTracker) renewal(now time.Time, id ggscore.EndpointID) (Claim, bool) {
	c := Claim{Endpoint: id, Epoch: t.epoch}
	r := t.records[id]
	if r != nil {
		c.RecordRevision = r.Revision
	}
	if r == nil || !t.inCurrentEpoch(r.Record) {
		return c, now.Before(t.rights[id].until)
	}
	return c, r.Released && r.Owner == t.options.Self
}

// claim returns this VM's claim of an endpoint, and whether the previous owner of the endpoint
// can no longer send orders.
func (t *OwnershipTracker) claim(now time.Time, id ggscore.EndpointID) (Claim, bool) {
	c := Claim{Endpoint: id, Epoch: t.epoch}
	r := t.records[id]
	if r == nil {
		return c, t.earlierRightsExpired(now)
	}
	c.RecordRevision = r.Revision
	if !t.inCurrentEpoch(r.Record) {
		// The record is from an earlier epoch. Its delayed write may have replaced a record of
		// this epoch, whose owner may send orders until takeoverWait has passed.
		return c, now.Sub(r.since) >= t.takeoverWait()
	}
	if r.Released {
		return c, now.Sub(r.since) >= t.options.MinOrderGap+t.options.Margin
	}
	if r.Owner == t.options.Self {
		return Claim{}, false
	}
	c.Owner = r.Owner
	since := r.since
	if b := t.heartbeats[r.Owner]; b != nil {
		c.OwnerRevision = b.Revision
		if b.since.After(since) {
			since = b.since
		}
	}
	return c, now.Sub(since) >= t.takeoverWait()
}

// ReleasedUntil returns when another VM may claim an endpoint that its owner has released, zero for
// an endpoint that isn't released.
func (t *OwnershipTracker) ReleasedUntil(id ggscore.EndpointID) time.Time {
	r := t.records[id]
	if r == nil || !r.Released || !t.inCurrentEpoch(r.Record) {
		return time.Time{}
	}
	return r.since.Add(t.options.MinOrderGap + t.options.Margin)
}

// SetReachable replaces the set of VMs whose gossip heartbeats arrive.
func (t *OwnershipTracker) SetReachable(vms []ggscore.VMID) {
	t.reachable = make(map[ggscore.VMID]bool, len(vms))
	for _, vm := range vms {
		t.reachable[vm] = true
	}
}

// preferredOwner returns the VM that is to claim the endpoint. Candidates are this VM and the
// reachable VMs with fewer than MaxRecords endpoints that aren't isolated and haven't released the
// endpoint themselves: a VM that can send orders claims what it has released at once. VMs in the
// endpoint's failure domain take precedence, and rendezvous hashing selects one of them. If two VMs
// both select themselves, the conditions of the store's transaction let only one claim succeed.
func (t *OwnershipTracker) preferredOwner(i *ggscore.Instance) ggscore.VMID {
	owned := t.ownedCounts()
	best, bestWeight, bestLocal := t.options.Self, 0.0, false
	released := ggscore.VMID("")
	if r := t.records[i.ID]; r != nil && r.Released {
		released = r.Owner
	}
	for vm, b := range t.heartbeats {
		if vm != t.options.Self && (!t.reachable[vm] || b.Isolated || vm == released || owned[vm] >= t.options.MaxRecords) {
			continue
		}
		local := b.Domain == i.Domain
		w := weight(vm, i.ID, b.Capacity)
		if local && !bestLocal || local == bestLocal && w >= bestWeight {
			best, bestWeight, bestLocal = vm, w, local
		}
	}
	return best
}

// weight is the rendezvous weight of a VM for an endpoint. A VM's chance of the highest weight
// is proportional to its capacity, so that only few VMs of a large deployment own endpoints
// and write to the store for them.
func weight(vm ggscore.VMID, id ggscore.EndpointID, capacity uint64) float64 {
	x := (float64(xxhash.Sum64String(string(vm)+" "+string(id))>>11) + 1) / (1 << 53)
	return -float64(max(capacity, 1)) / math.Log(x)
}

// ownedCounts returns the number of endpoints that each VM owns.
func (t *OwnershipTracker) ownedCounts() map[ggscore.VMID]int {
	n := make(map[ggscore.VMID]int, len(t.heartbeats))
	for _, r := range t.records {
		if !r.Released {
			n[r.Owner]++
		}
	}
	return n
}

// ClaimAcknowledged records that the store acknowledged a claim that was sent at the given time.
func (t *OwnershipTracker) ClaimAcknowledged(sent time.Time, c Claim, at ggscore.StorePosition) {
	if c.Epoch != t.epoch || at.Epoch != t.epoch {
		return
	}
	r := Record{Endpoint: c.Endpoint, Owner: t.options.Self, Epoch: at.Epoch, Revision: at.Revision}
	t.records[c.Endpoint] = &record{Record: r, since: sent}
	t.extend(sent, r)
}
