package ggsfencing

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

// Claims returns the records that this VM is to write: those of endpoints that
// nobody gives orders to, where this VM comes first, and those of its own rights that an
// epoch before has given.
//
// What this VM released itself it takes back at once: no other has given orders
// since, or the record would be another's. In a rolling restart each VM's
// endpoints would else get no orders for a turn and more, one VM's after the
// other's.
func (k *Keeper) Claims(now time.Time, ready []ggscore.Instance) []Claim {
	if !k.synced || k.own == 0 {
		return nil
	}
	settled := now.Sub(k.started) >= k.options.Settle
	room := k.options.MaxRecords - len(k.Beat(now).Records)
	var cs []Claim
	for i := range ready {
		if len(cs) >= room {
			break
		}
		c, ok := k.renewal(now, ready[i].ID)
		if !ok && settled {
			c, ok = k.claim(now, ready[i].ID)
			ok = ok && k.first(&ready[i]) == k.options.Self
		}
		if ok {
			cs = append(cs, c)
		}
	}
	return cs
}

// renewal returns the claim of an endpoint that no other VM may give orders to: this one has
// the right from an epoch before, or released it in this one.
func (k *Keeper) renewal(now time.Time, id ggscore.EndpointID) (Claim, bool) {
	c := Claim{Endpoint: id, Epoch: k.epoch}
	r := k.records[id]
	if r != nil {
		c.RecordRevision = r.Revision
	}
	if r == nil || !k.counts(r.Record) {
		return c, now.Before(k.rights[id].until)
	}
	return c, r.Released && r.Owner == k.options.Self
}

// claim returns the claim of an endpoint that may be claimed.
func (k *Keeper) claim(now time.Time, id ggscore.EndpointID) (Claim, bool) {
	c := Claim{Endpoint: id, Epoch: k.epoch}
	r := k.records[id]
	if r == nil {
		return c, k.waited(now)
	}
	c.RecordRevision = r.Revision
	if !k.counts(r.Record) {
		// A late write of an epoch before may have replaced a record that counted.
		return c, now.Sub(r.since) >= k.wait()
	}
	if r.Released {
		return c, now.Sub(r.since) >= k.options.Turn+k.options.Margin
	}
	if r.Owner == k.options.Self {
		return Claim{}, false
	}
	c.Owner = r.Owner
	since := r.since
	if b := k.beats[r.Owner]; b != nil {
		c.OwnerRevision = b.Revision
		if b.since.After(since) {
			since = b.since
		}
	}
	return c, now.Sub(since) >= k.wait()
}

// SetHeard takes the VMs whose words arrive.
func (k *Keeper) SetHeard(vms []ggscore.VMID) {
	k.heard = make(map[ggscore.VMID]bool, len(vms))
	for _, vm := range vms {
		k.heard[vm] = true
	}
}

// first returns the VM that is to claim the endpoint: of those that are heard and have
// room, in the endpoint's domain where there are any, the one that the endpoint's name
// falls on. Where two think so of themselves, the store lets one of them have it.
func (k *Keeper) first(i *ggscore.Instance) ggscore.VMID {
	owned := k.owned()
	best, most, near := k.options.Self, 0.0, false
	for vm, b := range k.beats {
		if vm != k.options.Self && (!k.heard[vm] || owned[vm] >= k.options.MaxRecords) {
			continue
		}
		n := b.Domain == i.Domain
		w := weight(vm, i.ID, b.Capacity)
		if n && !near || n == near && w >= most {
			best, most, near = vm, w, n
		}
	}
	return best
}

// weight ranks VMs for an endpoint so that each gets endpoints by its capacity: few VMs of
// a large deployment then write to the store for the endpoints that they control.
func weight(vm ggscore.VMID, id ggscore.EndpointID, capacity uint64) float64 {
	x := (float64(xxhash.Sum64String(string(vm)+" "+string(id))>>11) + 1) / (1 << 53)
	return -float64(max(capacity, 1)) / math.Log(x)
}

// owned returns the number of endpoints that each VM controls.
func (k *Keeper) owned() map[ggscore.VMID]int {
	n := make(map[ggscore.VMID]int, len(k.beats))
	for _, r := range k.records {
		if !r.Released {
			n[r.Owner]++
		}
	}
	return n
}

// ClaimEnded takes the end of a claim that was written.
func (k *Keeper) ClaimEnded(sent time.Time, c Claim, at ggscore.StorePosition) {
	if c.Epoch != k.epoch || at.Epoch != k.epoch {
		return
	}
	r := Record{Endpoint: c.Endpoint, Owner: k.options.Self, Epoch: at.Epoch, Revision: at.Revision}
	k.records[c.Endpoint] = &record{Record: r, since: sent}
	k.extend(sent, r)
}
