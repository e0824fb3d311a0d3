package ggsplace

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// Cost terms of a choice, as expected delay of the request.
const (
	// costInFlight is added for each request in flight at a runner, on top of pending prefill.
	// Each request lengthens every decoding step and takes a slot and memory. With 2 ms, the
	// runners of popular adapters filled up, and the share of late callers rose by 2 to 6
	// percentage points on the days of heaviest load.
	costInFlight = 12 * time.Millisecond
	// costLoad is the time to load an adapter from the weight store.
	costLoad = 250 * time.Millisecond
	// costWarm is the time to load an adapter that the runner still has in its own memory: a
	// tenth of a load from the weight store.
	costWarm = costLoad / 10
	// costNotHome is added for a load at a runner that isn't one of the adapter's homes. That
	// runner can't have the adapter in memory, and the load evicts another adapter. The cost
	// equals the delay of about 30 requests in flight, so the adapter is loaded at a home unless
	// the home has that many more.
	costNotHome = 400 * time.Millisecond
	// costQueuedLoad is added for each adapter that is queued for loading before this one. A
	// runner loads four at once, in 250 ms.
	costQueuedLoad = costLoad / 4
	// costSlotWait is added for each queued adapter for which no adapter slot is free. The 18
	// slots of a busy runner are held by streams of 1.1 s on average, which would free a slot
	// every 61 ms. It takes longer because several streams hold some of the slots.
	costSlotWait = 80 * time.Millisecond
	// costExtraReplica is added for a load of an adapter that already has enough replicas. The
	// load evicts another adapter, whose next request then waits for a load. The cost exceeds
	// that of sending the request to a busier runner in another region.
	costExtraReplica = 200 * time.Millisecond
	// costRegion is added for an endpoint in another region: the round-trip time plus a penalty
	// for the paid traffic, expressed as a delay.
	costRegion = 40 * time.Millisecond
	// costFailure is the delay of a failed request, most of a deadline. It is multiplied by the
	// fraction of requests that fail. An endpoint where a third of the requests fail thus costs
	// more than a load elsewhere. Where all endpoints fail alike, the cost makes no difference.
	costFailure = 3 * time.Second
	// usualFailures is the fraction of requests that may fail at a healthy endpoint. For
	// example, 5% of the requests to a ledger service look up records that don't exist.
	usualFailures = 0.08
	// failurePriorRate, in requests per second, is added to the rate of ended requests, so that
	// a single failure after an idle time has little weight.
	failurePriorRate = 0.5
	// costPlainRequest is the service time of a plain service's request.
	costPlainRequest = 16 * time.Millisecond
	// summedQueueDivisor divides the queueing delay at plain endpoints if peers' counts come as
	// a sum. The age of a sum exceeds the duration of a request. VMs that follow the sums
	// closely all choose the same endpoint until the next summary.
	summedQueueDivisor = 10
	// summedJitter spreads the choices of VMs that read the same summary. It is less than
	// costRegion.
	summedJitter = 20 * time.Millisecond
)

// LoadWait is how long a request waits for an adapter at one endpoint before it is rerouted.
// Callers of streams leave after 2 s or more without a first chunk.
//
// A shorter wait adds loads when the weight store is overloaded: each rerouted request has its
// adapter loaded again elsewhere. At 0.9 s, that was 50% more loads from a store that took more
// than a second per adapter. Adapters became resident only after their callers had gone, and a
// fifth of the callers were refused for as long as the overload lasted.
const LoadWait = 2500 * time.Millisecond

// plainQueueFactor bounds the requests at a plain endpoint, in multiples of its slots. A
// request behind two rounds of work misses most target latencies, and the endpoint sheds
// load soon after.
const plainQueueFactor = 3

// A Query describes a request that needs an endpoint.
type Query struct {
	Service ggscore.Service
	// Engine is nil for plain services.
	Engine *ggscore.EngineSpec
	Target ggscore.ModelAdapter
	// Version is the required version of the adapter, zero for any.
	Version uint64
	// Software is the required version of the endpoint's software, empty for any.
	Software ggscore.SoftwareVersion
	// PromptTokens is the size of the prompt, zero if unknown.
	PromptTokens int
	// Tried lists endpoints to exclude.
	Tried []ggscore.EndpointID
}

