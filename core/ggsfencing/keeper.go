// Package ggsfencing decides which VM may give orders to an endpoint, where the
// endpoint itself doesn't check who does.
//
// # Usage
//
//	k := ggsfencing.NewKeeper(ggsfencing.Options{Self: vm, Turn: 3 * time.Second})
//	k.Observe(now, at, reading)             // each reading of the store
//	k.SetHeard(vms)                         // whose heartbeats arrive
//	p := k.Beat(now)                        // write it; its conditions are p's
//	k.BeatEnded(sent, p, at, refused)
//	for _, c := range k.Claims(now, ready) { … k.ClaimEnded(sent, c, at) }
//	fence, ok := k.May(now, endpoint)       // immediately before each order
//
// A record in the store names the VM that gives an endpoint its orders. Each VM
// writes a beat of its own under the condition that its records are unchanged,
// and gives orders for Validity after it sent the last beat that was
// acknowledged. Another VM takes a record over under the condition that the
// owner's beat is still the one that it saw Validity plus Turn plus Margin ago.
// So at that moment the owner's last order is Turn old at least, whatever was
// lost, late, frozen or cut off: no lease, no clock but each VM's own, and no
// message between the two are relied on. A beat's write that takes effect late
// only delays a takeover; a takeover's write that takes effect late still meets
// its conditions.
//
// # Epochs
//
// A store that comes back from an older copy has lost beats and records, and has those of
// VMs that gave orders before. The right to give orders doesn't rest on what the store has
// but on what it acknowledged: it goes on until its Validity ends. In the new epoch
//
//   - only the VM that has the right for an endpoint claims it at once;
//   - every other VM waits Validity plus Turn plus Margin since it first read the epoch,
//     by when the rights of epochs before have ended;
//   - a record counts for the epoch that its own value names: one that was copied, or
//     that was written late, says nothing of who gives orders;
//   - a write counts for the epoch of its conditions: what another epoch acknowledges
//     isn't acknowledged.
//
// VMs that have waited say so in the store (Settled), for those that start later.
//
// Times are to come from a clock that goes on while the VM is suspended. The
// package holds no clock, no goroutine and no lock.
package ggsfencing

