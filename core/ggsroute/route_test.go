package ggsroute_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsroute"
)

const service = ggscore.Service("asistente")

func at(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

func adapterRef() ggscore.AdapterRef {
	return ggscore.AdapterRef{Name: "deposits-es", Version: "v1"}
}

func request() *ggscore.Request {
	return &ggscore.Request{Service: service, Adapter: adapterRef(), Body: make([]byte, 1000)}
}

// summary returns a dispatcher's summary with four idle runners.
func summary(vm string, seq uint64) *ggscore.DispatcherSummary {
	s := &ggscore.DispatcherSummary{VM: ggscore.VMID(vm), Region: "central", Incarnation: "i1", Sequence: seq}
	for i := range 4 {
		s.Runners = append(s.Runners, ggscore.RunnerSummary{
			Endpoint:     ggscore.EndpointID(fmt.Sprintf("%s-r%d", vm, i)),
			Service:      service,
			Mode:         ggscore.ModeFull,
			Slots:        8,
			AdapterSlots: 4,
		})
	}
	return s
}

func newRouter(c *qt.C, vms ...string) *ggsroute.Router {
	r := ggsroute.New(ggsroute.Options{Region: "central", Seed: 1})
	for _, vm := range vms {
		c.Assert(r.Update(at(0), summary(vm, 1)), qt.IsTrue)
	}
	return r
}

func TestRoutePrefers(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		change func(a, b *ggscore.DispatcherSummary)
		want   ggscore.VMID
		reason ggsroute.Reason
	}{
		"a dispatcher where the adapter is resident": {
			change: func(_, b *ggscore.DispatcherSummary) { b.Runners[0].Resident = []ggscore.AdapterRef{adapterRef()} },
			want:   "b", reason: ggsroute.ReasonResident,
		},
		"a dispatcher where the adapter is loading": {
			change: func(a, _ *ggscore.DispatcherSummary) { a.Runners[0].Loading = []ggscore.AdapterRef{adapterRef()} },
			want:   "a", reason: ggsroute.ReasonLoading,
		},
		"resident over loading": {
			change: func(a, b *ggscore.DispatcherSummary) {
				a.Runners[0].Loading = []ggscore.AdapterRef{adapterRef()}
				b.Runners[0].Resident = []ggscore.AdapterRef{adapterRef()}
			},
			want: "b", reason: ggsroute.ReasonResident,
		},
		"a free batch slot": {
			change: func(a, b *ggscore.DispatcherSummary) {
				a.Runners[0].Resident = []ggscore.AdapterRef{adapterRef()}
				a.Runners[0].Running = 8
				b.Runners[0].Resident = []ggscore.AdapterRef{adapterRef()}
			},
			want: "b", reason: ggsroute.ReasonResident,
		},
		"resident in mode resident only": {
			change: func(a, _ *ggscore.DispatcherSummary) {
				a.Runners[0].Mode = ggscore.ModeResidentOnly
				a.Runners[0].Resident = []ggscore.AdapterRef{adapterRef()}
			},
			want: "a", reason: ggsroute.ReasonResident,
		},
		"another over a leaving dispatcher": {
			change: func(a, _ *ggscore.DispatcherSummary) {
				a.Leaving = true
				a.Runners[0].Resident = []ggscore.AdapterRef{adapterRef()}
			},
			want: "b", reason: ggsroute.ReasonHome,
		},
		"another over runners without an owner": {
			change: func(a, _ *ggscore.DispatcherSummary) {
				for i := range a.Runners {
					a.Runners[i].Mode = ggscore.ModeNone
					a.Runners[i].Resident = []ggscore.AdapterRef{adapterRef()}
				}
			},
			want: "b", reason: ggsroute.ReasonHome,
		},
		"another for a load over mode resident only": {
			change: func(a, _ *ggscore.DispatcherSummary) {
				for i := range a.Runners {
					a.Runners[i].Mode = ggscore.ModeResidentOnly
				}
			},
			want: "b", reason: ggsroute.ReasonHome,
		},
		"another over an overloaded home": {
			change: func(a, _ *ggscore.DispatcherSummary) {
				for i := range a.Runners {
					a.Runners[i].Running = 8
				}
			},
			want: "b", reason: ggsroute.ReasonHome,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			r := ggsroute.New(ggsroute.Options{Region: "central", Seed: 1})
			a, b := summary("a", 1), summary("b", 1)
			tc.change(a, b)
			r.Update(at(0), a)
			r.Update(at(0), b)
			got, err := r.Route(at(0), request(), nil)
			c.Assert(err, qt.IsNil)
			c.Check(got.VM, qt.Equals, tc.want)
			c.Check(got.Reason, qt.Equals, tc.reason)
		})
	}
}

