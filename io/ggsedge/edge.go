package ggsedge

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsfencing"
	"greengageslip/core/ggspath"
	"greengageslip/core/ggsplace"
	"greengageslip/core/ggsregistry"
	"greengageslip/core/ggsrelay"
	"greengageslip/core/ggsresident"
	"greengageslip/core/ggsretry"
	"greengageslip/core/ggsthrottle"
	"greengageslip/core/ggsturn"
	"greengageslip/io/ggsexchange"
	"greengageslip/io/ggspeer"
	"greengageslip/io/ggsrpc"
)

// An Options sets an Edge.
type Options struct {
	Policy  ggscore.Policy
	VM      ggscore.VMID
	Domain  ggscore.Domain
	Regions map[ggscore.Domain]ggscore.Region
	Seed    uint64
	// Capacity compares VMs by processor and link: the widest of a failure domain pass on
	// heartbeats and give orders.
	Capacity uint64
	// Beats is where this VM hears its peers' beats, Control where they call it.
	Beats   netip.AddrPort
	Control netip.AddrPort
	// Seeds are other VMs to ask while the store is away; they may be gone.
	Seeds []netip.AddrPort
	// Turn is the time between orders of two VMs to one endpoint.
	Turn time.Duration
	// FirstStart says that the deployment starts for the first time.
	FirstStart bool
	// RetryRatio and RetrySlack bound what is sent to a service beyond each
	// request's first, over all VMs.
	RetryRatio float64
	RetrySlack int
	// IDHeader bears the identity of requests and answers.
	IDHeader string
	Keys     Keys
	// MaxActive bounds the requests under way, MaxBodies the memory of their
	// bodies.
	MaxActive int64
	MaxBodies int64
}

// A Keys names what the edge follows in the store.
type Keys struct {
	// Operators is the prefix of the operators' entries, Config the key of the
	// configuration below it.
	Operators ggscore.Key
	Config    ggscore.Key
	// Instances is the prefix of the endpoints' entries.
	Instances ggscore.Key
	// Own is the prefix of the system's own records.
	Own ggscore.Key
}

// A Codec reads the entries of the store.
type Codec interface {
	Config(e ggscore.Entry) (*ggscore.RoutingConfig, error)
	Instance(e ggscore.Entry) (ggscore.Instance, error)
	// Version reads an adapter's version; ok is false for other entries.
	Version(e ggscore.Entry) (v ggscore.AdapterVersion, ok bool, err error)
}

// A Store is what the edge needs of the platform's store.
type Store interface {
	ggscore.Snapshotter
	ggscore.Txner
	ggscore.HistoryWatcher
}

// A Parts holds what an Edge is made of.
type Parts struct {
	Store   Store
	Codec   Codec
	Dialect ggscore.Dialect
	Orderer ggscore.InstanceOrderer
	Pool    *ggsexchange.Pool
	Peers   *ggspeer.Conn
	Calls   *ggsrpc.Pool
	Log     log.Logger
	// Now is the time of decisions. It goes on while the VM is suspended.
	Now func() time.Time
	// Steady is the clock that requests' deadlines go by.
	Steady func() time.Time
}

