package ggsowner

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	ggscore "greengageslip/core"
)

const (
	testTTL    = 9 * time.Second
	testMargin = time.Second
)

type delayedWrite struct {
	record Record
	prev   ggscore.StoreRevision
}

// dispatcher is one life of a dispatcher with its I/O in flight.
type dispatcher struct {
	group *Group
	lease *Lease
	step  Step
	// running counts its runs of each adapter.
	running map[ggscore.AdapterRef]int
	life    int
}

// world holds one group's record, the platform's leases and one runner.
type world struct {
	now         time.Time
	record      Record
	revision    ggscore.StoreRevision
	delayed     []delayedWrite
	leases      map[ggscore.LeaseID]time.Time
	keys        map[ggscore.VMID]ggscore.LeaseID
	lastLease   ggscore.LeaseID
	dispatchers []*dispatcher
	resident    Set
	// fences names the owner under each fencing number.
	fences map[ggscore.FenceNumber]Holder
}

const runner = ggscore.EndpointID("runner")

func newWorld(n int) *world {
	w := &world{
		now:      time.Unix(1_800_000_000, 0),
		leases:   map[ggscore.LeaseID]time.Time{},
		keys:     map[ggscore.VMID]ggscore.LeaseID{},
		resident: Set{runner: nil},
		fences:   map[ggscore.FenceNumber]Holder{},
	}
	for i := range n {
		w.dispatchers = append(w.dispatchers, nil)
		w.restart(i)
	}
	return w
}

func vm(i int) ggscore.VMID { return ggscore.VMID(fmt.Sprint("vm", i)) }

func adapter(n int) ggscore.AdapterRef { return ggscore.AdapterRef{Name: fmt.Sprint(n), Version: "v1"} }

// restart ends a dispatcher's process, and its runs, and starts another.
func (w *world) restart(i int) {
	d := &dispatcher{running: map[ggscore.AdapterRef]int{}}
	if old := w.dispatchers[i]; old != nil {
		d.life = old.life + 1
		if old.step.Kind == StepWriteRecord {
			w.delayed = append(w.delayed, delayedWrite{record: old.step.Record, prev: old.step.Prev})
		}
		for _, o := range w.dispatchers {
			o.group.Stopped(old.group.self)
		}
	}
	d.group = NewGroup(Holder{VM: vm(i), Incarnation: fmt.Sprint(d.life)})
	d.group.Want(true)
	l := NewLease(Limits{TTL: testTTL, Margin: testMargin})
	d.lease = &l
	w.dispatchers[i] = d
}

func (w *world) alive(l ggscore.LeaseID) bool { return w.now.Before(w.leases[l]) }

// renew renews a lease, or grants one; the answer may be lost.
func (w *world) renew(i int, answered bool) {
	d := w.dispatchers[i]
	if id := d.lease.ID(); id != 0 {
		switch {
		case w.alive(id):
			w.leases[id] = w.now.Add(testTTL)
			if answered {
				d.lease.Renewed(w.now)
			}
		case answered:
			d.lease.Lost()
		}
		return
	}
	w.lastLease++
	w.leases[w.lastLease] = w.now.Add(testTTL)
	if answered {
		w.keys[vm(i)] = w.lastLease
		d.lease.Granted(w.lastLease, w.now)
	}
}

func (w *world) start(i int) {
	d := w.dispatchers[i]
	if d.step.Kind == StepIdle {
		d.step = d.group.Next(w.now, d.lease)
	}
}

// The ends of I/O that a test may choose.
const (
	endAnswered = iota
	endLostAfterEffect
	endLostBeforeEffect
	endAway
)