// A Choice is the endpoint selected for a request. Resident reports whether the endpoint holds
// the model and adapter that the request needs. If not, they have to be loaded first.
type Choice struct {
	Instance ggscore.Instance
	Resident bool
	// InFlight is the known number of requests in flight at the endpoint, from this VM and its
	// peers.
	InFlight int
	// ReportAge is the age of the oldest report that InFlight includes, zero without peers.
	ReportAge time.Duration
	// ShedLimited is set if the endpoint is known to be shed-limited.
	ShedLimited bool
}

// Choose returns the endpoint with the least expected delay for the request, or a
// *RefusedError if no endpoint can take the request.
func (t *Table) Choose(now time.Time, q Query) (Choice, error) {
	list := t.services[q.Service]
	base := ggscore.ModelAdapter{Model: q.Target.Model}
	homes := t.homes(now, list, q, base)
	tolerated := toleratedFailures(now, list)
	candidates, refusal := t.candidates(now, q, base)
	if q.Engine == nil && t.summed() && t.ShedLimited(now, q.Service) {
		candidates = t.sample(candidates)
	}
	holders := 0
	for _, c := range candidates {
		if c.resident {
			holders++
		}
	}
	var best *candidate
	for i := range candidates {
		c := &candidates[i]
		c.cost = t.cost(c.endpoint, q.Engine)
		var load time.Duration
		if !c.resident {
			load = t.loadCost(c.endpoint, &q, slices.Contains(homes, c.endpoint))
			if holders >= max(len(homes), 1) {
				load += costExtraReplica
			}
		}
		c.cost += t.untilPrefilled(now, c.endpoint, &q, load)
		if t.options.Policy.On(ggscore.MechanismFailures) {
			c.cost += time.Duration(max(c.failures(now)-tolerated, 0) * float64(costFailure))
		}
		if best == nil || c.cost < best.cost {
			best = c
		}
	}
	if best == nil {
		return Choice{}, t.refused(now, q, refusal)
	}
	return Choice{
		Instance: best.Instance, Resident: best.resident, InFlight: best.own + best.peers,
		ReportAge: t.reportAge(now), ShedLimited: t.ShedLimited(now, best.Service),
	}, nil
}

// A candidate is an endpoint that can take the request.
type candidate struct {
	*endpoint
	resident bool
	cost     time.Duration
}

// candidates returns the endpoints that can take the request now, and the refusal if there are none.
// Its ready endpoints include those that are full, paused, rate-limited or failing, or that can't load
// the adapter now.
func (t *Table) candidates(now time.Time, q Query, base ggscore.ModelAdapter) ([]candidate, *RefusedError) {
	var excluded []ggscore.EndpointID
	if t.options.Policy.On(ggscore.MechanismBreakers) {
		excluded = t.breakers.Exclude(now, nil)
	}
	var cs []candidate
	r := &RefusedError{}
	for _, e := range t.services[q.Service] {
		if e.Leaving || slices.Contains(q.Tried, e.ID) || q.Software != "" && e.Software != q.Software {
			continue
		}
		if q.Engine != nil && !e.holdsModel(now, base) || t.displaced(e) {
			continue
		}
		r.Ready++
		resident := q.Engine == nil || q.Target.Adapter == "" || e.holds(now, q.Target, q.Version)
		switch {
		case slices.Contains(excluded, e.ID):
			r.Causes.Failing++
		case t.full(now, e, q.Engine):
			r.Causes.Full++
		case e.paused(now):
			r.Causes.Paused++
		case !t.allows(now, e):
			r.Causes.Limited++
		case !resident && !e.loadable:
			r.Causes.Unowned++
		case !resident && e.waiting >= maxWaiting:
			r.Causes.Loading++
		default:
			cs = append(cs, candidate{endpoint: e, resident: resident})
		}
	}
	return cs, r
}

// allows reports whether the endpoint's rate limit lets this VM send a request now.
func (t *Table) allows(now time.Time, e *endpoint) bool {
	return t.options.Throttle == nil || t.options.Throttle.Allows(now, e.ID)
}

// limited reports whether the endpoint has announced a rate limit.
func (t *Table) limited(e *endpoint) bool {
	return t.options.Throttle != nil && t.options.Throttle.Limit(e.ID) != nil
}

// full reports whether the endpoint has reached its limit of requests in flight.
func (t *Table) full(now time.Time, e *endpoint, g *ggscore.EngineSpec) bool {
	return e.load() >= t.capacity(now, e, g) || now.Before(e.saturatedUntil)
}

