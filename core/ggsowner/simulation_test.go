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

// dispatcher is one incarnation of a dispatcher with its I/O in flight.
type dispatcher struct {
	group *Group
	lease *Lease
	step  Step
	// running is the number of runs by adapter.
	running  map[ggscore.AdapterRef]int
	restarts int
}

// simulation holds one group's record, the platform's leases and one runner.
type simulation struct {
	now         time.Time
	record      Record
	revision    ggscore.StoreRevision
	unreadable  bool
	delayed     []delayedWrite
	leases      map[ggscore.LeaseID]time.Time
	leaseKeys   map[ggscore.VMID]ggscore.LeaseID
	lastLease   ggscore.LeaseID
	dispatchers []*dispatcher
	resident    AdapterSet
	// fences maps each fencing token to its owner.
	fences map[ggscore.FencingToken]Holder
}

const runner = ggscore.EndpointID("runner")

func newSimulation(n int) *simulation {
	s := &simulation{
		now:       time.Unix(1_800_000_000, 0),
		leases:    map[ggscore.LeaseID]time.Time{},
		leaseKeys: map[ggscore.VMID]ggscore.LeaseID{},
		resident:  AdapterSet{runner: nil},
		fences:    map[ggscore.FencingToken]Holder{},
	}
	for i := range n {
		s.dispatchers = append(s.dispatchers, nil)
		s.restart(i)
	}
	return s
}

func vm(i int) ggscore.VMID { return ggscore.VMID(fmt.Sprint("vm", i)) }

func adapter(n int) ggscore.AdapterRef { return ggscore.AdapterRef{Name: fmt.Sprint(n), Version: "v1"} }

// restart stops a dispatcher's process with its runs and starts a new one.
func (s *simulation) restart(i int) {
	d := &dispatcher{running: map[ggscore.AdapterRef]int{}}
	if old := s.dispatchers[i]; old != nil {
		d.restarts = old.restarts + 1
		if old.step.Kind == StepWriteRecord {
			s.delayed = append(s.delayed, delayedWrite{record: old.step.Record, prev: old.step.Prev})
		}
		for _, o := range s.dispatchers {
			o.group.MarkStopped(old.group.self)
		}
	}
	d.group = NewGroup(Holder{VM: vm(i), Incarnation: fmt.Sprint(d.restarts)})
	d.group.SetCandidate(true)
	l := NewLease(Limits{TTL: testTTL, Margin: testMargin})
	d.lease = &l
	s.dispatchers[i] = d
}

func (s *simulation) leaseAlive(l ggscore.LeaseID) bool { return s.now.Before(s.leases[l]) }

// renew renews or grants a lease. The answer is lost if answered is false.
func (s *simulation) renew(i int, answered bool) {
	d := s.dispatchers[i]
	if id := d.lease.ID(); id != 0 {
		switch {
		case s.leaseAlive(id):
			s.leases[id] = s.now.Add(testTTL)
			if answered {
				d.lease.Renewed(s.now)
			}
		case answered:
			d.lease.Lost()
		}
		return
	}
	s.lastLease++
	s.leases[s.lastLease] = s.now.Add(testTTL)
	if answered {
		s.leaseKeys[vm(i)] = s.lastLease
		d.lease.Granted(s.lastLease, s.now)
	}
}

func (s *simulation) startStep(i int) {
	d := s.dispatchers[i]
	if d.step.Kind == StepIdle {
		d.step = d.group.Next(s.now, d.lease)
	}
}

// The outcomes of I/O.
const (
	endAnswered = iota
	endLostAfterEffect
	endLostBeforeEffect
	endFailed
)

func (s *simulation) endStep(i, outcome int) {
	d := s.dispatchers[i]
	step := d.step
	d.step = Step{}
	switch {
	case step.Kind == StepIdle:
	case outcome == endFailed, step.Kind != StepWriteRecord && outcome != endAnswered:
		d.group.IOFailed()
	case step.Kind == StepReadRecord && s.unreadable:
		d.group.RecordUnreadable(s.revision, false)
	case step.Kind == StepReadRecord:
		d.group.RecordRead(s.record, s.revision)
	case step.Kind == StepReadLease:
		d.group.LeaseRead(!s.leaseAlive(step.Lease) || s.leaseKeys[step.Owner] != step.Lease)
	case outcome == endLostBeforeEffect:
		s.delayed = append(s.delayed, delayedWrite{record: step.Record, prev: step.Prev})
		d.group.WriteDone(WriteAmbiguous, 0)
	case outcome == endLostAfterEffect:
		s.put(step.Record, step.Prev)
		d.group.WriteDone(WriteAmbiguous, 0)
	case s.put(step.Record, step.Prev):
		d.group.WriteDone(WriteOK, s.revision)
	default:
		d.group.WriteDone(WriteConflict, 0)
	}
}

