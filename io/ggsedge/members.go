package ggsedge

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdefect"
	"greengageslip/core/ggsfencing"
	"greengageslip/core/ggsgossip"
	"greengageslip/core/ggsrelay"
	"greengageslip/io/ggscrash"
)

// Key parts of the VMs' own records below the prefix.
const (
	memberPart  = "vm"
	ownerPart   = "orderer"
	epochPart   = "epoch"
	suspectPart = "part"
)

// A memberRecord is a VM's store heartbeat.
type memberRecord struct {
	Domain       string `json:"domain"`
	DatagramAddr string `json:"beats"`
	ControlAddr  string `json:"control"`
	// Capacity compares VMs by processor and network link.
	Capacity uint64 `json:"capacity,omitempty"`
	// Isolated is set while the VM has no path to any endpoint.
	Isolated bool `json:"isolated,omitempty"`
	// Count grows with each store heartbeat, so that each heartbeat changes the record.
	Count uint64 `json:"count"`
	// TurnStates are the learned prefill times of services, for VMs that start.
	TurnStates []turnStateRecord `json:"shapes,omitempty"`
	// ShedLimits are the shed limits of services, for VMs that start.
	ShedLimits []shedLimitRecord `json:"shedLimits,omitempty"`
}

// A shedLimitRecord is the JSON form of a ggscore.ShedLimit.
type shedLimitRecord struct {
	Service           string `json:"service"`
	RefusalsPerSecond int    `json:"refusalsPerSecond"`
	Age               int64  `json:"ageMilliseconds"`
}

// shedLimitRecords returns the records of the limits that are in force.
func shedLimitRecords(ls []ggscore.ShedLimit) []shedLimitRecord {
	var rs []shedLimitRecord
	for _, l := range ls {
		if l.RefusalsPerSecond == nil {
			continue
		}
		rs = append(rs, shedLimitRecord{
			Service: string(l.Service), RefusalsPerSecond: *l.RefusalsPerSecond, Age: l.Age.Milliseconds(),
		})
	}
	return rs
}

func (r *shedLimitRecord) shedLimit() ggscore.ShedLimit {
	return ggscore.ShedLimit{
		Service: ggscore.Service(r.Service), RefusalsPerSecond: &r.RefusalsPerSecond,
		Age: durationOf(r.Age, time.Millisecond),
	}
}

// durationOf returns a number of units, or the longest duration where that is longer.
func durationOf(n int64, unit time.Duration) time.Duration {
	if n > math.MaxInt64/int64(unit) {
		return math.MaxInt64
	}
	return time.Duration(max(n, -1)) * unit
}

// A turnStateRecord is the JSON form of a ggscore.TurnState. The fields' tags name the units.
type turnStateRecord struct {
	Service        string  `json:"service"`
	PerToken       int64   `json:"perTokenNanoseconds"`
	Start          int64   `json:"startMicroseconds"`
	Quiet          int64   `json:"quietMicroseconds"`
	Waits          bool    `json:"waits"`
	DegradedBefore float64 `json:"without"`
}

func turnStateRecords(hs []ggscore.TurnState) []turnStateRecord {
	var rs []turnStateRecord
	for _, h := range hs {
		rs = append(rs, turnStateRecord{
			Service: string(h.Service), PerToken: h.PerToken.Nanoseconds(), Start: h.Start.Microseconds(),
			Quiet: h.DecodeGap.Microseconds(), Waits: h.Mode.Enforced, DegradedBefore: h.Mode.DegradedBefore,
		})
	}
	return rs
}

func (r *turnStateRecord) turnState() ggscore.TurnState {
	us := func(n int64) time.Duration { return durationOf(n, time.Microsecond) }
	return ggscore.TurnState{
		Service: ggscore.Service(r.Service), PerToken: time.Duration(r.PerToken), Start: us(r.Start),
		DecodeGap: us(r.Quiet), Mode: ggscore.TurnMode{Service: ggscore.Service(r.Service), Enforced: r.Waits, DegradedBefore: r.DegradedBefore},
	}
}

// An ownerRecord names the VM that owns an endpoint and sends it orders.
type ownerRecord struct {
	Owner    string `json:"owner"`
	Released bool   `json:"released"`
	// Epoch is the store epoch in which the record was written. A record restored from a copy of
	// the store, or written late, has an epoch other than the current one.
	Epoch uint64 `json:"epoch,omitempty"`
}

