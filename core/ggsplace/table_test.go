package ggsplace_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsplace"
	"greengageslip/core/ggsretry"
)

const (
	models = ggscore.Service("models")
	plain  = ggscore.Service("plain")
)

func at(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

func adapter(n int) ggscore.ModelAdapter {
	return ggscore.ModelAdapter{Model: "m", Adapter: fmt.Sprintf("a%d", n)}
}

func engine() *ggscore.EngineSpec { return &ggscore.EngineSpec{AdapterSlots: 18} }

// deployment returns four runners and one instance of a plain service in each of three
// regions.
func deployment() []ggscore.Instance {
	var l []ggscore.Instance
	for d := range 3 {
		domain := ggscore.Domain(fmt.Sprintf("d%d", d))
		for n := range 4 {
			l = append(l, ggscore.Instance{
				ID: ggscore.EndpointID(fmt.Sprintf("r%d%d", d, n)), Service: models, Domain: domain, Slots: 64,
				Models: []ggscore.ResidentModel{{Name: "m"}},
			})
		}
		l = append(l, ggscore.Instance{ID: ggscore.EndpointID(fmt.Sprintf("p%d", d)), Service: plain, Domain: domain, Slots: 6})
	}
	return l
}

// table returns the view of a VM in a domain, with an owner for each endpoint.
func table(domain ggscore.Domain, seed uint64) *ggsplace.Table {
	t := ggsplace.NewTable(ggsplace.Options{
		Domain: domain, Seed: seed, Regions: map[ggscore.Domain]ggscore.Region{"d0": "r0", "d1": "r1", "d2": "r2"},
	})
	l := deployment()
	t.SetInstances(at(0), l)
	for _, i := range l {
		t.SetLoadable(i.ID, true)
	}
	return t
}

func choose(c *qt.C, t *ggsplace.Table, q ggsplace.Query) ggsplace.Choice {
	c.Helper()
	choice, err := t.Choose(at(0), q)
	c.Assert(err, qt.IsNil)
	return choice
}

// Guards against VMs that choose different endpoints to load the same adapter. Nine VMs would
// load it at nine endpoints, eight of them needlessly, each evicting another adapter.
func TestRareAdapterHasOneHomeForAllVMs(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	homes := map[ggscore.EndpointID]int{}
	for n := range 60 {
		q := ggsplace.Query{Service: models, Engine: engine(), Target: adapter(n)}
		first := choose(c, table("d0", 1), q)
		c.Assert(first.Resident, qt.IsFalse)
		for vm := range 9 {
			x := choose(c, table(ggscore.Domain(fmt.Sprintf("d%d", vm%3)), uint64(vm)), q)
			c.Assert(x.Instance.ID, qt.Equals, first.Instance.ID)
		}
		homes[first.Instance.ID]++
	}
	c.Assert(len(homes) > 8, qt.IsTrue, qt.Commentf("homes: %v", homes))
}

// Guards against a busy adapter with a single home. It draws a quarter of all requests, more
// prompts than one runner can prefill, and its answers cross regions at a price per byte.
func TestBusyAdapterHasAHomeInEachRegion(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	homes := map[ggscore.EndpointID]bool{}
	for d := range 3 {
		domain := ggscore.Domain(fmt.Sprintf("d%d", d))
		tb := table(domain, uint64(d))
		for i := range 400 {
			tb.RecordRequests(at(-time.Duration(i)*10*time.Millisecond), adapter(1), 1)
		}
		x := choose(c, tb, ggsplace.Query{Service: models, Engine: engine(), Target: adapter(1)})
		c.Assert(x.Instance.Domain, qt.Equals, domain)
		homes[x.Instance.ID] = true
	}
	c.Assert(homes, qt.HasLen, 3)
}

func TestResidentRunnerIsPreferred(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		held    uint64
		version uint64
		missing bool
		want    bool
	}{
		"any version":      {held: 1, want: true},
		"the version":      {held: 2, version: 2, want: true},
		"an older version": {held: 1, version: 2},
		"reported missing": {held: 1, missing: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			tb := table("d0", 1)
			tb.SetHeld(at(0), "r23", []ggscore.AdapterVersion{{Target: adapter(1), Version: tc.held}})
			if tc.missing {
				tb.SetMissing(at(0), "r23", adapter(1))
			}
			x := choose(c, tb, ggsplace.Query{Service: models, Engine: engine(), Target: adapter(1), Version: tc.version})
			c.Assert(x.Resident, qt.Equals, tc.want)
			if tc.want {
				c.Assert(x.Instance.ID, qt.Equals, ggscore.EndpointID("r23"))
			}
		})
	}
}

