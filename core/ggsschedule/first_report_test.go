package ggsschedule_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsschedule"
)

// Guards against a new owner that refuses requests after a planned stop of the previous one,
// because its runners, which have not reported yet, count as full and its rate of loads is still
// zero.
func TestNewOwnerDoesNotRefuseBeforeTheFirstReport(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := ggsschedule.New(ggsschedule.Options{Seed: 1})
	s.SetLoadShare(now, ggscore.LoadShare{LoadsPerSecond: 4, InTransit: 24})
	s.SetEndpoint(now, ggscore.Endpoint{
		ID: "runner-1", Service: "assist", Kind: ggscore.KindModel, Slots: 8, AdapterSlots: 4,
		Addr: netip.MustParseAddrPort("127.0.0.1:1"),
	}, ggscore.ModeFull)
	for i := range 3 {
		orders := s.Submit(now, &ggscore.Request{
			ID: ggscore.RequestID(fmt.Sprint(i)), Service: "assist", Kind: ggscore.KindModel,
			Adapter: ggscore.AdapterRef{Name: fmt.Sprint("a", i), Version: "v1"},
			Arrived: now, Budget: 5 * time.Second, Priority: ggscore.PriorityInteractive,
		})
		for _, o := range orders {
			c.Assert(o.Kind, qt.Not(qt.Equals), ggscore.OrderRefuse)
		}
		now = now.Add(300 * time.Millisecond)
	}
}
