package ggsnode

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakesite"
	"greengageslip/io/ggsedge"
	ggsdialect "greengageslip/platform"
)

const (
	// lostRevisions is the number of revisions that a restore discards. It exceeds the number
	// of writes during a test, so that revisions stay below those already read.
	lostRevisions = 10_000
	// neverRewrite exceeds the length of any test: endpoints rewrite their entries only on
	// Site.ResumeEntries.
	neverRewrite = time.Hour
)

// restoreFromBackup restores the store from a backup of its present state.
func (s *siteTest) restoreFromBackup(meanwhile func()) {
	s.restoreFrom(s.site.Store.Backup(), meanwhile)
}

// restoreFrom restores the store from a backup after the edges have read and written revisions
// that the restore discards, and waits until every edge knows the new epoch. Endpoints rewrite
// their entries only on Site.ResumeEntries.
func (s *siteTest) restoreFrom(k ggsfakesite.Backup, meanwhile func()) {
	const list, own = "servers/", "greengageslip/vm/"
	meanwhile()
	s.site.Store.AdvanceRevision(lostRevisions)
	mark, read := s.site.Store.Revision(), s.site.Store.ListCalls(list)
	s.eventually("the list is read", func() bool { return s.site.Store.ListCalls(list) > read+1 })
	s.eventually("heartbeats are written", func() bool { return s.site.Store.Written(own, mark) > 0 })
	s.site.Store.SetUnavailable(true)
	s.eachEdge("the store is unreachable", func(e ggsedge.State) bool { return e.StoreUnavailable })
	s.site.Restore(k, neverRewrite)
	s.site.Store.SetUnavailable(false)
	s.eachEdge("the epoch is known", func(e ggsedge.State) bool { return uint64(e.Epoch) == s.site.Store.Epoch() })
}

// rewrite makes all endpoints write their entries again and waits for the writes.
func (s *siteTest) rewrite() {
	mark := s.site.Store.Revision()
	s.site.ResumeEntries()
	s.eventually("all entries are written", func() bool {
		return s.site.Store.Written("servers/", mark) == len(s.site.Endpoints)
	})
}

// eachEdge waits until a condition holds at every edge.
func (s *siteTest) eachEdge(what string, ok func(ggsedge.State) bool) {
	s.c.Helper()
	for n := range s.edges {
		s.eventually(what, func() bool { return ok(s.state(n)) })
	}
}

// lateArrivals returns the number of requests that reached an endpoint more than drainTime
// after from.
func (s *siteTest) lateArrivals(id string, from time.Time) int {
	late := 0
	for _, a := range s.site.Endpoints[id].Arrivals() {
		if a.At.Sub(from) > drainTime {
			late++
		}
	}
	return late
}

// Guards against VMs that keep their old list of endpoints after a restore, because the
// revisions of the restored store are lower than those already read.
func TestLeavingEndpointGetsNoRequestsAfterStoreRestore(t *testing.T) {
	t.Parallel()
	s := startSite(t, 3)
	s.restoreFromBackup(func() { s.callSteadily(http.MethodGet, "/look/1", "", 100*time.Millisecond, time.Second) })
	s.rewrite()
	begun := time.Now()
	s.site.Drain("ledger-0")
	served, all := s.callSteadily(http.MethodGet, "/look/1", "", 50*time.Millisecond, 3*drainTime)
	s.c.Check(s.lateArrivals("ledger-0", begun), qt.Equals, 0)
	s.c.Check(served, qt.Equals, all)
}

// reloadBound limits the time from the store's restore until a new adapter is served.
const reloadBound = 6 * time.Second

// Guards against endpoints that get no orders after the store is restored. Heartbeats and ownership
// records that were written before the restore are no longer valid.
func TestNewAdaptersAreServedAfterStoreRestore(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct{ older bool }{
		"the backup has the ownership records":   {},
		"the backup is older than their records": {older: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, 2)
			k := s.site.Store.Backup()
			if tc.older {
				k = k.WithoutPrefix("greengageslip/")
			}
			s.restoreFrom(k, func() {})
			s.rewrite()
			begun := time.Now()
			pace := time.NewTicker(500 * time.Millisecond)
			defer pace.Stop()
			served, all := 0, 0
			var first time.Duration
			for n := 0; time.Since(begun) < 20*time.Second; n++ {
				r := s.call(n%len(s.edges), http.MethodPost, "/chat/x", fmt.Sprintf("m/new%d", n), "Hola")
				all++
				if r.status == http.StatusOK {
					served++
					if first == 0 {
						first = time.Since(begun)
					}
				}
				<-pace.C
			}
			s.c.Check(first > 0 && first < reloadBound, qt.IsTrue, qt.Commentf("first served after %s", first))
			s.c.Check(served >= all*9/10, qt.IsTrue, qt.Commentf("%d of %d", served, all))
		})
	}
}

