package ggsassign_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsassign"
)

const (
	service ggscore.Service   = "models"
	small   ggscore.BaseModel = "small"
	big     ggscore.BaseModel = "big"
	old     ggscore.BaseModel = "old"
)

func at(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

// engine returns runners that have memory for one of two models.
func engine() *ggscore.EngineSpec {
	return &ggscore.EngineSpec{AdapterSlots: 4, Bytes: 1000, Models: []ggscore.ModelSpec{
		{Name: small, Bytes: 400, AdapterBytes: 25}, {Name: big, Bytes: 900, AdapterBytes: 25},
	}}
}

// runner returns a runner that can be ordered.
func runner(n int, held ...ggscore.BaseModel) ggsassign.Runner {
	return ggsassign.Runner{ID: ggscore.EndpointID(fmt.Sprintf("r%d", n)), Models: held, Loadable: true}
}

// decideAfter decides each second for a time, and returns the last decision.
func decideAfter(d time.Duration, e *ggscore.EngineSpec, rs []ggsassign.Runner) map[ggscore.EndpointID]ggsassign.Order {
	t := ggsassign.NewTable()
	var os map[ggscore.EndpointID]ggsassign.Order
	for s := time.Duration(0); s <= d; s += time.Second {
		os = t.Decide(at(s), service, e, rs)
	}
	return os
}

// Guards against models that nothing loads again after their only runner has crashed.
func TestEmptyRunnerLoadsTheModelThatNoneHolds(t *testing.T) {
	t.Parallel()
	busy := runner(1, big)
	busy.InFlight = 9
	unowned := runner(3)
	unowned.Loadable = false
	for name, tc := range map[string]struct {
		runners []ggsassign.Runner
		want    map[ggscore.EndpointID]ggsassign.Order
	}{
		"the second model's only runner is back": {
			runners: []ggsassign.Runner{runner(1, small), runner(2, small), runner(3)},
			want:    map[ggscore.EndpointID]ggsassign.Order{"r3": {Load: big}},
		},
		"the first model's only runner is back": {
			runners: []ggsassign.Runner{runner(1, big), runner(2, big), runner(3)},
			want:    map[ggscore.EndpointID]ggsassign.Order{"r3": {Load: small}},
		},
		"one of several": {
			runners: []ggsassign.Runner{runner(1, small), runner(2, big), runner(3)},
			want:    map[ggscore.EndpointID]ggsassign.Order{"r3": {Load: small}},
		},
		"the other model is busier": {
			runners: []ggsassign.Runner{busy, runner(2, small), runner(3)},
			want:    map[ggscore.EndpointID]ggsassign.Order{"r3": {Load: big}},
		},
		"all runners are new": {
			runners: []ggsassign.Runner{runner(1), runner(2), runner(3)},
			want:    map[ggscore.EndpointID]ggsassign.Order{"r1": {Load: small}, "r2": {Load: big}, "r3": {Load: small}},
		},
		"a runner without an owner": {
			runners: []ggsassign.Runner{runner(1, small), unowned},
			want:    map[ggscore.EndpointID]ggsassign.Order{},
		},
		"each has its model": {
			runners: []ggsassign.Runner{runner(1, small), runner(2, big)},
			want:    map[ggscore.EndpointID]ggsassign.Order{},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			qt.Assert(t, decideAfter(0, engine(), tc.runners), qt.DeepEquals, tc.want)
		})
	}
}

// Guards against models that are never served again because their only runner was lost for good.
func TestRunnerTakesAModelThatHasHadNoneForLong(t *testing.T) {
	t.Parallel()
	roomy := engine()
	roomy.Bytes = 2000
	for name, tc := range map[string]struct {
		engine  *ggscore.EngineSpec
		runners []ggsassign.Runner
		after   time.Duration
		// want is the one order, empty for none. Which runner gets it depends on its ID.
		want ggsassign.Order
	}{
		"in place of a model that others hold": {runners: []ggsassign.Runner{runner(1, small), runner(2, small)}, after: 10 * time.Second, want: ggsassign.Order{Unload: small, Load: big}},
		"the runner may still come back":       {runners: []ggsassign.Runner{runner(1, small), runner(2, small)}, after: 9 * time.Second},
		"not the last runner of another":       {runners: []ggsassign.Runner{runner(1, small)}, after: time.Minute},
		"beside another model":                 {engine: roomy, runners: []ggsassign.Runner{runner(1, small)}, after: 10 * time.Second, want: ggsassign.Order{Load: big}},
		"a model that isn't served any more":   {runners: []ggsassign.Runner{runner(1, small), runner(2, old)}, after: 10 * time.Second, want: ggsassign.Order{Unload: old, Load: big}},
		"which may be served again soon":       {runners: []ggsassign.Runner{runner(1, small), runner(2, big), runner(3, old)}, after: 9 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := tc.engine
			if e == nil {
				e = engine()
			}
			os := decideAfter(tc.after, e, tc.runners)
			if tc.want == (ggsassign.Order{}) {
				qt.Assert(t, os, qt.HasLen, 0)
				return
			}
			qt.Assert(t, os, qt.HasLen, 1)
			for _, o := range os {
				qt.Assert(t, o, qt.Equals, tc.want)
			}
		})
	}
}

// Guards against a model that counts as missing because nothing was decided while it had a runner.
func TestModelIsNotMissingForATimeThatNobodyObserved(t *testing.T) {
	t.Parallel()
	b := ggsassign.NewTable()
	rs := []ggsassign.Runner{runner(1, small), runner(2, small)}
	b.Decide(at(0), service, engine(), rs)
	qt.Assert(t, b.Decide(at(time.Minute), service, engine(), rs), qt.HasLen, 0)
}

// Guards against VMs whose lists are in another order and that give a model to two runners.
func TestAllVMsDecideTheSame(t *testing.T) {
	t.Parallel()
	rs := []ggsassign.Runner{runner(1, small), runner(2, small), runner(3, small), runner(4, small)}
	turned := []ggsassign.Runner{rs[2], rs[0], rs[3], rs[1]}
	qt.Assert(t, decideAfter(10*time.Second, engine(), turned), qt.DeepEquals, decideAfter(10*time.Second, engine(), rs))
}
