package ggsroute

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
)

const (
	// loadFactor times the mean load per slot of the region's pools is the load per slot below
	// which a pool is chosen as a home.
	loadFactor = 1.25
	// minBoundPerSlot is the lowest value of that bound, in requests per slot. Without it, the
	// bound of an idle deployment would be almost zero and adapters would leave their homes.
	minBoundPerSlot = 0.75
	// replicaDiscount multiplies the predicted stall of a load if the adapter's rate needs
	// another replica, so that the load is chosen more readily.
	replicaDiscount = 0.5
	// maxReplicas is the highest number of homes of one adapter.
	maxReplicas = 16
	// retryAfter is the delay sent to callers while no dispatcher is usable.
	retryAfter = time.Second
	// firstAnswerBytes is the assumed size of an answer before any has ended.
	// answerSmoothing is the weight of a new sample in the mean size.
	firstAnswerBytes = 8 << 10
	answerSmoothing  = 0.05
)

// A Reason is the reason why a dispatcher was chosen.
type Reason string

// The reasons for a choice.
const (
	ReasonResident    Reason = "resident"
	ReasonLoading     Reason = "loading"
	ReasonHome        Reason = "home"
	ReasonLeastLoaded Reason = "leastLoad"
)

// A Choice is the dispatcher that a request is sent to.
type Choice struct {
	VM     ggscore.VMID
	Region ggscore.Region
	// Wait is the predicted time until the request runs. Stall is the part of
	// Wait in which the request waits for its adapter.
	Wait  time.Duration
	Stall time.Duration
	// CrossRegion is set if the dispatcher is in another region.
	CrossRegion bool
	Reason      Reason

	pool *pool
	hash uint64
	// body and answer are the bytes that Sent takes from the cross-region budget.
	body   int
	answer int
}

// An End describes how a sent request ended.
type End struct {
	// Held is how long the request was in flight, or zero if unknown.
	Held time.Duration
	// Stall is the part of Held in which the request waited for a slot and its
	// adapter.
	Stall time.Duration
	// AnswerBytes is the size of the answer.
	AnswerBytes int
}

// A candidate is a pool with its predicted cost.
type candidate struct {
	pool   *pool
	score  uint64
	wait   time.Duration
	stall  time.Duration
	reason Reason
}

// cost returns the predicted time until the request runs.
func (c candidate) cost() time.Duration { return c.wait + c.stall }

// better reports whether c is preferred to d: by lower cost, then by lower
// utilization, then by higher score.
func (c candidate) better(d candidate) bool {
	if c.pool == nil || d.pool == nil {
		return c.pool != nil
	}
	if c.cost() != d.cost() {
		return c.cost() < d.cost()
	}
	if c.pool.utilization() != d.pool.utilization() {
		return c.pool.utilization() < d.pool.utilization()
	}
	return c.score > d.score
}

// A query holds the state of one call of Route.
type query struct {
	now       time.Time
	service   *service
	hash      uint64
	adapter   *adapter
	exclude   []ggscore.VMID
	replicas  int
	noAdapter bool
}

// allows reports whether the pool may receive the request.
func (q *query) allows(p *pool) bool {
	return p.usable(q.now) && (len(q.exclude) == 0 || !slices.Contains(q.exclude, p.dispatcher.vm))
}

// Ended removes the request from the counts of requests in flight, and updates the mean times
// and sizes with its End.
func (r *Router) Ended(now time.Time, c Choice, e End) {
	p := c.pool
	p.inFlight = max(p.inFlight-1, 0)
	if p.reported+p.unreported > 0 {
		p.unreported--
	}
	if h := p.holderOf(c.hash); h != nil && h.load+h.unreported > 0 {
		h.unreported--
	}
	if held := e.Held - e.Stall; held > 0 {
		p.service.hold += time.Duration(holdSmoothing * float64(held-p.service.hold))
	}
	p.recordStall(now, &c, e.Stall)
	r.answerBytes += answerSmoothing * (float64(e.AnswerBytes) - r.answerBytes)
	if c.CrossRegion {
		r.crossRegion.consume(now, e.AnswerBytes-c.answer)
	}
}

