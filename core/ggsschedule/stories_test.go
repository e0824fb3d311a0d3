package ggsschedule_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsschedule"
)

// resident returns a scheduler whose only runner holds the adapters, idle.
func resident(now time.Time, adapters ...string) *ggsschedule.Scheduler {
	s := newScheduler(now, "r1")
	s.Report(now.Add(time.Millisecond), report("r1", "one", now.Add(time.Millisecond), idle(adapters...)...))
	return s
}

func idle(adapters ...string) []ggscore.ResidentAdapter {
	var all []ggscore.ResidentAdapter
	for _, a := range adapters {
		all = append(all, ggscore.ResidentAdapter{Ref: ref(a)})
	}
	return all
}

// kinds formats orders as "dispatch q1", "load a" and so on.
func kinds(orders []ggscore.Order) []string {
	all := []string{}
	for _, o := range orders {
		switch o.Kind {
		case ggscore.OrderDispatch:
			all = append(all, "dispatch "+string(o.Request.ID))
		case ggscore.OrderRefuse:
			all = append(all, "refuse "+string(o.Request.ID))
		case ggscore.OrderLoad:
			all = append(all, "load "+o.Adapter.Name)
		case ggscore.OrderUnload:
			all = append(all, "unload "+o.Adapter.Name)
		}
	}
	return all
}

// The answer of a load is lost. A report from before the order must not settle the
// load: the scheduler would order it twice, or dispatch to an adapter that isn't
// resident.
func TestOldReportDoesNotSettleLoad(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := testStart()
	s := newScheduler(now, "r1")
	now = now.Add(time.Second)
	s.Submit(now, request("q1", "a"))
	before := now.Add(100 * time.Millisecond)
	now = now.Add(250 * time.Millisecond)
	c.Assert(kinds(s.LoadEnded(now, "r1", ref("a"), ggscore.EndUnknown)), qt.HasLen, 0)
	c.Assert(kinds(s.Report(now, report("r1", "one", before))), qt.HasLen, 0)
	c.Assert(kinds(s.Report(now, report("r1", "one", before.Add(1), idle("a")...))), qt.HasLen, 0)
	now = now.Add(100 * time.Millisecond)
	c.Assert(kinds(s.Report(now, report("r1", "one", now))), qt.HasLen, 0)
	now = now.Add(2 * time.Second)
	c.Assert(kinds(s.Report(now, report("r1", "one", now, idle("a")...))), qt.DeepEquals, []string{"dispatch q1"})
}

// The answer of an eviction is lost and the adapter is still resident. The eviction may
// still take effect, so the adapter is unloaded again before it serves requests.
func TestLostEvictionIsRepeated(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := testStart()
	s := resident(now, "a", "b")
	now = now.Add(time.Second)
	c.Assert(kinds(s.Submit(now, request("q1", "c"))), qt.DeepEquals, []string{"unload a"})
	s.UnloadEnded(now, "r1", ref("a"), ggscore.EndUnknown)
	c.Assert(kinds(s.Submit(now, request("q2", "a"))), qt.Not(qt.Contains), "dispatch q2")
	now = now.Add(500 * time.Millisecond)
	c.Assert(kinds(s.Report(now, report("r1", "one", now, idle("a", "b")...))), qt.Not(qt.Contains), "unload a")
	now = now.Add(1500 * time.Millisecond)
	orders := kinds(s.Report(now, report("r1", "one", now, idle("a", "b")...)))
	c.Assert(orders, qt.Contains, "unload a")
	c.Assert(orders, qt.Not(qt.Contains), "dispatch q2")
}

// An old owner's request still streams its answer when a new owner takes over the
// runner. The new owner doesn't know the request, and evicting its adapter would break
// the answer.
func TestForeignRunPinsUntilIdle(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := testStart()
	s := newScheduler(now)
	spec := runner("r1")
	spec.AdapterSlots = 1
	s.SetEndpoint(now, spec, ggscore.ModeFull)
	busy := ggscore.ResidentAdapter{Ref: ref("a"), Running: 1}
	s.Report(now, report("r1", "one", now, busy))
	now = now.Add(time.Second)
	c.Assert(kinds(s.Submit(now, request("q1", "b"))), qt.HasLen, 0)
	now = now.Add(time.Second)
	c.Assert(kinds(s.Report(now, report("r1", "one", now, busy))), qt.HasLen, 0)
	now = now.Add(time.Second)
	c.Assert(kinds(s.Report(now, report("r1", "one", now, idle("a")...))), qt.DeepEquals, []string{"unload a"})
}

