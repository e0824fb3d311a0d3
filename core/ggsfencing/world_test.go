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

// A world is a store, VMs and endpoints. Writes are answered, lost, or carried out late where
// their conditions hold by then; readings are stale; VMs stand still; the store comes back from
// older copies of itself. The endpoints note who gave orders when.
type world struct {
	now  time.Time
	site state
	past []state
	late []write
	// endpoints are those on the list.
	endpoints []ggscore.Instance
	vms       []*vm
	orders    []order
}

// A state is what the store has.
type state struct {
	epoch    ggscore.StoreEpoch
	revision ggscore.StoreRevision
	records  map[ggscore.EndpointID]ggsfencing.Record
	beats    map[ggscore.VMID]ggsfencing.Beat
	settled  ggscore.StoreEpoch
}

func (s state) clone() state {
	s.records, s.beats = maps.Clone(s.records), maps.Clone(s.beats)
	return s
}

func (s state) at() ggscore.StorePosition {
	return ggscore.StorePosition{Epoch: s.epoch, Revision: s.revision}
}

func (s state) reading() ggsfencing.Reading {
	r := ggsfencing.Reading{Settled: s.settled}
	for _, x := range s.records {
		r.Records = append(r.Records, x)
	}
	for _, b := range s.beats {
		r.Beats = append(r.Beats, b)
	}
	return r
}

// A write is a transaction to be carried out late.
type write struct {
	at time.Time
	transaction
}

// A transaction is refused where its conditions don't hold. Of revisions zero stands for none.
type transaction struct {
	// epoch is that of the conditions.
	epoch   ggscore.StoreEpoch
	beats   map[ggscore.VMID]ggscore.StoreRevision
	records map[ggscore.EndpointID]ggscore.StoreRevision
	// beat is the VM whose beat is written, empty for none.
	beat   ggscore.VMID
	put    []ggsfencing.Record
	drop   []ggsfencing.Record
	settle bool
}

// apply carries a transaction out, and reports whether its conditions held.
func (w *world) apply(x transaction) bool {
	for vm, r := range x.beats {
		if w.site.beats[vm].Revision != r {
			return false
		}
	}
	for id, r := range x.records {
		if w.site.records[id].Revision != r {
			return false
		}
	}
	w.site.revision++
	if x.beat != "" {
		w.site.beats[x.beat] = ggsfencing.Beat{VM: x.beat, Domain: "d", Revision: w.site.revision}
	}
	for _, r := range x.put {
		r.Revision = w.site.revision
		w.site.records[r.Endpoint] = r
	}
	for _, r := range x.drop {
		delete(w.site.records, r.Endpoint)
	}
	if x.settle {
		w.site.settled = x.epoch
	}
	w.remember()
	return true
}

type order struct {
	at       time.Time
	endpoint ggscore.EndpointID
	vm       ggscore.VMID
	fence    ggscore.FenceNumber
}

type vm struct {
	id ggscore.VMID
	k  *ggsfencing.Keeper
}

func newWorld(vms, endpoints int) *world {
	w := &world{now: at(0), site: state{
		epoch: 1, revision: 1, records: map[ggscore.EndpointID]ggsfencing.Record{}, beats: map[ggscore.VMID]ggsfencing.Beat{},
	}}
	for i := range vms {
		id := ggscore.VMID(fmt.Sprintf("vm-%d", i))
		w.vms = append(w.vms, &vm{id: id, k: keeper(id)})
	}
	for i := range endpoints {
		w.endpoints = append(w.endpoints, ggscore.Instance{ID: ggscore.EndpointID(fmt.Sprintf("runner-%d", i)), Domain: "d"})
	}
	w.remember()
	return w
}

func (w *world) remember() { w.past = append(w.past, w.site.clone()) }

// comeBack has the store come back from a copy.
func (w *world) comeBack(k state) {
	epoch := w.site.epoch + 1
	w.site = k.clone()
	w.site.epoch = epoch
	w.remember()
}

// A fate is what becomes of a transaction.
type fate int

const (
	// answered transactions are carried out and acknowledged.
	answered fate = iota
	lost
	// unanswered ones are carried out, their answers are lost.
	unanswered
	// delayed ones are carried out late, and not answered.
	delayed
)

// store carries a transaction out by its fate. What the store acknowledges in another epoch
// than that of the conditions counts as not acknowledged.
func (w *world) store(f fate, late time.Duration, x transaction, ended func(at ggscore.StorePosition, ok bool)) {
	switch f {
	case lost:
	case unanswered:
		w.apply(x)
	case delayed:
		w.late = append(w.late, write{at: w.now.Add(late), transaction: x})
	default:
		if ok := w.apply(x); x.epoch == w.site.epoch {
			ended(w.site.at(), ok)
		}
	}
}

func (w *world) beat(v *vm, f fate, late time.Duration) {
	p, sent := v.k.Beat(w.now), w.now
	if _, ok := v.k.Epoch(); !ok {
		return
	}
	x := transaction{
		epoch: p.Epoch, beats: map[ggscore.VMID]ggscore.StoreRevision{v.id: p.Revision},
		records: revisions(append(p.Drop, p.Records...)), beat: v.id, drop: p.Drop, settle: p.Settle,
	}
	w.store(f, late, x, func(at ggscore.StorePosition, ok bool) { v.k.BeatEnded(sent, p, at, !ok) })
}

