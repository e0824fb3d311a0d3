package ggspermit_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggspermit"
)

const (
	endpoint = ggscore.EndpointID("p")
	slots    = 16
)

func at(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

// A counter is what VMs report of the requests in flight at the endpoint, negative for no report.
type counter int

func (c counter) InFlight(ggscore.EndpointID) (n int, known bool) { return int(c), c >= 0 }

// newIssuer returns an issuer for the endpoint that begins to issue permits at at(0).
func newIssuer(reported counter) *ggspermit.Issuer {
	s := ggspermit.NewIssuer(reported)
	s.SetInstances([]ggscore.Instance{{ID: endpoint, Slots: slots}})
	s.SetLive(at(0), vms(10))
	return s
}

// vms returns the first n VMs.
func vms(n int) []ggscore.VMID {
	var l []ggscore.VMID
	for vm := range n {
		l = append(l, id(vm, 0).VM)
	}
	return l
}

func id(vm, n int) ggscore.PermitID {
	return ggscore.PermitID{VM: ggscore.VMID(fmt.Sprintf("vm-%d", vm)), Number: uint64(n)} //nolint:gosec // small numbers
}

func ask(p ggscore.PermitID, wait time.Duration) ggscore.PermitAsk {
	return ggscore.PermitAsk{ID: p, Endpoint: endpoint, MaxWait: wait}
}

func release(p ggscore.PermitID) ggscore.PermitRelease {
	return ggscore.PermitRelease{ID: p, Endpoint: endpoint}
}

// askAll asks for n permits of different VMs and returns the number that was granted.
func askAll(s *ggspermit.Issuer, now time.Time, first, n int) int {
	granted := 0
	for i := range n {
		for _, d := range s.Ask(now, ask(id(first+i, 1), 0)) {
			if d.Outcome == ggscore.PermitGranted {
				granted++
			}
		}
	}
	return granted
}

// Guards against VMs whose requests add up to a burst at one endpoint.
func TestManyVMsAskAtOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newIssuer(0)
	c.Assert(askAll(s, at(0), 0, 65), qt.Equals, slots)
	c.Assert(askAll(s, at(time.Second), 100, 65), qt.Equals, 0)
	for n := range 5 {
		s.Release(at(time.Second), release(id(n, 1)))
	}
	c.Assert(askAll(s, at(time.Second), 200, 65), qt.Equals, 5)
}

// Guards against an issuer that begins at zero beside requests whose permits another VM granted.
func TestNewIssuerCountsRequestsInFlight(t *testing.T) {
	t.Parallel()
	renewal := func(vms ...int) func(*ggspermit.Issuer, time.Time) {
		return func(s *ggspermit.Issuer, now time.Time) {
			for _, vm := range vms {
				s.Renew(now, ggscore.PermitRenewal{VM: id(vm, 0).VM, Endpoint: endpoint, InFlight: []uint64{7, 8}})
			}
		}
	}
	for name, tc := range map[string]struct {
		reported counter
		before   func(*ggspermit.Issuer, time.Time)
		after    time.Duration
		want     int
	}{
		"none in flight":                       {reported: 0, want: slots},
		"reported":                             {reported: 12, want: slots - 12},
		"reported and renewed":                 {reported: 12, before: renewal(0, 1, 2), want: slots - 12},
		"renewed, more than reported":          {reported: 3, before: renewal(0, 1, 2), want: slots - 6},
		"renewed, reports are out of date":     {reported: 12, before: renewal(0, 1, 2), after: 2 * time.Second, want: slots - 6},
		"no reports yet":                       {reported: -1, want: 0},
		"no reports at all":                    {reported: -1, after: 600 * time.Millisecond, want: slots},
		"renewed before a report":              {reported: -1, before: renewal(0, 1), after: 600 * time.Millisecond, want: slots - 4},
		"renewed once, then their VM has gone": {reported: 0, before: renewal(0), after: ggspermit.PermitTTL, want: slots},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newIssuer(tc.reported)
			if tc.before == nil {
				tc.before = func(s *ggspermit.Issuer, now time.Time) { s.Renew(now, ggscore.PermitRenewal{Endpoint: endpoint}) }
			}
			tc.before(s, at(0))
			qt.Check(t, askAll(s, at(tc.after), 100, 65), qt.Equals, tc.want)
		})
	}
}

// Guards against slots that stay unused after requests have ended that an earlier issuer counted.
func TestEndsOfUnknownRequestsFreeSlots(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newIssuer(slots)
	c.Assert(askAll(s, at(0), 0, 1), qt.Equals, 0)
	for n := range 3 {
		s.Release(at(10*time.Millisecond), release(id(50+n, 9)))
	}
	c.Assert(askAll(s, at(20*time.Millisecond), 100, 65), qt.Equals, 3)
}

// Guards against permits of failed VMs that are never free again, and against permits of long requests that
// expire.
func TestPermitsExpireUnlessRenewed(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newIssuer(0)
	c.Assert(askAll(s, at(0), 0, slots), qt.Equals, slots)
	for d := ggspermit.RenewInterval; d < 2*ggspermit.PermitTTL; d += ggspermit.RenewInterval {
		for n := range 6 {
			s.Renew(at(d), ggscore.PermitRenewal{VM: id(n, 1).VM, Endpoint: endpoint, InFlight: []uint64{1}})
		}
	}
	c.Assert(askAll(s, at(2*ggspermit.PermitTTL), 100, 65), qt.Equals, slots-6)
}