// An epochRecord records that all rights to send orders from before the epoch Settled have
// expired.
type epochRecord struct {
	Settled uint64 `json:"settled"`
}

// member returns the peer that a record describes. A record without valid addresses is from
// another version of the program, and its VM isn't called.
func (w *memberRecord) member() (*member, bool) {
	b, err := netip.ParseAddrPort(w.DatagramAddr)
	if err != nil {
		return nil, false
	}
	c, err := netip.ParseAddrPort(w.ControlAddr)
	if err != nil {
		return nil, false
	}
	return &member{datagramAddr: b, controlAddr: c, capacity: w.Capacity, isolated: w.Isolated}, true
}

func (e *Edge) memberKey(vm ggscore.VMID) ggscore.Key {
	return ggscore.KeyOf(string(e.options.Keys.Own), memberPart, string(vm))
}

func (e *Edge) ownerKey(id ggscore.EndpointID) ggscore.Key {
	return ggscore.KeyOf(string(e.options.Keys.Own), ownerPart, string(id))
}

func (e *Edge) epochKey() ggscore.Key {
	return ggscore.KeyOf(string(e.options.Keys.Own), epochPart)
}

// freshReadPeriod is how long the VMs' own records are read without stale reads in a new
// epoch. A stale read may return data of the previous epoch and name the new one.
const freshReadPeriod = 5 * time.Second

// followMembers reads the records of VMs and of owners. Stale reads suffice outside of
// freshReadPeriod, since all writes are conditional on revisions.
func (e *Edge) followMembers(ctx context.Context) error {
	lost, failures := false, 0
	var epoch ggscore.StoreEpoch
	fresh := e.Now().Add(freshReadPeriod)
	read := false
	for ctx.Err() == nil {
		if c := e.epochs.current(); c != epoch {
			epoch, fresh, read = c, e.Now().Add(freshReadPeriod), false
		}
		es, at, err := e.Store.Snapshot(ctx, e.options.Keys.Own+"/", read && (epoch == 0 || !e.Now().Before(fresh)))
		e.logDependency(&lost, err == nil, "members", err)
		wait := ggsgossip.RecordsInterval(len(e.livePeers()) + 1)
		if err != nil {
			failures++
			wait = max(ggsgossip.RetryPause(failures, e.started(), rand.Float64()), e.recordsRetry(wait))
		} else {
			failures = 0
			e.setMembers(ctx, es, at)
			if !read {
				e.requestStoreHeartbeat()
			}
			read = true
		}
		if !pauseOrWake(ctx, wait, e.membersNotified) {
			return nil
		}
	}
	return nil
}

// recordsRetryDivisor divides the interval between reads of the VMs' own records. The quotient
// is the minimum pause after a failed read on a VM that serves.
const recordsRetryDivisor = 4

func (e *Edge) recordsRetry(interval time.Duration) time.Duration {
	if !e.started() {
		return 0
	}
	return interval / recordsRetryDivisor
}

// setMembers applies the VMs' own records. The position is zero if they came from a seed.
func (e *Edge) setMembers(ctx context.Context, es []ggscore.Entry, at ggscore.StorePosition) {
	r, peers, suspects, defects := e.readOwn(es)
	e.replaceDefects(e.options.Keys.Own+"/", defects)
	if len(peers) > 0 || !at.IsZero() {
		e.crashes.Join(controlAddrs(peers))
	}
	if at.IsZero() {
		e.crashes.Adopt(suspects)
	} else {
		e.crashes.ObserveRecords(suspects)
	}
	for _, vm := range e.applyMembers(ctx, es, at, r, peers) {
		e.crashes.Greet(vm)
	}
}

// applyMembers applies the VMs' own records, and returns the peers that weren't known before.
func (e *Edge) applyMembers(
	ctx context.Context, es []ggscore.Entry, at ggscore.StorePosition, r ggsfencing.Reading, peers map[ggscore.VMID]*member,
) (joined []ggscore.VMID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordsRead = e.recordsRead || !at.IsZero()
	e.ownership.Observe(e.Now(), at, r)
	e.recordResync()
	if len(peers) > 0 || !at.IsZero() {
		for vm, p := range peers {
			if o := e.peers[vm]; o != nil {
				p.started, p.sequence, p.lastSeen = o.started, o.sequence, o.lastSeen
			} else {
				p.lastSeen = e.Now()
				joined = append(joined, vm)
			}
		}
		// A live peer whose record was lost in the store stays known: it writes the record again.
		for vm, p := range e.peers {
			if peers[vm] == nil && e.Now().Sub(p.lastSeen) < peerTimeout {
				peers[vm] = p
			}
		}
		e.peers = peers
		e.node.SetMembers(e.relayMembers())
		e.retries.SetDepth(retryDepth(e.options, len(peers)+1))
		e.setTunnelPeers()
	}
	if !at.IsZero() {
		e.entries[e.options.Keys.Own] = es
	}
	e.setWorkers(ctx)
	return joined
}

