// Package ggsfencing decides which VM owns an endpoint, that is, may send it placement orders.
// It serves endpoints that don't check fencing tokens themselves.
//
// Inputs are readings of the ownership records and heartbeats in the platform's store, the
// results of this VM's writes, the reachable VMs and the list of endpoints. Outputs are the
// heartbeats and claims for the caller to write to the store, and for each order whether this
// VM may send it and with which fencing token.
//
// # Usage
//
//	t := ggsfencing.NewOwnershipTracker(ggsfencing.Options{Self: vm, MinOrderGap: 3 * time.Second})
//	t.Observe(now, at, reading)                  // each reading of the store
//	t.SetListed(now, endpoints)                  // each reading of the list of endpoints
//	t.SetReachable(vms)                          // VMs whose gossip heartbeats arrive
//	p := t.NextHeartbeat(now)                    // write it to the store under p's conditions
//	t.HeartbeatAnswered(sent, p, at, refused)
//	for _, c := range t.Claims(now, ready) { … t.ClaimAcknowledged(sent, c, at) }
//	fence, ok := t.AuthorizeOrder(now, endpoint) // immediately before each order
//
// An ownership record in the store names the VM that sends orders to an endpoint. Each VM writes
// its own heartbeat under the condition that its records are unchanged. A VM sends orders until
// Validity has passed since it sent its last acknowledged heartbeat. Another VM takes a record
// over once it has seen the owner's heartbeat unchanged for Validity plus MinOrderGap plus
// Margin, and under the condition that the heartbeat still is. At the takeover, the previous
// owner's last order is therefore at least MinOrderGap old.
//
// Neither leases, nor synchronized clocks, nor messages between the previous and the new owner
// are needed, so the guarantee also holds when messages are lost or late and when VMs are
// suspended or partitioned. A delayed heartbeat write only delays a takeover. A delayed takeover
// write only takes effect while its conditions still hold.
//
// # Epochs
//
// A store that was restored from an older copy has lost heartbeats and records, and contains
// records of earlier owners. A VM's right to send orders depends on what the store
// acknowledged, not on what the store contains, and lasts until its Validity ends. In the new
// epoch:
//
//   - Only the VM that holds the right for an endpoint claims the endpoint at once.
//   - Every other VM waits Validity plus MinOrderGap plus Margin after its first reading of
//     the epoch. By then all rights from earlier epochs have expired.
//   - A record belongs to the epoch in its own value. A record that was copied, or written
//     late, doesn't name the current owner.
//   - A write belongs to the epoch of its conditions. An acknowledgement from another epoch
//     is ignored.
//
// VMs that have waited mark the epoch as settled in the store (SettledEpoch), so that VMs that
// start later don't wait.
//
// The caller passes times from a clock that continues while the VM is suspended. An
// OwnershipTracker has no clock, goroutine or lock of its own; the caller serializes access.
package ggsfencing

