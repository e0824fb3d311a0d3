package ggsnode

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakesite"
)

// Guards against callers that get other bytes than their answer because an endpoint sends more.
func TestEndpointsWhoseConnectionsCarryOtherBytes(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		fault ggsfakesite.Fault
		// lost is set if the answer can't be used, so that another endpoint's is needed.
		lost bool
	}{
		"informational answer before it": {fault: ggsfakesite.FaultInformational},
		"answer in single bytes":         {fault: ggsfakesite.FaultPieces},
		"stray bytes after it":           {fault: ggsfakesite.FaultStrayBytes},
		"answer sent twice":              {fault: ggsfakesite.FaultSecondAnswer},
		"answer sent again later":        {fault: ggsfakesite.FaultLateAnswer},
		"content encoding":               {fault: ggsfakesite.FaultEncoded, lost: true},
		"bytes that aren't an answer":    {fault: ggsfakesite.FaultNotHTTP, lost: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, 2)
			for _, e := range s.site.Endpoints {
				e.SetFault(func(q ggsfakesite.Query) ggsfakesite.Fault {
					if q.Number%3 == 0 {
						return tc.fault
					}
					return ggsfakesite.FaultNone
				})
			}
			var calls sync.WaitGroup
			for n := range 4 {
				calls.Go(func() {
					for range 12 {
						for path, method := range map[string]string{"/pay/1": http.MethodPost, "/look/1": http.MethodGet, "/chat/1": http.MethodPost} {
							s.checkOwnAnswer(s.call(n%2, method, path, "", "{}"), path, tc.lost)
						}
					}
				})
			}
			calls.Wait()
		})
	}
}

// checkOwnAnswer checks that a reply is the whole answer to its request, or, if answers are lost, that
// it is a failure that a request that may have run once may have.
func (s *siteTest) checkOwnAnswer(r reply, path string, lost bool) {
	s.c.Helper()
	what := qt.Commentf("%s %s: %d %q, runs %d", path, r.id, r.status, r.body, s.site.Runs()[r.id])
	repeatable := strings.HasPrefix(path, "/look")
	if !repeatable {
		s.c.Check(s.site.Runs()[r.id], qt.Equals, 1, what)
	}
	if lost && r.status == http.StatusBadGateway {
		return
	}
	s.c.Check(r.status, qt.Equals, http.StatusOK, what)
	s.c.Check(r.complete, qt.IsTrue, what)
	answers := 1
	if strings.HasPrefix(path, "/chat") {
		answers = 6
	}
	s.c.Check(strings.Count(r.body, r.id+" by "), qt.Equals, answers, what)
	s.c.Check(strings.Count(r.body, " by "), qt.Equals, answers, what)
}