// Guards against requests that wait for a load that can't happen: at a restarted runner that has
// no owner yet, or at one with eight loads queued.
func TestNoLoadWithoutOwnerOrQueueCapacity(t *testing.T) {
	t.Parallel()
	for name, preventLoads := range map[string]func(*ggsplace.Table, ggscore.EndpointID){
		"no owner":   func(t *ggsplace.Table, id ggscore.EndpointID) { t.SetLoadable(id, false) },
		"queue full": func(t *ggsplace.Table, id ggscore.EndpointID) { t.SetLoadCapacity(id, 8, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			q := ggsplace.Query{Service: models, Engine: engine(), Target: adapter(1)}
			tb := table("d0", 1)
			home := choose(c, tb, q).Instance.ID
			preventLoads(tb, home)
			other := choose(c, tb, q).Instance.ID
			c.Assert(other, qt.Not(qt.Equals), home)

			for _, i := range deployment() {
				preventLoads(tb, i.ID)
			}
			_, err := tb.Choose(at(0), q)
			var refused *ggsplace.RefusedError
			c.Assert(errors.As(err, &refused), qt.IsTrue)
			c.Assert(refused.Ready, qt.Equals, 12)
			c.Assert(refused.RetryAfter > 0, qt.IsTrue)
		})
	}
}

// Guards against waiting 900 ms for a load at a runner that gets no orders, because its owner
// was lost and the owner's lease hasn't expired. The fallback must be the same on each VM, or
// the adapter is loaded at several runners.
func TestFallbackHomeIsTheSameForAllVMs(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for n := range 20 {
		q := ggsplace.Query{Service: models, Engine: engine(), Target: adapter(n)}
		home := choose(c, table("d0", 1), q).Instance.ID
		seen := map[ggscore.EndpointID]bool{}
		for vm := range 9 {
			tb := table(ggscore.Domain(fmt.Sprintf("d%d", vm%3)), uint64(vm))
			tb.SetLoadable(home, false)
			seen[choose(c, tb, q).Instance.ID] = true
		}
		c.Assert(seen, qt.HasLen, 1)
		c.Assert(seen[home], qt.IsFalse)
	}
}

// Guards against fetching an adapter from the weight store, which is at its limit, when a new
// runner becomes the adapter's home while another runner still has the adapter in memory.
func TestWarmRunnerIsPreferredToHome(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	tb := table("d0", 1)
	q := ggsplace.Query{Service: models, Engine: engine(), Target: adapter(1)}
	home := choose(c, tb, q).Instance.ID
	other := ggscore.EndpointID("r23")
	c.Assert(home, qt.Not(qt.Equals), other)
	tb.SetHeld(at(0), other, []ggscore.AdapterVersion{{Target: adapter(1), Version: 1}})
	tb.SetHeld(at(0), other, nil)
	x := choose(c, tb, q)
	c.Assert(x.Instance.ID, qt.Equals, other)
	c.Assert(x.Resident, qt.IsFalse)

	q.Version = 2
	c.Assert(choose(c, tb, q).Instance.ID, qt.Equals, home, qt.Commentf("another version"))
	q.Version = 0
	for n := range 200 {
		tb.SetHeld(at(time.Second), other, []ggscore.AdapterVersion{{Target: adapter(100 + n), Version: 1}})
	}
	c.Assert(choose(c, tb, q).Instance.ID, qt.Equals, home, qt.Commentf("too many adapters since"))
}

func TestPlainServiceIsChosenByLoad(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	tb := table("d1", 1)
	q := ggsplace.Query{Service: plain}
	c.Assert(choose(c, tb, q).Instance.ID, qt.Equals, ggscore.EndpointID("p1"))
	tb.SetPeerInFlight(at(0), "peer", []ggscore.InFlight{{Endpoint: "p1", Count: 12}})
	c.Assert(choose(c, tb, q).Instance.ID, qt.Not(qt.Equals), ggscore.EndpointID("p1"))
	tb.SetPeerInFlight(at(0), "peer", []ggscore.InFlight{{Endpoint: "p0", Count: 18}, {Endpoint: "p1", Count: 18}, {Endpoint: "p2", Count: 18}})
	_, err := tb.Choose(at(0), q)
	var refused *ggsplace.RefusedError
	c.Assert(errors.As(err, &refused), qt.IsTrue)
}

