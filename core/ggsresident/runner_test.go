package ggsresident_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsresident"
)

// replaceTime is how long a newer version waits for the previous version's requests.
const replaceTime = 700 * time.Millisecond

// A runnerModel is a runner as specified by its protocol: it counts accepted orders, accepts
// repeated orders for adapters in transit, and checks the condition of all others.
type runnerModel struct {
	slots     int
	sequence  uint64
	held      map[ggscore.ModelAdapter]uint64
	inTransit map[ggscore.ModelAdapter]replacement
	// replacing are the adapters whose newer version waits for the previous version's requests.
	// Until the requests have ended, the endpoint takes no other order and its report omits
	// the newer version.
	replacing map[ggscore.ModelAdapter]replacement
	late      []lateOrder
	overfull  bool
}

// A replacement is a version in transit.
type replacement struct {
	version uint64
	done    time.Time
}

type lateOrder struct {
	at   time.Time
	step ggsresident.Step
}

// restart restarts the runner under the same identity.
func (m *runnerModel) restart() {
	m.sequence, m.held, m.inTransit = 0, map[ggscore.ModelAdapter]uint64{}, map[ggscore.ModelAdapter]replacement{}
	m.replacing = map[ggscore.ModelAdapter]replacement{}
}

func (m *runnerModel) advance(now time.Time) {
	for _, versions := range []map[ggscore.ModelAdapter]replacement{m.inTransit, m.replacing} {
		for a, r := range versions {
			if !now.Before(r.done) {
				delete(versions, a)
				m.held[a] = r.version
			}
		}
	}
	for i := 0; i < len(m.late); {
		if m.late[i].at.After(now) {
			i++
			continue
		}
		s := m.late[i].step
		m.late = append(m.late[:i], m.late[i+1:]...)
		m.order(now, s)
	}
}

func (m *runnerModel) order(now time.Time, s ggsresident.Step) ggscore.PlacementAnswer {
	for _, versions := range []map[ggscore.ModelAdapter]replacement{m.inTransit, m.replacing} {
		if r, ok := versions[s.Target]; ok && !s.Unload && s.Version <= r.version {
			return ggscore.PlacementAccepted
		}
	}
	if s.Expected != m.sequence || len(m.replacing) > 0 {
		return ggscore.PlacementConflict
	}
	v, holds := m.held[s.Target]
	switch {
	case holds && !s.Unload && s.Version > v:
		m.sequence++
		m.replacing[s.Target] = replacement{s.Version, now.Add(replaceTime)}
		return ggscore.PlacementAccepted
	case s.Unload && !holds, !s.Unload && holds:
		return ggscore.PlacementSatisfied
	case s.Unload:
		m.sequence++
		delete(m.held, s.Target)
		return ggscore.PlacementSatisfied
	}
	if _, ok := m.inTransit[s.Target]; ok {
		return ggscore.PlacementConflict
	}
	m.sequence++
	m.inTransit[s.Target] = replacement{max(s.Version, 1), now.Add(250 * time.Millisecond)}
	if len(m.held)+len(m.inTransit) > m.slots {
		m.overfull = true
	}
	return ggscore.PlacementAccepted
}

func (m *runnerModel) status() ggscore.InstanceStatus {
	s := ggscore.InstanceStatus{Sequence: m.sequence, Models: []ggscore.ResidentModel{{Name: "m"}}}
	for a, v := range m.held {
		s.Models[0].Adapters = append(s.Models[0].Adapters, ggscore.ResidentVersion{Adapter: a.Adapter, Version: v})
	}
	for a := range m.inTransit {
		s.InTransit = append(s.InTransit, a)
	}
	return s
}

// sendNext passes the ledger's next order, if there is one, to a function that answers it.
func (m *runnerModel) sendNext(
	now time.Time, l *ggsresident.Ledger, execute func(ggsresident.Step) ggscore.PlacementAnswer,
) (s ggsresident.Step, a ggscore.PlacementAnswer, ok bool) {
	if !l.Synced(now) {
		l.Sync(now, m.status())
	}
	if s, ok = l.Next(now); !ok {
		return s, a, false
	}
	a = execute(s)
	l.HandleAnswer(now, s, a)
	return s, a, true
}

// delay executes an order later and doesn't answer it.
func (m *runnerModel) delay(s ggsresident.Step, until time.Time) ggscore.PlacementAnswer {
	m.late = append(m.late, lateOrder{at: until, step: s})
	return ggscore.PlacementUnknown
}

