package ggsorigin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsorigin"
)

func begin() time.Time { return time.Unix(1_000, 0) }

func TestDecide(t *testing.T) {
	t.Parallel()
	one := &ggscore.Route{Name: "r", Targets: []ggscore.RouteTarget{{Service: "s"}}}
	two := &ggscore.Route{Name: "r", Targets: []ggscore.RouteTarget{{Service: "s"}, {Service: "t"}}}
	known := &ggscore.StreamOrigin{Request: "a", Service: "s", Software: "v2"}
	for name, tc := range map[string]struct {
		route   *ggscore.Route
		replies []ggscore.OriginReply
		// want is empty if the stream is refused.
		want ggscore.SoftwareVersion
	}{
		"a peer has the record":               {one, []ggscore.OriginReply{{Mixed: true}, {Mixed: true, Origin: known}}, "v2"},
		"a record precedes a sole version":    {one, []ggscore.OriginReply{{Sole: "v1"}, {Origin: known}}, "v2"},
		"a sole version":                      {one, []ggscore.OriginReply{{Sole: "v1"}, {Sole: "v1"}}, "v1"},
		"this VM has just started":            {one, []ggscore.OriginReply{{}, {Sole: "v1"}}, "v1"},
		"all VMs have just started":           {one, []ggscore.OriginReply{{}, {}}, ""},
		"a peer knows of a second version":    {one, []ggscore.OriginReply{{Sole: "v1"}, {Mixed: true}}, ""},
		"peers differ in the sole version":    {one, []ggscore.OriginReply{{Sole: "v1"}, {Sole: "v2"}}, ""},
		"several versions and no record":      {one, []ggscore.OriginReply{{Mixed: true}}, ""},
		"the route leads to several services": {two, []ggscore.OriginReply{{Sole: "v1"}}, ""},
		"a record on a route to several":      {two, []ggscore.OriginReply{{Sole: "v1"}, {Origin: known}}, "v2"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			o, err := ggsorigin.Decide(tc.route, "a", tc.replies)
			c.Assert(o.Software, qt.Equals, tc.want)
			var unknown *ggsorigin.UnknownError
			c.Assert(errors.As(err, &unknown), qt.Equals, tc.want == "")
		})
	}
}

// Guards against a stream that goes on at another service after its route was changed.
func TestCheck(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := &ggscore.Route{Name: "r", Targets: []ggscore.RouteTarget{{Service: "t"}}}
	c.Assert(ggsorigin.Check(r, ggscore.StreamOrigin{Service: "t"}), qt.IsNil)
	var moved *ggsorigin.ServiceError
	c.Assert(errors.As(ggsorigin.Check(r, ggscore.StreamOrigin{Service: "s"}), &moved), qt.IsTrue)
}

func TestCensus(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	old, newer := ggscore.Instance{ID: "a", Service: "s", Software: "v1"}, ggscore.Instance{ID: "b", Service: "s", Software: "v2"}
	s := ggsorigin.NewCensus()
	sole := func(now time.Time) ggscore.SoftwareVersion {
		v, _ := s.Sole(now, "s", 10*time.Second)
		return v
	}
	c.Assert(s.Observe(begin(), []ggscore.Instance{old}), qt.HasLen, 0)
	c.Assert(sole(begin().Add(9*time.Second)), qt.Equals, ggscore.SoftwareVersion(""))
	c.Assert(sole(begin().Add(10*time.Second)), qt.Equals, ggscore.SoftwareVersion("v1"))

	mixed := begin().Add(20 * time.Second)
	c.Assert(s.Observe(mixed, []ggscore.Instance{old, newer}), qt.DeepEquals, []ggscore.Service{"s"})
	c.Assert(s.Observe(mixed, []ggscore.Instance{old, newer}), qt.HasLen, 0)
	c.Assert(s.Mixed("s"), qt.IsTrue)
	c.Assert(sole(mixed.Add(time.Minute)), qt.Equals, ggscore.SoftwareVersion(""))

	// Streams of the old version may still be resumed for a while.
	alone := mixed.Add(time.Minute)
	c.Assert(s.Observe(alone, []ggscore.Instance{newer}), qt.HasLen, 0)
	c.Assert(sole(alone.Add(9*time.Second)), qt.Equals, ggscore.SoftwareVersion(""))
	c.Assert(sole(alone.Add(10*time.Second)), qt.Equals, ggscore.SoftwareVersion("v2"))

	// An empty list says nothing of the versions that served.
	c.Assert(s.Observe(alone.Add(time.Minute), nil), qt.HasLen, 0)
	c.Assert(sole(alone.Add(2*time.Minute)), qt.Equals, ggscore.SoftwareVersion("v2"))
}