func TestLeavingAndTriedEndpointsAreExcluded(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	tb := table("d0", 1)
	l := deployment()
	for i := range l {
		l[i].Leaving = l[i].ID == "p0"
	}
	tb.SetInstances(at(0), l)
	for range 20 {
		x := choose(c, tb, ggsplace.Query{Service: plain, Tried: []ggscore.EndpointID{"p1"}})
		c.Assert(x.Instance.ID, qt.Equals, ggscore.EndpointID("p2"))
	}
}

// Guards against a resumed stream that is sent, by the entry of a process that has ended, to the next one under its ID,
// which may run other software.
func TestRunnerWithoutAModelGetsNoRequests(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	tb := table("d0", 1)
	l := deployment()
	for i := range l {
		if l[i].Service == models && l[i].ID != "r11" {
			l[i].Models = nil
		}
	}
	tb.SetInstances(at(0), l)
	for range 20 {
		x := choose(c, tb, ggsplace.Query{Service: models, Engine: engine()})
		c.Assert(x.Instance.ID, qt.Equals, ggscore.EndpointID("r11"))
	}
}

// Guards against requests lost at an endpoint that fails each one while its registry entry
// says ready.
func TestFailingEndpointIsExcluded(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	tb := table("d0", 1)
	for range ggsretry.DefaultFailures {
		tb.Sent(at(0), "p0")
		tb.Ended(at(0), "p0", ggsretry.ResultFailed)
	}
	tb.Sent(at(0), "p1")
	tb.Ended(at(0), "p1", ggsretry.ResultOK)
	c.Assert(choose(c, tb, ggsplace.Query{Service: plain}).Instance.ID, qt.Not(qt.Equals), ggscore.EndpointID("p0"))
}

// Guards against a runner that fails half of its requests while its entry says ready. It never
// fails five in a row, and a single VM sees one request per second there; the counts of all
// VMs show the failures within 500 ms.
func TestPartlyFailingRunnerIsAvoided(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	tb := table("d0", 1)
	q := ggsplace.Query{Service: models, Engine: engine(), Target: adapter(1)}
	home := choose(c, tb, q).Instance.ID
	tb.SetHeld(at(0), home, []ggscore.AdapterVersion{{Target: adapter(1), Version: 1}})
	tb.SetPeerInFlight(at(0), "peer", []ggscore.InFlight{{Endpoint: home, Ended: 8, Failed: 4}})
	c.Assert(choose(c, tb, q).Instance.ID, qt.Not(qt.Equals), home)

	var fs []ggscore.InFlight
	for _, i := range deployment() {
		fs = append(fs, ggscore.InFlight{Endpoint: i.ID, Ended: 8, Failed: 4})
	}
	tb = table("d0", 1)
	tb.SetHeld(at(0), home, []ggscore.AdapterVersion{{Target: adapter(1), Version: 1}})
	tb.SetPeerInFlight(at(0), "peer", fs)
	c.Assert(choose(c, tb, q).Instance.ID, qt.Equals, home, qt.Commentf("all fail alike"))
}

func TestReportInFlightCountsEndedRequestsOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	tb := table("d0", 1)
	tb.Sent(at(0), "p0")
	tb.Ended(at(0), "p0", ggsretry.ResultFailed)
	c.Assert(tb.ReportInFlight(), qt.DeepEquals, []ggscore.InFlight{{Endpoint: "p0", Ended: 1, Failed: 1}})
	c.Assert(tb.ReportInFlight(), qt.HasLen, 0)
}

func TestRemovedInstancesAreReturned(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	tb := table("d0", 1)
	c.Assert(tb.SetInstances(at(0), deployment()).Any, qt.IsFalse)
	l := deployment()[1:]
	l[0].Leaving = true
	x := tb.SetInstances(at(0), l)
	c.Assert(x.Any, qt.IsTrue)
	c.Assert(x.Removed, qt.HasLen, 1)
	c.Assert(x.Removed[0].ID, qt.Equals, ggscore.EndpointID("r00"))
	c.Assert(x.Leaving, qt.HasLen, 1)
	c.Assert(x.Leaving[0].ID, qt.Equals, ggscore.EndpointID("r01"))
	c.Assert(tb.SetInstances(at(0), l), qt.DeepEquals, ggsplace.Change{})
}

