package ggsplace

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// Costs of a choice, as the delay that a request is expected to meet.
const (
	// costInFlight is the delay for each request in flight at a runner, beside the
	// prompts that it has yet to read: each lengthens every step and takes a slot and
	// memory. At 2 ms popular adapters' runners filled up, and 2 to 6 callers in a
	// hundred more were late on the heaviest days.
	costInFlight = 12 * time.Millisecond
	// costLoad is an adapter's time from the weight store.
	costLoad = 250 * time.Millisecond
	// costWarm is the time of an adapter that the runner held before: it loads from
	// the runner's own memory in a tenth of the time.
	costWarm = costLoad / 10
	// costAway is added for a load at a runner that isn't one of the adapter's
	// homes, where it can't be in the runner's own memory and takes another's
	// place: the delay of 30 requests in flight more.
	costAway = 400 * time.Millisecond
	// costWait is added for each adapter that waits to be loaded before: four
	// are on their way at once, for 250 ms.
	costWait = costLoad / 4
	// costPlace is added for each adapter that waits for a place before: a busy
	// runner's 18 places are held by streams of 1.1 s on average, some by several.
	costPlace = 80 * time.Millisecond
	// costCopy is added for a load of an adapter that enough endpoints hold: it
	// takes the place of another, whose next request has to wait for a load. It is
	// more than the way to another region and what a crowded runner adds.
	costCopy = 200 * time.Millisecond
	// costRegion is a round trip to another region and the price of its bytes.
	costRegion = 40 * time.Millisecond
	// costFailure is the delay of a request that fails, multiplied by the part
	// that does: most of a deadline. It is more than that of a load elsewhere
	// where a third fail, and where all endpoints fail alike it changes nothing.
	costFailure = 3 * time.Second
	// failureUsual is the part that fails at sound endpoints: lookups of what
	// doesn't exist are a twentieth of a ledger's requests.
	failureUsual = 0.08
	// failurePrior is the requests a second that a rate is told by at least, so
	// that one failure after a silence says little.
	failurePrior = 0.5
	// costPlain is the work of a plain service's request.
	costPlain = 16 * time.Millisecond
	// summedDamping divides the queueing delay of plain endpoints that a summary's counts
	// stand for. They are older than requests last: VMs that follow them closely all choose
	// the same endpoint until the next summary.
	summedDamping = 10
	// summedJitter spreads those choices. It is less than costRegion.
	summedJitter = 20 * time.Millisecond
)

// LoadWait is how long a request waits for an adapter at an endpoint before it goes
// elsewhere: callers of streams leave after 2 s or more without a first piece.
//
// A weight store that is asked for more than it carries takes a second and more for an
// adapter. Requests that went elsewhere after 0.9 s had it loaded there too, so the store
// was asked for half as much again, no adapter came in time any more, and those that came
// found no request waiting: for as long as the load lasted, a fifth of the callers were
// refused.
const LoadWait = 2500 * time.Millisecond

// plainQueueFactor bounds the requests at a plain endpoint, in multiples of its
// slots: what waits behind two rounds of work misses most objectives, and the
// endpoint sheds soon after.
const plainQueueFactor = 3

// A Query asks for an endpoint.
type Query struct {
	Service ggscore.Service
	// Engine is nil for plain services.
	Engine *ggscore.EngineSpec
	Target ggscore.ModelAdapter
	// Version is the adapter's version that has to answer, zero for any.
	Version uint64
	// PromptTokens is the size of the prompt, zero where it isn't known.
	PromptTokens int
	// Tried lists endpoints that are not to be chosen again.
	Tried []ggscore.EndpointID
}

// A Choice is an endpoint for a request. Resident says that it holds what the
// request needs; else that has to be loaded first.
type Choice struct {
	Instance ggscore.Instance
	Resident bool
	// InFlight is the number of requests believed to be there.
	InFlight int
}

// Choose returns the endpoint where the request is expected to be answered
// soonest, or a *RefusedError.
func (t *Table) Choose(now time.Time, q Query) (Choice, error) {
	list := t.services[q.Service]
	base := ggscore.ModelAdapter{Model: q.Target.Model}
	homes := t.homes(now, list, q, base)
	sound := soundFailures(now, list)
	candidates, ready := t.candidates(now, q, base)
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
				load += costCopy
			}
		}
		c.cost += t.untilRead(now, c.endpoint, &q, load)
		if t.options.Policy.On(ggscore.MechanismFailures) {
			c.cost += time.Duration(max(c.failures(now)-sound, 0) * float64(costFailure))
		}
		if best == nil || c.cost < best.cost {
			best = c
		}
	}
	if best == nil {
		return Choice{}, t.refused(now, q, ready)
	}
	return Choice{Instance: best.Instance, Resident: best.resident, InFlight: best.own + best.peers}, nil
}

