package ggsplace

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

const (
	// replicaRate is the requests a second for which an adapter gets one more
	// home. A runner reads the prompts of 45 a second; the busiest adapter alone
	// draws up to 80, and should share its runners with others.
	replicaRate = 6.0
	// regionRate is the requests a second from which an adapter has a home in
	// each region: a copy costs as much as 12 answers that cross, and stays for
	// some seconds at least.
	regionRate = 2.5
	// maxHomes bounds an adapter's homes: one for each of a deployment's
	// runners at today's size.
	maxHomes = 12
	// maxWaiting is the number of adapters waiting to be loaded at which an
	// endpoint is asked for no more: two rounds of four.
	maxWaiting = 8
)

// homes returns the endpoints that an adapter belongs to: one, and more with
// its demand. All VMs rank the endpoints of an adapter alike, so that it is
// fetched no more often than it has homes. Endpoints that get no orders now are
// passed over: the next in rank takes their place for all VMs. The second and third are in other
// regions than the first where they can be, so that a busy adapter's answers
// needn't cross.
func (t *Table) homes(now time.Time, list []*endpoint, q Query, base ggscore.ModelAdapter) []*endpoint {
	if q.Target.Adapter == "" {
		return nil
	}
	rate := t.demand.Recent(now, q.Target)
	if !t.options.Policy.On(ggscore.MechanismCopies) {
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
	// First one of each region, then the others in their order.
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

// A ranking is an endpoint's place among an adapter's homes.
type ranking struct {
	e *endpoint
	// limited says that the endpoint names a rate limit.
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

// regions returns the number of regions.
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

// Asked notes n requests for an adapter, of this VM or of a peer.
func (t *Table) Asked(now time.Time, a ggscore.ModelAdapter, n int) { t.demand.Add(now, a, n) }

// missedElsewhere is the weight of requests for an adapter that another endpoint
// holds too: they find it there, at most a round trip between regions away. Its
// last copy is kept before a second one of an adapter three times as popular.
const missedElsewhere = 0.3

// Missed implements ggscore.AdapterDemand.
func (t *Table) Missed(now time.Time, id ggscore.EndpointID, a ggscore.ModelAdapter) float64 {
	rate := t.demand.Usual(now, a)
	if self := t.endpoints[id]; self != nil {
		for _, e := range t.services[self.Service] {
			if e != self && !e.Leaving && e.holds(now, a, 0) {
				return rate * missedElsewhere
			}
		}
	}
	return rate
}