// A paused old owner sends a request after the new owner's first report. The next
// report shows more runs than the new owner's own, and the adapter must not be evicted.
func TestForeignRunInLaterReportPins(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := testStart()
	s := newScheduler(now)
	spec := runner("r1")
	spec.AdapterSlots = 1
	s.SetEndpoint(now, spec, ggscore.ModeFull)
	s.Report(now, report("r1", "one", now, idle("a")...))
	now = now.Add(time.Second)
	s.Report(now, report("r1", "one", now, ggscore.ResidentAdapter{Ref: ref("a"), Running: 1}))
	c.Assert(kinds(s.Submit(now, request("q1", "b"))), qt.HasLen, 0)
}

// The connection breaks after the dispatch of a non-idempotent request. A second
// dispatch could run it twice, so only proof that it didn't run allows a retry.
func TestUnknownEndIsNotDispatchedAgain(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		end  ggscore.EndKind
		want []string
	}{
		"unknown":         {ggscore.EndUnknown, []string{}},
		"done":            {ggscore.EndDone, []string{}},
		"proved not run":  {ggscore.EndFailed, []string{"dispatch q1"}},
		"adapter missing": {ggscore.EndAdapterMissing, []string{"load a"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			now := testStart()
			s := resident(now, "a")
			now = now.Add(time.Second)
			r := request("q1", "a")
			r.NonIdempotent, r.Key = true, "k"
			c.Assert(kinds(s.Submit(now, r)), qt.DeepEquals, []string{"dispatch q1"})
			c.Assert(kinds(s.RequestEnded(now, "q1", tc.end)), qt.DeepEquals, tc.want)
		})
	}
}

// A runner restarts without its adapters. Loading all at once would stall the weight
// store, and loading rare adapters first would delay the callers of popular ones.
func TestRestartReloadsMostPopularFirst(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := testStart()
	s := resident(now, "rare", "busy")
	now = now.Add(time.Second)
	for i := range 9 {
		a := "busy"
		if i%4 == 0 {
			a = "rare"
		}
		id := fmt.Sprintf("q%d", i)
		s.Submit(now, request(id, a))
		s.RequestEnded(now.Add(time.Millisecond), ggscore.RequestID(id), ggscore.EndDone)
		now = now.Add(time.Second)
	}
	s.SetLoadShare(now, ggscore.LoadShare{LoadsPerSecond: 4, InTransit: 1})
	c.Assert(kinds(s.Report(now, report("r1", "two", now))), qt.DeepEquals, []string{"load busy"})
	now = now.Add(250 * time.Millisecond)
	c.Assert(kinds(s.LoadEnded(now, "r1", ref("busy"), ggscore.EndDone)), qt.DeepEquals, []string{"load rare"})
}

// One market sends a burst, and another sends a few requests after it. In the order of
// arrival the few would wait for the whole burst.
func TestMarketsShareByWeight(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := testStart()
	s := resident(now, "a", "b")
	s.SetMarkets(map[ggscore.Market]int{"flood": 1, "few": 2})
	now = now.Add(time.Second)
	send := func(market, adapter string, n int) {
		for i := range n {
			r := request(fmt.Sprintf("%s%d", market, i), adapter)
			r.Market = ggscore.Market(market)
			r.Budget = time.Hour
			s.Submit(now, r)
		}
	}
	send("flood", "a", 20)
	send("few", "b", 8)
	served := map[string]int{}
	ended := []ggscore.RequestID{"flood0", "flood1"}
	for range 9 {
		now = now.Add(time.Second)
		for _, o := range s.RequestEnded(now, ended[0], ggscore.EndDone) {
			if o.Kind == ggscore.OrderDispatch {
				served[string(o.Request.Market)]++
				ended = append(ended, o.Request.ID)
			}
		}
		ended = ended[1:]
	}
	c.Assert(served, qt.DeepEquals, map[string]int{"flood": 3, "few": 6})
}

