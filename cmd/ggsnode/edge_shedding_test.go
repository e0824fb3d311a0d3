package ggsnode

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakesite"
)

// Guards against VMs that press shed-limited endpoints until they fall over, and against callers that get
// no answer then.
func TestShedLimitedEndpointsStayUpUnderOverload(t *testing.T) {
	t.Parallel()
	const (
		workTime = 150 * time.Millisecond
		edges    = 3
		length   = 6 * time.Second
	)
	s := startSite(t, edges)
	s.setBrittle("ledger", workTime)
	s.callSteadily(http.MethodPost, "/pay/1", "", 50*time.Millisecond, contactTime)
	before := s.falls()
	var served, refused, lost atomic.Int64
	var calls sync.WaitGroup
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for begun := time.Now(); time.Since(begun) < length; <-tick.C {
		for n := range edges {
			calls.Go(func() {
				switch r := s.call(n, http.MethodPost, "/pay/1", "", "{}"); r.status {
				case http.StatusOK:
					served.Add(1)
				case http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					lost.Add(1)
				}
			})
		}
	}
	calls.Wait()
	falls := s.falls() - before
	s.c.Logf("served %d, refused %d, lost %d, fell over %d times", served.Load(), refused.Load(), lost.Load(), falls)
	s.c.Check(falls <= 2, qt.IsTrue, qt.Commentf("fell over %d times", falls))
	s.c.Check(lost.Load() <= served.Load()/50, qt.IsTrue, qt.Commentf("%d lost", lost.Load()))
}

// brittleRefusals is the number of requests that a shed-limited endpoint can refuse in a second.
const brittleRefusals = 6

// setBrittle makes all endpoints shed-limited whose names have a prefix.
func (s *siteTest) setBrittle(prefix string, workTime time.Duration) {
	for id, e := range s.site.Endpoints {
		if strings.HasPrefix(id, prefix) {
			e.SetBrittle(brittleRefusals, workTime)
		}
	}
}

// falls returns how often the site's endpoints fell over.
func (s *siteTest) falls() int {
	n := 0
	for _, e := range s.site.Endpoints {
		n += e.Falls()
	}
	return n
}

// shedLimited reports whether an edge knows that the ledger's endpoints are shed-limited.
func (s *siteTest) shedLimited(n int) bool {
	for _, l := range s.state(n).ShedLimits {
		if l.Service == "ledger" && l.RefusalsPerSecond != nil {
			return true
		}
	}
	return false
}

// shedLimitRecorded reports whether the record of an edge has the shed limit.
func (s *siteTest) shedLimitRecorded() bool {
	for _, e := range s.edges {
		record := s.site.Store.Get(fmt.Sprintf("greengageslip/vm/%s@%s", e.settings.VM, e.settings.Addr))
		if bytes.Contains(record, []byte(`"shedLimits"`)) {
			return true
		}
	}
	return false
}

// Guards against VMs without an answer of a shed-limited service that don't know of its limit, also after
// all VMs have restarted.
func TestVMsWithoutAnswersKnowShedLimits(t *testing.T) {
	t.Parallel()
	const edges = 3
	s := startSite(t, edges)
	s.setBrittle("ledger", time.Millisecond)
	s.eventually("an endpoint answers", func() bool { return s.call(0, http.MethodPost, "/pay/1", "", "{}").status == http.StatusOK })
	for n := range edges {
		s.eventually("the VM knows the shed limit", func() bool { return s.shedLimited(n) })
	}
	s.eventually("a VM's record has the shed limit", s.shedLimitRecorded)
	for n := range edges {
		s.edges[n].cancel()
	}
	for n := range edges {
		s.eventually("the VM is gone", func() bool { return s.ready(n) == 0 })
	}
	for n := range edges {
		s.startEdge(t, edges+n)
	}
	for n := edges; n < 2*edges; n++ {
		s.eventually("the VM knows the shed limit again", func() bool { return s.shedLimited(n) })
	}
}

// Guards against callers of many VMs who are refused beside free slots of shed-limited endpoints, and
// against endpoints that fail under the load of many VMs.
func TestManyVMsServeWhileEndpointsAreShedLimited(t *testing.T) {
	t.Parallel()
	const (
		edges    = 12
		ledgers  = 24
		slots    = 8
		workTime = 400 * time.Millisecond
		length   = 5 * time.Second
	)
	s := startSiteOptions(t, edges, ggsfakesite.SiteOptions{Ledgers: ledgers / 2, LedgerSlots: slots}, func(s *siteTest, n int) { s.startEdge(t, n) })
	s.setBrittle("ledger", workTime)
	s.callSteadily(http.MethodPost, "/pay/1", "", 100*time.Millisecond, contactTime)
	before := s.falls()
	for _, tc := range []struct {
		// load is that of the slots. pooled is the share of callers who are served if each may take any free
		// slot and calls twice.
		load, pooled float64
	}{
		{load: 0.6, pooled: 1}, {load: 0.9, pooled: 0.98}, {load: 1.5, pooled: 0.66},
	} {
		interval := time.Duration(edges * float64(workTime) / (tc.load * ledgers * slots))
		served, all := s.callSteadily(http.MethodPost, "/pay/1", "", interval, length)
		share := float64(served) / float64(all)
		s.c.Logf("load %.1f: %d of %d callers served, %.3f; fell over %d times", tc.load, served, all, share, s.falls()-before)
		s.c.Check(share >= 0.95*tc.pooled, qt.IsTrue, qt.Commentf("load %.1f: served %.3f of the callers", tc.load, share))
	}
	for n := range s.edges {
		s.edges[n].cancel()
	}
	most := 2 + ledgers/10
	s.c.Check(s.falls()-before <= most, qt.IsTrue, qt.Commentf("fell over %d times, %d allowed", s.falls()-before, most))
}

// Guards against runners that fail under the load of adapters that only few of them hold.
func TestShedLimitedRunnersStayUpUnderOverload(t *testing.T) {
	t.Parallel()
	const (
		edges    = 3
		runners  = 4
		adapters = 4
		workTime = 300 * time.Millisecond
		load     = 1.5
	)
	s := startSiteOf(t, edges, runners/2, func(s *siteTest, n int) { s.startEdge(t, n) })
	s.setBrittle("runner", workTime)
	model := func(n int) string { return fmt.Sprintf("m/a%d", n) }
	for n := range adapters {
		s.callSteadily(http.MethodPost, "/chat/1", model(n), 100*time.Millisecond, contactTime/adapters)
	}
	before := s.falls()
	interval := time.Duration(edges * adapters * float64(workTime) / (load * runners * ggsfakesite.DefaultSlots))
	var served, sent atomic.Int64
	var calls sync.WaitGroup
	for n := range adapters {
		calls.Go(func() {
			ok, all := s.callSteadily(http.MethodPost, "/chat/1", model(n), interval, 5*time.Second)
			served.Add(int64(ok))
			sent.Add(int64(all))
		})
	}
	calls.Wait()
	falls := s.falls() - before
	s.c.Logf("%d of %d callers served, fell over %d times", served.Load(), sent.Load(), falls)
	s.c.Check(falls <= 2+runners/10, qt.IsTrue, qt.Commentf("fell over %d times", falls))
	s.c.Check(served.Load()*2 >= sent.Load(), qt.IsTrue, qt.Commentf("%d of %d callers served", served.Load(), sent.Load()))
}
