// Package ggsfencing decides which VM may give orders to an endpoint, where the
// endpoint itself doesn't check who does.
//
// # Usage
//
//	k := ggsfencing.NewKeeper(ggsfencing.Options{Self: vm, Turn: 3 * time.Second})
//	k.Observe(now, at, records, beats)      // each reading of the store
//	k.SetHeard(vms)                         // whose words arrive
//	p := k.Beat(now)                        // write it; its conditions are p's
//	k.BeatEnded(sent, p, revision, refused)
//	for _, c := range k.Claims(now, ready) { … k.ClaimEnded(sent, c, revision) }
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
// Times are to come from a clock that goes on while the VM is suspended. The
// package holds no clock, no goroutine and no lock.
package ggsfencing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

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
}

// maxDrops bounds the records that one beat drops.
const maxDrops = 4

// A Record says which VM gives an endpoint its orders. Released is set by an
// owner that stops and gives no more.
type Record struct {
	Endpoint ggscore.EndpointID
	Owner    ggscore.VMID
	Released bool
	Revision ggscore.StoreRevision
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
// records are at their revisions.
type BeatPlan struct {
	Revision ggscore.StoreRevision
	Records  []Record
	// Drop are records of endpoints that are gone, to be deleted with the beat.
	Drop []Record
}

// A Claim is a record to write, under the condition that the record and the
// beat of its owner are at their revisions.
type Claim struct {
	Endpoint       ggscore.EndpointID
	RecordRevision ggscore.StoreRevision
	// Owner is the VM that gave orders before, empty where none did.
	Owner         ggscore.VMID
	OwnerRevision ggscore.StoreRevision
}

// A Keeper holds what a VM knows of records and beats.
type Keeper struct {
	options Options
	started time.Time
	read    ggscore.StoreRevision
	records map[ggscore.EndpointID]*record
	beats   map[ggscore.VMID]*beat
	own     ggscore.StoreRevision
	// heard are the VMs whose words arrive. It only decides who claims first.
	heard map[ggscore.VMID]bool
}

type record struct {
	Record
	// since is when the record was first seen at its revision.
	since time.Time
	// until is when orders end, for own records.
	until time.Time
	// gone is when the endpoint was first seen to be off the list.
	gone time.Time
}

type beat struct {
	Beat
	since time.Time
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
	}
}

