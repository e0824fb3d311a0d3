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

// Guards against a report from before a load order that is taken as the load's result when the
// order's answer was lost. The scheduler would order the load twice, or dispatch to an adapter
// that isn't resident.
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

// Guards against requests on an adapter whose eviction got no answer and may still take effect.
// The adapter is unloaded again before it serves requests.
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

// Guards against the eviction of an adapter that a request of the previous owner uses, which
// this owner knows only from reports. The eviction would break the request's answer.
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

// Guards against the eviction of an adapter whose report counts more running requests than this
// owner dispatched: the previous owner, which was paused, sent the rest after this owner's first
// report.
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

// Guards against running a non-idempotent request twice when its connection breaks after the
// dispatch. Only proof that the request didn't run allows a retry.
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

// Guards against loading all adapters of a restarted runner at once, which would stall the
// weight store, and against loading rare adapters before popular ones.
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

// Guards against serving markets in the order of arrival: the few requests of one market would
// wait for a whole burst of another.
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

// Guards against an interactive request that waits behind long ones queued earlier. Among equal
// priorities, the request with the nearest deadline runs first.
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

// Guards against queueing a request that can't be served within its time budget. An immediate
// refusal leaves the caller time to retry elsewhere.
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

// Guards against repeated loads of an adapter whose loads keep failing, which would delay
// requests for other adapters. The adapter's own requests must be refused within their time
// budget.
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

// Guards against two loads at once, which exceed the owner's share of the weight store. The
// token of a load is reserved during its eviction, here ten seconds, and the bucket must not
// fill up meanwhile.
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

// Guards against ordering two loads at once that waited for evictions when the owner's share
// shrank to one load a second. Together they would exceed the share, and the sum of all owners'
// shares its limit.
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

// Guards against lost deferrable requests that arrive while the load of their adapter is
// delayed. Each must be dispatched after the load, or refused before its time budget runs out.
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

// Guards against dispatching to an adapter that another owner may have evicted: ownership moved
// to another VM and back, and a report from before still shows the adapter.
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

// Guards against the eviction of a protected adapter on which an earlier owner's request began
// before the ownership was full. A report counts one run, which may also be this owner's
// request. After that request ends, the adapter must stay until a report shows it idle.
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

// Guards against the retry of a failed run whose caller has disconnected. It would occupy a slot
// for an answer that nobody reads.
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

// Guards against endless retries on a runner that fails every request immediately. Its slots are
// always free, so without a pause it would attract all other requests too.
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

// Guards against requests that stay queued until their time budget runs out after the last
// runner was lost. They must be refused at once with outcome notRun.
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

// Guards against loading a lost runner's adapters ahead of demand when that evicts equally
// popular ones. These would be reloaded, evicting the first again.
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

// Guards against the eviction of an adapter whose run the engine continues after the connection
// broke, because a report from before the break shows the adapter idle.
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

// Guards against dispatching to an evicted adapter that a delayed report still shows. If a later
// report shows it, another owner has loaded it, and it occupies a slot.
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
