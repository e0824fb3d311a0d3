package ggsfencing_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsfencing"
)

// A simulation has a store, VMs and endpoints. Writes are acknowledged, lost, or applied late
// if their conditions still hold. Readings may be stale, VMs may be suspended, and the store
// may be restored from older copies. Each order is recorded with its sender and time.
type simulation struct {
	now       time.Time
	current   state
	history   []state
	delayed   []write
	endpoints []ggscore.Instance
	vms       []*vm
	orders    []order
}

// A state is the content of the store.
type state struct {
	epoch      ggscore.StoreEpoch
	revision   ggscore.StoreRevision
	records    map[ggscore.EndpointID]ggsfencing.Record
	heartbeats map[ggscore.VMID]ggsfencing.Heartbeat
	settled    ggscore.StoreEpoch
}

func (s state) clone() state {
	s.records, s.heartbeats = maps.Clone(s.records), maps.Clone(s.heartbeats)
	return s
}

func (s state) at() ggscore.StorePosition {
	return ggscore.StorePosition{Epoch: s.epoch, Revision: s.revision}
}

func (s state) reading() ggsfencing.Reading {
	r := ggsfencing.Reading{SettledEpoch: s.settled}
	for _, x := range s.records {
		r.Records = append(r.Records, x)
	}
	for _, b := range s.heartbeats {
		r.Heartbeats = append(r.Heartbeats, b)
	}
	return r
}

// A write is a delayed transaction.
type write struct {
	at time.Time
	transaction
}

// A transaction is refused unless its conditions hold. Revision zero means that the key doesn't
// exist.
type transaction struct {
	// epoch is the epoch of the conditions.
	epoch      ggscore.StoreEpoch
	heartbeats map[ggscore.VMID]ggscore.StoreRevision
	records    map[ggscore.EndpointID]ggscore.StoreRevision
	// heartbeat is the VM whose heartbeat is written, empty for none.
	heartbeat ggscore.VMID
	put       []ggsfencing.Record
	drop      []ggsfencing.Record
	settle    bool
}

// apply executes a transaction, and reports whether its conditions held.
func (w *simulation) apply(x transaction) bool {
	for vm, r := range x.heartbeats {
		if w.current.heartbeats[vm].Revision != r {
			return false
		}
	}
	for id, r := range x.records {
		if w.current.records[id].Revision != r {
			return false
		}
	}
	w.current.revision++
	if x.heartbeat != "" {
		w.current.heartbeats[x.heartbeat] = ggsfencing.Heartbeat{VM: x.heartbeat, Domain: "d", Revision: w.current.revision}
	}
	for _, r := range x.put {
		r.Revision = w.current.revision
		w.current.records[r.Endpoint] = r
	}
	for _, r := range x.drop {
		delete(w.current.records, r.Endpoint)
	}
	if x.settle {
		w.current.settled = x.epoch
	}
	w.recordState()
	return true
}

type order struct {
	at       time.Time
	endpoint ggscore.EndpointID
	vm       ggscore.VMID
	fence    ggscore.FencingToken
}

type vm struct {
	id      ggscore.VMID
	tracker *ggsfencing.OwnershipTracker
}

func newSimulation(vms, endpoints int) *simulation {
	w := &simulation{now: at(0), current: state{
		epoch: 1, revision: 1, records: map[ggscore.EndpointID]ggsfencing.Record{}, heartbeats: map[ggscore.VMID]ggsfencing.Heartbeat{},
	}}
	for i := range vms {
		id := ggscore.VMID(fmt.Sprintf("vm-%d", i))
		w.vms = append(w.vms, &vm{id: id, tracker: newTracker(id)})
	}
	for i := range endpoints {
		w.endpoints = append(w.endpoints, ggscore.Instance{ID: ggscore.EndpointID(fmt.Sprintf("runner-%d", i)), Domain: "d"})
	}
	w.recordState()
	return w
}

func (w *simulation) recordState() { w.history = append(w.history, w.current.clone()) }