// Guards against slots that a failed VM keeps for as long as a permit is valid.
func TestPermitsOfLostVMsExpire(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newIssuer(0)
	c.Assert(askAll(s, at(0), 0, slots), qt.Equals, slots)
	s.SetLive(at(time.Second), vms(6))
	c.Check(s.State(at(3 * time.Second))[0].Granted, qt.Equals, slots)
	s.Tick(at(4 * time.Second))
	c.Check(s.State(at(4 * time.Second))[0].Granted, qt.Equals, slots-4)
}

// Guards against two sides of a partition that each send as many requests as an endpoint has slots.
func TestLostVMsLowerTheLimit(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newIssuer(0)
	c.Assert(askAll(s, at(0), 0, 1), qt.Equals, 1)
	s.SetLive(at(0), vms(5))
	c.Assert(askAll(s, at(0), 10, 65), qt.Equals, slots/2-1)
	s.SetLive(at(0), vms(10))
	c.Assert(askAll(s, at(2*time.Second), 100, 65), qt.Equals, 4)
}

// Guards against an issuer that goes on sending as many requests to an endpoint whose slots others take.
func TestRejectionsLowerTheLimit(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newIssuer(0)
	c.Assert(askAll(s, at(0), 0, slots), qt.Equals, slots)
	r := release(id(0, 1))
	r.Rejected = true
	s.Release(at(0), r)
	c.Assert(s.State(at(0)), qt.DeepEquals, []ggspermit.EndpointPermits{{Endpoint: endpoint, Limit: 12, Granted: slots - 1}})
	c.Assert(s.State(at(4 * time.Second))[0].Limit, qt.Equals, slots)
}

// Guards against requests that wait although their permit can't come in time, and against urgent ones that
// wait behind others.
func TestAsksWait(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newIssuer(0)
	c.Assert(askAll(s, at(0), 0, slots), qt.Equals, slots)
	// Permits are held for 160 ms on average, so one is free every 10 ms.
	s.Release(at(160*time.Millisecond), release(id(0, 1)))
	c.Assert(askAll(s, at(160*time.Millisecond), 50, 1), qt.Equals, 1)
	now := at(200 * time.Millisecond)
	late := s.Ask(now, ask(id(100, 1), 5*time.Millisecond))
	c.Assert(late, qt.DeepEquals, []ggscore.PermitDecision{{
		ID: id(100, 1), Endpoint: endpoint, Outcome: ggscore.PermitRefused, RetryAfter: 10 * time.Millisecond,
	}})
	for n, priority := range []ggscore.Priority{2, 2, 1} {
		a := ask(id(101+n, 1), time.Second)
		a.Priority = priority
		c.Assert(s.Ask(now, a)[0].Outcome, qt.Equals, ggscore.PermitWaiting)
	}
	var order []ggscore.VMID
	for n := range 3 {
		for _, d := range s.Release(now, release(id(1+n, 1))) {
			c.Check(d.Outcome, qt.Equals, ggscore.PermitGranted)
			order = append(order, d.ID.VM)
		}
	}
	c.Assert(order, qt.DeepEquals, []ggscore.VMID{"vm-103", "vm-101", "vm-102"})
}

// Guards against asks that stay in the queue after their requests have given up.
func TestAsksEnd(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newIssuer(0)
	c.Assert(askAll(s, at(0), 0, slots), qt.Equals, slots)
	c.Assert(s.Ask(at(0), ask(id(100, 1), 50*time.Millisecond))[0].Outcome, qt.Equals, ggscore.PermitWaiting)
	c.Assert(s.Ask(at(0), ask(id(101, 1), time.Second))[0].Outcome, qt.Equals, ggscore.PermitWaiting)
	s.Release(at(time.Millisecond), release(id(101, 1)))
	ds := s.Tick(at(60 * time.Millisecond))
	c.Assert(ds, qt.HasLen, 1)
	c.Check(ds[0].ID, qt.Equals, id(100, 1))
	c.Check(ds[0].Outcome, qt.Equals, ggscore.PermitRefused)
	c.Check(s.State(at(60 * time.Millisecond))[0].Waiting, qt.Equals, 0)
}

// Guards against slots that stay unused after the datagrams of releases were lost, and against the end of
// permits that a VM has asked for or uses.
func TestRenewalsMakeUpForLostReleases(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newIssuer(0)
	for n := range slots {
		s.Ask(at(0), ask(id(n/8, n), 0))
	}
	s.Renew(at(0), ggscore.PermitRenewal{VM: id(1, 0).VM, Endpoint: endpoint, InFlight: []uint64{8, 9}, Asking: []uint64{10}, Through: 13})
	c.Check(s.State(at(0))[0].Granted, qt.Equals, slots-3)
	s.Renew(at(0), ggscore.PermitRenewal{VM: id(0, 0).VM, Endpoint: endpoint, Through: 3})
	c.Check(s.State(at(0))[0].Granted, qt.Equals, slots-3-4)
}

// Guards against a second permit, or none, for an ask whose decision was lost.
func TestRepeatedAskGetsTheSameDecision(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newIssuer(0)
	for range 3 {
		c.Assert(s.Ask(at(0), ask(id(1, 1), 0))[0].Outcome, qt.Equals, ggscore.PermitGranted)
	}
	c.Check(s.State(at(0))[0].Granted, qt.Equals, 1)
	c.Check(s.Ask(at(0), ggscore.PermitAsk{ID: id(1, 1), Endpoint: "gone"})[0].Outcome, qt.Equals, ggscore.PermitMisdirected)
}