func TestRouteRefuses(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		vms     []string
		now     time.Duration
		exclude []ggscore.VMID
		want    ggsroute.Cause
	}{
		"unknown service":          {want: ggsroute.CauseNone},
		"stale summary":            {vms: []string{"a"}, now: 3 * time.Second, want: ggsroute.CauseUnavailable},
		"all dispatchers excluded": {vms: []string{"a"}, exclude: []ggscore.VMID{"a"}, want: ggsroute.CauseExcluded},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			r := newRouter(c, tc.vms...)
			_, err := r.Route(at(tc.now), request(), tc.exclude)
			var got *ggsroute.NoDispatcherError
			c.Assert(errors.As(err, &got), qt.IsTrue)
			c.Check(got.Cause, qt.Equals, tc.want)
			c.Check(got.RetryAfter > 0, qt.IsTrue)
			c.Check(got.Failure().Outcome, qt.Equals, ggscore.OutcomeNotRun)
		})
	}
}

func TestOwnRequestsCountBeforeSummary(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := newRouter(c, "a", "b", "d")
	first, err := r.Route(at(0), request(), nil)
	c.Assert(err, qt.IsNil)
	c.Check(first.Stall, qt.Equals, 250*time.Millisecond)
	r.Sent(at(0), first)
	second, err := r.Route(at(0), request(), nil)
	c.Assert(err, qt.IsNil)
	c.Check(second.VM, qt.Equals, first.VM)
	c.Check(second.Reason, qt.Equals, ggsroute.ReasonLoading)
}

// Guards against a dispatcher that receives no requests for as long as it runs, because its VM's
// clock was set back before it started and its summaries sort before those of the earlier
// incarnation.
func TestRestartAfterClockSetBack(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := newRouter(c, "a")
	s := summary("a", 1)
	s.Incarnation = "i0"
	c.Check(r.Update(at(time.Second), s), qt.IsFalse)
	s.Sequence++
	c.Check(r.Update(at(4*time.Second), s), qt.IsTrue)
	_, err := r.Route(at(4*time.Second), request(), nil)
	c.Check(err, qt.IsNil)
}

// Guards against requests to a leaving dispatcher, where each is refused or cut off. A summary
// from before it began to leave is delayed and arrives after the one that says that it leaves.
func TestDelayedSummaryDoesNotRestoreLeavingDispatcher(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		events func(r *ggsroute.Router)
	}{
		"an earlier summary after a leaving one": {events: func(r *ggsroute.Router) {
			s := summary("a", 3)
			s.Leaving = true
			r.Update(at(0), s)
			r.Update(at(0), summary("a", 2))
		}},
		"an earlier summary after one with leaving endpoints": {events: func(r *ggsroute.Router) {
			s := summary("a", 3)
			for i := range s.Runners {
				s.Runners[i].Leaving = true
			}
			r.Update(at(0), s)
			r.Update(at(0), summary("a", 2))
		}},
		"a restart on a VM marked as leaving": {events: func(r *ggsroute.Router) {
			r.MarkLeaving("a")
			s := summary("a", 1)
			s.Incarnation = "i2"
			r.Update(at(0), s)
		}},
		"a later summary of the same incarnation": {events: func(r *ggsroute.Router) {
			s := summary("a", 3)
			s.Leaving = true
			r.Update(at(0), s)
			r.Update(at(0), summary("a", 4))
		}},
		"a summary of a VM marked as leaving": {events: func(r *ggsroute.Router) {
			r.MarkLeaving("a")
			r.Update(at(0), summary("a", 4))
		}},
		"a summary of a replaced incarnation": {events: func(r *ggsroute.Router) {
			s := summary("a", 1)
			s.Incarnation = "i2"
			s.Leaving = true
			r.Update(at(0), s)
			r.Update(at(0), summary("a", 9))
		}},
		"a summary sent before the dispatcher was removed": {events: func(r *ggsroute.Router) {
			s := summary("a", 3)
			s.Leaving = true
			r.Update(at(0), s)
			r.Remove(at(0), "a")
			r.Update(at(0), summary("a", 2))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			r := newRouter(c, "a")
			tc.events(r)
			_, err := r.Route(at(0), request(), nil)
			c.Check(err, qt.IsNotNil)
		})
	}
}

// Guards against gateways that continue to send to a full dispatcher although each answer
// reports its load, because they read boards only every ten seconds.
func TestObservedLoadChangesChoice(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := newRouter(c, "a", "b")
	first, err := r.Route(at(0), request(), nil)
	c.Assert(err, qt.IsNil)
	r.Observe(first, 60)
	second, err := r.Route(at(0), request(), nil)
	c.Assert(err, qt.IsNil)
	c.Check(second.VM, qt.Not(qt.Equals), first.VM)
}
