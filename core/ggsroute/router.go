// Package ggsroute chooses the dispatcher for each request. Its inputs are the
// dispatchers' summaries, which lag, and the requests that the gateway itself has
// sent and that the summaries don't show yet.
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
// A pool is a dispatcher's endpoints of one service. A request with an adapter is sent to a pool
// where the adapter is resident and a batch slot is free. If there is none, it is sent to a pool
// where the adapter is loading, else to the adapter's home. The home is chosen by rendezvous
// hashing over the region's runners. Hashing over runners, and not over dispatchers, weights
// pools by their size, and an adapter keeps its home when another VM takes the runners over. A
// home whose load exceeds a bound is skipped, and the pool with the next highest hash is used
// instead.
//
// The package has no clock, goroutine or lock of its own, and a Router or Board
// must not be used concurrently. The same seed and sequence of calls always give
// the same choices.
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

// seedStream separates the router's random numbers from those of other uses of the
// same seed.
const seedStream = 0x726f757465

// Options configure a router for one gateway.
type Options struct {
	Region ggscore.Region
	Seed   uint64
	// MaxAge is how long a dispatcher receives requests after its last summary.
	// Zero means DefaultMaxAge.
	MaxAge time.Duration
	// Hold is the initial estimate of how long a request holds a slot. Zero
	// means DefaultHold.
	Hold time.Duration
}

// A Router chooses dispatchers.
type Router struct {
	options  Options
	policy   ggscore.PolicySpec
	gateways int
	// regions is the number of regions with dispatchers, including this region.
	regions     int
	rng         *rand.Rand
	dispatchers map[ggscore.VMID]*dispatcher
	services    map[ggscore.Service]*service
	boards      map[string]*boardState
	rates       *rateTable
	crossRegion tokenBucket
	// answerBytes is the mean size of an answer, in bytes.
	answerBytes float64
}

// A service is the router's state of one service.
type service struct {
	name     ggscore.Service
	local    []*pool
	remote   []*pool
	adapters map[uint64]*adapter
	// hold is the mean time that a request holds a slot.
	hold time.Duration
	// loading is the number of loads in progress in all pools.
	loading int
}

// New returns a router without dispatchers.
func New(o Options) *Router {
	o.MaxAge = cmp.Or(o.MaxAge, DefaultMaxAge)
	o.Hold = cmp.Or(o.Hold, DefaultHold)
	return &Router{
		options:     o,
		gateways:    1,
		regions:     1,
		rng:         rand.New(rand.NewPCG(o.Seed, seedStream)),
		dispatchers: map[ggscore.VMID]*dispatcher{},
		services:    map[ggscore.Service]*service{},
		boards:      map[string]*boardState{},
		rates:       newRateTable(),

		answerBytes: firstAnswerBytes,
	}
}

// SetGateways sets the number of live gateways. The router multiplies its own request rates by
// this number to estimate the deployment's rates, and its limit of cross-region bytes is the
// deployment's divided by this number.
func (r *Router) SetGateways(n int) {
	r.gateways = max(n, 1)
	r.setCrossRegionRate()
}

// SetPolicy sets the policy of the document.
func (r *Router) SetPolicy(now time.Time, p ggscore.PolicySpec) {
	r.policy = p
	r.crossRegion.refill(now)
	r.setCrossRegionRate()
}

// setCrossRegionRate sets the bytes per second that the router may send between regions: an
// equal part of the deployment's limit for each gateway.
func (r *Router) setCrossRegionRate() {
	r.crossRegion.setRate(r.policy.CrossRegionBytesPerSecond / float64(r.gateways))
}

// serviceOf returns the state of a service and creates it if there is none.
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

// CrossRegionBytes returns the number of bytes sent to and received from other
// regions.
func (r *Router) CrossRegionBytes() int64 { return r.crossRegion.total }