// mayRestart restarts the runner now and then.
func (m *runnerModel) mayRestart(t *rapid.T) bool {
	restarts := rapid.IntRange(0, 49).Draw(t, "runner") == 0
	if restarts {
		m.restart()
	}
	return restarts
}

// orderOrDelay executes an order, or leaves it unanswered and executes it after a time, if fewer than maxLate wait.
func (m *runnerModel) orderOrDelay(
	t *rapid.T, now time.Time, s ggsresident.Step, maxLate int, least, most time.Duration,
) ggscore.PlacementAnswer {
	if len(m.late) < maxLate && rapid.IntRange(0, 2).Draw(t, "outcome") == 0 {
		return m.delay(s, now.Add(time.Duration(rapid.Int64Range(int64(least), int64(most)).Draw(t, "late"))))
	}
	return m.order(now, s)
}

// Guards against orders to load more adapters than a runner has slots for, which make it crash
// with all its requests, and against adapters that the ledger wrongly reports as resident.
// Orders are lost, or executed seconds later, after newer ones.
func TestLoadsNeverExceedSlots(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := &runnerModel{slots: rapid.IntRange(1, 5).Draw(t, "slots")}
		m.restart()
		l := ggsresident.NewLedger(ggsresident.Options{Engine: &ggscore.EngineSpec{AdapterSlots: m.slots}})
		now := at(0)
		loaded := 0
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "advance")) * time.Millisecond)
			m.advance(now)
			if rapid.Bool().Draw(t, "want") {
				l.Want(now, adapter(rapid.IntRange(0, 9).Draw(t, "adapter")), 0)
			}
			// The VM's process restarts while its late orders are still in flight.
			if rapid.IntRange(0, 29).Draw(t, "restart") == 0 {
				l = ggsresident.NewLedger(ggsresident.Options{Engine: &ggscore.EngineSpec{AdapterSlots: m.slots}})
			}
			s, answer, ok := m.sendNext(now, l, func(s ggsresident.Step) ggscore.PlacementAnswer {
				switch rapid.IntRange(0, 9).Draw(t, "outcome") {
				case 0: // lost
				case 1: // executed, the answer is lost
					m.order(now, s)
				case 2:
					return m.delay(s, now.Add(time.Duration(rapid.IntRange(100, 12000).Draw(t, "late"))*time.Millisecond))
				default:
					return m.order(now, s)
				}
				return ggscore.PlacementUnknown
			})
			if !ok {
				continue
			}
			if m.overfull {
				t.Fatalf("adapter slots exceeded after %+v", s)
			}
			if answer != ggscore.PlacementUnknown && !s.Unload && l.Holds(s.Target, 0) {
				loaded++
				if _, ok := m.held[s.Target]; !ok {
					t.Fatalf("ledger reports %s as resident, but the runner does not hold it", s.Target)
				}
			}
		}
	})
}

// Guards against a late order to a runner's previous process that takes effect at the next
// process, whose slots are full.
func TestLoadsNeverExceedSlotsAfterARestart(t *testing.T) {
	t.Parallel()
	const (
		late = 12 * time.Second
		// maxLate is less than the number of slots, because consecutive late orders could
		// fill an endpoint whose status hasn't been requested yet.
		maxLate = 3
		// maxNoticeDelay is the maximum time until the list shows the runner's restart.
		maxNoticeDelay = 1500 * time.Millisecond
	)
	rapid.Check(t, func(t *rapid.T) {
		m := &runnerModel{slots: rapid.IntRange(maxLate+1, 8).Draw(t, "slots")}
		m.restart()
		now, unanswered := at(0), &ggsresident.Unanswered{}
		ledger := func() *ggsresident.Ledger {
			return ggsresident.NewLedger(ggsresident.Options{Engine: &ggscore.EngineSpec{AdapterSlots: m.slots}, Unanswered: unanswered})
		}
		l, noticed := ledger(), at(0)
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "advance")) * time.Millisecond)
			m.advance(now)
			if m.overfull {
				t.Fatalf("late orders exceed the adapter slots")
			}
			if m.mayRestart(t) {
				noticed = now.Add(time.Duration(rapid.Int64Range(0, int64(maxNoticeDelay)).Draw(t, "noticed")))
			}
			if !noticed.IsZero() && !now.Before(noticed) {
				l, noticed = ledger(), time.Time{}
			}
			unanswered.Recorded(now, unanswered.Record(now))
			l.Want(now, adapter(rapid.IntRange(0, 19).Draw(t, "adapter")), 0)
			s, _, _ := m.sendNext(now, l, func(s ggsresident.Step) ggscore.PlacementAnswer {
				return m.orderOrDelay(t, now, s, maxLate, time.Second, late)
			})
			if m.overfull {
				t.Fatalf("adapter slots exceeded after %+v", s)
			}
		}
	})
}