// Observe takes a reading of the store as of a revision. One that is older
// than the last is passed over. Zero stands for a part of a peer's reading,
// which says nothing of what it doesn't have.
func (k *Keeper) Observe(now time.Time, at ggscore.StoreRevision, records []Record, beats []Beat) {
	if at < k.read {
		return
	}
	k.read = at
	if k.started.IsZero() {
		k.started = now
	}
	seen := make(map[ggscore.EndpointID]bool, len(records))
	for _, r := range records {
		seen[r.Endpoint] = true
		k.see(now, r)
	}
	for id, r := range k.records {
		if !seen[id] && r.Revision <= at {
			delete(k.records, id)
		}
	}
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
		if at > 0 && !alive[vm] && b.Revision != 0 {
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

// Beat returns the next beat to write. It drops the records of endpoints that are
// gone: kept, they would fill the beat's conditions as endpoints come and go, until
// the store refused all beats and no endpoint got orders any more.
func (k *Keeper) Beat(now time.Time) BeatPlan {
	p := BeatPlan{Revision: k.own}
	for _, r := range k.records {
		switch {
		case r.Owner != k.options.Self || r.Released:
		case r.gone.IsZero() || now.Sub(r.gone) < k.options.Forget:
			p.Records = append(p.Records, r.Record)
		case len(p.Drop) < maxDrops:
			p.Drop = append(p.Drop, r.Record)
		}
	}
	slices.SortFunc(p.Records, func(a, b Record) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return p
}

// BeatEnded takes the end of writing a beat that was sent at the time. After a
// refusal one of its records may be another's, so no order is given on any
// until a later beat is acknowledged; the store has to be read anew.
func (k *Keeper) BeatEnded(sent time.Time, p BeatPlan, at ggscore.StoreRevision, refused bool) {
	for _, r := range p.Records {
		h := k.records[r.Endpoint]
		if h == nil || h.Revision != r.Revision {
			continue
		}
		if refused {
			h.until = time.Time{}
		} else if t := sent.Add(k.options.Validity); t.After(h.until) {
			h.until = t
		}
	}
	if refused {
		return
	}
	for _, r := range p.Drop {
		delete(k.records, r.Endpoint)
	}
	k.own = max(k.own, at)
}

// Claims returns the records that this VM is to write: those of endpoints that
// nobody gives orders to, where this VM comes first.
//
// What this VM released itself it takes back at once: no other has given orders
// since, or the record would be another's. In a rolling restart each VM's
// endpoints would else get no orders for a turn and more, one VM's after the
// other's.
func (k *Keeper) Claims(now time.Time, ready []ggscore.Instance) []Claim {
	if k.started.IsZero() || k.own == 0 {
		return nil
	}
	settled := now.Sub(k.started) >= k.options.Settle
	room := k.options.MaxRecords - len(k.Beat(now).Records)
	var cs []Claim
	for i := range ready {
		if len(cs) >= room {
			break
		}
		if r := k.records[ready[i].ID]; r != nil && r.Released && r.Owner == k.options.Self {
			cs = append(cs, Claim{Endpoint: ready[i].ID, RecordRevision: r.Revision})
			continue
		}
		if !settled {
			continue
		}
		c, ok := k.claim(now, ready[i].ID)
		if ok && k.first(&ready[i]) == k.options.Self {
			cs = append(cs, c)
		}
	}
	return cs
}

// claim returns the claim of an endpoint that may be claimed.
func (k *Keeper) claim(now time.Time, id ggscore.EndpointID) (Claim, bool) {
	r := k.records[id]
	if r == nil {
		return Claim{Endpoint: id}, true
	}
	if r.Released {
		return Claim{Endpoint: id, RecordRevision: r.Revision}, now.Sub(r.since) >= k.options.Turn+k.options.Margin
	}
	if r.Owner == k.options.Self {
		return Claim{}, false
	}
	c := Claim{Endpoint: id, RecordRevision: r.Revision, Owner: r.Owner}
	since := r.since
	if b := k.beats[r.Owner]; b != nil {
		c.OwnerRevision = b.Revision
		if b.since.After(since) {
			since = b.since
		}
	}
	return c, now.Sub(since) >= k.options.Validity+k.options.Turn+k.options.Margin
}

// SetHeard takes the VMs whose words arrive.
func (k *Keeper) SetHeard(vms []ggscore.VMID) {
	k.heard = make(map[ggscore.VMID]bool, len(vms))
	for _, vm := range vms {
		k.heard[vm] = true
	}
}

// Owns reports whether this VM gives orders to an endpoint.
func (k *Keeper) Owns() bool {
	for _, r := range k.records {
		if r.Owner == k.options.Self && !r.Released {
			return true
		}
	}
	return false
}

// first returns the VM that is to claim the endpoint: of those that are heard and have
// room, in the endpoint's domain where there are any, the one that the endpoint's name
// falls on. Where two think so of themselves, the store lets one of them have it.
func (k *Keeper) first(i *ggscore.Instance) ggscore.VMID {
	counts := k.counts()
	best, most, near := k.options.Self, 0.0, false
	for vm, b := range k.beats {
		if vm != k.options.Self && (!k.heard[vm] || counts[vm] >= k.options.MaxRecords) {
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

// counts returns the endpoints that each VM controls.
func (k *Keeper) counts() map[ggscore.VMID]int {
	n := make(map[ggscore.VMID]int, len(k.beats))
	for _, r := range k.records {
		if !r.Released {
			n[r.Owner]++
		}
	}
	return n
}

// ClaimEnded takes the end of a claim that was written.
func (k *Keeper) ClaimEnded(sent time.Time, c Claim, at ggscore.StoreRevision) {
	k.records[c.Endpoint] = &record{
		Record: Record{Endpoint: c.Endpoint, Owner: k.options.Self, Revision: at},
		since:  sent, until: sent.Add(k.options.Validity),
	}
}

// May returns the fencing number for an order to the endpoint, and whether
// this VM may give one now.
func (k *Keeper) May(now time.Time, id ggscore.EndpointID) (ggscore.FenceNumber, bool) {
	r := k.records[id]
	if r == nil || r.Owner != k.options.Self || r.Released || !now.Before(r.until) {
		return 0, false
	}
	return ggscore.FenceNumber(r.Revision), true
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
// does.
func (k *Keeper) Owner(id ggscore.EndpointID) ggscore.VMID {
	if r := k.records[id]; r != nil && !r.Released {
		return r.Owner
	}
	return ""
}

// Stop ends all orders of this VM. The records that it then releases are to be
// written under the conditions of Beat: a release that takes effect late, after
// the VM's next process has beaten, would let another VM order while that one
// may.
func (k *Keeper) Stop() {
	for _, r := range k.records {
		if r.Owner == k.options.Self {
			r.until = time.Time{}
		}
	}
}
