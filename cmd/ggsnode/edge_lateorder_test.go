package ggsnode

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakesite"
)

// runnersOfSite returns the runners.
func (s *siteTest) runnersOfSite() []*ggsfakesite.Endpoint {
	var rs []*ggsfakesite.Endpoint
	for _, id := range []string{"runner-00", "runner-10"} {
		rs = append(rs, s.site.Endpoints[id])
	}
	return rs
}

// Guards against an order that nobody but an earlier owner knows of, and that takes effect at a restarted
// runner whose slots the next owner has filled.
func TestNextOwnerKeepsSlotsFreeForUnansweredOrders(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		// edges is the number of VMs. The first one ends turns times, and is started again if again is set.
		edges, turns int
		again        bool
	}{
		"next process":           {edges: 1, turns: 1, again: true},
		"next processes in turn": {edges: 1, turns: 2, again: true},
		"another VM":             {edges: 2, turns: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, tc.edges)
			last := tc.edges - 1
			callAll := func(first, n int) {
				var calls sync.WaitGroup
				for a := first; a < first+n; a++ {
					edge := last
					calls.Go(func() { s.call(edge, http.MethodPost, "/chat/x", fmt.Sprintf("m/a%d", a), "Hola") })
				}
				calls.Wait()
			}
			first := 0
			full := func() bool {
				callAll(first, 2)
				first += 2
				for _, r := range s.runnersOfSite() {
					if r.Resident() < 4 {
						return false
					}
				}
				return true
			}
			s.eventually("the runners are full", full)
			for _, r := range s.runnersOfSite() {
				r.HoldLoads(2)
			}
			s.eventually("loads are unanswered", func() bool {
				callAll(first, 8)
				first += 8
				return s.runnersOfSite()[0].HeldLoads() > 0 && s.runnersOfSite()[1].HeldLoads() > 0
			})
			for _, r := range s.runnersOfSite() {
				r.HoldLoads(0)
			}
			for range tc.turns {
				ended := s.edges[len(s.edges)-tc.edges]
				ended.cancel()
				ended.done <- <-ended.done
				if tc.again {
					last = len(s.edges)
					s.startEdgeAgain(t, 0)
					s.eventually("the VM is back", func() bool { return s.ready(last) == http.StatusOK })
				}
				s.eventually("its runners have an owner", func() bool { return s.knownOwners(last) == 2 })
			}
			for _, r := range s.runnersOfSite() {
				r.RestartInPlace(ggsfakesite.DefaultSoftware)
			}
			s.eventually("the runners have accepted as many orders again", func() bool {
				callAll(first%40, 8)
				first += 8
				return s.runnersOfSite()[0].PassedHeldLoads() && s.runnersOfSite()[1].PassedHeldLoads()
			})
			for _, r := range s.runnersOfSite() {
				s.c.Check(r.Overfull(), qt.IsFalse)
			}
		})
	}
}