// Guards against loading a rarely used adapter from the memory of its home while the adapter is
// resident in another region. Each such load evicts another adapter.
func TestRarelyUsedAdapterGetsNoSecondReplica(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	tb := table("d0", 1)
	q := ggsplace.Query{Service: models, Engine: engine(), Target: adapter(1)}
	home := choose(c, tb, q).Instance.ID
	held := []ggscore.AdapterVersion{{Target: adapter(1), Version: 1}}
	tb.SetHeld(at(0), home, held)
	tb.SetHeld(at(0), home, nil)
	far := ggscore.EndpointID("r23")
	c.Assert(home, qt.Not(qt.Equals), far)
	tb.SetHeld(at(0), far, held)
	x := choose(c, tb, q)
	c.Assert(x.Instance.ID, qt.Equals, far)
	c.Assert(x.Resident, qt.IsTrue)
}

// Guards against requests that wait at the home for a stream to end, while all of its adapter
// slots are in use and other runners have free ones.
func TestLoadPrefersFreeAdapterSlots(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	tb := table("d0", 1)
	for _, i := range deployment() {
		tb.SetLoadCapacity(i.ID, 0, 9)
	}
	q := ggsplace.Query{Service: models, Engine: engine(), Target: adapter(1)}
	home := choose(c, tb, q).Instance.ID
	tb.SetLoadCapacity(home, 6, 0)
	c.Assert(choose(c, tb, q).Instance.ID, qt.Not(qt.Equals), home)
	tb.SetLoadCapacity(home, 2, 9)
	c.Assert(choose(c, tb, q).Instance.ID, qt.Equals, home)
}

// Guards against evicting the last replica of an adapter before one of several replicas of
// another with the same demand.
func TestLastReplicaHasHighestMissRate(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	tb := table("d0", 1)
	held := []ggscore.AdapterVersion{{Target: adapter(1), Version: 1}, {Target: adapter(2), Version: 1}}
	tb.SetHeld(at(0), "r00", held)
	tb.SetHeld(at(0), "r10", held[:1])
	tb.RecordRequests(at(0), adapter(1), 4)
	tb.RecordRequests(at(0), adapter(2), 4)
	c.Assert(tb.MissRate(at(time.Second), "r00", adapter(1)) < tb.MissRate(at(time.Second), "r00", adapter(2)), qt.IsTrue)
	c.Assert(tb.MissRate(at(time.Second), "r00", adapter(3)), qt.Equals, 0.0)
}

// Guards against counting a peer's requests twice, or for ever after the peer's reports stop. A
// peer can report an endpoint that this VM doesn't know yet. An endpoint that seems full gets
// no requests.
func TestPeersRequestsAreCountedOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	tb := table("d0", 1)
	q := ggsplace.Query{Service: plain, Tried: []ggscore.EndpointID{"p0", "p1"}}
	inFlight := func() int { return choose(c, tb, q).InFlight }
	all := deployment()
	tb.SetInstances(at(0), all[:len(all)-1])
	tb.SetPeerInFlight(at(0), "vm1", []ggscore.InFlight{{Endpoint: "p2", Count: 3}})
	tb.SetInstances(at(0), all)
	tb.SetPeerInFlight(at(time.Second), "vm2", []ggscore.InFlight{{Endpoint: "p2", Count: 2}})
	c.Assert(inFlight(), qt.Equals, 5)
	tb.SetPeerInFlight(at(time.Second), "vm1", []ggscore.InFlight{{Endpoint: "p2", Count: 1}})
	c.Assert(inFlight(), qt.Equals, 3)
	tb.SetPeerInFlight(at(2*time.Second), "vm1", nil)
	c.Assert(inFlight(), qt.Equals, 2)
	for n := range 4 {
		tb.SetPeerInFlight(at(time.Duration(3+n)*time.Second), "vm1", nil)
	}
	c.Assert(inFlight(), qt.Equals, 0)
}

