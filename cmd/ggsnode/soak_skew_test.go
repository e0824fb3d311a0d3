package ggsnode_test

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// soakSkewShare is the share of new connections that meet the hot VM, in tenths.
	soakSkewShare = 9
	// soakSkewSettle is the time from which requests at the hot VM are served as before.
	soakSkewSettle = 3 * time.Second
	soakSkewTime   = soakSkewSettle + 3*time.Second
	// soakSkewMin is the least number of requests of a period that is judged.
	soakSkewMin = 50
)

// A soakSkew is a period in which most new connections met one VM.
type soakSkew struct {
	span
	edge *soakEdge
}

// skewConnections makes most new connections meet one VM. Clients then open a connection for each
// request.
func (s *soak) skewConnections(r *rand.Rand, _ time.Duration) {
	k := &soakSkew{edge: s.edge(r), span: span{from: time.Now()}}
	if !s.skew.CompareAndSwap(nil, k) {
		return
	}
	s.sleep(soakSkewTime)
	k.to = time.Now()
	s.skew.Store(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skews = append(s.skews, k)
}

// connectTo returns the edge that a client's next request meets.
func (s *soak) connectTo(h *http.Client, r *rand.Rand) *soakEdge {
	k := s.skew.Load()
	if k == nil {
		return s.edge(r)
	}
	h.CloseIdleConnections()
	if r.IntN(10) < soakSkewShare {
		return k.edge
	}
	return s.edge(r)
}

// checkSkews checks that requests at a hot VM are served at least three quarters as often as elsewhere
// and before, unless other faults disturb the VMs.
func (s *soak) checkSkews() {
	for _, k := range s.skews {
		hot := s.servedShare(func(o outcome) bool {
			return o.edge == k.edge && o.from.After(k.from.Add(soakSkewSettle)) && o.to.Before(k.to)
		})
		before := s.servedShare(func(o outcome) bool { return o.from.After(k.from.Add(-soakSkewTime)) && o.to.Before(k.from) })
		s.t.Logf("hot VM %s: %d of %d served, before %d of %d", k.edge.ip, hot.served, hot.sent, before.served, before.sent)
		if hot.sent < soakSkewMin || before.sent < soakSkewMin {
			continue
		}
		s.c.Check(4*hot.served*before.sent >= 3*before.served*hot.sent, qt.IsTrue,
			qt.Commentf("%d of %d requests served at a hot VM, %d of %d before", hot.served, hot.sent, before.served, before.sent))
	}
}

// A soakShare counts requests, and those that were served.
type soakShare struct{ served, sent int }

// servedShare counts the requests of a period outside disturbances.
func (s *soak) servedShare(in func(outcome) bool) soakShare {
	var n soakShare
	for _, o := range s.outcomes {
		if strings.HasPrefix(o.path, "/tell") || !in(o) || s.disturbedAt(o.from) || s.disturbedAt(o.to) || o.edge.disturbedAt(o.from) {
			continue
		}
		n.sent++
		if o.status == http.StatusOK && o.complete {
			n.served++
		}
	}
	return n
}

// disturbedAt reports whether the edge's process was down or frozen at most soakFaultFree before.
func (e *soakEdge) disturbedAt(at time.Time) bool {
	for _, d := range e.disturbed {
		if d.from.Before(at) && d.to.Add(soakFaultFree).After(at) {
			return true
		}
	}
	return false
}
