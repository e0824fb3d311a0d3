package ggsroute

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
)

const (
	// loadFactor bounds a pool's load: this many times the mean.
	loadFactor = 1.25
	// roomShare of its slots is always within a pool's bound, so that on a
	// quiet deployment adapters stay at home.
	roomShare = 0.75
	// replicaDiscount lowers the price of a load where the adapter's rate
	// asks for one more replica.
	replicaDiscount = 0.5
	// maxReplicas is the number of homes that one adapter may have.
	maxReplicas = 16
	// retryAfter is the wait told to callers while dispatchers are away.
	retryAfter = time.Second
	// firstAnswerBytes is the guess of an answer's size before any ended, and
	// answerGain the weight of a new one in their mean.
	firstAnswerBytes = 8 << 10
	answerGain       = 0.05
)

// A Reason says why a dispatcher was chosen.
type Reason string

// The reasons of choices.
const (
	ReasonResident Reason = "resident"
	ReasonLoading  Reason = "loading"
	ReasonHome     Reason = "home"
	ReasonLoad     Reason = "leastLoad"
)

// A Choice is where to send a request.
type Choice struct {
	VM     ggscore.VMID
	Region ggscore.Region
	// Wait is the predicted time until the request runs; Stall is the part of
	// it that it waits for its adapter.
	Wait  time.Duration
	Stall time.Duration
	// CrossRegion says that the request leaves the region.
	CrossRegion bool
	Reason      Reason

	pool *pool
	hash uint64
	// body and answer are the bytes that Sent reserves for a crossing.
	body   int
	answer int
}

// An End tells how a request that was sent has ended.
type End struct {
	// Held is how long it was in flight, or zero where that isn't known.
	Held time.Duration
	// Stall is the part of it that it waited for a slot and its adapter.
	Stall time.Duration
	// AnswerBytes is the size of the answer.
	AnswerBytes int
}

// A candidate is a pool with its predicted cost.
type candidate struct {
	pool   *pool
	rank   uint64
	wait   time.Duration
	stall  time.Duration
	reason Reason
}

// cost returns the predicted time until the request runs.
func (c candidate) cost() time.Duration { return c.wait + c.stall }

// better reports whether c is to be preferred to d: for its cost, or where that
// is equal for the emptier batches, then for the higher score.
func (c candidate) better(d candidate) bool {
	if c.pool == nil || d.pool == nil {
		return c.pool != nil
	}
	if c.cost() != d.cost() {
		return c.cost() < d.cost()
	}
	if c.pool.fill() != d.pool.fill() {
		return c.pool.fill() < d.pool.fill()
	}
	return c.rank > d.rank
}

// A query is one request on its way through the router.
type query struct {
	now      time.Time
	service  *service
	hash     uint64
	adapter  *adapter
	exclude  []ggscore.VMID
	replicas int
	plain    bool
}

// allows reports whether the pool may get the request.
func (q *query) allows(p *pool) bool {
	return p.usable(q.now) && (len(q.exclude) == 0 || !slices.Contains(q.exclude, p.group.vm))
}

// Ended gives back what Sent counted.
func (r *Router) Ended(now time.Time, c Choice, e End) {
	p := c.pool
	p.own = max(p.own-1, 0)
	if p.reported+p.sent > 0 {
		p.sent--
	}
	if h := p.holderOf(c.hash); h != nil && h.load+h.sent > 0 {
		h.sent--
	}
	if held := e.Held - e.Stall; held > 0 {
		p.service.hold += time.Duration(holdGain * float64(held-p.service.hold))
	}
	p.learnStall(now, &c, e.Stall)
	r.answerBytes += answerGain * (float64(e.AnswerBytes) - r.answerBytes)
	if c.CrossRegion {
		r.crossing.take(now, e.AnswerBytes-c.answer)
	}
}

// Route chooses the dispatcher for a request, apart from the excluded ones,
// which were tried before. A failure is a *NoDispatcherError.
func (r *Router) Route(now time.Time, req *ggscore.Request, exclude []ggscore.VMID) (Choice, error) {
	s, ok := r.services[req.Service]
	if !ok {
		return Choice{}, &NoDispatcherError{Service: req.Service, Cause: CauseNone, RetryAfter: retryAfter}
	}
	q := query{now: now, service: s, exclude: exclude, replicas: 1}
	q.plain = req.Adapter.IsZero()
	if !q.plain {
		q.hash = hashRef(req.Adapter)
		q.adapter = s.adapters[q.hash]
		q.replicas = r.replicasOf(&q)
	}
	best := r.best(&q, true)
	answer := int(r.answerBytes)
	bytes := len(req.Body) + answer
	crosses := r.crosses(&q, &best, bytes)
	if best.pool == nil {
		return Choice{}, r.refusal(&q, bytes)
	}
	return Choice{
		VM:          best.pool.group.vm,
		Region:      best.pool.group.region,
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

// Sent counts a request that goes to the chosen dispatcher.
func (r *Router) Sent(now time.Time, c Choice) {
	p := c.pool
	p.own++
	p.sent++
	if c.CrossRegion {
		r.crossing.take(now, c.body+c.answer)
	}
	if c.hash == 0 {
		return
	}
	r.rates.record(now, c.hash)
	if h := p.holderOf(c.hash); h != nil {
		h.sent++
		return
	}
	r.presume(now, p, c.hash)
}

// presume notes the load that a request must cause at its pool. Until a
// summary shows it, the next request for the adapter would go elsewhere and
// load it again.
func (r *Router) presume(now time.Time, p *pool, hash uint64) {
	h := p.hold(hash)
	h.generation = 0
	h.sent = 1
	p.loading++
	p.service.loading++
	h.presumedUntil = now.Add(r.options.MaxAge + r.loadStall(now, p))
}

// best returns the best candidate inside the region, or outside it.
func (r *Router) best(q *query, local bool) candidate {
	if q.plain {
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

// refusal says why there is no candidate.
func (r *Router) refusal(q *query, bytes int) error {
	e := &NoDispatcherError{Service: q.service.name, Cause: CauseAway, RetryAfter: retryAfter}
	for _, p := range q.service.local {
		if p.usable(q.now) {
			e.Cause = CauseTried
		}
	}
	for _, p := range q.service.remote {
		if !q.allows(p) {
			continue
		}
		if wait := r.crossing.until(bytes); wait > 0 {
			e.Cause = CauseCrossing
			e.RetryAfter = wait
		}
	}
	return e
}