// Route chooses the dispatcher for a request. It skips the excluded dispatchers,
// which are those that the request was sent to before. A failure is a
// *NoDispatcherError.
func (r *Router) Route(now time.Time, req *ggscore.Request, exclude []ggscore.VMID) (Choice, error) {
	s, ok := r.services[req.Service]
	if !ok {
		return Choice{}, &NoDispatcherError{Service: req.Service, Cause: CauseNone, RetryAfter: retryAfter}
	}
	q := query{now: now, service: s, exclude: exclude, replicas: 1}
	q.noAdapter = req.Adapter.IsZero()
	if !q.noAdapter {
		q.hash = hashRef(req.Adapter)
		q.adapter = s.adapters[q.hash]
		q.replicas = r.wantedReplicas(&q)
	}
	best := r.best(&q, true)
	answer := int(r.answerBytes)
	bytes := len(req.Body) + answer
	crosses := r.chooseRegion(&q, &best, bytes)
	if best.pool == nil {
		return Choice{}, r.refusal(&q, bytes)
	}
	return Choice{
		VM:          best.pool.dispatcher.vm,
		Region:      best.pool.dispatcher.region,
		Wait:        best.cost(),
		Stall:       best.stall,
		CrossRegion: crosses,
		Reason:      best.reason,
		pool:        best.pool,
		hash:        q.hash,
		body:        len(req.Body),
		answer:      answer,
	}, nil
}

// Sent records that a request was sent to the chosen dispatcher. If that is in another region,
// Sent takes the request's bytes from the cross-region budget.
func (r *Router) Sent(now time.Time, c Choice) {
	p := c.pool
	p.inFlight++
	p.unreported++
	if c.CrossRegion {
		r.crossRegion.consume(now, c.body+c.answer)
	}
	if c.hash == 0 {
		return
	}
	r.rates.record(now, c.hash)
	if h := p.holderOf(c.hash); h != nil {
		h.unreported++
		return
	}
	r.recordPresumedLoad(now, p, c.hash)
}

// recordPresumedLoad records the load that a request must cause at its pool.
// Without the record, the next request for the adapter could be sent to another
// pool and load the adapter again, until a summary shows the first load.
func (r *Router) recordPresumedLoad(now time.Time, p *pool, hash uint64) {
	h := p.ensureHolder(hash)
	h.generation = 0
	h.unreported = 1
	p.loading++
	p.service.loading++
	h.presumedUntil = now.Add(r.options.MaxAge + r.loadStall(now, p))
}

// best returns the best candidate inside the region, or outside it if local is
// false.
func (r *Router) best(q *query, local bool) candidate {
	if q.noAdapter {
		return r.leastLoaded(q, local)
	}
	c := r.bestHolder(q, local)
	if c.pool != nil && c.cost() == 0 {
		return c
	}
	h := r.bestHome(q, local)
	if q.adapter != nil && c.pool != nil && len(q.adapter.holders) < q.replicas {
		h.stall = time.Duration(replicaDiscount * float64(h.stall))
	}
	if h.better(c) {
		return h
	}
	return c
}

// refusal returns the error for a request without a candidate.
func (r *Router) refusal(q *query, bytes int) error {
	e := &NoDispatcherError{Service: q.service.name, Cause: CauseUnavailable, RetryAfter: retryAfter}
	for _, p := range q.service.local {
		if p.usable(q.now) {
			e.Cause = CauseExcluded
		}
	}
	for _, p := range q.service.remote {
		if !q.allows(p) {
			continue
		}
		if wait := r.crossRegion.waitFor(bytes); wait > 0 {
			e.Cause = CauseCrossRegionLimit
			e.RetryAfter = wait
		}
	}
	return e
}
