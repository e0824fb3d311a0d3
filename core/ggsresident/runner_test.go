package ggsresident_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsresident"
)

// replaceTime is how long a newer version waits for the requests of the one before.
const replaceTime = 700 * time.Millisecond

// A model is a runner as its protocol describes it: it counts accepted orders,
// says the same again of what is on its way, and then checks the condition.
type model struct {
	slots    int
	sequence uint64
	held     map[ggscore.ModelAdapter]uint64
	coming   map[ggscore.ModelAdapter]replacement
	// replaced are adapters whose newer version waits for the requests of the one before;
	// until then the endpoint takes no other order, and its report says nothing of it.
	replaced map[ggscore.ModelAdapter]replacement
	late     []lateOrder
	overfull bool
}

// A replacement is an adapter's version on its way.
type replacement struct {
	version uint64
	done    time.Time
}

type lateOrder struct {
	at   time.Time
	step ggsresident.Step
}

// restart starts the runner anew under its identity.
func (m *model) restart() {
	m.sequence, m.held, m.coming = 0, map[ggscore.ModelAdapter]uint64{}, map[ggscore.ModelAdapter]replacement{}
	m.replaced = map[ggscore.ModelAdapter]replacement{}
}

func (m *model) pass(now time.Time) {
	for _, under := range []map[ggscore.ModelAdapter]replacement{m.coming, m.replaced} {
		for a, r := range under {
			if !now.Before(r.done) {
				delete(under, a)
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

func (m *model) order(now time.Time, s ggsresident.Step) ggscore.PlacementAnswer {
	for _, under := range []map[ggscore.ModelAdapter]replacement{m.coming, m.replaced} {
		if r, ok := under[s.Target]; ok && !s.Unload && s.Version <= r.version {
			return ggscore.PlacementAccepted
		}
	}
	if s.Expected != m.sequence || len(m.replaced) > 0 {
		return ggscore.PlacementConflict
	}
	v, holds := m.held[s.Target]
	switch {
	case holds && !s.Unload && s.Version > v:
		m.sequence++
		m.replaced[s.Target] = replacement{s.Version, now.Add(replaceTime)}
		return ggscore.PlacementAccepted
	case s.Unload && !holds, !s.Unload && holds:
		return ggscore.PlacementHolds
	case s.Unload:
		m.sequence++
		delete(m.held, s.Target)
		return ggscore.PlacementHolds
	}
	if _, ok := m.coming[s.Target]; ok {
		return ggscore.PlacementConflict
	}
	m.sequence++
	m.coming[s.Target] = replacement{max(s.Version, 1), now.Add(250 * time.Millisecond)}
	if len(m.held)+len(m.coming) > m.slots {
		m.overfull = true
	}
	return ggscore.PlacementAccepted
}

func (m *model) status() ggscore.InstanceStatus {
	s := ggscore.InstanceStatus{Sequence: m.sequence, Models: []ggscore.ResidentModel{{Name: "m"}}}
	for a, v := range m.held {
		s.Models[0].Adapters = append(s.Models[0].Adapters, ggscore.ResidentVersion{Adapter: a.Adapter, Version: v})
	}
	for a := range m.coming {
		s.Coming = append(s.Coming, a)
	}
	return s
}

// give has the ledger give its next order, if there is one, by a fate that answers it.
func (m *model) give(
	now time.Time, l *ggsresident.Ledger, fate func(ggsresident.Step) ggscore.PlacementAnswer,
) (s ggsresident.Step, a ggscore.PlacementAnswer, ok bool) {
	if !l.Synced(now) {
		l.Sync(now, m.status())
	}
	if s, ok = l.Next(now); !ok {
		return s, a, false
	}
	a = fate(s)
	l.Ended(now, s, a)
	return s, a, true
}

// delay has an order carried out later, and not answered.
func (m *model) delay(s ggsresident.Step, until time.Time) ggscore.PlacementAnswer {
	m.late = append(m.late, lateOrder{at: until, step: s})
	return ggscore.PlacementUnknown
}

// A runner that is ordered to load more than it has places for crashes, with
// all that it runs. Orders get lost, or are carried out seconds later, after
// newer ones; whatever comes, no place is promised twice, and what the ledger
// says is resident is.
func TestNoPlaceIsPromisedTwice(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := &model{slots: rapid.IntRange(1, 5).Draw(t, "slots")}
		m.restart()
		l := ggsresident.NewLedger(ggsresident.Options{Slots: m.slots})
		now := at(0)
		loaded := 0
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "pass")) * time.Millisecond)
			m.pass(now)
			if rapid.Bool().Draw(t, "want") {
				l.Want(now, adapter(rapid.IntRange(0, 9).Draw(t, "adapter")), 0)
			}
			// The VM's process starts anew; its late orders are still on their way.
			if rapid.IntRange(0, 29).Draw(t, "restart") == 0 {
				l = ggsresident.NewLedger(ggsresident.Options{Slots: m.slots})
			}
			s, answer, ok := m.give(now, l, func(s ggsresident.Step) ggscore.PlacementAnswer {
				switch rapid.IntRange(0, 9).Draw(t, "fate") {
				case 0: // lost
				case 1: // carried out, the answer is lost
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
				t.Fatalf("more adapters than places after %+v", s)
			}
			if answer != ggscore.PlacementUnknown && !s.Unload && l.Holds(s.Target, 0) {
				loaded++
				if _, ok := m.held[s.Target]; !ok {
					t.Fatalf("ledger says %s is resident", s.Target)
				}
			}
		}
	})
}