func (s *simulation) put(r Record, prev ggscore.StoreRevision) bool {
	if prev != s.revision {
		return false
	}
	s.record, s.unreadable = r, false
	s.revision++
	return true
}

// spoil replaces the record by one that can't be decoded.
func (s *simulation) spoil() {
	s.unreadable = true
	s.revision++
}

func (s *simulation) applyDelayed(n int) {
	d := s.delayed[n]
	s.delayed = append(s.delayed[:n:n], s.delayed[n+1:]...)
	s.put(d.record, d.prev)
}

// runSteps does a dispatcher's I/O without faults until no more is needed.
func (s *simulation) runSteps(i int) {
	for s.startStep(i); s.dispatchers[i].step.Kind != StepIdle; s.startStep(i) {
		s.endStep(i, endAnswered)
	}
}

// pollRecord reads the record and takes the group over if allowed.
func (s *simulation) pollRecord(i int) {
	s.dispatchers[i].group.SetCandidate(true)
	s.dispatchers[i].group.Invalidate()
	s.runSteps(i)
}

// order checks an order and executes it. A dispatcher dispatches only to resident
// adapters, and doesn't evict adapters that its own runs use.
func (s *simulation) order(t fataler, i int, a ggscore.AdapterRef, k ggscore.OrderKind) error {
	d := s.dispatchers[i]
	f, err := d.group.Check(s.now, d.lease, runner, a, k)
	if err != nil {
		return err
	}
	if d.group.Mode(s.now, d.lease) == ggscore.ModeFull {
		if h, ok := s.fences[f]; ok && h != d.group.self {
			t.Fatalf("fencing token %d was used by both %v and %v", f, h, d.group.self)
		}
		s.fences[f] = d.group.self
	}
	switch k {
	case ggscore.OrderDispatch:
		if s.resident.Has(runner, a) {
			d.running[a]++
		}
	case ggscore.OrderLoad:
		s.load(i, a)
	case ggscore.OrderUnload:
		s.unload(t, i, a)
	case ggscore.OrderRefuse:
	}
	return nil
}

func (s *simulation) load(i int, a ggscore.AdapterRef) {
	s.resident = s.resident.Clone()
	if !s.resident.Has(runner, a) {
		s.resident[runner] = append(s.resident[runner], a)
	}
	s.dispatchers[i].group.Protect(s.resident)
}

func (s *simulation) unload(t fataler, i int, a ggscore.AdapterRef) {
	if s.dispatchers[i].running[a] > 0 {
		return
	}
	for o, d := range s.dispatchers {
		if d.running[a] > 0 {
			t.Fatalf("vm%d evicted adapter %s during a run of vm%d", i, a, o)
		}
	}
	kept := AdapterSet{runner: nil}
	for _, r := range s.resident[runner] {
		if r != a {
			kept[runner] = append(kept[runner], r)
		}
	}
	s.resident = kept
	s.dispatchers[i].group.Protect(kept)
}

func (s *simulation) endRuns(i int) {
	d := s.dispatchers[i]
	d.running = map[ggscore.AdapterRef]int{}
	d.group.SetIdle(true)
}

// checkSingleOwner fails if two dispatchers have ModeFull at the same time.
func (s *simulation) checkSingleOwner(t fataler) {
	full := 0
	for _, d := range s.dispatchers {
		if d.group.Mode(s.now, d.lease) == ggscore.ModeFull {
			full++
		}
	}
	if full > 1 {
		t.Fatalf("%d dispatchers have ModeFull, want at most 1", full)
	}
}

type fataler interface{ Fatalf(string, ...any) }

func drawIndex(t *rapid.T, n int, do func(int)) {
	if n > 0 {
		do(rapid.IntRange(0, n-1).Draw(t, "pick"))
	}
}