// Long requests are queued when an interactive one arrives. The interactive request
// must run first, and among equal priorities the one with the nearest deadline.
func TestPriorityThenDeadline(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := testStart()
	s := resident(now, "a")
	now = now.Add(time.Second)
	for i, r := range []struct {
		priority ggscore.Priority
		budget   time.Duration
	}{
		{ggscore.PriorityNormal, time.Minute},
		{ggscore.PriorityNormal, time.Minute},
		{ggscore.PriorityNormal, time.Minute},
		{ggscore.PriorityNormal, 40 * time.Second},
		{ggscore.PriorityInteractive, 50 * time.Second},
	} {
		q := request(fmt.Sprintf("q%d", i), "a")
		q.Priority, q.Budget = r.priority, r.budget
		s.Submit(now, q)
	}
	var order []string
	for _, id := range []ggscore.RequestID{"q0", "q1", "q4"} {
		now = now.Add(time.Second)
		order = append(order, kinds(s.RequestEnded(now, id, ggscore.EndDone))...)
	}
	c.Assert(order, qt.DeepEquals, []string{"dispatch q4", "dispatch q3", "dispatch q2"})
}

// A request can't be served within its budget. An immediate refusal leaves the caller
// time to retry elsewhere.
func TestUnservableRequestIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		prepare func(s *ggsschedule.Scheduler, now time.Time)
		budget  time.Duration
	}{
		"no endpoint": {
			func(s *ggsschedule.Scheduler, now time.Time) { s.RemoveEndpoint(now, "r1") }, time.Minute,
		},
		"no owner": {
			func(s *ggsschedule.Scheduler, now time.Time) { s.SetEndpoint(now, runner("r1"), ggscore.ModeNone) }, time.Minute,
		},
		"load takes longer than the budget": {
			func(*ggsschedule.Scheduler, time.Time) {}, 200 * time.Millisecond,
		},
		"no share of the weight store": {
			func(s *ggsschedule.Scheduler, now time.Time) { s.SetLoadShare(now, ggscore.LoadShare{}) }, 5 * time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			now := testStart()
			s := newScheduler(now, "r1")
			tc.prepare(s, now)
			r := request("q1", "a")
			r.Budget = tc.budget
			orders := s.Submit(now.Add(time.Second), r)
			c.Assert(kinds(orders), qt.DeepEquals, []string{"refuse q1"})
			c.Assert(orders[0].Failure.Kind, qt.Equals, ggscore.FailureNoCapacity)
			c.Assert(orders[0].Failure.Outcome, qt.Equals, ggscore.OutcomeNotRun)
			c.Assert(orders[0].Failure.RetryAfter > 0, qt.IsTrue)
		})
	}
}

// Loads of one adapter keep failing. Its retries must not delay requests for other
// adapters, and its own requests must be refused within their budget.
func TestFailedLoadDoesNotBlockOthers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := testStart()
	s := newScheduler(now, "r1")
	s.SetLoadShare(now, ggscore.LoadShare{LoadsPerSecond: 4, InTransit: 1})
	now = now.Add(time.Second)
	s.Submit(now, request("bad", "bad"))
	s.Submit(now, request("good", "good"))
	now = now.Add(250 * time.Millisecond)
	c.Assert(kinds(s.LoadEnded(now, "r1", ref("bad"), ggscore.EndFailed)), qt.DeepEquals, []string{"load good"})
	now = now.Add(250 * time.Millisecond)
	c.Assert(kinds(s.LoadEnded(now, "r1", ref("good"), ggscore.EndDone))[0], qt.Equals, "dispatch good")
	for range 20 {
		now = s.NextTick()
		if now.IsZero() {
			break
		}
		for _, o := range s.Tick(now) {
			if o.Kind == ggscore.OrderRefuse {
				c.Assert(now.Sub(testStart()) <= 6*time.Second, qt.IsTrue)
				return
			}
			c.Assert(kinds(s.LoadEnded(now, "r1", ref("bad"), ggscore.EndFailed)), qt.Not(qt.Contains), "load bad")
		}
	}
	c.Fatal("the request of the failing adapter was never answered")
}