// Guards against requests to a runner that is assumed to have an adapter in memory although the
// runner has dropped it.
func TestWarmMemoryScalesWithAdapterSlots(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		slots, after int
		warm         bool
	}{
		"few slots, few adapters since":  {4, 10, true},
		"few slots, many adapters since": {4, 60, false},
		"many slots":                     {18, 60, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			tb := table("d0", 1)
			tb.SetAdapterSlots(models, tc.slots)
			q := ggsplace.Query{Service: models, Engine: engine(), Target: adapter(0)}
			home := choose(c, tb, q).Instance.ID
			other := ggscore.EndpointID("r00")
			if home == other {
				other = "r01"
			}
			for n := range tc.after + 1 {
				tb.SetHeld(at(time.Duration(n)*time.Millisecond), other, []ggscore.AdapterVersion{{Target: adapter(n), Version: 1}})
			}
			want := home
			if tc.warm {
				want = other
			}
			c.Assert(choose(c, tb, q).Instance.ID, qt.Equals, want)
		})
	}
}

// Guards against counting a peer's requests twice, by its own report and by a relay's sum.
func TestSummedRequestsReplacePeerReports(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	tb := table("d0", 1)
	q := ggsplace.Query{Service: plain, Tried: []ggscore.EndpointID{"p0", "p1"}}
	inFlight := func() int { return choose(c, tb, q).InFlight }
	tb.SetPeerInFlight(at(0), "vm1", []ggscore.InFlight{{Endpoint: "p2", Count: 3}})
	tb.SetPeersInFlight(at(0), []ggscore.InFlight{{Endpoint: "p2", Count: 4}})
	c.Assert(inFlight(), qt.Equals, 4)
	tb.SetPeersInFlight(at(0), nil)
	c.Assert(inFlight(), qt.Equals, 0)
}

// A fixedThrottle limits the listed endpoints. Its values are the waits until the next
// request.
type fixedThrottle map[ggscore.EndpointID]time.Duration

func (f fixedThrottle) ShedLimited(time.Time, ggscore.Service) bool { return false }

func (f fixedThrottle) Limit(id ggscore.EndpointID) *ggscore.RateLimit {
	if _, ok := f[id]; !ok {
		return nil
	}
	return &ggscore.RateLimit{RequestsPerSecond: 5}
}

func (f fixedThrottle) Allows(_ time.Time, id ggscore.EndpointID) bool { return f[id] == 0 }

func (f fixedThrottle) Wait(_ time.Time, id ggscore.EndpointID) time.Duration { return f[id] }

// Guards against requests beyond an endpoint's rate limit, and against retry-after times that
// end before the limit allows a request.
func TestRateLimitsAreEnforced(t *testing.T) {
	t.Parallel()
	all := func(wait time.Duration) fixedThrottle { return fixedThrottle{"p0": wait, "p1": wait, "p2": wait} }
	for name, tc := range map[string]struct {
		throttle fixedThrottle
		want     []ggscore.EndpointID
		// least is the lower bound of the retry-after time.
		least time.Duration
	}{
		"none limited":          {throttle: fixedThrottle{}, want: []ggscore.EndpointID{"p0"}},
		"nearest exhausted":     {throttle: fixedThrottle{"p0": time.Second}, want: []ggscore.EndpointID{"p1", "p2"}},
		"nearest not exhausted": {throttle: fixedThrottle{"p0": 0}, want: []ggscore.EndpointID{"p0"}},
		"all exhausted":         {throttle: all(700 * time.Millisecond), least: 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := ggsplace.NewTable(ggsplace.Options{
				Domain: "d0", Regions: map[ggscore.Domain]ggscore.Region{"d0": "r0", "d1": "r1", "d2": "r2"}, Throttle: tc.throttle,
			})
			h.SetInstances(at(0), deployment())
			choice, err := h.Choose(at(0), ggsplace.Query{Service: plain})
			if tc.want != nil {
				c.Assert(err, qt.IsNil)
				c.Assert(slices.Contains(tc.want, choice.Instance.ID), qt.IsTrue, qt.Commentf("%s", choice.Instance.ID))
				return
			}
			var refused *ggsplace.RefusedError
			c.Assert(errors.As(err, &refused), qt.IsTrue)
			c.Assert(refused.RetryAfter >= tc.least, qt.IsTrue, qt.Commentf("%s", refused.RetryAfter))
		})
	}
}