import (
	"cmp"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// Defaults of Options.
const (
	// DefaultValidity is how long orders go on after the last acknowledged
	// beat. It outlasts a store that is away for 8 s, since adapters can't be
	// loaded without orders; a VM that is gone for good leaves its endpoints
	// without orders for this and the turn.
	DefaultValidity = 9 * time.Second
	// DefaultMargin covers an order on its way when the validity ends: its
	// timeout of one second.
	DefaultMargin = time.Second
	// DefaultSettle is how long a new VM waits before its first claims, so that
	// VMs that start together share the endpoints.
	DefaultSettle = 1500 * time.Millisecond
	// DefaultForget is how long an endpoint is off the list before its record is
	// dropped: no order can have been given for a takeover's wait by then.
	DefaultForget = 20 * time.Second
	// DefaultMaxRecords is the number of records that a VM has at most: a
	// transaction of the store takes 32 conditions, one of them the VM's own beat,
	// and maxDrops for records that are dropped.
	DefaultMaxRecords = 27
)

// An Options sets a Keeper. Zero fields take their defaults.
type Options struct {
	Self   ggscore.VMID
	Domain ggscore.Domain
	// Turn is the time that has to lie between the orders of two VMs.
	Turn     time.Duration
	Validity time.Duration
	Margin   time.Duration
	Settle   time.Duration
	Forget   time.Duration
	// MaxRecords bounds the endpoints that get their orders from this VM.
	MaxRecords int
	// FirstStart says that the deployment starts for the first time: no VM has given orders
	// before.
	FirstStart bool
}

// maxDrops bounds the records that one beat drops.
const maxDrops = 4

// A Record says which VM gives an endpoint its orders. Released is set by an
// owner that stops and gives no more.
type Record struct {
	Endpoint ggscore.EndpointID
	Owner    ggscore.VMID
	Released bool
	// Epoch is the one in which its owner wrote it, by its value.
	Epoch    ggscore.StoreEpoch
	Revision ggscore.StoreRevision
}

// A Reading is what the store has of the VMs' own records.
type Reading struct {
	Records []Record
	Beats   []Beat
	// Settled is the last epoch in which a VM has waited for rights of epochs before to
	// end, zero for none.
	Settled ggscore.StoreEpoch
}

// A Beat is a VM's sign of life in the store.
type Beat struct {
	VM     ggscore.VMID
	Domain ggscore.Domain
	// Capacity compares VMs: those of more are to have more endpoints.
	Capacity uint64
	Revision ggscore.StoreRevision
}

// A BeatPlan is a beat to write, under the condition that the own beat and the
// records are at their revisions of an epoch.
type BeatPlan struct {
	Epoch    ggscore.StoreEpoch
	Revision ggscore.StoreRevision
	Records  []Record
	// Drop are records of endpoints that are gone, to be deleted with the beat.
	Drop []Record
	// Settle says that the epoch is to be written as settled.
	Settle bool
}

// A Claim is a record to write, under the condition that the record and the
// beat of its owner are at their revisions of an epoch.
type Claim struct {
	Endpoint       ggscore.EndpointID
	Epoch          ggscore.StoreEpoch
	RecordRevision ggscore.StoreRevision
	// Owner is the VM that gave orders before, empty where none did or its right has ended.
	Owner         ggscore.VMID
	OwnerRevision ggscore.StoreRevision
}

// A Keeper holds what a VM knows of records and beats.
type Keeper struct {
	options Options
	started time.Time
	// epoch is that of the last reading, since when it was first read, read how far, and
	// settled says that no right of an epoch before goes on.
	epoch   ggscore.StoreEpoch
	since   time.Time
	read    ggscore.StoreRevision
	synced  bool
	settled bool
	// written is the epoch that the store says is settled.
	written ggscore.StoreEpoch
	records map[ggscore.EndpointID]*record
	beats   map[ggscore.VMID]*beat
	own     ggscore.StoreRevision
	// rights are this VM's to give orders.
	rights map[ggscore.EndpointID]right
	// owners are the VMs that gave orders in the epoch before.
	owners map[ggscore.EndpointID]ggscore.VMID
	// heard are the VMs whose heartbeats arrive. It only decides who claims first.
	heard map[ggscore.VMID]bool
}

type record struct {
	Record
	// since is when the record was first seen at its revision.
	since time.Time
	// gone is when the endpoint was first seen to be off the list.
	gone time.Time
}

type beat struct {
	Beat
	since time.Time
}

// A right is that to give an endpoint orders.
type right struct {
	until time.Time
	fence ggscore.FenceNumber
}

// NewKeeper returns a Keeper that knows nothing.
func NewKeeper(o Options) *Keeper {
	o.Validity = cmp.Or(o.Validity, DefaultValidity)
	o.Margin = cmp.Or(o.Margin, DefaultMargin)
	o.Settle = cmp.Or(o.Settle, DefaultSettle)
	o.Forget = cmp.Or(o.Forget, DefaultForget)
	o.MaxRecords = cmp.Or(o.MaxRecords, DefaultMaxRecords)
	return &Keeper{
		options: o, records: map[ggscore.EndpointID]*record{}, beats: map[ggscore.VMID]*beat{},
		rights: map[ggscore.EndpointID]right{}, owners: map[ggscore.EndpointID]ggscore.VMID{},
	}
}

// wait is the time after which a right has ended and its last order is a turn old.
func (k *Keeper) wait() time.Duration {
	return k.options.Validity + k.options.Turn + k.options.Margin
}

// Beat returns the next beat to write. It drops the records of endpoints that are
// gone: kept, they would fill the beat's conditions as endpoints come and go, until
// the store refused all beats and no endpoint got orders any more.
func (k *Keeper) Beat(now time.Time) BeatPlan {
	p := BeatPlan{Epoch: k.epoch, Revision: k.own, Settle: k.synced && k.written != k.epoch && k.waited(now)}
	for _, r := range k.records {
		gone := !r.gone.IsZero() && now.Sub(r.gone) >= k.options.Forget
		switch {
		case r.Owner != k.options.Self || r.Released:
		case gone && len(p.Drop) < maxDrops:
			p.Drop = append(p.Drop, r.Record)
		case !gone && k.counts(r.Record):
			p.Records = append(p.Records, r.Record)
		}
	}
	slices.SortFunc(p.Records, func(a, b Record) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return p
}

// BeatEnded takes the end of writing a beat that was sent at the time. After a
// refusal one of its records may be another's, so no order is given on any
// until a later beat is acknowledged; the store has to be read anew.
func (k *Keeper) BeatEnded(sent time.Time, p BeatPlan, at ggscore.StorePosition, refused bool) {
	if p.Epoch != k.epoch || at.Epoch != k.epoch {
		return
	}
	for _, r := range p.Records {
		h := k.records[r.Endpoint]
		if h == nil || h.Revision != r.Revision {
			continue
		}
		if refused {
			delete(k.rights, r.Endpoint)
			continue
		}
		k.extend(sent, r)
	}
	if refused {
		return
	}
	for _, r := range p.Drop {
		delete(k.records, r.Endpoint)
		delete(k.rights, r.Endpoint)
	}
	k.own = max(k.own, at.Revision)
	if p.Settle {
		k.written = p.Epoch
	}
}

// extend has the right that a record gives go on from the time at which its beat or claim was
// sent.
func (k *Keeper) extend(sent time.Time, r Record) {
	until := sent.Add(k.options.Validity)
	if o := k.rights[r.Endpoint]; o.until.After(until) {
		until = o.until
	}
	k.rights[r.Endpoint] = right{until: until, fence: fence(r)}
}

// epochShift leaves the lower half of a fencing number to the record's revision.
const epochShift = 32

// fence returns the fencing number of a record. It rises with epochs, though revisions fall.
func fence(r Record) ggscore.FenceNumber {
	return ggscore.FenceNumber(uint64(r.Epoch)<<epochShift | uint64(r.Revision))
}

// Owns reports whether this VM gives orders to an endpoint.
func (k *Keeper) Owns() bool {
	for _, r := range k.records {
		if r.Owner == k.options.Self && !r.Released && k.counts(r.Record) {
			return true
		}
	}
	return false
}

// May returns the fencing number for an order to the endpoint, and whether
// this VM may give one now.
func (k *Keeper) May(now time.Time, id ggscore.EndpointID) (ggscore.FenceNumber, bool) {
	r, ok := k.rights[id]
	if !ok || !now.Before(r.until) {
		return 0, false
	}
	return r.fence, true
}

// Records returns all records that are known.
func (k *Keeper) Records() []Record {
	rs := make([]Record, 0, len(k.records))
	for _, r := range k.records {
		rs = append(rs, r.Record)
	}
	return rs
}

// Owner returns the VM that gives the endpoint its orders, empty where none
// does. In a new epoch it is the one of the epoch before until a record says otherwise.
func (k *Keeper) Owner(id ggscore.EndpointID) ggscore.VMID {
	r := k.records[id]
	switch {
	case r != nil && (k.counts(r.Record) || !k.synced):
		if r.Released {
			return ""
		}
		return r.Owner
	case k.owners[id] != "":
		return k.owners[id]
	case r != nil && !r.Released:
		return r.Owner
	}
	return ""
}

// Epoch returns the epoch of the last reading, and whether there was one.
func (k *Keeper) Epoch() (ggscore.StoreEpoch, bool) { return k.epoch, k.synced }

// Stop ends all orders of this VM. The records that it then releases are to be
// written under the conditions of Beat: a release that takes effect late, after
// the VM's next process has beaten, would let another VM order while that one
// may.
func (k *Keeper) Stop() { clear(k.rights) }