// Guards against a late order to a runner's former process that meets its condition at the next one, which is full.
func TestNoPlaceIsPromisedTwiceAfterARestart(t *testing.T) {
	t.Parallel()
	const (
		late = 12 * time.Second
		// mostLate is fewer than the places: orders that are late in a row fill an endpoint
		// that nobody has asked yet.
		mostLate = 3
		// listed is the time until the list shows that the runner started anew.
		listed = 1500 * time.Millisecond
	)
	rapid.Check(t, func(t *rapid.T) {
		m := &model{slots: rapid.IntRange(mostLate+1, 8).Draw(t, "slots")}
		m.restart()
		now, unanswered := at(0), &ggsresident.Unanswered{}
		ledger := func() *ggsresident.Ledger {
			return ggsresident.NewLedger(ggsresident.Options{Slots: m.slots, Unanswered: unanswered})
		}
		l, noticed := ledger(), at(0)
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "pass")) * time.Millisecond)
			m.pass(now)
			if m.overfull {
				t.Fatalf("more adapters than places by late orders")
			}
			if rapid.IntRange(0, 49).Draw(t, "runner") == 0 {
				m.restart()
				noticed = now.Add(time.Duration(rapid.Int64Range(0, int64(listed)).Draw(t, "noticed")))
			}
			if !noticed.IsZero() && !now.Before(noticed) {
				l, noticed = ledger(), time.Time{}
			}
			l.Want(now, adapter(rapid.IntRange(0, 19).Draw(t, "adapter")), 0)
			s, _, _ := m.give(now, l, func(s ggsresident.Step) ggscore.PlacementAnswer {
				if len(m.late) < mostLate && rapid.IntRange(0, 2).Draw(t, "fate") == 0 {
					return m.delay(s, now.Add(time.Duration(rapid.Int64Range(int64(time.Second), int64(late)).Draw(t, "late"))))
				}
				return m.order(now, s)
			})
			if m.overfull {
				t.Fatalf("more adapters than places after %+v", s)
			}
		}
	})
}

// Guards against a late order that was given under a number which the endpoint had not reached: it counts once others have filled its place.
func TestNoPlaceIsPromisedTwiceWhileVersionsAreReplaced(t *testing.T) {
	t.Parallel()
	const adapters = 12
	rapid.Check(t, func(t *rapid.T) {
		m := &model{slots: rapid.IntRange(3, 6).Draw(t, "slots")}
		m.restart()
		l := ggsresident.NewLedger(ggsresident.Options{Slots: m.slots})
		now := at(0)
		var newest [adapters]uint64
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "pass")) * time.Millisecond)
			m.pass(now)
			if m.overfull {
				t.Fatal("more adapters than places")
			}
			a := rapid.IntRange(0, adapters-1).Draw(t, "adapter")
			if rapid.IntRange(0, 9).Draw(t, "newer") == 0 {
				newest[a]++
			}
			l.Want(now, adapter(a), newest[a])
			m.give(now, l, func(s ggsresident.Step) ggscore.PlacementAnswer {
				switch rapid.IntRange(0, 5).Draw(t, "fate") {
				case 0: // carried out, the answer is lost
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