// Guards against requests to a leaving endpoint whose leaving entry is lost in a restore, while
// the backup lists the endpoint as ready.
func TestEndpointSeenLeavingStaysLeavingAfterStoreRestore(t *testing.T) {
	t.Parallel()
	s := startSite(t, 2)
	var begun time.Time
	s.restoreFromBackup(func() {
		begun = time.Now()
		s.site.Drain("ledger-0")
	})
	served, all := s.callSteadily(http.MethodGet, "/look/1", "", 20*time.Millisecond, drainTime+time.Second)
	s.rewrite()
	s.c.Check(s.lateArrivals("ledger-0", begun), qt.Equals, 0)
	s.c.Check(served, qt.Equals, all)
}

// Guards against endpoints that are dropped after a restore from a backup without their entries,
// until the endpoints write these again.
func TestEndpointsAreKeptWhileTheirEntriesAreLost(t *testing.T) {
	t.Parallel()
	s := startSite(t, 2)
	s.restoreFrom(s.site.Store.Backup().WithoutPrefix("servers/"), func() {})
	for range 2 {
		served, all := s.callSteadily(http.MethodGet, "/look/1", "", 20*time.Millisecond, time.Second)
		s.c.Check(served, qt.Equals, all)
		s.rewrite()
	}
}

// Guards against a VM that starts on a restored store and applies an older configuration than
// its peers have.
func TestNewestConfigurationSurvivesStoreRestore(t *testing.T) {
	t.Parallel()
	s := startSite(t, 2)
	served := func(n int, path, model string) bool {
		return s.call(n, http.MethodPost, path, model, "Hola").status == http.StatusOK
	}
	s.restoreFromBackup(func() {
		s.site.Store.Put("op/config", ggsfakesite.Config(5, "/talk/"))
		s.site.Store.Put("op/version/m.a7", []byte(`{"model":"m","adapter":"a7","version":2}`))
		for n := range s.edges {
			s.eventually("the newest configuration is in force", func() bool { return served(n, "/talk/x", "") })
		}
	})
	s.startEdgeWith(t, len(s.edges), func(c *ggsdialect.Settings) { c.FirstStart = false })
	last := len(s.edges) - 1
	s.eventually("the newest configuration is in force at a VM that starts", func() bool { return served(last, "/talk/x", "") })
	for n := range s.edges {
		s.c.Check(served(n, "/chat/x", ""), qt.IsFalse, qt.Commentf("edge %d", n))
	}
	s.eventually("the adapter's version is known at a VM that starts", func() bool {
		for _, v := range s.state(last).Versions {
			if v.Target.Adapter == "a7" && v.Version == 2 {
				return true
			}
		}
		return false
	})
	s.site.Store.Put("op/config", ggsfakesite.Config(6, "/speak/"))
	for n := range s.edges {
		s.eventually("the operator's next configuration is in force", func() bool { return served(n, "/speak/x", "") })
	}
}

// Guards against refused or lost callers and requests that run twice while VMs resync with a
// restored store.
func TestCallersAreServedDuringStoreRestore(t *testing.T) {
	t.Parallel()
	const (
		length = 10 * time.Second
		// minServedShare is the least share of callers to be served.
		minServedShare = 0.98
	)
	s := startSite(t, 3)
	s.callSteadily(http.MethodPost, "/chat/x", "m/a1", 100*time.Millisecond, time.Second)
	s.restoreFromBackup(func() {})
	var served, all atomic.Int64
	var load sync.WaitGroup
	for _, k := range []struct{ method, path, model string }{
		{http.MethodPost, "/chat/x", "m/a1"}, {http.MethodPost, "/pay/1", ""}, {http.MethodGet, "/look/1", ""},
	} {
		load.Go(func() {
			ok, n := s.callSteadily(k.method, k.path, k.model, 50*time.Millisecond, length)
			served.Add(int64(ok))
			all.Add(int64(n))
		})
	}
	load.Wait()
	s.c.Check(float64(served.Load()) >= minServedShare*float64(all.Load()), qt.IsTrue, qt.Commentf("%d of %d", served.Load(), all.Load()))
	for id, runs := range s.site.Runs() {
		s.c.Check(runs <= 1, qt.IsTrue, qt.Commentf("request %s ran %d times", id, runs))
	}
}