// An eviction takes ten seconds while the token of its load is reserved. If the bucket
// filled up meanwhile, two loads would follow at once and exceed the owner's share of
// the weight store.
func TestSlowEvictionDoesNotExceedBurst(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := testStart()
	s := resident(now, "a", "b")
	s.SetLoadShare(now, ggscore.LoadShare{LoadsPerSecond: 1, InTransit: 3})
	now = now.Add(time.Second)
	longBudget := func(id, adapter string) *ggscore.Request {
		r := request(id, adapter)
		r.Budget = time.Minute
		return r
	}
	c.Assert(kinds(s.Submit(now, longBudget("q1", "c"))), qt.DeepEquals, []string{"unload a"})
	now = now.Add(10 * time.Second)
	c.Assert(kinds(s.UnloadEnded(now, "r1", ref("a"), ggscore.EndDone)), qt.DeepEquals, []string{"load c"})
	c.Assert(kinds(s.Submit(now, longBudget("q2", "d"))), qt.HasLen, 0)
	c.Assert(kinds(s.Tick(now.Add(time.Second))), qt.DeepEquals, []string{"unload b"})
}

// Two loads wait for evictions when the owner's share shrinks to one load a second.
// Ordering both at once would exceed the share, and with it the sum of all shares.
func TestShrunkShareHoldsForReservedLoads(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := testStart()
	s := resident(now, "a", "b")
	now = now.Add(time.Second)
	c.Assert(kinds(s.Submit(now, request("q1", "c"))), qt.DeepEquals, []string{"unload a"})
	c.Assert(kinds(s.Submit(now, request("q2", "d"))), qt.DeepEquals, []string{"unload b"})
	s.SetLoadShare(now, ggscore.LoadShare{LoadsPerSecond: 1, InTransit: 3})
	c.Assert(kinds(s.UnloadEnded(now, "r1", ref("a"), ggscore.EndDone)), qt.DeepEquals, []string{"load c"})
	c.Assert(kinds(s.UnloadEnded(now, "r1", ref("b"), ggscore.EndDone)), qt.HasLen, 0)
	c.Assert(kinds(s.Tick(now.Add(time.Second))), qt.DeepEquals, []string{"load d"})
}

// The load of an adapter is delayed while deferrable requests for it arrive. Each must
// be dispatched after the load or refused before its budget runs out; none may be lost.
func TestDeferrableRequestsAreAllAnswered(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := testStart()
	s := newScheduler(now, "r1")
	s.SetLoadShare(now, ggscore.LoadShare{LoadsPerSecond: 0.1, InTransit: 1})
	answered := map[string]int{}
	running := []ggscore.RequestID{}
	record := func(orders []ggscore.Order) {
		for _, o := range orders {
			if o.Request != nil {
				answered[string(o.Request.ID)]++
			}
			if o.Kind == ggscore.OrderDispatch {
				running = append(running, o.Request.ID)
			}
		}
	}
	record(s.Submit(now, request("first", "other")))
	for i := range 20 {
		r := request(fmt.Sprintf("q%d", i), "reminders")
		r.Priority, r.Budget, r.Deferrable = ggscore.PriorityDeferrable, 40*time.Second, 10*time.Second
		record(s.Submit(now, r))
	}
	for range 200 {
		now = now.Add(500 * time.Millisecond)
		record(s.LoadEnded(now, "r1", ref("other"), ggscore.EndDone))
		record(s.LoadEnded(now, "r1", ref("reminders"), ggscore.EndDone))
		record(s.Tick(now))
		if len(running) > 0 {
			id := running[0]
			running = running[1:]
			record(s.RequestEnded(now, id, ggscore.EndDone))
		}
	}
	c.Assert(answered, qt.HasLen, 21)
	for id, n := range answered {
		c.Check(n, qt.Equals, 1, qt.Commentf("%s", id))
	}
}

