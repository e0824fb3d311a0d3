package ggsgateway

import (
	"cmp"
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	ggscore "greengageslip/core"
	"greengageslip/core/ggslimit"
	"greengageslip/core/ggsretry"
	"greengageslip/core/ggsroute"
)

// Defaults of Options.
const (
	defaultMaxInFlight   = 4096
	defaultMaxAttempts   = 3
	defaultSubmitTimeout = 2 * time.Second
	defaultResumeTimeout = 5 * time.Second
	defaultHandOver      = 3 * time.Second
)

// Options sets a Gateway's limits. Zero values mean the defaults.
type Options struct {
	VM     ggscore.VMID
	Region ggscore.Region
	Seed   uint64
	// Seeds are dispatchers that are asked for their summaries even before
	// the platform's list is known.
	Seeds []netip.AddrPort
	// DefaultService is meant where a request names no service.
	DefaultService ggscore.Service
	// MaxInFlight bounds the requests in progress.
	MaxInFlight int
	// MaxAttempts bounds the dispatchers that one request is offered to.
	MaxAttempts int
	// SubmitTimeout bounds the handing over of a request.
	SubmitTimeout time.Duration
	// ResumeTimeout is how long a broken relay tries to go on.
	ResumeTimeout time.Duration
	// HandOverTimeout is how long a request waits for the next owner of the
	// runners whose dispatcher stopped.
	HandOverTimeout time.Duration
}

// A Caller calls other processes.
type Caller interface {
	Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error
}

// Parts are what a Gateway works with.
type Parts struct {
	Document func() *ggscore.Document
	Caller   Caller
	Clock    func() time.Time
	Log      log.Logger
}

// Stats are a Gateway's counters.
type Stats struct {
	Requests, Done, NotRun, Unknown, Retries, Resumed atomic.Int64
}

// A Gateway serves callers.
type Gateway struct {
	options  Options
	parts    Parts
	stats    Stats
	draining atomic.Bool
	inFlight atomic.Int64
	// closing counts the withdrawals that outlive their requests.
	closing sync.WaitGroup

	mu       sync.Mutex
	router   *ggsroute.Router
	limiter  *ggslimit.Limiter
	retries  *ggsretry.Policy
	breakers *ggsretry.Breakers[ggscore.VMID]
	revision ggscore.Revision
	markets  map[ggscore.Market]ggscore.MarketSpec
	peers    map[ggscore.VMID]peer
	// routed is when a request of a service found a dispatcher last.
	routed  map[ggscore.Service]time.Time
	listed  []ggscore.VM
	changed chan struct{}
}

// A peer is a dispatcher that answers.
type peer struct {
	addr    netip.AddrPort
	summary ggscore.DispatcherSummary
}

// New returns a Gateway that knows its seeds only.
func New(o Options, p Parts) *Gateway {
	o.MaxInFlight = cmp.Or(o.MaxInFlight, defaultMaxInFlight)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, defaultMaxAttempts)
	o.SubmitTimeout = cmp.Or(o.SubmitTimeout, defaultSubmitTimeout)
	o.ResumeTimeout = cmp.Or(o.ResumeTimeout, defaultResumeTimeout)
	o.HandOverTimeout = cmp.Or(o.HandOverTimeout, defaultHandOver)
	return &Gateway{
		options:  o,
		parts:    p,
		router:   ggsroute.New(ggsroute.Options{Region: o.Region, Seed: o.Seed}),
		limiter:  ggslimit.New(ggslimit.Options{MaxInFlight: o.MaxInFlight}),
		retries:  ggsretry.NewPolicy(ggsretry.Options{Seed: o.Seed, MaxAttempts: o.MaxAttempts}),
		breakers: ggsretry.NewBreakers[ggscore.VMID](ggsretry.BreakerOptions{Seed: o.Seed}),
		peers:    make(map[ggscore.VMID]peer),
		routed:   make(map[ggscore.Service]time.Time),
		changed:  make(chan struct{}, 1),
	}
}

// Drain refuses new requests from now on.
func (g *Gateway) Drain() { g.draining.Store(true) }

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// SetDispatchers takes the entry VMs on the platform's list.
func (g *Gateway) SetDispatchers(vms []ggscore.VM) {
	g.mu.Lock()
	g.listed = append([]ggscore.VM(nil), vms...)
	for i := range vms {
		if vms[i].State == ggscore.VMLeaving {
			g.router.MarkLeaving(vms[i].ID)
		}
	}
	g.limiter.SetGateways(len(vms))
	g.router.SetGateways(len(vms))
	g.mu.Unlock()
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// Stats returns the counters.
func (g *Gateway) Stats() *Stats { return &g.stats }

// adopt brings limits and policy up to the document in force. It needs g.mu.
func (g *Gateway) adopt(now time.Time, d *ggscore.Document) {
	if d.Revision <= g.revision {
		return
	}
	g.revision = d.Revision
	for name := range g.markets {
		if _, still := d.Markets[name]; !still {
			g.limiter.RemoveMarket(name)
		}
	}
	g.markets = d.Markets
	for name, m := range d.Markets {
		g.limiter.SetMarket(name, ggslimit.LimitOf(m))
	}
	g.retries.RetainMarkets(d.Markets)
	g.router.SetPolicy(now, d.Policy)
}