// controlAddrs returns the addresses of peers for calls.
func controlAddrs(peers map[ggscore.VMID]*member) []netip.AddrPort {
	as := make([]netip.AddrPort, 0, len(peers))
	for _, p := range peers {
		as = append(as, p.controlAddr)
	}
	return as
}

// relayMembers returns the peers as members for ggsrelay. Edge.mu is held.
func (e *Edge) relayMembers() []ggsrelay.Member {
	ms := make([]ggsrelay.Member, 0, len(e.peers))
	for vm, p := range e.peers {
		ms = append(ms, ggsrelay.Member{VM: vm, Domain: p.domain, Region: p.region, Capacity: p.capacity})
	}
	return ms
}

// readOwn decodes the VMs' own records.
func (e *Edge) readOwn(
	es []ggscore.Entry,
) (r ggsfencing.Reading, peers map[ggscore.VMID]*member, suspects []ggscrash.StoredRecord, defects []ggsdefect.Defect) {
	peers = map[ggscore.VMID]*member{}
	for _, n := range es {
		part, name, _ := strings.Cut(strings.TrimPrefix(string(n.Key), string(e.options.Keys.Own)+"/"), "/")
		var err error
		switch part {
		case ownerPart:
			var w ownerRecord
			if err = json.Unmarshal(n.Value, &w); err != nil {
				// Without its revision, no claim's condition would ever hold.
				w = ownerRecord{}
			}
			r.Records = append(r.Records, ggsfencing.Record{
				Endpoint: ggscore.EndpointID(name), Owner: ggscore.VMID(w.Owner), Released: w.Released,
				Epoch: ggscore.StoreEpoch(w.Epoch), Revision: n.Revision,
			})
		case memberPart:
			var w memberRecord
			vm := ggscore.VMID(name)
			if err = json.Unmarshal(n.Value, &w); err != nil {
				// Without its revision, no heartbeat's condition would ever hold.
				w = memberRecord{}
			}
			r.Heartbeats = append(r.Heartbeats, ggsfencing.Heartbeat{
				VM: vm, Domain: ggscore.Domain(w.Domain), Capacity: w.Capacity, Isolated: w.Isolated, Revision: n.Revision,
			})
			e.restoreTurnStates(w.TurnStates)
			e.restoreShedLimits(w.ShedLimits)
			if p, ok := w.member(); ok && vm != e.options.VM {
				p.domain = ggscore.Domain(w.Domain)
				p.region = e.options.Regions[p.domain]
				peers[vm] = p
			}
		case epochPart:
			var w epochRecord
			if err = json.Unmarshal(n.Value, &w); err == nil {
				r.SettledEpoch = ggscore.StoreEpoch(w.Settled)
			}
		case suspectPart:
			var s ggscrash.StoredRecord
			if s, err = ggscrash.DecodeRecord(n); err == nil {
				suspects = append(suspects, s)
			}
		}
		if err != nil {
			defects = append(defects, defectOf(n, err))
		}
	}
	return r, peers, suspects, defects
}

// restoreTurnStates restores what another VM had learned about prefill.
func (e *Edge) restoreTurnStates(rs []turnStateRecord) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range rs {
		e.turns.Restore(e.Now(), rs[i].turnState())
	}
}

// restoreShedLimits restores the shed limits that another VM or this VM's previous process knew. Later
// readings of the same records would prolong limits that have been lifted.
func (e *Edge) restoreShedLimits(rs []shedLimitRecord) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.recordsRead {
		return
	}
	var ls []ggscore.ShedLimit
	for i := range rs {
		ls = append(ls, rs[i].shedLimit())
	}
	e.applyShedLimits(e.Now(), ls, e.limits.RestoreShedLimits)
}
