package ggsedge

import (
	"context"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsplace"
	"greengageslip/core/ggsretry"
)

// blockedPaths are paths that are all broken.
type blockedPaths struct{ workingPaths }

// Blocked implements ggscore.Paths.
func (blockedPaths) Blocked(netip.AddrPort) bool { return true }

// Guards against endpoints that count as failed because of this VM's broken path, and against ones
// that are down and don't, because the path to them is broken too.
func TestFailuresOnABrokenPathCountOnlyIfAPeerConfirmsThem(t *testing.T) {
	t.Parallel()
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	for name, tc := range map[string]struct {
		blocked, confirmed bool
		want               int
	}{
		"path works":                          {want: 1},
		"path is broken":                      {blocked: true},
		"path is broken and endpoint is down": {blocked: true, confirmed: true, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			e := listEdge()
			if tc.blocked {
				e.Paths = blockedPaths{}
			}
			i := ggscore.Instance{ID: "a", Service: "s", Addr: addr}
			e.table.SetInstances(e.Now(), []ggscore.Instance{i})
			j := &job{service: "s"}
			e.beginSend(j, i.ID)
			_ = e.unanswered(context.Background(), j, i, &ggscore.CallError{
				Addr: addr, NotSent: true, Kind: ggscore.FailureEndpoint, Cause: &ggscore.UnreachableError{Addr: addr, Confirmed: tc.confirmed},
			})
			failed := 0
			for _, f := range e.table.ReportInFlight() {
				failed += f.Failed
			}
			c.Assert(failed, qt.Equals, tc.want)
		})
	}
}

// Guards against circuit breakers that stay open because endpoints failed before this VM knew that
// its paths are broken.
func TestFailuresAreForgottenWhenAPathBreaks(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := listEdge()
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	var list []ggscore.Instance
	for _, id := range []ggscore.EndpointID{"a", "b", "c", "d"} {
		list = append(list, ggscore.Instance{ID: id, Service: ggscore.Service(id), Addr: addr, Slots: 1})
	}
	e.table.SetInstances(e.Now(), list)
	for range 2 * ggsretry.DefaultFailures {
		for _, id := range []ggscore.EndpointID{"a", "b", "c", "d"} {
			e.table.Sent(e.Now(), id)
			e.table.Ended(e.Now(), id, ggsretry.ResultFailed)
		}
	}
	choose := func() error {
		_, err := e.table.Choose(e.Now(), ggsplace.Query{Service: "a"})
		return err
	}
	c.Assert(choose(), qt.IsNotNil)
	e.PathsChanged()
	c.Assert(choose(), qt.IsNil)
}