// An Edge serves callers at one VM.
type Edge struct {
	options Options
	Parts
	stats   Stats
	metrics *metrics
	packer  packer
	epochs  *epochs

	paths    atomic.Pointer[ggspath.Table]
	draining atomic.Bool
	// storeAway says that the last reading of the operators' entries failed.
	storeAway atomic.Bool

	mu       sync.Mutex
	table    *ggsplace.Table
	registry *ggsregistry.Registry
	keeper   *ggsfencing.OwnershipTracker
	turns    *ggsturn.Table
	node     *ggsrelay.Node
	retries  *ggsretry.Policy
	limits   *ggsthrottle.Table
	// versions are those of adapters in force, versionSum their sum.
	versions   map[ggscore.ModelAdapter]uint64
	versionSum uint64
	newer      newerEntries
	workers    map[ggscore.EndpointID]*worker
	// unanswered has the orders that endpoints didn't answer, also those to processes that
	// are gone.
	unansweredOrders map[ggscore.EndpointID]*ggsresident.Unanswered
	peers            map[ggscore.VMID]*member
	uses             map[use]*usage
	loads            map[load]*loading
	listed           bool
	// entries are the store's entries as last read, for VMs that start while
	// the store is away.
	entries map[ggscore.Key][]ggscore.Entry
	// startedAt tells this process from those before, sequence numbers its heartbeats.
	// lastWhole is when all that endpoints hold was sent last, summarized when a relay's
	// summary was adopted last.
	startedAt  int64
	sequence   uint64
	lastWhole  time.Time
	summarized time.Time
	// listedAt and operatedAt are the positions by which the list of endpoints
	// and the operators' entries were seen to change last, listRead and
	// operatorsRead those up to which they were read.
	listedAt      ggscore.StorePosition
	operatedAt    ggscore.StorePosition
	listRead      ggscore.StorePosition
	operatorsRead ggscore.StorePosition
	// resynced is the last epoch in which list, operators' entries and records were read,
	// resyncTook the time until then.
	resynced   ggscore.StoreEpoch
	resyncTook time.Duration
	// operatorsAnnounced is the newest position of the operators' entries that a peer
	// announced, operatorsSynced that before the last full snapshot, and behindSince when
	// this VM first heard of one that it has not read.
	operatorsAnnounced ggscore.StorePosition
	operatorsSynced    ggscore.StorePosition
	behindSince        time.Time
	// operatorsReadTime is when this VM read the operators' entries or its watch of them
	// ended, operatorsObserved when it or a peer did.
	operatorsReadTime time.Time
	operatorsObserved time.Time
	// listAnnounced is the newest position by which a peer saw the list change.
	// listReadTime is when this VM read the list, listObserved when it or a peer did.
	listAnnounced ggscore.StorePosition
	listReadTime  time.Time
	listObserved  time.Time
	// kick wakes the loop that writes beats to the store, with kicked set, listNotified and
	// operatorsNotified those that read what a peer saw change, membersNotified that which
	// reads the VMs' own records.
	kick              chan struct{}
	kicked            atomic.Bool
	listNotified      chan struct{}
	operatorsNotified chan struct{}
	membersNotified   chan struct{}
}

// A Stats counts what an Edge did.
type Stats struct {
	Requests atomic.Int64
	Answered atomic.Int64
	Refused  atomic.Int64
	Failed   atomic.Int64
	Left     atomic.Int64
	Retries  atomic.Int64
	Loads    atomic.Int64
	Orders   atomic.Int64
	Store    atomic.Int64
	Active   atomic.Int64
	// Bodies is the memory of the bodies of requests under way.
	Bodies atomic.Int64
}

// A member is a peer as its entry in the store names it.
type member struct {
	beats  netip.AddrPort
	calls  netip.AddrPort
	domain ggscore.Domain
	region ggscore.Region
	// capacity compares VMs by processor and link.
	capacity uint64
	// heard is when it last sent a beat, or became known.
	heard    time.Time
	started  int64
	sequence uint64
}

// A use is an adapter at an endpoint.
type use struct {
	endpoint ggscore.EndpointID
	target   ggscore.ModelAdapter
}

// A usage is this VM's requests for a use: how many were sent since the last
// beat, and how many are under way.
type usage struct {
	sent   int
	active int
}

