package ggsthrottle

import (
	"time"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

const (
	// refusalShare is the share of an endpoint's tolerated refusals that a limit aims at. The
	// requests of a second vary around their mean.
	refusalShare = 0.25
	// quotaWindow is the time over which unused requests accumulate. After an idle time, all VMs
	// may send theirs at once.
	quotaWindow = 200 * time.Millisecond
	// heldTokens is the number of unused requests, over all interchangeable endpoints of a service,
	// that a VM holds on average before they expire.
	heldTokens = 4
	// searchSteps bounds the search for a rate, which halves the interval at each step.
	searchSteps = 20
)

// A serviceQuota bounds the requests that this VM sends at once to all shed-limited endpoints of a
// service. Without it, the unused parts of many endpoints would add up to a burst.
type serviceQuota struct {
	name   ggscore.Service
	bucket bucket
	// endpoints are the quotas that the bucket's rate is the sum of.
	endpoints map[ggscore.EndpointID]*quota
}

func (s *serviceQuota) rate() float64 {
	r := 0.0
	for _, q := range s.endpoints {
		r += q.rate
	}
	return r
}

// A quota is this VM's part of the requests that a shed-limited endpoint gets.
type quota struct {
	service *serviceQuota
	rate    float64
	bucket  bucket
	// expires is set if unused requests expire, because other endpoints can serve them as well. A
	// runner may be the only one with an adapter.
	expires bool
}

// setQuotas sets this VM's quotas of the endpoints of a service whose shed limit has changed.
//
// Each VM limits itself to an equal part of the rate at which an endpoint without a queue refuses a
// share of the requests that it can shed. Unlike a limit that the endpoint announces itself, it leaves
// each VM a part: the endpoint serves most of the usual load, for adapters that it alone holds.
func (t *Table) setQuotas(now time.Time, s ggscore.Service) {
	refusals, took := t.shedLimits[s].refusals, t.serviceTimes[s]
	rates := map[int]float64{}
	for _, i := range t.instances[s] {
		if refusals == nil || took <= 0 || i.Slots <= 0 {
			t.removeQuota(i.ID)
			continue
		}
		if _, ok := rates[i.Slots]; !ok {
			aim := refusalShare * float64(max(*refusals, 1)) * took.Seconds()
			rates[i.Slots] = offeredLoad(i.Slots, aim) / took.Seconds() / float64(len(t.vms))
		}
		t.quota(now, i).rate = rates[i.Slots]
	}
}

// quota returns the quota of a shed-limited endpoint.
func (t *Table) quota(now time.Time, i *ggscore.Instance) *quota {
	if q := t.quotas[i.ID]; q != nil {
		return q
	}
	v := t.serviceQuotas[i.Service]
	if v == nil {
		v = &serviceQuota{name: i.Service, bucket: bucket{at: now}, endpoints: map[ggscore.EndpointID]*quota{}}
		t.serviceQuotas[i.Service] = v
	}
	q := &quota{service: v, bucket: bucket{at: now, tokens: t.initialTokens(i.ID)}, expires: len(i.Models) == 0}
	t.quotas[i.ID], v.endpoints[i.ID] = q, q
	return q
}

// initialTokens spreads the first requests of the VMs, which learn at the same time that an endpoint
// is shed-limited.
func (t *Table) initialTokens(id ggscore.EndpointID) float64 {
	const values = 1 << 16
	return float64(xxhash.Sum64String(string(t.self)+" "+string(id))%values) / values * 2
}

// currentQuota returns the quota of a shed-limited endpoint with its bucket refilled, or nil.
func (t *Table) currentQuota(now time.Time, id ggscore.EndpointID) *quota {
	q := t.quotas[id]
	if q == nil {
		return nil
	}
	if !t.ShedLimited(now, q.service.name) {
		t.removeQuota(id)
		return nil
	}
	q.refill(now)
	q.service.bucket.refill(now, q.service.rate(), quotaWindow)
	return q
}

// refill adds the requests accrued since the last refill. Unused requests of all VMs would add up to
// a burst at one endpoint, so those that may expire do so, in an order that differs between VMs.
func (q *quota) refill(now time.Time) {
	if !q.expires {
		q.bucket.refill(now, q.rate, quotaWindow)
		return
	}
	hold := time.Duration(min(heldTokens/q.service.rate(), shedLimitTTL.Seconds()) * float64(time.Second))
	q.bucket.refillExpiring(now, q.rate, max(hold, quotaWindow))
}

func (t *Table) removeQuota(id ggscore.EndpointID) {
	if q := t.quotas[id]; q != nil {
		delete(q.service.endpoints, id)
		delete(t.quotas, id)
	}
}

// allows reports whether the quota leaves a request.
func (q *quota) allows() bool { return q.bucket.allows() && q.service.bucket.allows() }

func (q *quota) take() {
	q.bucket.take()
	q.service.bucket.take()
}

func (q *quota) wait() time.Duration {
	return max(q.bucket.wait(q.rate), q.service.bucket.wait(q.service.rate()))
}

// offeredLoad returns the load, in slots, of which an endpoint refuses the given load.
func offeredLoad(slots int, refused float64) float64 {
	low, high := 0.0, float64(slots)+refused
	for range searchSteps {
		load := (low + high) / 2
		if load*blocking(load, slots) <= refused {
			low = load
		} else {
			high = load
		}
	}
	return low
}

// blocking returns the fraction of requests that find all slots taken: Erlang's B formula for an
// offered load, in slots.
func blocking(load float64, slots int) float64 {
	b := 1.0
	for n := 1; n <= slots; n++ {
		b = load * b / (float64(n) + load*b)
	}
	return b
}
