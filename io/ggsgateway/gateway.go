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
	"greengageslip/core/ggsgrace"
	"greengageslip/core/ggslimit"
	"greengageslip/core/ggsretry"
	"greengageslip/core/ggsroute"
	"greengageslip/io/ggsstop"
)

// Defaults of Options.
const (
	defaultMaxInFlight     = 4096
	defaultMaxAttempts     = 3
	defaultSubmitTimeout   = 2 * time.Second
	defaultResumeTimeout   = 5 * time.Second
	defaultHandoverTimeout = 3 * time.Second
)

// Options sets a Gateway's limits. Zero values mean the defaults.
type Options struct {
	VM     ggscore.VMID
	Region ggscore.Region
	Seed   uint64
	// Seeds are the addresses of dispatchers whose summaries are polled as long as
	// the list of dispatchers is empty.
	Seeds []netip.AddrPort
	// DefaultService is the service of requests that name none.
	DefaultService ggscore.Service
	// MaxInFlight bounds the requests in progress.
	MaxInFlight int
	// MaxAttempts bounds the attempts of one request. Attempts that fail because of
	// an ownership handover don't count.
	MaxAttempts int
	// SubmitTimeout bounds one submission of a request to a dispatcher.
	SubmitTimeout time.Duration
	// ResumeTimeout bounds the time in which the gateway tries to resume an answer
	// after calls to its dispatcher fail.
	ResumeTimeout time.Duration
	// HandoverTimeout bounds how long a request waits for the next owner of runners
	// whose dispatcher stopped.
	HandoverTimeout time.Duration
}

// A Caller calls other processes.
type Caller interface {
	Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error
}

// Parts are a Gateway's dependencies. Document returns nil until a document is known.
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

// A Gateway serves callers. Its methods are safe for concurrent use.
type Gateway struct {
	options  Options
	parts    Parts
	stats    Stats
	stop     *ggsstop.Stop
	inFlight atomic.Int64
	// withdrawals counts the withdrawals in flight, which may outlive their requests.
	withdrawals sync.WaitGroup

	mu          sync.Mutex
	router      *ggsroute.Router
	limiter     *ggslimit.Limiter
	retries     *ggsretry.Policy
	breakers    *ggsretry.Breakers[ggscore.VMID]
	revision    ggscore.Revision
	markets     map[ggscore.Market]ggscore.MarketSpec
	dispatchers map[ggscore.VMID]dispatcher
	// routedAt is the time at which a request to the service was last routed.
	routedAt map[ggscore.Service]time.Time
	listed   []ggscore.VM
	changed  chan struct{}
}

// A dispatcher is the address and latest summary of a dispatcher.
type dispatcher struct {
	addr    netip.AddrPort
	summary ggscore.DispatcherSummary
}

// New returns a Gateway whose only known dispatchers are the seeds.
func New(o Options, p Parts) *Gateway {
	o.MaxInFlight = cmp.Or(o.MaxInFlight, defaultMaxInFlight)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, defaultMaxAttempts)
	o.SubmitTimeout = cmp.Or(o.SubmitTimeout, defaultSubmitTimeout)
	o.ResumeTimeout = cmp.Or(o.ResumeTimeout, defaultResumeTimeout)
	o.HandoverTimeout = cmp.Or(o.HandoverTimeout, defaultHandoverTimeout)
	return &Gateway{
		options:     o,
		parts:       p,
		stop:        ggsstop.New(p.Clock),
		router:      ggsroute.New(ggsroute.Options{Region: o.Region, Seed: o.Seed}),
		limiter:     ggslimit.New(ggslimit.Options{MaxInFlight: o.MaxInFlight}),
		retries:     ggsretry.NewPolicy(ggsretry.Options{Seed: o.Seed, MaxAttempts: o.MaxAttempts}),
		breakers:    ggsretry.NewBreakers[ggscore.VMID](ggsretry.BreakerOptions{Seed: o.Seed}),
		dispatchers: make(map[ggscore.VMID]dispatcher),
		routedAt:    make(map[ggscore.Service]time.Time),
		changed:     make(chan struct{}, 1),
	}
}

// Drain begins a planned stop: new requests are refused from now on, those whose body still arrives once they may not end before
// the end, and all others are ended then. It returns when the context ends.
func (g *Gateway) Drain(ctx context.Context, times ggsgrace.Schedule) {
	g.stop.Drain(times)
	g.stop.Run(ctx)
}

// Cut returns the number of requests that a planned stop has ended although they had been submitted.
func (g *Gateway) Cut() int { return g.stop.Cut() }

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// SetDispatchers replaces the list of entry VMs, which run the dispatchers. The length
// of the list is also taken as the number of gateways that share the limits.
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

// applyDocument sets the limits and the policy of a document unless a document with
// the same or a higher revision was applied before. The caller holds g.mu.
func (g *Gateway) applyDocument(now time.Time, d *ggscore.Document) {
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
