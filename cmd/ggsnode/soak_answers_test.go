package ggsnode_test

import (
	"math/rand/v2"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakesite"
)

const (
	// soakLimitSettleTime is the time within which all VMs must apply an endpoint's limit, and
	// soakLimitWindow the time over which arrivals are counted.
	soakLimitSettleTime = 3 * time.Second
	soakLimitWindow     = 4 * time.Second
	soakLimitExcess     = 1.5
	soakLimitSlack      = 5
)

// A soakLimit is a period in which an endpoint announced a rate limit.
type soakLimit struct {
	span
	endpoint  string
	perSecond float64
}

// answerFaults returns the faults that endpoints announce in their answers.
func answerFaults() []soakFault {
	return []soakFault{
		{"endpoint is limited", true, (*soak).limitRate},
		{"endpoint leaves in its answers", true, (*soak).leaveInAnswers},
		{"endpoint refuses with Retry-After", true, (*soak).refuseRequests},
	}
}

// limitRate makes an endpoint announce a rate limit for long enough to count arrivals. An
// endpoint has one limit at a time, as the end of another would lift it early.
func (s *soak) limitRate(r *rand.Rand, d time.Duration) {
	l := soakLimit{endpoint: s.endpoint(r, ""), perSecond: float64(2 + r.IntN(8)), span: span{from: time.Now()}}
	if _, busy := s.limiting.LoadOrStore(l.endpoint, true); busy {
		return
	}
	defer s.limiting.Delete(l.endpoint)
	e := s.site.Endpoints[l.endpoint]
	e.SetRateLimit(l.perSecond)
	s.sleep(soakLimitSettleTime + soakLimitWindow + d)
	l.to = time.Now()
	e.SetRateLimit(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limited = append(s.limited, l)
}

// leaveInAnswers makes an endpoint report in its answers that it is leaving, and in its entry
// only later.
func (s *soak) leaveInAnswers(r *rand.Rand, d time.Duration) {
	prefix := []string{"runner", "ledger"}[r.IntN(2)]
	id := s.endpoint(r, prefix)
	s.mu.Lock()
	for o := range s.drainedAt {
		if strings.HasPrefix(o, prefix) {
			s.mu.Unlock()
			return
		}
	}
	s.drainedAt[id] = time.Now().Add(d)
	s.leavingSince[id] = time.Now()
	s.mu.Unlock()
	s.site.Endpoints[id].SetLeaving(true)
	s.sleep(d)
	s.site.Drain(id)
}

// refuseRequests makes an endpoint refuse all requests for a time that it sends as Retry-After.
func (s *soak) refuseRequests(r *rand.Rand, d time.Duration) {
	e := s.site.Endpoints[s.endpoint(r, "")]
	e.SetRetryAfter(d)
	e.SetFault(func(ggsfakesite.Query) ggsfakesite.Fault { return ggsfakesite.FaultRefuse })
	s.sleep(d)
	e.SetFault(func(ggsfakesite.Query) ggsfakesite.Fault { return ggsfakesite.FaultNone })
	e.SetRetryAfter(0)
}

// disturbedWithin reports whether an edge's process was down or frozen at some time between from
// and to.
func (e *soakEdge) disturbedWithin(from, to time.Time) bool {
	for _, d := range e.disturbed {
		if d.from.Before(to) && d.to.After(from) {
			return true
		}
	}
	return false
}

// answeredBy reports whether an outcome is the complete answer of an endpoint.
func (o *outcome) answeredBy(endpoint string) bool {
	_, by, _ := strings.Cut(o.body, " by "+endpoint)
	return o.complete && strings.IndexAny(by, "\r\n") == 0
}

// checkDepartures checks that an edge that has relayed an answer of a leaving endpoint sends the
// endpoint no new requests after the bound.
func (s *soak) checkDepartures() {
	for id, at := range s.leavingSince {
		leavingSeen := map[*soakEdge]time.Time{}
		for _, o := range s.outcomes {
			if t, ok := leavingSeen[o.edge]; o.answeredBy(id) && o.from.After(at) && (!ok || o.to.Before(t)) {
				leavingSeen[o.edge] = o.to
			}
		}
		for _, o := range s.outcomes {
			t, ok := leavingSeen[o.edge]
			late := ok && o.answeredBy(id) && o.from.Sub(t) > soakDrainBound && !o.edge.disturbedWithin(t, o.from)
			s.c.Check(late, qt.IsFalse, qt.Commentf("request %s sent at %s reached %s, whose answer at %s reported that it is leaving",
				o.id, o.from.Format("05.000"), id, t.Format("05.000")))
		}
	}
}

// checkLimits checks that the edges together keep to endpoints' limits. Requests of edges that
// were down or frozen since the limit's start don't count.
func (s *soak) checkLimits() {
	edges := map[string]*soakEdge{}
	for _, o := range s.outcomes {
		edges[o.id] = o.edge
	}
	for _, l := range s.limited {
		var at []time.Time
		for _, a := range s.site.Endpoints[l.endpoint].Arrivals() {
			e := edges[a.ID]
			if e != nil && a.At.Sub(l.from) > soakLimitSettleTime && a.At.Before(l.to) && !e.disturbedWithin(l.from, a.At) {
				at = append(at, a.At)
			}
		}
		allowed := int(soakLimitExcess*l.perSecond*soakLimitWindow.Seconds()) + soakLimitSlack
		for i := range at {
			n := 0
			for _, a := range at[i:] {
				if a.Sub(at[i]) < soakLimitWindow {
					n++
				}
			}
			s.c.Check(n <= allowed, qt.IsTrue, qt.Commentf("%s got %d requests from %s on, %d allowed by its limit of %g from %s to %s",
				l.endpoint, n, at[i].Format("05.000"), allowed, l.perSecond, l.from.Format("05.000"), l.to.Format("05.000")))
		}
	}
}
