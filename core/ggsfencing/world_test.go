package ggsfencing_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsfencing"
)

// A world is a store, VMs and one runner. Writes are answered, lost, or carried
// out late where their conditions still hold; readings are stale; VMs stand
// still. The runner notes who gave orders when.
type world struct {
	now      time.Time
	revision ggscore.StoreRevision
	record   *ggsfencing.Record
	beats    map[ggscore.VMID]ggsfencing.Beat
	past     []reading
	late     []write
	vms      []*vm
	orders   []order
}

type reading struct {
	at      ggscore.StoreRevision
	records []ggsfencing.Record
	beats   []ggsfencing.Beat
}

type write struct {
	at    time.Time
	apply func() (ggscore.StoreRevision, bool)
}

type order struct {
	at    time.Time
	vm    ggscore.VMID
	fence ggscore.FenceNumber
}

type vm struct {
	id ggscore.VMID
	k  *ggsfencing.Keeper
}

func newWorld(n int) *world {
	w := &world{now: at(0), revision: 1, beats: map[ggscore.VMID]ggsfencing.Beat{}}
	for i := range n {
		id := ggscore.VMID(fmt.Sprintf("vm-%d", i))
		w.vms = append(w.vms, &vm{id: id, k: keeper(id)})
	}
	w.remember()
	return w
}

func (w *world) remember() {
	r := reading{at: w.revision}
	if w.record != nil {
		r.records = append(r.records, *w.record)
	}
	for _, b := range w.beats {
		r.beats = append(r.beats, b)
	}
	w.past = append(w.past, r)
}

// store carries a write out by the fate that is drawn for it.
func (w *world) store(t *rapid.T, apply func() (ggscore.StoreRevision, bool), ended func(ggscore.StoreRevision, bool)) {
	switch rapid.IntRange(0, 5).Draw(t, "fate") {
	case 0: // lost before it arrives
	case 1: // carried out, the answer is lost
		apply()
	case 2: // carried out late
		d := time.Duration(rapid.IntRange(1, 15000).Draw(t, "late")) * time.Millisecond
		w.late = append(w.late, write{at: w.now.Add(d), apply: apply})
	default:
		rev, ok := apply()
		ended(rev, ok)
	}
}

func (w *world) beat(t *rapid.T, v *vm) {
	p, sent := v.k.Beat(w.now), w.now
	w.store(t, func() (ggscore.StoreRevision, bool) {
		if w.beats[v.id].Revision != p.Revision {
			return 0, false
		}
		for _, r := range p.Records {
			if w.record == nil || w.record.Revision != r.Revision {
				return 0, false
			}
		}
		w.revision++
		w.beats[v.id] = ggsfencing.Beat{VM: v.id, Domain: "d", Revision: w.revision}
		w.remember()
		return w.revision, true
	}, func(rev ggscore.StoreRevision, ok bool) { v.k.BeatEnded(sent, p, rev, !ok) })
}

func (w *world) claim(t *rapid.T, v *vm) {
	for _, c := range v.k.Claims(w.now, instances()) {
		sent := w.now
		w.store(t, func() (ggscore.StoreRevision, bool) {
			have := ggscore.StoreRevision(0)
			if w.record != nil {
				have = w.record.Revision
			}
			if have != c.RecordRevision || c.Owner != "" && w.beats[c.Owner].Revision != c.OwnerRevision {
				return 0, false
			}
			w.revision++
			w.record = &ggsfencing.Record{Endpoint: runner, Owner: v.id, Revision: w.revision}
			w.remember()
			return w.revision, true
		}, func(rev ggscore.StoreRevision, ok bool) {
			if ok {
				v.k.ClaimEnded(sent, c, rev)
			}
		})
	}
}

// release ends a VM's orders and leaves its record to others, as a planned stop
// does; the process starts anew.
func (w *world) release(t *rapid.T, v *vm) {
	v.k.Stop()
	p := v.k.Beat(w.now)
	for _, r := range p.Records {
		w.store(t, func() (ggscore.StoreRevision, bool) {
			if w.record == nil || w.record.Revision != r.Revision || w.beats[v.id].Revision != p.Revision {
				return 0, false
			}
			w.revision++
			w.record = &ggsfencing.Record{Endpoint: runner, Owner: v.id, Released: true, Revision: w.revision}
			w.remember()
			return w.revision, true
		}, func(ggscore.StoreRevision, bool) {})
	}
	v.k = keeper(v.id)
}

func (w *world) step(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "pass")) * time.Millisecond)
	for i := 0; i < len(w.late); {
		if w.late[i].at.After(w.now) {
			i++
			continue
		}
		apply := w.late[i].apply
		w.late = append(w.late[:i], w.late[i+1:]...)
		apply()
	}
	v := rapid.SampledFrom(w.vms).Draw(t, "vm")
	switch rapid.SampledFrom([]string{"beat", "beat", "read", "claim", "order", "order", "restart", "release"}).Draw(t, "act") {
	case "beat":
		w.beat(t, v)
	case "read":
		back := min(rapid.IntRange(0, 3).Draw(t, "stale"), len(w.past)-1)
		r := w.past[len(w.past)-1-back]
		v.k.Observe(w.now, r.at, r.records, r.beats)
	case "claim":
		w.claim(t, v)
	case "order":
		if f, ok := v.k.May(w.now, runner); ok {
			flight := time.Duration(rapid.IntRange(0, int(ggsfencing.DefaultMargin.Milliseconds())).Draw(t, "flight")) * time.Millisecond
			w.orders = append(w.orders, order{at: w.now.Add(flight), vm: v.id, fence: f})
		}
	case "release":
		w.release(t, v)
	case "restart":
		if rapid.IntRange(0, 4).Draw(t, "really") == 0 {
			v.k = keeper(v.id)
		}
	}
}

// Two VMs give one runner orders by turns: one was frozen past its right, or a
// write took effect late. The runner loads what one wants and evicts what the
// other has promised to its requests.
func TestNoTwoVMsTakeTurns(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		for range 150 {
			w.step(t)
		}
		for _, a := range w.orders {
			for _, b := range w.orders {
				if a.vm == b.vm || b.at.Before(a.at) {
					continue
				}
				if b.at.Sub(a.at) < turn {
					t.Fatalf("%s orders at %s, %s %s later", a.vm, a.at, b.vm, b.at.Sub(a.at))
				}
				if b.fence <= a.fence {
					t.Fatalf("%s orders with %d, then %s with %d", a.vm, a.fence, b.vm, b.fence)
				}
			}
		}
	})
}
