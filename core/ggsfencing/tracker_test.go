package ggsfencing_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsfencing"
)

const (
	minOrderGap  = 3 * time.Second
	runner       = ggscore.EndpointID("runner")
	takeoverWait = ggsfencing.DefaultValidity + minOrderGap + ggsfencing.DefaultMargin
)

func at(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

// position returns a position in a store without epochs.
func position(r ggscore.StoreRevision) ggscore.StorePosition {
	return ggscore.StorePosition{Revision: r}
}

func newTracker(self ggscore.VMID) *ggsfencing.OwnershipTracker {
	return ggsfencing.NewOwnershipTracker(ggsfencing.Options{Self: self, Domain: "d", MinOrderGap: minOrderGap})
}

func instances() []ggscore.Instance { return []ggscore.Instance{{ID: runner, Domain: "d"}} }

// owner returns the tracker of a VM that owns the runner.
func owner(c *qt.C) *ggsfencing.OwnershipTracker {
	o := newTracker("a")
	o.Observe(at(0), position(1), ggsfencing.Reading{})
	o.HeartbeatAnswered(at(0), o.NextHeartbeat(at(0)), position(5), false)
	cs := o.Claims(at(ggsfencing.DefaultClaimDelay), instances())
	c.Assert(cs, qt.HasLen, 1)
	o.ClaimAcknowledged(at(2*time.Second), cs[0], position(10))
	return o
}

func TestOrdersEndWithoutHeartbeats(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	o := owner(c)
	fence, ok := o.AuthorizeOrder(at(2*time.Second), runner)
	c.Assert(ok, qt.IsTrue)
	c.Assert(fence, qt.Equals, ggscore.FencingToken(10))

	o.HeartbeatAnswered(at(4*time.Second), o.NextHeartbeat(at(0)), position(11), false)
	_, ok = o.AuthorizeOrder(at(4*time.Second+ggsfencing.DefaultValidity-1), runner)
	c.Assert(ok, qt.IsTrue)
	_, ok = o.AuthorizeOrder(at(4*time.Second+ggsfencing.DefaultValidity), runner)
	c.Assert(ok, qt.IsFalse)
}

// Guards against orders that interleave with those of a new owner. A VM whose heartbeat is
// refused may have lost its record to an operator's tool or to another VM, and must send no
// orders until it has read the store again.
func TestRefusedHeartbeatEndsOrdersAtOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	o := owner(c)
	o.HeartbeatAnswered(at(4*time.Second), o.NextHeartbeat(at(0)), position(0), true)
	_, ok := o.AuthorizeOrder(at(4*time.Second), runner)
	c.Assert(ok, qt.IsFalse)
}

// Guards against endpoints that get no orders for ever because their owner was killed, and
// against a takeover so early that the last order of a suspended owner arrives among those of
// the new owner.
func TestTakeoverWaitsForTheOwnersRightToExpire(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	o := newTracker("b")
	records := []ggsfencing.Record{{Endpoint: runner, Owner: "a", Revision: 10}}
	heartbeats := []ggsfencing.Heartbeat{{VM: "a", Domain: "d", Revision: 20}}
	o.Observe(at(0), position(30), ggsfencing.Reading{Records: records, Heartbeats: heartbeats})
	o.HeartbeatAnswered(at(0), o.NextHeartbeat(at(0)), position(31), false)
	c.Assert(o.Claims(at(takeoverWait-1), instances()), qt.HasLen, 0)

	cs := o.Claims(at(takeoverWait), instances())
	c.Assert(cs, qt.DeepEquals, []ggsfencing.Claim{
		{Endpoint: runner, RecordRevision: 10, Owner: "a", OwnerRevision: 20},
	})

	heartbeats[0].Revision = 32
	o.Observe(at(takeoverWait), position(33), ggsfencing.Reading{Records: records, Heartbeats: heartbeats})
	c.Assert(o.Claims(at(takeoverWait), instances()), qt.HasLen, 0)
}

func TestReleasedRecordIsClaimedAfterMinOrderGap(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	o := newTracker("b")
	o.Observe(at(0), position(30), ggsfencing.Reading{Records: []ggsfencing.Record{{Endpoint: runner, Owner: "a", Released: true, Revision: 10}}})
	o.HeartbeatAnswered(at(0), o.NextHeartbeat(at(0)), position(31), false)
	c.Assert(o.Claims(at(minOrderGap), instances()), qt.HasLen, 0)
	c.Assert(o.Claims(at(minOrderGap+ggsfencing.DefaultMargin), instances()), qt.HasLen, 1)
	c.Assert(o.Owner(runner), qt.Equals, ggscore.VMID(""))
}