// Guards against a table that forgets streams which may still be resumed, or that grows without bound.
func TestTableKeepsRecentRecords(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := ggsorigin.NewTable()
	for n := range 300 {
		now := begin().Add(time.Duration(n) * time.Second)
		s.Record(now, ggscore.StreamOrigin{Request: ggscore.RequestID(fmt.Sprint(n)), Service: "s", Software: "v1"})
		for age := range min(n, 60) {
			_, ok := s.Find(ggscore.RequestID(fmt.Sprint(n - age)))
			c.Assert(ok, qt.IsTrue, qt.Commentf("record %d at %d", n-age, n))
		}
		c.Assert(s.Len() <= 121, qt.IsTrue)
	}
	c.Assert(s.Recent(begin().Add(299*time.Second), "s", 10*time.Second), qt.HasLen, 11)
	c.Assert(s.Recent(begin().Add(299*time.Second), "t", 10*time.Second), qt.HasLen, 0)
}

// Guards against records that no VM finds because some VMs failed after the records were copied.
func TestHoldersAreFoundAfterFailures(t *testing.T) {
	t.Parallel()
	for name, vms := range map[string]int{"9 VMs": 9, "195 VMs": 195} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var all []ggscore.VMID
			for n := range vms {
				all = append(all, ggscore.VMID(fmt.Sprintf("vm-%d", n)))
			}
			// A third of the VMs fail.
			live := all[vms/3:]
			found, streams := 0, 1000
			for n := range streams {
				id := ggscore.RequestID(fmt.Sprint(n))
				asked := map[ggscore.VMID]bool{}
				for _, vm := range ggsorigin.Holders(id, live, ggsorigin.Asked) {
					asked[vm] = true
				}
				for _, vm := range ggsorigin.Holders(id, all, ggsorigin.Copies) {
					if asked[vm] {
						found++
						break
					}
				}
			}
			c.Assert(found >= streams*9/10, qt.IsTrue, qt.Commentf("%d of %d", found, streams))
		})
	}
}

// Guards against VMs that start and take a version for the only one at which a stream can have begun.
func TestRegister(t *testing.T) {
	t.Parallel()
	const age = 10 * time.Second
	type versions = []ggscore.SoftwareVersion
	for name, tc := range map[string]struct {
		recorded versions
		// lists are the versions of the service's endpoints, one reading after the other.
		lists  []versions
		after  time.Duration
		first  bool
		before ggscore.SoftwareVersion
		next   versions
		begin  ggscore.SoftwareVersion
	}{
		"no record":                     {lists: []versions{{"v1"}}},
		"no record, the first start":    {lists: []versions{{"v1"}}, first: true, next: versions{"v1"}},
		"no record, served alone":       {lists: []versions{{"v1"}}, after: age, next: versions{"v1"}},
		"no record, several":            {lists: []versions{{"v1", "v2"}}, next: versions{"v1", "v2"}},
		"no record, a second appears":   {lists: []versions{{"v1"}, {"v1", "v2"}}, before: "v1", next: versions{"v1", "v2"}, begin: "v1"},
		"one version":                   {recorded: versions{"v1"}, lists: []versions{{"v1"}}, next: versions{"v1"}},
		"a second appears":              {recorded: versions{"v1"}, lists: []versions{{"v1", "v2"}}, next: versions{"v1", "v2"}, begin: "v1"},
		"a third appears":               {recorded: versions{"v1", "v2"}, lists: []versions{{"v1", "v2", "v3"}}, next: versions{"v1", "v2", "v3"}, begin: "v1"},
		"all endpoints are replaced":    {recorded: versions{"v1"}, lists: []versions{{"v2"}}, next: versions{"v1", "v2"}},
		"the first one left just now":   {recorded: versions{"v1", "v2"}, lists: []versions{{"v2"}}, next: versions{"v1", "v2"}},
		"the first one left long ago":   {recorded: versions{"v1", "v2"}, lists: []versions{{"v2"}}, after: age, next: versions{"v2"}},
		"several for long":              {recorded: versions{"v1", "v2"}, lists: []versions{{"v1", "v2"}}, after: age, next: versions{"v1", "v2"}},
		"the second one is withdrawn":   {recorded: versions{"v1", "v2"}, lists: []versions{{"v1", "v2"}, {"v1"}}, next: versions{"v1", "v2"}},
		"the first one is replaced now": {recorded: versions{"v1"}, lists: []versions{{"v1"}, {"v2"}}, after: age, next: versions{"v2"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := ggsorigin.NewCensus()
			for _, vs := range tc.lists {
				var list []ggscore.Instance
				for _, v := range vs {
					list = append(list, ggscore.Instance{ID: ggscore.EndpointID(v), Service: "s", Software: v})
				}
				s.Observe(begin(), list)
			}
			r := ggsorigin.Register{"s": tc.recorded}
			c.Check(r.Next(begin().Add(tc.after), s, "s", age, tc.first), qt.DeepEquals, tc.next)
			if tc.after == 0 {
				c.Check(r.Begin(s, "s", tc.before), qt.Equals, tc.begin)
			}
		})
	}
}