// A candidate is an endpoint that a request may go to.
type candidate struct {
	*endpoint
	resident bool
	cost     time.Duration
}

// candidates returns the endpoints that a request may go to now, and how many
// there would be if none were full, crowded or failing.
func (t *Table) candidates(now time.Time, q Query, base ggscore.ModelAdapter) (cs []candidate, ready int) {
	var excluded []ggscore.EndpointID
	if t.options.Policy.On(ggscore.MechanismBreakers) {
		excluded = t.breakers.Exclude(now, nil)
	}
	for _, e := range t.services[q.Service] {
		if e.Leaving || slices.Contains(q.Tried, e.ID) {
			continue
		}
		if q.Engine != nil && base.Model != "" && !e.holds(now, base, 0) {
			continue
		}
		ready++
		if slices.Contains(excluded, e.ID) || t.full(e, q.Engine) || e.paused(now) || !t.allows(now, e) {
			continue
		}
		resident := q.Engine == nil || q.Target.Adapter == "" || e.holds(now, q.Target, q.Version)
		if resident || e.loadable && e.waiting < maxWaiting {
			cs = append(cs, candidate{endpoint: e, resident: resident})
		}
	}
	return cs, ready
}

// allows reports whether this VM may send to an endpoint by its rate limit.
func (t *Table) allows(now time.Time, e *endpoint) bool {
	return t.options.Throttle == nil || t.options.Throttle.Allows(now, e.ID)
}

// limited reports whether an endpoint names a rate limit.
func (t *Table) limited(e *endpoint) bool {
	return t.options.Throttle != nil && t.options.Throttle.Limit(e.ID) != nil
}

// full reports whether an endpoint has as many requests as it may get.
func (t *Table) full(e *endpoint, g *ggscore.EngineSpec) bool {
	n := e.own + e.peers
	if g == nil {
		return n >= plainQueueFactor*e.Slots
	}
	return n >= e.Slots
}

// cost returns the delay that a request is expected to meet at the endpoint.
func (t *Table) cost(e *endpoint, g *ggscore.EngineSpec) time.Duration {
	n := e.own + e.peers
	c := time.Duration(t.rng.Int64N(int64(time.Millisecond)))
	if !e.local && t.options.Policy.On(ggscore.MechanismRegions) {
		c += costRegion
	}
	if g == nil {
		// Up to its slots a request starts at once; behind them it waits for
		// the work before it.
		queue := costPlain*time.Duration(n)/time.Duration(e.Slots) + costPlain*time.Duration(max(n+1-e.Slots, 0))
		if t.summed() {
			return c + queue/summedDamping + time.Duration(t.rng.Int64N(int64(summedJitter)))
		}
		return c + queue
	}
	return c + costInFlight*time.Duration(n)
}

// untilRead returns the delay until an endpoint has read the prompt of a request
// that waits for a load. The prompts before are read meanwhile.
func (t *Table) untilRead(now time.Time, e *endpoint, q *Query, load time.Duration) time.Duration {
	if q.Engine == nil || t.options.Turns == nil || !t.options.Policy.On(ggscore.MechanismTurns) {
		return load
	}
	return max(t.options.Turns.Expect(now, q.Service, e.ID, q.PromptTokens).Ready, load)
}

// Waits that refused callers are told. The load that fills endpoints comes in
// waves of seconds; a second try within the objective still earns it.
const (
	retryFull   = 300 * time.Millisecond
	retryNone   = 600 * time.Millisecond
	retrySpread = 300 * time.Millisecond
)

func (t *Table) refused(now time.Time, q Query, ready int) error {
	wait := retryNone
	if ready > 0 {
		wait = max(retryFull, t.opensIn(now, q))
	}
	wait += time.Duration(t.rng.Int64N(int64(retrySpread)))
	return &RefusedError{Ready: ready, RetryAfter: wait}
}

// opensIn returns the time until the first endpoint of the service takes a request of this
// VM by its rate limit and by what it asked for when it refused one.
func (t *Table) opensIn(now time.Time, q Query) time.Duration {
	least, found := time.Duration(0), false
	for _, e := range t.services[q.Service] {
		if e.Leaving {
			continue
		}
		w := max(e.pausedUntil.Sub(now), 0)
		if t.options.Throttle != nil {
			w = max(w, t.options.Throttle.Wait(now, e.ID))
		}
		if !found || w < least {
			least, found = w, true
		}
	}
	return least
}