// Guards against a rolling restart that leaves endpoints without orders for four seconds,
// because VMs that are back within a second wait MinOrderGap after their own release.
func TestOwnReleasedRecordIsClaimedAtOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	o := newTracker("a")
	o.Observe(at(0), position(30), ggsfencing.Reading{Records: []ggsfencing.Record{{Endpoint: runner, Owner: "a", Released: true, Revision: 10}}})
	c.Assert(o.Claims(at(0), instances()), qt.HasLen, 0, qt.Commentf("no heartbeat yet"))
	o.HeartbeatAnswered(at(0), o.NextHeartbeat(at(0)), position(31), false)
	cs := o.Claims(at(0), instances())
	c.Assert(cs, qt.DeepEquals, []ggsfencing.Claim{{Endpoint: runner, RecordRevision: 10}})
	o.ClaimAcknowledged(at(0), cs[0], position(32))
	_, ok := o.AuthorizeOrder(at(0), runner)
	c.Assert(ok, qt.IsTrue)
}

// Guards against the loss of a VM's records when its process is killed and restarts within a
// second. The new process sends orders once a heartbeat under their condition is acknowledged.
func TestRestartedOwnerKeepsItsRecords(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	o := newTracker("a")
	o.Observe(at(0), position(30), ggsfencing.Reading{
		Records:    []ggsfencing.Record{{Endpoint: runner, Owner: "a", Revision: 10}},
		Heartbeats: []ggsfencing.Heartbeat{{VM: "a", Domain: "d", Revision: 20}},
	})
	_, ok := o.AuthorizeOrder(at(0), runner)
	c.Assert(ok, qt.IsFalse)
	p := o.NextHeartbeat(at(0))
	c.Assert(p, qt.DeepEquals, ggsfencing.HeartbeatPlan{
		Revision: 20, Records: []ggsfencing.Record{{Endpoint: runner, Owner: "a", Revision: 10}},
	})
	o.HeartbeatAnswered(at(0), p, position(31), false)
	fence, ok := o.AuthorizeOrder(at(0), runner)
	c.Assert(ok, qt.IsTrue)
	c.Assert(fence, qt.Equals, ggscore.FencingToken(10))
}

// Guards against heartbeats that the store refuses, so that no endpoint gets orders, because the
// records of endpoints removed over weeks exhaust the conditions of the transaction.
func TestRecordsOfRemovedEndpointsAreDeleted(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	o := owner(c)
	o.SetListed(at(0), instances())
	c.Assert(o.NextHeartbeat(at(time.Hour)).Records, qt.HasLen, 1)
	o.SetListed(at(time.Hour), nil)
	p := o.NextHeartbeat(at(time.Hour + ggsfencing.DefaultRecordRetention - 1))
	c.Assert(p.Records, qt.HasLen, 1)
	c.Assert(p.Drop, qt.HasLen, 0)
	p = o.NextHeartbeat(at(time.Hour + ggsfencing.DefaultRecordRetention))
	c.Assert(p.Records, qt.HasLen, 0)
	c.Assert(p.Drop, qt.DeepEquals, []ggsfencing.Record{{Endpoint: runner, Owner: "a", Revision: 10}})
	o.HeartbeatAnswered(at(time.Hour+ggsfencing.DefaultRecordRetention), p, position(40), false)
	c.Assert(o.Records(), qt.HasLen, 0)
}

// Guards against a heartbeat with too many conditions when few VMs are left for many
// endpoints: a VM claims no more records than one transaction can check.
func TestClaimsAreBounded(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	o := newTracker("a")
	o.Observe(at(0), position(1), ggsfencing.Reading{})
	o.HeartbeatAnswered(at(0), o.NextHeartbeat(at(0)), position(5), false)
	var ready []ggscore.Instance
	for i := range 100 {
		ready = append(ready, ggscore.Instance{ID: ggscore.EndpointID(rune('a' + i)), Domain: "d"})
	}
	now := at(ggsfencing.DefaultClaimDelay)
	for n, cl := range o.Claims(now, ready) {
		o.ClaimAcknowledged(now, cl, position(ggscore.StoreRevision(10+n)))
	}
	c.Assert(o.NextHeartbeat(now).Records, qt.HasLen, ggsfencing.DefaultMaxRecords)
	c.Assert(o.Claims(now, ready), qt.HasLen, 0)
}

// Guards against a stale reading that arrives after a newer one and restores an owner that
// has been replaced.
func TestOlderReadingIsIgnored(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	o := newTracker("b")
	o.Observe(at(0), position(40), ggsfencing.Reading{Records: []ggsfencing.Record{{Endpoint: runner, Owner: "c", Revision: 35}}})
	o.Observe(at(1), position(30), ggsfencing.Reading{Records: []ggsfencing.Record{{Endpoint: runner, Owner: "a", Revision: 10}}})
	c.Assert(o.Owner(runner), qt.Equals, ggscore.VMID("c"))
}