import (
	"cmp"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// Defaults of Options.
const (
	// DefaultValidity is how long a VM sends orders after the last acknowledged heartbeat. It
	// exceeds a store outage of 8 s: without orders, no adapter can be loaded. The endpoints
	// of a VM that fails for good get no orders for about Validity plus MinOrderGap.
	DefaultValidity = 9 * time.Second
	// DefaultMargin is the time in which an order that is in flight when the validity ends still
	// arrives. It equals the timeout of an order, 1 s.
	DefaultMargin = time.Second
	// DefaultClaimDelay is how long a new VM waits before its first claims, so that VMs that
	// start together share the endpoints.
	DefaultClaimDelay = 1500 * time.Millisecond
	// DefaultRecordRetention is how long an endpoint is off the list before its record is
	// deleted. It exceeds the wait before a takeover, so by then the previous owner's right to
	// send orders has expired.
	DefaultRecordRetention = 20 * time.Second
	// DefaultMaxRecords bounds the endpoints that a VM owns, each with one ownership record. A
	// store transaction takes at most 32 conditions: 27 for these records, one for the VM's own
	// heartbeat, and 4 (maxDrops) for records to delete.
	DefaultMaxRecords = 27
)

// An Options configures an OwnershipTracker. Zero fields take their defaults.
type Options struct {
	Self   ggscore.VMID
	Domain ggscore.Domain
	// MinOrderGap is the minimum time between the orders of two VMs to one endpoint.
	MinOrderGap     time.Duration
	Validity        time.Duration
	Margin          time.Duration
	ClaimDelay      time.Duration
	RecordRetention time.Duration
	// MaxRecords bounds the endpoints that this VM owns.
	MaxRecords int
	// FirstStart is set if the deployment starts for the first time, so no VM has sent orders
	// before.
	FirstStart bool
}

// maxDrops bounds the records that one heartbeat deletes.
const maxDrops = 4

// A Record is an ownership record: it names the VM that sends orders to an endpoint. An owner
// that stops sets Released and sends no more orders.
type Record struct {
	Endpoint ggscore.EndpointID
	Owner    ggscore.VMID
	Released bool
	// Epoch is the epoch in which the owner wrote the record, as stored in its value.
	Epoch    ggscore.StoreEpoch
	Revision ggscore.StoreRevision
}

// A Reading is the ownership state in the store.
type Reading struct {
	Records    []Record
	Heartbeats []Heartbeat
	// SettledEpoch is the last epoch in which a VM has waited until all earlier rights expired,
	// zero for none.
	SettledEpoch ggscore.StoreEpoch
}

// A Heartbeat is a VM's heartbeat in the store.
type Heartbeat struct {
	VM     ggscore.VMID
	Domain ggscore.Domain
	// Capacity is the VM's relative share of endpoints.
	Capacity uint64
	// Isolated is set while the VM has no path to any endpoint, so that it can't send orders.
	Isolated bool
	Revision ggscore.StoreRevision
}

// A HeartbeatPlan is a heartbeat to write under the condition that the VM's previous heartbeat
// and the records still have the given revisions in the given epoch.
type HeartbeatPlan struct {
	Epoch    ggscore.StoreEpoch
	Revision ggscore.StoreRevision
	Records  []Record
	// Drop are records of removed endpoints, to be deleted in the same transaction.
	Drop []Record
	// MarkSettled is set if the same transaction marks the epoch as settled.
	MarkSettled bool
}

// A Claim is a record to write under the condition that the record and its owner's heartbeat
// still have the given revisions in the given epoch.
type Claim struct {
	Endpoint       ggscore.EndpointID
	Epoch          ggscore.StoreEpoch
	RecordRevision ggscore.StoreRevision
	// Owner is the previous owner, empty if there is none or its right has expired.
	Owner         ggscore.VMID
	OwnerRevision ggscore.StoreRevision
}

// An OwnershipTracker tracks the ownership records and heartbeats that one VM has read, and the
// endpoints to which that VM may send orders.
type OwnershipTracker struct {
	options Options
	started time.Time
	// epoch and readRevision are the position of the last reading, and epochSince is the time
	// of the epoch's first reading. settled is set if all rights from earlier epochs have
	// expired.
	epoch        ggscore.StoreEpoch
	epochSince   time.Time
	readRevision ggscore.StoreRevision
	synced       bool
	settled      bool
	// storedSettled is the epoch that is marked as settled in the store.
	storedSettled ggscore.StoreEpoch
	records       map[ggscore.EndpointID]*record
	heartbeats    map[ggscore.VMID]*heartbeat
	// ownRevision is the revision of this VM's own heartbeat, zero for none.
	ownRevision ggscore.StoreRevision
	// rights are the endpoints to which this VM may send orders, and until when.
	rights map[ggscore.EndpointID]right
	// previousOwners are the owners in the previous epoch.
	previousOwners map[ggscore.EndpointID]ggscore.VMID
	// reachable are the VMs whose gossip heartbeats arrive. It affects only which VM claims
	// first, not safety.
	reachable map[ggscore.VMID]bool
}

type record struct {
	Record
	// since is when this revision was first read.
	since time.Time
	// unlistedSince is when the endpoint was first missing from the list, zero if it is listed.
	unlistedSince time.Time
}

type heartbeat struct {
	Heartbeat
	since time.Time
}

// A right permits this VM to send orders to an endpoint until a time.
type right struct {
	until time.Time
	fence ggscore.FencingToken
}

// NewOwnershipTracker returns an OwnershipTracker without records or rights.
func NewOwnershipTracker(o Options) *OwnershipTracker {
	o.Validity = cmp.Or(o.Validity, DefaultValidity)
	o.Margin = cmp.Or(o.Margin, DefaultMargin)
	o.ClaimDelay = cmp.Or(o.ClaimDelay, DefaultClaimDelay)
	o.RecordRetention = cmp.Or(o.RecordRetention, DefaultRecordRetention)
	o.MaxRecords = cmp.Or(o.MaxRecords, DefaultMaxRecords)
	return &OwnershipTracker{
		options: o, records: map[ggscore.EndpointID]*record{}, heartbeats: map[ggscore.VMID]*heartbeat{},
		rights: map[ggscore.EndpointID]right{}, previousOwners: map[ggscore.EndpointID]ggscore.VMID{},
	}
}

// takeoverWait is the time after which a VM's right to send orders has expired and the last
// order of that VM is at least MinOrderGap old.
func (t *OwnershipTracker) takeoverWait() time.Duration {
	return t.options.Validity + t.options.MinOrderGap + t.options.Margin
}

// NextHeartbeat returns the next heartbeat to write. The heartbeat's transaction deletes the
// records of removed endpoints. Otherwise those records would exhaust the transaction's
// conditions as endpoints come and go, until the store refused every heartbeat and no endpoint
// got orders.
func (t *OwnershipTracker) NextHeartbeat(now time.Time) HeartbeatPlan {
	p := HeartbeatPlan{Epoch: t.epoch, Revision: t.ownRevision, MarkSettled: t.synced && t.storedSettled != t.epoch && t.earlierRightsExpired(now)}
	for _, r := range t.records {
		removed := !r.unlistedSince.IsZero() && now.Sub(r.unlistedSince) >= t.options.RecordRetention
		switch {
		case r.Owner != t.options.Self || r.Released:
		case removed && len(p.Drop) < maxDrops:
			p.Drop = append(p.Drop, r.Record)
		case !removed && t.inCurrentEpoch(r.Record):
			p.Records = append(p.Records, r.Record)
		}
	}
	slices.SortFunc(p.Records, func(a, b Record) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return p
}

// HeartbeatAnswered records the store's answer to a heartbeat that was sent at the given time.
// After a refusal, another VM may own one of the heartbeat's records. The caller has to read the
// store again, and AuthorizeOrder permits no order for any of the records until a later
// heartbeat is acknowledged.
func (t *OwnershipTracker) HeartbeatAnswered(sent time.Time, p HeartbeatPlan, at ggscore.StorePosition, refused bool) {
	if p.Epoch != t.epoch || at.Epoch != t.epoch {
		return
	}
	for _, r := range p.Records {
		h := t.records[r.Endpoint]
		if h == nil || h.Revision != r.Revision {
			continue
		}
		if refused {
			delete(t.rights, r.Endpoint)
			continue
		}
		t.extend(sent, r)
	}
	if refused {
		return
	}
	for _, r := range p.Drop {
		delete(t.records, r.Endpoint)
		delete(t.rights, r.Endpoint)
	}
	t.ownRevision = max(t.ownRevision, at.Revision)
	if p.MarkSettled {
		t.storedSettled = p.Epoch
	}
}

// extend extends the right for a record to Validity after its heartbeat or claim was sent.
func (t *OwnershipTracker) extend(sent time.Time, r Record) {
	until := sent.Add(t.options.Validity)
	if o := t.rights[r.Endpoint]; o.until.After(until) {
		until = o.until
	}
	t.rights[r.Endpoint] = right{until: until, fence: fence(r)}
}

// epochShift reserves the lower half of a fencing token for the record's revision.
const epochShift = 32

// fence returns the fencing token of a record. The epoch is the token's upper half, so tokens
// increase from epoch to epoch even though revisions may decrease.
func fence(r Record) ggscore.FencingToken {
	return ggscore.FencingToken(uint64(r.Epoch)<<epochShift | uint64(r.Revision))
}

// OwnsAny reports whether this VM owns any endpoint.
func (t *OwnershipTracker) OwnsAny() bool {
	for _, r := range t.records {
		if r.Owner == t.options.Self && !r.Released && t.inCurrentEpoch(r.Record) {
			return true
		}
	}
	return false
}

// AuthorizeOrder returns the fencing token for an order to the endpoint, and whether this VM may
// send the order now.
func (t *OwnershipTracker) AuthorizeOrder(now time.Time, id ggscore.EndpointID) (ggscore.FencingToken, bool) {
	r, ok := t.rights[id]
	if !ok || !now.Before(r.until) {
		return 0, false
	}
	return r.fence, true
}

// Records returns all known ownership records.
func (t *OwnershipTracker) Records() []Record {
	rs := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		rs = append(rs, r.Record)
	}
	return rs
}

// Owner returns the endpoint's owner, empty if there is none. In a new epoch it is the owner
// from the previous epoch until a record of the new epoch exists.
func (t *OwnershipTracker) Owner(id ggscore.EndpointID) ggscore.VMID {
	r := t.records[id]
	switch {
	case r != nil && (t.inCurrentEpoch(r.Record) || !t.synced):
		if r.Released {
			return ""
		}
		return r.Owner
	case t.previousOwners[id] != "":
		return t.previousOwners[id]
	case r != nil && !r.Released:
		return r.Owner
	}
	return ""
}

// Epoch returns the epoch of the last reading, and whether the store has been read.
func (t *OwnershipTracker) Epoch() (ggscore.StoreEpoch, bool) { return t.epoch, t.synced }

// Revoke revokes this VM's right to send orders to an endpoint until its next acknowledged
// heartbeat. A caller that then releases the record must write it as described at Stop.
func (t *OwnershipTracker) Revoke(id ggscore.EndpointID) { delete(t.rights, id) }

// Stop revokes all rights of this VM to send orders. A caller that then releases the records
// must write them under the conditions of NextHeartbeat. Without those conditions, a release
// that takes effect after the first heartbeat of the VM's next process would let two VMs send
// orders.
func (t *OwnershipTracker) Stop() { clear(t.rights) }