func (w *world) end(i, how int) {
	d := w.dispatchers[i]
	step := d.step
	d.step = Step{}
	switch {
	case step.Kind == StepIdle:
	case how == endAway, step.Kind != StepWriteRecord && how != endAnswered:
		d.group.Away()
	case step.Kind == StepReadRecord:
		d.group.RecordRead(w.record, w.revision)
	case step.Kind == StepReadLease:
		d.group.LeaseRead(!w.alive(step.Lease) || w.keys[step.Owner] != step.Lease)
	case how == endLostBeforeEffect:
		w.delayed = append(w.delayed, delayedWrite{record: step.Record, prev: step.Prev})
		d.group.WriteDone(WriteAmbiguous, 0)
	case how == endLostAfterEffect:
		w.put(step.Record, step.Prev)
		d.group.WriteDone(WriteAmbiguous, 0)
	case w.put(step.Record, step.Prev):
		d.group.WriteDone(WriteOK, w.revision)
	default:
		d.group.WriteDone(WriteConflict, 0)
	}
}

func (w *world) put(r Record, prev ggscore.StoreRevision) bool {
	if prev != w.revision {
		return false
	}
	w.record = r
	w.revision++
	return true
}

func (w *world) land(n int) {
	d := w.delayed[n]
	w.delayed = append(w.delayed[:n:n], w.delayed[n+1:]...)
	w.put(d.record, d.prev)
}

// settle does a dispatcher's I/O without faults until it wants none.
func (w *world) settle(i int) {
	for w.start(i); w.dispatchers[i].step.Kind != StepIdle; w.start(i) {
		w.end(i, endAnswered)
	}
}

// poll looks at the record and takes it over where allowed.
func (w *world) poll(i int) {
	w.dispatchers[i].group.Want(true)
	w.dispatchers[i].group.Poll()
	w.settle(i)
}

// give checks an order and carries it out, with the checks that every holder
// makes on what it knows itself.
func (w *world) give(t failer, i int, a ggscore.AdapterRef, k ggscore.OrderKind) error {
	d := w.dispatchers[i]
	f, err := d.group.Check(w.now, d.lease, runner, a, k)
	if err != nil {
		return err
	}
	if d.group.Mode(w.now, d.lease) == ggscore.ModeFull {
		if h, ok := w.fences[f]; ok && h != d.group.self {
			t.Fatalf("fencing number %d of %v and %v", f, h, d.group.self)
		}
		w.fences[f] = d.group.self
	}
	switch k {
	case ggscore.OrderDispatch:
		if w.resident.Has(runner, a) {
			d.running[a]++
		}
	case ggscore.OrderLoad:
		w.load(i, a)
	case ggscore.OrderUnload:
		w.unload(t, i, a)
	case ggscore.OrderRefuse:
	}
	return nil
}

func (w *world) load(i int, a ggscore.AdapterRef) {
	w.resident = w.resident.Clone()
	if !w.resident.Has(runner, a) {
		w.resident[runner] = append(w.resident[runner], a)
	}
	w.dispatchers[i].group.Protect(w.resident)
}

func (w *world) unload(t failer, i int, a ggscore.AdapterRef) {
	if w.dispatchers[i].running[a] > 0 {
		return
	}
	for o, d := range w.dispatchers {
		if d.running[a] > 0 {
			t.Fatalf("vm%d evicted %s beneath a request of vm%d", i, a, o)
		}
	}
	kept := Set{runner: nil}
	for _, r := range w.resident[runner] {
		if r != a {
			kept[runner] = append(kept[runner], r)
		}
	}
	w.resident = kept
	w.dispatchers[i].group.Protect(kept)
}

func (w *world) endRuns(i int) {
	d := w.dispatchers[i]
	d.running = map[ggscore.AdapterRef]int{}
	d.group.SetIdle(true)
}

// checkOwners fails where two dispatchers may give orders at once.
func (w *world) checkOwners(t failer) {
	full := 0
	for _, d := range w.dispatchers {
		if d.group.Mode(w.now, d.lease) == ggscore.ModeFull {
			full++
		}
	}
	if full > 1 {
		t.Fatalf("%d owners", full)
	}
}

type failer interface{ Fatalf(string, ...any) }

func pick(t *rapid.T, n int, do func(int)) {
	if n > 0 {
		do(rapid.IntRange(0, n-1).Draw(t, "pick"))
	}
}