func revisions(rs []ggsfencing.Record) map[ggscore.EndpointID]ggscore.StoreRevision {
	m := map[ggscore.EndpointID]ggscore.StoreRevision{}
	for _, r := range rs {
		m[r.Endpoint] = r.Revision
	}
	return m
}

// claim writes the n-th of a VM's claims.
func (w *world) claim(v *vm, n int, f fate, late time.Duration) {
	cs := v.k.Claims(w.now, w.endpoints)
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
		x.beats = map[ggscore.VMID]ggscore.StoreRevision{c.Owner: c.OwnerRevision}
	}
	w.store(f, late, x, func(at ggscore.StorePosition, ok bool) {
		if ok {
			v.k.ClaimEnded(sent, c, at)
		}
	})
}

// release ends a VM's orders and leaves its records to others, as a planned stop
// does; the process starts anew.
func (w *world) release(v *vm, f fate, late time.Duration) {
	v.k.Stop()
	p := v.k.Beat(w.now)
	x := transaction{epoch: p.Epoch, beats: map[ggscore.VMID]ggscore.StoreRevision{v.id: p.Revision}, records: revisions(p.Records)}
	for _, r := range p.Records {
		x.put = append(x.put, ggsfencing.Record{Endpoint: r.Endpoint, Owner: v.id, Released: true, Epoch: p.Epoch})
	}
	w.store(f, late, x, func(ggscore.StorePosition, bool) {})
	v.k = keeper(v.id)
}

// pass has time pass, and writes carried out that were delayed.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for i := 0; i < len(w.late); {
		if w.late[i].at.After(w.now) {
			i++
			continue
		}
		x := w.late[i].transaction
		w.late = append(w.late[:i:i], w.late[i+1:]...)
		w.apply(x)
	}
}

// read has a VM read the store as it was so many changes ago. Readings of an epoch that has
// ended arrive late.
func (w *world) read(v *vm, back int) {
	s := w.past[len(w.past)-1-min(back, len(w.past)-1)]
	v.k.Observe(w.now, s.at(), s.reading())
}

// order has a VM give an endpoint an order that arrives a while later.
func (w *world) order(v *vm, id ggscore.EndpointID, flight time.Duration) {
	if f, ok := v.k.May(w.now, id); ok {
		w.orders = append(w.orders, order{at: w.now.Add(flight), endpoint: id, vm: v.id, fence: f})
	}
}

// turns returns what is wrong with the orders, empty for nothing.
func (w *world) turns() string {
	for _, a := range w.orders {
		for _, b := range w.orders {
			switch {
			case a.endpoint != b.endpoint || a.vm == b.vm || b.at.Before(a.at):
			case b.at.Sub(a.at) < turn:
				return fmt.Sprintf("%s orders %s at %s, %s %s later", a.vm, a.endpoint, a.at, b.vm, b.at.Sub(a.at))
			case b.fence <= a.fence:
				return fmt.Sprintf("%s orders %s with %d, then %s with %d", a.vm, a.endpoint, a.fence, b.vm, b.fence)
			}
		}
	}
	return ""
}

// drawFate draws what becomes of a transaction.
func drawFate(t *rapid.T) (fate, time.Duration) {
	f := rapid.SampledFrom([]fate{lost, unanswered, delayed, answered, answered, answered}).Draw(t, "fate")
	return f, time.Duration(rapid.IntRange(1, 15000).Draw(t, "late")) * time.Millisecond
}

// step does something at random.
func (w *world) step(t *rapid.T, acts []string) {
	w.pass(time.Duration(rapid.IntRange(1, 2500).Draw(t, "pass")) * time.Millisecond)
	v := rapid.SampledFrom(w.vms).Draw(t, "vm")
	e := rapid.SampledFrom(w.endpoints).Draw(t, "endpoint")
	f, late := drawFate(t)
	switch rapid.SampledFrom(acts).Draw(t, "act") {
	case "beat":
		w.beat(v, f, late)
	case "read":
		w.read(v, rapid.IntRange(0, 3).Draw(t, "stale"))
	case "claim":
		w.claim(v, rapid.IntRange(0, len(w.endpoints)-1).Draw(t, "claim"), f, late)
	case "order":
		w.order(v, e.ID, time.Duration(rapid.IntRange(0, int(ggsfencing.DefaultMargin.Milliseconds())).Draw(t, "flight"))*time.Millisecond)
	case "release":
		w.release(v, f, late)
	case "restart":
		if rapid.IntRange(0, 4).Draw(t, "really") == 0 {
			v.k = keeper(v.id)
		}
	case "return":
		if rapid.IntRange(0, 2).Draw(t, "really") == 0 {
			w.comeBack(w.past[rapid.IntRange(0, len(w.past)-1).Draw(t, "copy")])
		}
	}
}

// Two VMs give one runner orders by turns: one was frozen past its right, or a
// write took effect late. The runner loads what one wants and evicts what the
// other has promised to its requests.
func TestNoTwoVMsTakeTurns(t *testing.T) {
	t.Parallel()
	usual := []string{"beat", "beat", "read", "claim", "order", "order", "restart", "release"}
	for name, acts := range map[string][]string{
		"one epoch":      usual,
		"several epochs": append([]string{"return", "read", "claim"}, usual...),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				w := newWorld(rapid.IntRange(2, 4).Draw(t, "vms"), 2)
				for range 150 {
					w.step(t, acts)
				}
				if s := w.turns(); s != "" {
					t.Fatal(s)
				}
			})
		})
	}
}