// New returns an Edge that knows nothing yet.
func New(o Options, p Parts) *Edge {
	turns := ggsturn.NewTable(ggsturn.Options{VM: o.VM, FirstNumber: o.Seed})
	limits := ggsthrottle.NewTable(o.VM)
	e := &Edge{
		options: o,
		Parts:   p,
		turns:   turns,
		node:    ggsrelay.NewNode(ggsrelay.Options{Self: o.member(), Started: p.Steady().UnixNano()}),
		table: ggsplace.NewTable(ggsplace.Options{
			Domain: o.Domain, Regions: o.Regions, Seed: o.Seed, Turns: turns, Throttle: limits, Policy: o.Policy,
		}),
		keeper:           ggsfencing.NewOwnershipTracker(ggsfencing.Options{Self: o.VM, Domain: o.Domain, MinOrderGap: o.Turn, FirstStart: o.FirstStart}),
		retries:          ggsretry.NewPolicy(retryOptions(o)),
		limits:           limits,
		registry:         ggsregistry.NewRegistry(),
		versions:         map[ggscore.ModelAdapter]uint64{},
		workers:          map[ggscore.EndpointID]*worker{},
		unansweredOrders: map[ggscore.EndpointID]*ggsresident.Unanswered{},
		peers:            map[ggscore.VMID]*member{},
		uses:             map[use]*usage{},
		loads:            map[load]*loading{},
		entries:          map[ggscore.Key][]ggscore.Entry{},
		startedAt:        p.Steady().UnixNano(),
		kick:             make(chan struct{}, 1),

		listNotified:      make(chan struct{}, 1),
		operatorsNotified: make(chan struct{}, 1),
		membersNotified:   make(chan struct{}, 1),
	}
	e.metrics = newMetrics(e)
	e.epochs = newEpochs(p.Log, p.Now, e.epochChanged)
	e.Store = &epochStore{epochs: e.epochs, Store: &meteredStore{Store: p.Store, count: func(call string) {
		e.stats.Store.Add(1)
		e.metrics.storeCalls.WithLabelValues(call).Inc()
	}}}
	return e
}

// member returns this VM's place.
func (o *Options) member() ggsrelay.Member {
	return ggsrelay.Member{VM: o.VM, Domain: o.Domain, Region: o.Regions[o.Domain], Capacity: o.Capacity}
}

// retryShare is the part of the deployment's bound on repeats that this VM
// uses: it sees a share of the requests, and what it doesn't know of, such as
// a peer that comes or goes, must not break the bound.
const retryShare = 0.5

func retryOptions(o Options) ggsretry.Options {
	return ggsretry.Options{
		Seed: o.Seed, Ratio: o.RetryRatio * retryShare, Depth: retryDepth(o, leastVMs),
		MaxAttempts: maxSends, Base: retryBase, MaxWait: retryMaxWait,
	}
}

// leastVMs is the number of VMs that are taken to share the slack before others
// are known: those of a small deployment.
const leastVMs = 9

// retryDepth returns this VM's part of the slack of so many VMs.
func retryDepth(o Options, vms int) float64 {
	return max(float64(o.RetrySlack)*retryShare/float64(max(vms, leastVMs)), 1)
}

// Run follows store and peers and gives orders until the context ends.
func (e *Edge) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.followOperators(ctx) })
	g.Go(func() error { return e.followInstances(ctx) })
	g.Go(func() error { return e.followMembers(ctx) })
	g.Go(func() error { return e.sendHeartbeats(ctx) })
	g.Go(func() error { return e.sendSummaries(ctx) })
	g.Go(func() error {
		return e.Peers.Run(ctx, ggspeer.Handler{Heartbeat: e.receiveHeartbeat, Summary: e.receiveSummary, Notice: e.noticed})
	})
	g.Go(func() error { return e.giveOrders(ctx) })
	g.Go(func() error { return e.askSeeds(ctx) })
	g.Go(func() error { return e.fetchNewer(ctx) })
	return g.Wait()
}

// Ready returns nil while the edge takes new connections.
func (e *Edge) Ready() error {
	if e.draining.Load() {
		return &NotReadyError{Reason: "stopping"}
	}
	if e.paths.Load() == nil {
		return &NotReadyError{Reason: "no configuration yet"}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.listed {
		return &NotReadyError{Reason: "no list of endpoints yet"}
	}
	return nil
}

// since returns the time that has passed since t.
func (e *Edge) since(t time.Time) time.Duration { return e.Steady().Sub(t) }

// Drain makes the edge say that it takes no new connections.
func (e *Edge) Drain() { e.draining.Store(true) }

// Stats returns the counters.
func (e *Edge) Stats() *Stats { return &e.stats }