// restore restores the store from a copy in a new epoch.
func (w *simulation) restore(k state) {
	epoch := w.current.epoch + 1
	w.current = k.clone()
	w.current.epoch = epoch
	w.recordState()
}

// An outcome determines whether a transaction is applied and acknowledged.
type outcome int

const (
	// acknowledged transactions are applied and acknowledged.
	acknowledged outcome = iota
	lost
	// unacknowledged transactions are applied, but their acknowledgements are lost.
	unacknowledged
	// delayed transactions are applied late and not acknowledged.
	delayed
)

// store executes a transaction with the given outcome. An acknowledgement from another epoch
// than that of the conditions is ignored.
func (w *simulation) store(f outcome, late time.Duration, x transaction, ended func(at ggscore.StorePosition, ok bool)) {
	switch f {
	case lost:
	case unacknowledged:
		w.apply(x)
	case delayed:
		w.delayed = append(w.delayed, write{at: w.now.Add(late), transaction: x})
	default:
		if ok := w.apply(x); x.epoch == w.current.epoch {
			ended(w.current.at(), ok)
		}
	}
}

func (w *simulation) heartbeat(v *vm, f outcome, late time.Duration) {
	p, sent := v.tracker.NextHeartbeat(w.now), w.now
	if _, ok := v.tracker.Epoch(); !ok {
		return
	}
	x := transaction{
		epoch: p.Epoch, heartbeats: map[ggscore.VMID]ggscore.StoreRevision{v.id: p.Revision},
		records: revisions(append(p.Drop, p.Records...)), heartbeat: v.id, drop: p.Drop, settle: p.MarkSettled,
	}
	w.store(f, late, x, func(at ggscore.StorePosition, ok bool) { v.tracker.HeartbeatAnswered(sent, p, at, !ok) })
}

func revisions(rs []ggsfencing.Record) map[ggscore.EndpointID]ggscore.StoreRevision {
	m := map[ggscore.EndpointID]ggscore.StoreRevision{}
	for _, r := range rs {
		m[r.Endpoint] = r.Revision
	}
	return m
}

// claim writes the claim at index n of those that a VM has to write.
func (w *simulation) claim(v *vm, n int, f outcome, late time.Duration) {
	cs := v.tracker.Claims(w.now, w.endpoints)
	if n >= len(cs) {
		return
	}
	c, sent := cs[n], w.now
	x := transaction{
		epoch:   c.Epoch,
		records: map[ggscore.EndpointID]ggscore.StoreRevision{c.Endpoint: c.RecordRevision},
		put:     []ggsfencing.Record{{Endpoint: c.Endpoint, Owner: v.id, Epoch: c.Epoch}},
	}
	if c.Owner != "" {
		x.heartbeats = map[ggscore.VMID]ggscore.StoreRevision{c.Owner: c.OwnerRevision}
	}
	w.store(f, late, x, func(at ggscore.StorePosition, ok bool) {
		if ok {
			v.tracker.ClaimAcknowledged(sent, c, at)
		}
	})
}

// release stops a VM's orders and releases its records, as a planned stop does, and restarts
// its process.
func (w *simulation) release(v *vm, f outcome, late time.Duration) {
	v.tracker.Stop()
	p := v.tracker.NextHeartbeat(w.now)
	x := transaction{epoch: p.Epoch, heartbeats: map[ggscore.VMID]ggscore.StoreRevision{v.id: p.Revision}, records: revisions(p.Records)}
	for _, r := range p.Records {
		x.put = append(x.put, ggsfencing.Record{Endpoint: r.Endpoint, Owner: v.id, Released: true, Epoch: p.Epoch})
	}
	w.store(f, late, x, func(ggscore.StorePosition, bool) {})
	v.tracker = newTracker(v.id)
}

// advance advances the time and applies the delayed writes that are due.
func (w *simulation) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for i := 0; i < len(w.delayed); {
		if w.delayed[i].at.After(w.now) {
			i++
			continue
		}
		x := w.delayed[i].transaction
		w.delayed = append(w.delayed[:i:i], w.delayed[i+1:]...)
		w.apply(x)
	}
}