// Ownership moves to another VM and back. A report from before shows an adapter that
// the other owner may have evicted since, and requests would be dispatched to it.
func TestReportFromBeforeOwnershipIsIgnored(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := testStart()
	s := resident(now, "a")
	now = now.Add(time.Second)
	s.SetEndpoint(now, runner("r1"), ggscore.ModeNone)
	before := now.Add(time.Second)
	now = now.Add(2 * time.Second)
	s.SetEndpoint(now, runner("r1"), ggscore.ModeFull)
	s.Report(now, report("r1", "one", before, idle("a", "b")...))
	c.Assert(kinds(s.Submit(now, request("q1", "a"))), qt.HasLen, 0)
	c.Assert(kinds(s.Submit(now, request("q2", "b"))), qt.HasLen, 0)
	now = now.Add(time.Second)
	orders := kinds(s.Report(now, report("r1", "one", now, idle("a")...)))
	c.Assert(orders, qt.DeepEquals, []string{"dispatch q1", "load b"})
}

// An earlier owner's request starts on a protected adapter before the ownership is
// full. A report counts one run, which may be the new owner's request in flight. After
// that request ends, the adapter must stay until a report shows it idle.
func TestNewOwnershipPinsAdapters(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := testStart()
	s := newScheduler(now)
	spec := runner("r1")
	spec.AdapterSlots = 1
	s.SetEndpoint(now, spec, ggscore.ModeResidentOnly)
	s.Protect(now, "r1", []ggscore.AdapterRef{ref("a")})
	s.Report(now, report("r1", "one", now, idle("a")...))
	now = now.Add(time.Second)
	s.SetEndpoint(now, spec, ggscore.ModeFull)
	c.Assert(kinds(s.Submit(now, request("q1", "a"))), qt.DeepEquals, []string{"dispatch q1"})
	now = now.Add(time.Second)
	s.Report(now, report("r1", "one", now, ggscore.ResidentAdapter{Ref: ref("a"), Running: 1}))
	s.RequestEnded(now, "q1", ggscore.EndDone)
	s.Protect(now, "r1", nil)
	c.Assert(kinds(s.Submit(now, request("q2", "b"))), qt.HasLen, 0)
	now = now.Add(time.Second)
	c.Assert(kinds(s.Report(now, report("r1", "one", now, idle("a")...))), qt.DeepEquals, []string{"unload a"})
}

// A caller hangs up while its request runs, and the run fails. A retry would occupy a
// slot for an answer that nobody reads.
func TestCancelledRequestIsNotRetried(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := testStart()
	s := resident(now, "a")
	now = now.Add(time.Second)
	s.Submit(now, request("q1", "a"))
	c.Assert(kinds(s.Cancel(now, "q1")), qt.HasLen, 0)
	orders := s.RequestEnded(now, "q1", ggscore.EndFailed)
	c.Assert(kinds(orders), qt.DeepEquals, []string{"refuse q1"})
	c.Assert(orders[0].Failure.Kind, qt.Equals, ggscore.FailureCancelled)
}

// A runner fails every request at once. Unbounded retries would never end, and without
// a pause the runner, whose slots are always free, would attract all other requests.
func TestFailingRunnerIsPaused(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := testStart()
	s := resident(now, "a")
	now = now.Add(time.Second)
	c.Assert(kinds(s.Submit(now, request("q1", "a"))), qt.DeepEquals, []string{"dispatch q1"})
	c.Assert(kinds(s.RequestEnded(now, "q1", ggscore.EndFailed)), qt.DeepEquals, []string{"dispatch q1"})
	c.Assert(kinds(s.RequestEnded(now, "q1", ggscore.EndFailed)), qt.DeepEquals, []string{"dispatch q1"})
	orders := s.RequestEnded(now, "q1", ggscore.EndFailed)
	c.Assert(kinds(orders), qt.DeepEquals, []string{"refuse q1"})
	c.Assert(orders[0].Failure.Kind, qt.Equals, ggscore.FailureEndpoint)
	c.Assert(kinds(s.Submit(now, request("q2", "a"))), qt.HasLen, 0)
	c.Assert(kinds(s.Tick(s.NextTick())), qt.DeepEquals, []string{"dispatch q2"})
}

