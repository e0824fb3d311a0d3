package ggsresident_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsresident"
)

// The models of the tests. A runner has memory for one of them, and for four adapters beside the big one.
const (
	small ggscore.BaseModel = "small"
	big   ggscore.BaseModel = "big"
)

func bigAdapter() ggscore.ModelAdapter { return ggscore.ModelAdapter{Model: big, Adapter: "a1"} }

// newModelLedger returns the ledger of a runner that holds models.
func newModelLedger(sequence uint64, held ...ggscore.BaseModel) *ggsresident.Ledger {
	l := ggsresident.NewLedger(ggsresident.Options{Engine: &ggscore.EngineSpec{
		AdapterSlots: 16, Bytes: 1000, Models: []ggscore.ModelSpec{{Name: small, Bytes: 400, AdapterBytes: 25}, {Name: big, Bytes: 900, AdapterBytes: 25}},
	}})
	l.Sync(at(0), status(sequence, held...))
	return l
}

// status returns the report of a runner that has accepted as many orders and holds models.
func status(sequence uint64, held ...ggscore.BaseModel) ggscore.InstanceStatus {
	s := ggscore.InstanceStatus{Sequence: sequence}
	for _, m := range held {
		s.Models = append(s.Models, ggscore.ResidentModel{Name: m})
	}
	return s
}

// Guards against orders to load more adapters than fit beside a service's second model.
func TestAdaptersAreBoundedByTheMemoryBesideTheirModel(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		model ggscore.BaseModel
		want  int
	}{"the first model": {model: small, want: 16}, "the second": {model: big, want: 4}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			l := newModelLedger(0, tc.model)
			loads := 0
			for n := range 20 {
				now := at(time.Duration(n) * time.Second)
				l.Want(now, ggscore.ModelAdapter{Model: tc.model, Adapter: fmt.Sprint(n)}, 0)
				l.Use(now, ggscore.ModelAdapter{Model: tc.model, Adapter: fmt.Sprint(n)}, "vm", true)
				for s, ok := l.Next(now); ok; s, ok = l.Next(now) {
					if s.Unload {
						loads--
					} else if !s.Poll {
						loads++
					}
					l.HandleAnswer(now, s, ggscore.PlacementSatisfied)
					c.Assert(loads <= tc.want, qt.IsTrue, qt.Commentf("%d adapters", loads))
				}
			}
			c.Assert(loads, qt.Equals, tc.want)
		})
	}
}

// Guards against the load of a model beside another one that leaves no memory for it.
func TestModelIsNotLoadedBesideAnother(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := newModelLedger(0, small)
	l.Want(at(0), bigAdapter(), 0)
	c.Assert(l.CanHold(bigAdapter()), qt.IsFalse)
	_, ok := l.Next(at(0))
	c.Assert(ok, qt.IsFalse)
	c.Assert(l.Due(at(0)).IsZero(), qt.IsTrue)
}

func TestModelIsReplaced(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := newModelLedger(7, small)
	l.Unload(small)
	l.Want(at(0), ggscore.ModelAdapter{Model: big}, 0)
	s := next(c, l, at(0))
	c.Assert(s, qt.DeepEquals, ggsresident.Step{Unload: true, Target: ggscore.ModelAdapter{Model: small}, Expected: 7})
	l.HandleAnswer(at(0), s, ggscore.PlacementAccepted)

	// The requests that run on the model end first. It takes memory until then.
	c.Assert(l.Models(), qt.HasLen, 0)
	c.Assert(l.CanHold(bigAdapter()), qt.IsFalse)
	c.Assert(l.Synced(at(500*time.Millisecond)), qt.IsFalse)
	l.Sync(at(500*time.Millisecond), status(8, small))
	c.Assert(l.Models(), qt.HasLen, 0)
	_, ok := l.Next(at(500 * time.Millisecond))
	c.Assert(ok, qt.IsFalse)

	c.Assert(l.Synced(at(time.Second)), qt.IsFalse)
	l.Sync(at(time.Second), status(8))
	s = next(c, l, at(time.Second))
	c.Assert(s, qt.DeepEquals, ggsresident.Step{Target: ggscore.ModelAdapter{Model: big}, Expected: 8})
	l.HandleAnswer(at(time.Second), s, ggscore.PlacementAccepted)
	c.Assert(l.Models(), qt.HasLen, 0)
	l.HandleAnswer(at(3*time.Second), s, ggscore.PlacementSatisfied)
	c.Assert(l.Models(), qt.DeepEquals, []ggscore.BaseModel{big})
}

// Guards against a late order that loads an adapter or a model beside one that was ordered after it.
func TestModelIsNotReplacedWhileAnOrderMayBeLate(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	u := &ggsresident.Unanswered{}
	e := &ggscore.EngineSpec{AdapterSlots: 4}
	l := ggsresident.NewLedger(ggsresident.Options{Engine: e, Unanswered: u})
	l.Sync(at(0), status(8, small))
	l.Want(at(0), ggscore.ModelAdapter{Model: small, Adapter: "a1"}, 0)
	l.HandleAnswer(at(0), next(c, l, at(0)), ggscore.PlacementUnknown)
	u.Recorded(at(0), u.Record(at(0)))
	// The runner's next process has accepted one order less than the late one expects.
	l = ggsresident.NewLedger(ggsresident.Options{Engine: e, Unanswered: u})
	l.Sync(at(time.Second), status(7, small))
	l.Unload(small)
	_, ok := l.Next(at(time.Second))
	c.Assert(ok, qt.IsFalse)
}

// Guards against a model that is counted as gone because the order to unload it was answered, and not its end.
func TestModelThatIsLeftUnansweredIsUnloadedAgain(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := newModelLedger(7, small)
	l.Unload(small)
	s := next(c, l, at(0))
	l.HandleAnswer(at(0), s, ggscore.PlacementUnknown)
	c.Assert(l.CanHold(bigAdapter()), qt.IsFalse)
	s = next(c, l, at(time.Second))
	c.Assert(s, qt.DeepEquals, ggsresident.Step{Unload: true, Target: ggscore.ModelAdapter{Model: small}, Expected: 7, Repeat: true})
	l.HandleAnswer(at(time.Second), s, ggscore.PlacementConflict)
	l.Sync(at(2*time.Second), status(8))
	c.Assert(l.Models(), qt.HasLen, 0)
	c.Assert(l.CanHold(bigAdapter()), qt.IsTrue)
}
