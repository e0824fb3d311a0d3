package ggsplace

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

const (
	// replicaRate is the rate in requests per second for which an adapter gets one more home. It
	// is far below the 45 prompts per second that a runner prefills. The busiest adapter draws
	// up to 80 requests per second, and should leave most of its runners' time to other
	// adapters.
	replicaRate = 6.0
	// regionRate is the rate in requests per second from which an adapter has a home in each
	// region. A load costs as much as 12 answers that cross regions. At this rate a replica
	// saves that many in 5 s, and it usually stays resident for some seconds at least.
	regionRate = 2.5
	// maxHomes bounds an adapter's homes: one for each runner of a 12-runner deployment.
	maxHomes = 12
	// maxWaiting is the number of queued loads at which an endpoint gets no further ones: two
	// rounds of four concurrent loads.
	maxWaiting = 8
)

// homes returns the adapter's home endpoints, whose number grows with its demand. All VMs
// compute the same ranking by rendezvous hashing, so that an adapter is loaded no more often
// than it has homes. Endpoints that get no orders now are skipped, and the next in rank
// replaces them on all VMs. The first homes are in different regions where possible, so that
// answers of a busy adapter needn't cross regions.
func (t *Table) homes(now time.Time, list []*endpoint, q Query, base ggscore.ModelAdapter) []*endpoint {
	if q.Target.Adapter == "" {
		return nil
	}
	rate := t.demand.Recent(now, q.Target)
	if !t.options.Policy.On(ggscore.MechanismReplicas) {
		rate = 0
	}
	n := 1 + min(int(rate/replicaRate), maxHomes-1)
	if rate >= regionRate {
		n = max(n, t.regions())
	}
	name := q.Target.String()
	ranked := make([]ranking, 0, len(list))
	for _, e := range list {
		if !e.Leaving && e.loadable && e.holds(now, base, 0) {
			ranked = append(ranked, ranking{e: e, limited: t.limited(e), rank: xxhash.Sum64String(name + " " + string(e.ID))})
		}
	}
	slices.SortFunc(ranked, ranking.compare)
	homes := make([]*endpoint, 0, n)
	// First the best-ranked endpoint of each region, then the others by rank.
	for i := range ranked {
		if len(homes) < n && !t.sharesRegion(homes, ranked[i].e) {
			homes = append(homes, ranked[i].e)
		}
	}
	for i := range ranked {
		if len(homes) < n && !slices.Contains(homes, ranked[i].e) {
			homes = append(homes, ranked[i].e)
		}
	}
	return homes
}

// A ranking is the position of an endpoint among the possible homes of an adapter.
type ranking struct {
	e *endpoint
	// limited endpoints, which have announced a rate limit, rank after all others.
	limited bool
	rank    uint64
}

func (r ranking) compare(o ranking) int {
	if r.limited != o.limited {
		if r.limited {
			return 1
		}
		return -1
	}
	return cmp.Compare(o.rank, r.rank)
}

func (t *Table) regions() int {
	seen := make(map[ggscore.Region]bool, len(t.options.Regions))
	for _, r := range t.options.Regions {
		seen[r] = true
	}
	return len(seen)
}

func (t *Table) sharesRegion(homes []*endpoint, e *endpoint) bool {
	for _, h := range homes {
		if t.options.Regions[h.Domain] == t.options.Regions[e.Domain] {
			return true
		}
	}
	return false
}

// RecordRequests records n requests for an adapter, from this VM or a peer.
func (t *Table) RecordRequests(now time.Time, a ggscore.ModelAdapter, n int) { t.demand.Add(now, a, n) }

// otherReplicaWeight is the weight of requests for an adapter that is also resident at another
// endpoint. Such requests are routed there, at the cost of at most one round trip between
// regions. An adapter's last replica is therefore kept in preference to one of several replicas
// of an adapter that is up to three times as popular.
const otherReplicaWeight = 0.3

// MissRate implements ggscore.AdapterDemand.
func (t *Table) MissRate(now time.Time, id ggscore.EndpointID, a ggscore.ModelAdapter) float64 {
	rate := t.demand.LongTerm(now, a)
	if self := t.endpoints[id]; self != nil {
		for _, e := range t.services[self.Service] {
			if e != self && !e.Leaving && e.holds(now, a, 0) {
				return rate * otherReplicaWeight
			}
		}
	}
	return rate
}