// Guards against new endpoints that every VM claims, so that nine claims in ten fail. An
// unreachable VM must not be the preferred owner.
func TestOneVMOfTheDomainClaims(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	vms := []ggsfencing.Heartbeat{
		{VM: "a", Domain: "d", Revision: 1},
		{VM: "b", Domain: "d", Revision: 2},
		{VM: "far", Domain: "e", Revision: 3},
		{VM: "gone", Domain: "d", Revision: 4},
	}
	reachable := []ggscore.VMID{"a", "b", "far"}
	claims := 0
	for _, vm := range vms {
		o := ggsfencing.NewOwnershipTracker(ggsfencing.Options{Self: vm.VM, Domain: vm.Domain, MinOrderGap: minOrderGap})
		o.Observe(at(0), position(10), ggsfencing.Reading{Heartbeats: vms})
		o.SetReachable(reachable)
		if vm.VM == "gone" {
			continue
		}
		n := len(o.Claims(at(ggsfencing.DefaultClaimDelay), instances()))
		if vm.Domain != "d" {
			c.Assert(n, qt.Equals, 0, qt.Commentf("%s", vm.VM))
		}
		claims += n
	}
	c.Assert(claims, qt.Equals, 1)
}

// Guards against endpoints without an owner because the preferred owner already owns MaxRecords
// endpoints.
func TestClaimsFavorCapacityAndSkipFullVMs(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const endpoints = 20
	vms := []ggsfencing.Heartbeat{{VM: "wide", Domain: "d", Capacity: 40, Revision: 1}}
	reachable := []ggscore.VMID{"wide"}
	for i := range 10 {
		vm := ggscore.VMID(fmt.Sprintf("thin-%d", i))
		vms = append(vms, ggsfencing.Heartbeat{VM: vm, Domain: "d", Capacity: 1, Revision: 1})
		reachable = append(reachable, vm)
	}
	var ready []ggscore.Instance
	for i := range endpoints {
		ready = append(ready, ggscore.Instance{ID: ggscore.EndpointID(fmt.Sprintf("r%d", i)), Domain: "d"})
	}
	claims := func(vm ggscore.VMID, most int, records []ggsfencing.Record) int {
		o := ggsfencing.NewOwnershipTracker(ggsfencing.Options{Self: vm, Domain: "d", MinOrderGap: minOrderGap, MaxRecords: most})
		o.Observe(at(0), position(10), ggsfencing.Reading{Records: records, Heartbeats: vms})
		o.SetReachable(reachable)
		return len(o.Claims(at(ggsfencing.DefaultClaimDelay), ready))
	}
	c.Assert(claims("wide", endpoints, nil) >= endpoints/2, qt.IsTrue)

	const most = 3
	records := []ggsfencing.Record{
		{Endpoint: "r0", Owner: "wide", Revision: 2}, {Endpoint: "r1", Owner: "wide", Revision: 2}, {Endpoint: "r2", Owner: "wide", Revision: 2},
	}
	claimed := 0
	for _, b := range vms {
		claimed += claims(b.VM, most, records)
	}
	c.Assert(claimed >= endpoints-len(records), qt.IsTrue, qt.Commentf("%d", claimed))
}

// Guards against records of removed endpoints that an older copy of the store restored and that
// no VM deletes.
func TestRecordsOfAnEarlierEpochAreDeleted(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	o := newTracker("a")
	copied := ggsfencing.Record{Endpoint: runner, Owner: "a", Epoch: 1, Revision: 10}
	o.Observe(at(0), ggscore.StorePosition{Epoch: 2, Revision: 20}, ggsfencing.Reading{Records: []ggsfencing.Record{copied}})
	o.SetListed(at(0), nil)
	c.Check(o.NextHeartbeat(at(ggsfencing.DefaultRecordRetention-1)).Drop, qt.HasLen, 0)
	p := o.NextHeartbeat(at(ggsfencing.DefaultRecordRetention))
	c.Check(p.Records, qt.HasLen, 0)
	c.Check(p.Drop, qt.DeepEquals, []ggsfencing.Record{copied})
}

// Guards against an endpoint that gets no orders because the VM that released it, since it doesn't
// reach the endpoint, stays its preferred owner.
func TestReleasedEndpointIsClaimedByAnotherVM(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct{ isolated, released bool }{
		"released":                  {released: true},
		"released, owner isolated":  {released: true, isolated: true},
		"no owner, others isolated": {isolated: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			claimed := 0
			for n := range 20 {
				id := ggscore.EndpointID(fmt.Sprintf("runner-%d", n))
				o := newTracker("b")
				r := ggsfencing.Reading{Heartbeats: []ggsfencing.Heartbeat{
					{VM: "a", Domain: "d", Isolated: tc.isolated, Revision: 20}, {VM: "b", Domain: "d", Revision: 21},
				}}
				if tc.released {
					r.Records = []ggsfencing.Record{{Endpoint: id, Owner: "a", Released: true, Revision: 10}}
				}
				o.Observe(at(0), position(30), r)
				o.HeartbeatAnswered(at(0), o.NextHeartbeat(at(0)), position(31), false)
				o.SetReachable([]ggscore.VMID{"a"})
				claimed += len(o.Claims(at(takeoverWait), []ggscore.Instance{{ID: id, Domain: "d"}}))
			}
			c.Assert(claimed, qt.Equals, 20)
		})
	}
}
