package ggsfencing

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

// Claims returns the ownership records for this VM to write: those of endpoints without an
// owner where this VM is the preferred owner, and those that renew a right of this VM from an
// earlier epoch.
//
// A record that this VM released itself is claimed again without delay. No other VM has sent
// orders since the release, because its claim would have replaced the record. With a delay,
// a rolling restart would leave the endpoints of one VM after the other without orders for
// longer than MinOrderGap.
func (k *OwnershipTracker) Claims(now time.Time, ready []ggscore.Instance) []Claim {
	if !k.synced || k.ownRevision == 0 {
		return nil
	}
	settled := now.Sub(k.started) >= k.options.ClaimDelay
	room := k.options.MaxRecords - len(k.NextHeartbeat(now).Records)
	var cs []Claim
	for i := range ready {
		if len(cs) >= room {
			break
		}
		c, ok := k.renewal(now, ready[i].ID)
		if !ok && settled {
			c, ok = k.claim(now, ready[i].ID)
			ok = ok && k.preferredOwner(&ready[i]) == k.options.Self
		}
		if ok {
			cs = append(cs, c)
		}
	}
	return cs
}

// renewal returns the claim of an endpoint that no other VM may send orders to: this VM holds
// a right from an earlier epoch, or released the record in the current epoch.
func (k *OwnershipTracker) renewal(now time.Time, id ggscore.EndpointID) (Claim, bool) {
	c := Claim{Endpoint: id, Epoch: k.epoch}
	r := k.records[id]
	if r != nil {
		c.RecordRevision = r.Revision
	}
	if r == nil || !k.inCurrentEpoch(r.Record) {
		return c, now.Before(k.rights[id].until)
	}
	return c, r.Released && r.Owner == k.options.Self
}

// claim returns the claim of an endpoint, and whether its previous owner can no longer send
// orders.
func (k *OwnershipTracker) claim(now time.Time, id ggscore.EndpointID) (Claim, bool) {
	c := Claim{Endpoint: id, Epoch: k.epoch}
	r := k.records[id]
	if r == nil {
		return c, k.earlierRightsExpired(now)
	}
	c.RecordRevision = r.Revision
	if !k.inCurrentEpoch(r.Record) {
		// A delayed write from an earlier epoch may have replaced a record of this epoch.
		return c, now.Sub(r.since) >= k.takeoverWait()
	}
	if r.Released {
		return c, now.Sub(r.since) >= k.options.MinOrderGap+k.options.Margin
	}
	if r.Owner == k.options.Self {
		return Claim{}, false
	}
	c.Owner = r.Owner
	since := r.since
	if b := k.heartbeats[r.Owner]; b != nil {
		c.OwnerRevision = b.Revision
		if b.since.After(since) {
			since = b.since
		}
	}
	return c, now.Sub(since) >= k.takeoverWait()
}

// SetReachable replaces the set of VMs whose gossip heartbeats arrive.
func (k *OwnershipTracker) SetReachable(vms []ggscore.VMID) {
	k.reachable = make(map[ggscore.VMID]bool, len(vms))
	for _, vm := range vms {
		k.reachable[vm] = true
	}
}

// preferredOwner returns the VM that is to claim the endpoint. Candidates are this VM and the
// reachable VMs with fewer than MaxRecords endpoints. VMs in the endpoint's failure domain
// take precedence, and rendezvous hashing selects one of them. If two VMs both select
// themselves, the conditions of the store's transaction let only one claim succeed.
func (k *OwnershipTracker) preferredOwner(i *ggscore.Instance) ggscore.VMID {
	owned := k.ownedCounts()
	best, bestWeight, bestLocal := k.options.Self, 0.0, false
	for vm, b := range k.heartbeats {
		if vm != k.options.Self && (!k.reachable[vm] || owned[vm] >= k.options.MaxRecords) {
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
func (k *OwnershipTracker) ownedCounts() map[ggscore.VMID]int {
	n := make(map[ggscore.VMID]int, len(k.heartbeats))
	for _, r := range k.records {
		if !r.Released {
			n[r.Owner]++
		}
	}
	return n
}

// ClaimAcknowledged records that the store acknowledged a claim that was sent at the given time.
func (k *OwnershipTracker) ClaimAcknowledged(sent time.Time, c Claim, at ggscore.StorePosition) {
	if c.Epoch != k.epoch || at.Epoch != k.epoch {
		return
	}
	r := Record{Endpoint: c.Endpoint, Owner: k.options.Self, Epoch: at.Epoch, Revision: at.Revision}
	k.records[c.Endpoint] = &record{Record: r, since: sent}
	k.extend(sent, r)
}