// Guards against a late order of an earlier owner, unknown to the endpoint's next owner or to the next
// process of the same VM, that takes effect at a restarted endpoint whose slots they have filled.
func TestLoadsNeverExceedSlotsAcrossOwners(t *testing.T) {
	t.Parallel()
	const maxLate = 3
	rapid.Check(t, func(t *rapid.T) {
		// At the larger scale, processes outlast the orders that were sent to the ones before.
		scale := time.Duration(rapid.SampledFrom([]int{1, 10}).Draw(t, "scale"))
		late, maxNoticeDelay := 2*scale*time.Second, 100*scale*time.Millisecond
		m := &runnerModel{slots: rapid.IntRange(maxLate+1, maxLate+3).Draw(t, "slots")}
		m.restart()
		now, noticed := at(0), at(0)
		started, known := at(0), at(0)
		var stored *ggsresident.OrderRecord
		var unanswered *ggsresident.Unanswered
		var l *ggsresident.Ledger
		var newest [8]uint64
		store := func() {
			r := unanswered.Record(now)
			stored = &r
			unanswered.Recorded(now, r)
		}
		ledger := func() {
			l = ggsresident.NewLedger(ggsresident.Options{Engine: &ggscore.EngineSpec{AdapterSlots: m.slots}, Unanswered: unanswered, Started: known})
		}
		takeOver := func() {
			unanswered = &ggsresident.Unanswered{}
			if stored != nil {
				unanswered.Inherit(now, *stored)
			}
			store()
			ledger()
		}
		takeOver()
		for range 400 {
			now = now.Add(scale * time.Duration(rapid.IntRange(1, 30).Draw(t, "advance")) * time.Millisecond)
			m.advance(now)
			if m.overfull {
				t.Fatalf("late orders exceed the adapter slots")
			}
			if m.mayRestart(t) {
				started = now
				noticed = now.Add(time.Duration(rapid.Int64Range(0, int64(maxNoticeDelay)).Draw(t, "noticed")))
			}
			if !noticed.IsZero() && !now.Before(noticed) {
				noticed, known = time.Time{}, started
				ledger()
			}
			if rapid.IntRange(0, 39).Draw(t, "owner") == 0 {
				takeOver()
			}
			if due := unanswered.RecordDue(now); !due.IsZero() && !due.After(now) && rapid.Bool().Draw(t, "recorded") {
				store()
			}
			// Replaced versions change which numbers orders for free slots expect.
			n := rapid.IntRange(0, len(newest)-1).Draw(t, "adapter")
			if rapid.IntRange(0, 9).Draw(t, "newer") == 0 {
				newest[n]++
			}
			l.Want(now, adapter(n), newest[n])
			s, _, _ := m.sendNext(now, l, func(s ggsresident.Step) ggscore.PlacementAnswer {
				return m.orderOrDelay(t, now, s, maxLate, late/4, late)
			})
			if m.overfull {
				t.Fatalf("adapter slots exceeded after %+v", s)
			}
		}
	})
}

// Guards against a late order that expects a number which the endpoint hasn't reached, and that
// takes effect after other orders have filled its slot.
func TestLoadsNeverExceedSlotsWhileVersionsAreReplaced(t *testing.T) {
	t.Parallel()
	const adapters = 12
	rapid.Check(t, func(t *rapid.T) {
		m := &runnerModel{slots: rapid.IntRange(3, 6).Draw(t, "slots")}
		m.restart()
		l := ggsresident.NewLedger(ggsresident.Options{Engine: &ggscore.EngineSpec{AdapterSlots: m.slots}})
		now := at(0)
		var newest [adapters]uint64
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "advance")) * time.Millisecond)
			m.advance(now)
			if m.overfull {
				t.Fatal("adapter slots exceeded")
			}
			a := rapid.IntRange(0, adapters-1).Draw(t, "adapter")
			if rapid.IntRange(0, 9).Draw(t, "newer") == 0 {
				newest[a]++
			}
			l.Want(now, adapter(a), newest[a])
			m.sendNext(now, l, func(s ggsresident.Step) ggscore.PlacementAnswer {
				switch rapid.IntRange(0, 5).Draw(t, "outcome") {
				case 0: // executed, the answer is lost
					m.order(now, s)
					return ggscore.PlacementUnknown
				case 1:
					return m.delay(s, now.Add(time.Duration(rapid.IntRange(2000, 12000).Draw(t, "late"))*time.Millisecond))
				}
				return m.order(now, s)
			})
		}
	})
}
