// Package ggsroute chooses the dispatcher for each request, from lagging
// summaries and from its own dispatches that they don't show yet.
//
// # Usage
//
//	r := ggsroute.New(ggsroute.Options{Region: "cr-central", Seed: 1})
//	r.SetPolicy(now, document.Policy)
//	r.Update(now, summary) // whenever a dispatcher's summary arrives
//	c, err := r.Route(now, request, tried)
//	if err != nil {
//		// *NoDispatcherError: answer 503 with its RetryAfter, outcome notRun
//	}
//	r.Sent(now, c)
//	// send the request to c.VM and relay the answer, then
//	r.Ended(now, c, ggsroute.End{Held: held, AnswerBytes: n})
//
// A dispatcher with its endpoints of one service is a pool. A request with an
// adapter goes to a pool where the adapter is resident and a batch has room;
// else where it is being loaded; else to its home, which rendezvous hashing
// over the region's runners gives. Hashing over runners, and not over
// dispatchers, weighs pools by their size, and an adapter keeps its home when
// another VM takes the runners over. A pool that is loaded beyond its bound is
// passed over for the next home.
//
// The package holds no clock, no goroutine and no lock; one seed and one
// sequence of calls always give the same choices.
package ggsroute

import (
	"cmp"
	"math/rand/v2"
	"time"

	ggscore "greengageslip/core"
)

// Defaults of Options.
const (
	DefaultMaxAge = 3 * time.Second
	DefaultHold   = 500 * time.Millisecond
)

// seedStream separates the router's random numbers from others of one seed.
const seedStream = 0x726f757465

// An Options describes the gateway that a router works for.
type Options struct {
	Region ggscore.Region
	Seed   uint64
	// MaxAge is how long a dispatcher gets work after its last summary; zero
	// means DefaultMaxAge.
	MaxAge time.Duration
	// Hold is the first guess of how long a request keeps its slot; zero
	// means DefaultHold.
	Hold time.Duration
}

// A Router chooses dispatchers.
type Router struct {
	options  Options
	policy   ggscore.PolicySpec
	gateways int
	// regions is the number of regions with dispatchers, the own among them.
	regions  int
	rng      *rand.Rand
	groups   map[ggscore.VMID]*group
	services map[ggscore.Service]*service
	boards   map[string]*view
	rates    *rateTable
	crossing bucket
	// answerBytes is the mean size of an answer.
	answerBytes float64
}

// A service is what the router knows of one service.
type service struct {
	name     ggscore.Service
	local    []*pool
	remote   []*pool
	adapters map[uint64]*adapter
	// hold is the mean time that a request keeps its slot.
	hold time.Duration
	// loading counts loads in all pools.
	loading int
}

// New returns a router that knows no dispatcher.
func New(o Options) *Router {
	o.MaxAge = cmp.Or(o.MaxAge, DefaultMaxAge)
	o.Hold = cmp.Or(o.Hold, DefaultHold)
	return &Router{
		options:  o,
		gateways: 1,
		regions:  1,
		rng:      rand.New(rand.NewPCG(o.Seed, seedStream)),
		groups:   map[ggscore.VMID]*group{},
		services: map[ggscore.Service]*service{},
		boards:   map[string]*view{},
		rates:    newRateTable(),

		answerBytes: firstAnswerBytes,
	}
}

// SetGateways sets the number of live gateways, by which the router scales its
// own rates up to the deployment's, and of whose bytes across regions each may
// use an equal part.
func (r *Router) SetGateways(n int) {
	r.gateways = max(n, 1)
	r.setCrossing()
}

// SetPolicy sets the document's policy.
func (r *Router) SetPolicy(now time.Time, p ggscore.PolicySpec) {
	r.policy = p
	r.crossing.fill(now)
	r.setCrossing()
}

// setCrossing gives the router its part of the bytes that may cross.
func (r *Router) setCrossing() {
	r.crossing.setRate(r.policy.CrossRegionBytesPerSecond / float64(r.gateways))
}

// serviceOf returns the state of a service, new where there was none.
func (r *Router) serviceOf(name ggscore.Service) *service {
	s, ok := r.services[name]
	if !ok {
		s = &service{
			name:     name,
			adapters: map[uint64]*adapter{},
			hold:     r.options.Hold,
		}
		r.services[name] = s
	}
	return s
}

// CrossRegionBytes returns the bytes that were sent to and from other regions.
func (r *Router) CrossRegionBytes() int64 { return r.crossing.total }