// cost returns the expected delay at the endpoint without prefill, loads and failures.
func (t *Table) cost(e *endpoint, g *ggscore.EngineSpec) time.Duration {
	n := e.load()
	c := time.Duration(t.rng.Int64N(int64(time.Millisecond)))
	if !e.local && t.options.Policy.On(ggscore.MechanismRegions) {
		c += costRegion
	}
	if g == nil {
		// A request starts at once while a slot is free. Otherwise it waits for the requests
		// queued before it.
		queue := costPlainRequest*time.Duration(n)/time.Duration(e.Slots) + costPlainRequest*time.Duration(max(n+1-e.Slots, 0))
		if t.summed() {
			return c + queue/summedQueueDivisor + time.Duration(t.rng.Int64N(int64(summedJitter)))
		}
		return c + queue
	}
	return c + costInFlight*time.Duration(n)
}

// untilPrefilled returns the delay until the endpoint has prefilled the request's prompt. While
// the adapter is loaded, the endpoint prefills the prompts that are queued before.
func (t *Table) untilPrefilled(now time.Time, e *endpoint, q *Query, load time.Duration) time.Duration {
	if q.Engine == nil || t.options.Turns == nil || !t.options.Policy.On(ggscore.MechanismTurns) {
		return load
	}
	return max(t.options.Turns.Estimate(now, q.Service, e.ID, q.PromptTokens).Ready, load)
}

// Retry-after times for refused callers. Load that fills endpoints comes in bursts of seconds,
// so that a retry can still meet the target latency.
const (
	retryFull      = 300 * time.Millisecond
	retryNoneReady = 600 * time.Millisecond
	retrySpread    = 300 * time.Millisecond
	// retryOwned is added to the time at which an endpoint may have an owner again: until a VM has
	// claimed it and a first adapter is loaded.
	retryOwned = 600 * time.Millisecond
	// retryModelLoad is the time until a runner has loaded a base model that none holds.
	retryModelLoad = 2 * time.Second
)

func (t *Table) refused(now time.Time, q Query, r *RefusedError) error {
	r.RetryAfter = retryNoneReady
	switch {
	case r.Ready > 0:
		r.RetryAfter = max(retryFull, t.untilAccepted(now, q))
	case t.lacksModel(now, q):
		r.RetryAfter = retryModelLoad
	}
	spread := retrySpread
	if 2*r.Causes.Unowned > r.Ready {
		// The other endpoints are pressed by the requests of all VMs until then, and the callers
		// that come back must not arrive at once.
		owned := t.untilOwned(now, q)
		r.RetryAfter, spread = max(r.RetryAfter, owned), max(spread, owned/2)
	}
	r.RetryAfter += time.Duration(t.rng.Int64N(int64(spread)))
	return r
}

// lacksModel reports whether the service has runners, none of which holds the request's base model.
func (t *Table) lacksModel(now time.Time, q Query) bool {
	if q.Engine == nil {
		return false
	}
	runners := 0
	for _, e := range t.services[q.Service] {
		if e.Leaving {
			continue
		}
		if e.holdsModel(now, ggscore.ModelAdapter{Model: q.Target.Model}) {
			return false
		}
		runners++
	}
	return runners > 0
}

// untilOwned returns the time until the first endpoint of the service that has no owner is expected
// to load adapters, zero if that isn't known.
func (t *Table) untilOwned(now time.Time, q Query) time.Duration {
	var first time.Time
	for _, e := range t.services[q.Service] {
		if e.Leaving || e.loadable || !e.loadableFrom.After(now) {
			continue
		}
		if first.IsZero() || e.loadableFrom.Before(first) {
			first = e.loadableFrom
		}
	}
	if first.IsZero() {
		return 0
	}
	return first.Sub(now) + retryOwned
}

// untilAccepted returns the time until the first endpoint of the service accepts a request of
// this VM, given the rate limits and the pauses that endpoints requested.
func (t *Table) untilAccepted(now time.Time, q Query) time.Duration {
	least, found := time.Duration(0), false
	for _, e := range t.services[q.Service] {
		if e.Leaving {
			continue
		}
		w := max(e.pausedUntil.Sub(now), e.saturatedUntil.Sub(now), 0)
		if t.options.Throttle != nil {
			w = max(w, t.options.Throttle.Wait(now, e.ID))
		}
		if !found || w < least {
			least, found = w, true
		}
	}
	return least
}