// read makes a VM read the state that the store had the given number of changes ago, which may
// be from an earlier epoch.
func (w *simulation) read(v *vm, back int) {
	s := w.history[len(w.history)-1-min(back, len(w.history)-1)]
	v.tracker.Observe(w.now, s.at(), s.reading())
}

// order makes a VM send an order that arrives after the flight time, if the VM may send it.
func (w *simulation) order(v *vm, id ggscore.EndpointID, flight time.Duration) {
	if f, ok := v.tracker.AuthorizeOrder(w.now, id); ok {
		w.orders = append(w.orders, order{at: w.now.Add(flight), endpoint: id, vm: v.id, fence: f})
	}
}

// violation checks all orders, and returns a violated invariant, empty for none.
func (w *simulation) violation() string {
	for _, a := range w.orders {
		for _, b := range w.orders {
			switch {
			case a.endpoint != b.endpoint || a.vm == b.vm || b.at.Before(a.at):
			case b.at.Sub(a.at) < minOrderGap:
				return fmt.Sprintf("%s sends an order to %s at %s, %s sends one only %s later", a.vm, a.endpoint, a.at, b.vm, b.at.Sub(a.at))
			case b.fence <= a.fence:
				return fmt.Sprintf("%s sends an order to %s with fencing token %d, then %s with %d", a.vm, a.endpoint, a.fence, b.vm, b.fence)
			}
		}
	}
	return ""
}

// drawOutcome draws the outcome and the delay of a transaction.
func drawOutcome(t *rapid.T) (outcome, time.Duration) {
	f := rapid.SampledFrom([]outcome{lost, unacknowledged, delayed, acknowledged, acknowledged, acknowledged}).Draw(t, "outcome")
	return f, time.Duration(rapid.IntRange(1, 15000).Draw(t, "delay")) * time.Millisecond
}

// step performs a random act of a random VM.
func (w *simulation) step(t *rapid.T, acts []string) {
	w.advance(time.Duration(rapid.IntRange(1, 2500).Draw(t, "advance")) * time.Millisecond)
	v := rapid.SampledFrom(w.vms).Draw(t, "vm")
	e := rapid.SampledFrom(w.endpoints).Draw(t, "endpoint")
	f, late := drawOutcome(t)
	switch rapid.SampledFrom(acts).Draw(t, "act") {
	case "heartbeat":
		w.heartbeat(v, f, late)
	case "read":
		w.read(v, rapid.IntRange(0, 3).Draw(t, "stale"))
	case "claim":
		w.claim(v, rapid.IntRange(0, len(w.endpoints)-1).Draw(t, "claim"), f, late)
	case "order":
		w.order(v, e.ID, time.Duration(rapid.IntRange(0, int(ggsfencing.DefaultMargin.Milliseconds())).Draw(t, "flight"))*time.Millisecond)
	case "release":
		w.release(v, f, late)
	case "restart":
		if rapid.IntRange(0, 4).Draw(t, "confirm") == 0 {
			v.tracker = newTracker(v.id)
		}
	case "restore":
		if rapid.IntRange(0, 2).Draw(t, "confirm") == 0 {
			w.restore(w.history[rapid.IntRange(0, len(w.history)-1).Draw(t, "copy")])
		}
	}
}

// Guards against two VMs that alternately send orders to one endpoint, because one was
// suspended until its right expired or a write took effect late. The endpoint would load
// adapters for one VM and evict adapters that requests of the other depend on.
func TestOrdersOfTwoVMsDoNotInterleave(t *testing.T) {
	t.Parallel()
	usual := []string{"heartbeat", "heartbeat", "read", "claim", "order", "order", "restart", "release"}
	for name, acts := range map[string][]string{
		"one epoch":      usual,
		"several epochs": append([]string{"restore", "read", "claim"}, usual...),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				w := newSimulation(rapid.IntRange(2, 4).Draw(t, "vms"), 2)
				for range 150 {
					w.step(t, acts)
				}
				if s := w.violation(); s != "" {
					t.Fatal(s)
				}
			})
		})
	}
}