// The last runner is lost while requests are queued. They must be refused at once with
// outcome notRun, not when their budget runs out.
func TestQueuedRequestsAreRefusedWhenRunnerIsLost(t *testing.T) {
	t.Parallel()
	for name, removeRunner := range map[string]func(s *ggsschedule.Scheduler, now time.Time) []ggscore.Order{
		"removed": func(s *ggsschedule.Scheduler, now time.Time) []ggscore.Order {
			return s.RemoveEndpoint(now, "r1")
		},
		"owner lost": func(s *ggsschedule.Scheduler, now time.Time) []ggscore.Order {
			return s.SetEndpoint(now, runner("r1"), ggscore.ModeNone)
		},
		"leaving": func(s *ggsschedule.Scheduler, now time.Time) []ggscore.Order {
			e := runner("r1")
			e.Leaving = true
			return s.SetEndpoint(now, e, ggscore.ModeFull)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			now := testStart()
			s := newScheduler(now, "r1")
			now = now.Add(time.Second)
			s.Submit(now, request("q1", "a"))
			c.Assert(kinds(s.Submit(now, request("q1", "a"))), qt.HasLen, 0)
			c.Assert(kinds(removeRunner(s, now)), qt.DeepEquals, []string{"refuse q1"})
		})
	}
}

// A runner is lost with adapters as popular as those on the remaining runner. Loading
// them ahead of demand would evict the others, which would be loaded back in turn.
func TestRefillDoesNotThrash(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := testStart()
	s := newScheduler(now, "r1", "r2")
	now = now.Add(time.Millisecond)
	s.Report(now, report("r1", "one", now, idle("a", "b")...))
	s.Report(now, report("r2", "one", now, idle("c", "d")...))
	for i := range 16 {
		now = now.Add(time.Second)
		id := fmt.Sprintf("q%d", i)
		s.Submit(now, request(id, string("abcd"[i%4])))
		s.RequestEnded(now, ggscore.RequestID(id), ggscore.EndDone)
	}
	c.Assert(kinds(s.RemoveEndpoint(now, "r2")), qt.HasLen, 0)
}

// A connection breaks, but the engine continues the run. A report from before the break
// shows the adapter idle and must not permit an eviction.
func TestOldReportDoesNotUnpin(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := testStart()
	s := newScheduler(now)
	spec := runner("r1")
	spec.AdapterSlots = 1
	s.SetEndpoint(now, spec, ggscore.ModeFull)
	s.Report(now, report("r1", "one", now, idle("a")...))
	before := now.Add(500 * time.Millisecond)
	now = now.Add(time.Second)
	s.Submit(now, request("q1", "a"))
	s.RequestEnded(now, "q1", ggscore.EndUnknown)
	s.Submit(now, request("q2", "b"))
	c.Assert(kinds(s.Report(now, report("r1", "one", before, idle("a")...))), qt.HasLen, 0)
	now = now.Add(time.Second)
	c.Assert(kinds(s.Report(now, report("r1", "one", now, idle("a")...))), qt.DeepEquals, []string{"unload a"})
}

// A report still shows an adapter shortly after its eviction and must not attract
// requests to it. An adapter that a later report shows was loaded by another owner and
// takes a slot.
func TestEvictedAdapterInLaggingReportIsIgnored(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := testStart()
	s := resident(now, "a", "b")
	now = now.Add(time.Second)
	s.Submit(now, request("q1", "c"))
	c.Assert(kinds(s.UnloadEnded(now, "r1", ref("a"), ggscore.EndDone)), qt.DeepEquals, []string{"load c"})
	s.SetLoadShare(now, ggscore.LoadShare{LoadsPerSecond: 0.01, InTransit: 1})
	now = now.Add(100 * time.Millisecond)
	s.Report(now, report("r1", "one", now, idle("a", "b")...))
	r := request("q2", "a")
	r.Budget = time.Hour
	c.Assert(kinds(s.Submit(now, r)), qt.HasLen, 0)
	now = now.Add(2 * time.Second)
	c.Assert(kinds(s.Report(now, report("r1", "one", now, idle("a", "b")...))), qt.Contains, "dispatch q2")
}