// Guards against loading adapters at an endpoint whose rate limit leaves no capacity for their
// requests.
func TestRateLimitedEndpointRanksLastAsHome(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := fixedThrottle{}
	t0 := ggsplace.NewTable(ggsplace.Options{
		Domain: "d0", Regions: map[ggscore.Domain]ggscore.Region{"d0": "r0", "d1": "r1", "d2": "r2"}, Throttle: h,
	})
	l := deployment()
	t0.SetInstances(at(0), l)
	for _, i := range l {
		t0.SetLoadable(i.ID, true)
	}
	q := ggsplace.Query{Service: models, Engine: engine(), Target: adapter(1)}
	home := choose(c, t0, q).Instance.ID
	h[home] = 0
	c.Assert(choose(c, t0, q).Instance.ID, qt.Not(qt.Equals), home)
	for _, i := range l {
		h[i.ID] = 0
	}
	c.Assert(choose(c, t0, q).Instance.ID, qt.Equals, home)
}

// Guards against requests that are refused because the endpoint that has their adapter has no owner.
func TestResidentAdaptersAreKnownWithoutAnOwner(t *testing.T) {
	t.Parallel()
	const reported = 10 * time.Second
	for name, tc := range map[string]struct {
		// read is when the entries were read, and inEntry whether the adapter is in them.
		read    time.Duration
		inEntry bool
		want    bool
	}{
		"entries are older than the report":        {want: true},
		"entries lag behind the report":            {read: reported + time.Second, want: true},
		"entries are newer, adapter is gone":       {read: reported + 3*time.Second},
		"entries are newer, adapter is still held": {read: reported + 3*time.Second, inEntry: true, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			tb := table("d0", 1)
			tb.SetHeld(at(reported), "r23", []ggscore.AdapterVersion{{Target: adapter(1), Version: 1}})
			l := deployment()
			for i := range l {
				tb.SetLoadable(l[i].ID, false)
				if l[i].ID == "r23" && tc.inEntry {
					l[i].Models = []ggscore.ResidentModel{{Name: "m", Adapters: []ggscore.ResidentVersion{{Adapter: "a1", Version: 1}}}}
				}
			}
			tb.SetInstances(at(tc.read), l)
			x, err := tb.Choose(at(20*time.Second), ggsplace.Query{Service: models, Engine: engine(), Target: adapter(1)})
			if !tc.want {
				var refused *ggsplace.RefusedError
				c.Assert(errors.As(err, &refused), qt.IsTrue)
				c.Assert(refused.Causes, qt.Equals, ggsplace.RefusalCauses{Unowned: 12})
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(x.Instance.ID, qt.Equals, ggscore.EndpointID("r23"))
		})
	}
}

// Guards against callers that are told to come back while most endpoints still have no owner.
func TestRetryAfterWaitsForOwners(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		unowned     int
		from        time.Duration
		least, most time.Duration
	}{
		"most endpoints get an owner":    {unowned: 12, from: 4 * time.Second, least: 4 * time.Second, most: 7 * time.Second},
		"most endpoints, time unknown":   {unowned: 12, least: 300 * time.Millisecond, most: 600 * time.Millisecond},
		"one endpoint in twelve":         {unowned: 1, from: 4 * time.Second, least: 300 * time.Millisecond, most: 600 * time.Millisecond},
		"the time has passed, no owner":  {unowned: 12, from: -time.Second, least: 300 * time.Millisecond, most: 600 * time.Millisecond},
		"most endpoints get one at once": {unowned: 7, from: time.Millisecond, least: 600 * time.Millisecond, most: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			tb := table("d0", 1)
			n := 0
			for _, i := range deployment() {
				if i.Service != models {
					continue
				}
				n++
				tb.SetLoadable(i.ID, n > tc.unowned)
				tb.SetLoadCapacity(i.ID, 8, 0)
				if n <= tc.unowned && tc.from != 0 {
					tb.SetLoadableFrom(i.ID, at(tc.from))
				}
			}
			for range 20 {
				_, err := tb.Choose(at(0), ggsplace.Query{Service: models, Engine: engine(), Target: adapter(1)})
				var refused *ggsplace.RefusedError
				c.Assert(errors.As(err, &refused), qt.IsTrue)
				c.Check(refused.RetryAfter >= tc.least && refused.RetryAfter <= tc.most, qt.IsTrue, qt.Commentf("%s", refused.RetryAfter))
			}
		})
	}
}
