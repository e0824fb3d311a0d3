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
	"greengageslip/core/ggsassign"
	"greengageslip/core/ggsdefect"
	"greengageslip/core/ggsfencing"
	"greengageslip/core/ggsgrace"
	"greengageslip/core/ggspath"
	"greengageslip/core/ggspermit"
	"greengageslip/core/ggsplace"
	"greengageslip/core/ggsrecency"
	"greengageslip/core/ggsregistry"
	"greengageslip/core/ggsrelay"
	"greengageslip/core/ggsretry"
	"greengageslip/core/ggsthrottle"
	"greengageslip/core/ggsturn"
	"greengageslip/io/ggscrash"
	"greengageslip/io/ggsexchange"
	"greengageslip/io/ggsorigins"
	"greengageslip/io/ggspeer"
	"greengageslip/io/ggsrpc"
	"greengageslip/io/ggsstop"
)

// Options configures an Edge.
type Options struct {
	Policy  ggscore.Policy
	VM      ggscore.VMID
	Domain  ggscore.Domain
	Regions map[ggscore.Domain]ggscore.Region
	Seed    uint64
	// Capacity compares VMs by processor and network link. The VMs of a failure domain with the
	// greatest capacity become relays, and VMs own endpoints in proportion to it.
	Capacity uint64
	// DatagramAddr is the address at which this VM receives datagrams, and ControlAddr the one
	// for calls.
	DatagramAddr netip.AddrPort
	ControlAddr  netip.AddrPort
	// CallersAddr is the address at which this VM serves callers. VMs use the same ports.
	CallersAddr netip.AddrPort
	// Seeds are other VMs to read entries from while the store is unreachable. They may have failed.
	Seeds []netip.AddrPort
	// MinOrderGap is the minimum time between orders of two VMs to one endpoint.
	MinOrderGap time.Duration
	// FirstStart is set if the deployment starts for the first time.
	FirstStart bool
	// RetryRatio and RetrySlack bound the retries to a service, summed over all VMs. RetryRatio
	// is the number of retries per request, and RetrySlack is a number of further retries.
	RetryRatio float64
	RetrySlack int
	// IDHeader is the header with the ID of a request and its answer.
	IDHeader string
	Keys     Keys
}

// Keys holds the prefixes and keys in the store that an Edge uses.
type Keys struct {
	// Operators is the prefix of the operators' entries, and Config is the key of the
	// configuration below that prefix.
	Operators ggscore.Key
	Config    ggscore.Key
	// Instances is the prefix of the endpoints' entries.
	Instances ggscore.Key
	// Own is the prefix of the VMs' own records, which the edges write: each VM's store
	// heartbeat, the endpoints' owners, and the settled epoch.
	Own ggscore.Key
	// Orders is the prefix of the records of unanswered orders. Only an endpoint's next owner reads
	// them, so they aren't below Own.
	Orders ggscore.Key
	// Crashes is the prefix of the VMs' records of endpoints' crashes. Only VMs that start read them.
	Crashes ggscore.Key
	// Software is the key of the register of software versions at which streams can have begun, and Origins the
	// prefix of the VMs' journals of streams. VMs read them for resumed streams of which nobody knows. Without
	// Software, neither is stored.
	Software ggscore.Key
	Origins  ggscore.Key
	// LastConfig is the key of the record of the last configuration that was in force. It is read if the operators' one
	// can't be. Without it, no record is kept.
	LastConfig ggscore.Key
}

// A Codec decodes entries of the store.
type Codec interface {
	// Config decodes a configuration. Parts that can't be read are listed in its Invalid.
	Config(e ggscore.Entry) (*ggscore.RoutingConfig, error)
	// EncodeConfig encodes a configuration as Config decodes it.
	EncodeConfig(c *ggscore.RoutingConfig) ([]byte, error)
	Instance(e ggscore.Entry) (ggscore.Instance, error)
	// Version decodes an adapter's version. ok is false for other entries.
	Version(e ggscore.Entry) (v ggscore.AdapterVersion, ok bool, err error)
}

// A Store is the part of the platform's store that an Edge uses.
type Store interface {
	ggscore.Snapshotter
	ggscore.Txner
	ggscore.HistoryWatcher
}

// Parts holds the dependencies of an Edge.
type Parts struct {
	Store           Store
	Codec           Codec
	Dialect         ggscore.Dialect
	PlacementClient ggscore.PlacementClient
	Pool            *ggsexchange.Pool
	// OrderPool is the pool that PlacementClient uses if it isn't Pool.
	OrderPool *ggsexchange.Pool
	Peers     *ggspeer.Conn
	Calls     *ggsrpc.Pool
	// Paths are the network paths to the endpoints. Without it, they count as working.
	Paths ggscore.Paths
	Log   log.Logger
	// Now is the clock for decisions. It advances while the VM is suspended.
	Now func() time.Time
	// Monotonic is the clock for the deadlines of requests.
	Monotonic func() time.Time
	// TimeOfDay is the clock that VMs compare. It may differ between them.
	TimeOfDay func() time.Time
}

// An Edge serves callers at one VM.
type Edge struct {
	options Options
	Parts
	stats   Stats
	metrics *metrics
	packer  packer
	epochs  *epochState
	// crashes keeps requests that crash endpoints from them.
	crashes *ggscrash.Tracker
	// checks are the endpoints to ask whether their processes live on, and checking those of them, guarded by mu.
	checks   chan ggscore.Instance
	checking map[ggscore.EndpointID]bool
	// origins finds at which software version a resumed stream goes on.
	origins *ggsorigins.Tracker

	paths atomic.Pointer[ggspath.Table]
	stop  *ggsstop.Stop
	// storeUnavailable is set if the last read of the operators' entries failed.
	storeUnavailable atomic.Bool
	// lastConfigWanted is set if this VM can't read the operators' configuration, or parts of it.
	lastConfigWanted   atomic.Bool
	lastConfigNotified chan struct{}

	// configMu is held while a configuration is brought into force.
	configMu sync.Mutex
	// held is the configuration that waits for the record of the last one, nil for none, guarded by configMu.
	held *heldConfig

	mu    sync.Mutex
	table *ggsplace.Table
	// assignments decide which base models runners hold.
	assignments *ggsassign.Table
	registry    *ggsregistry.Registry
	ownership   *ggsfencing.OwnershipTracker
	turns       *ggsturn.Table
	node        *ggsrelay.Node
	retries     *ggsretry.Policy
	limits      *ggsthrottle.Table
	defects     *ggsdefect.Table
	recency     ggsrecency.Tracker
	// issuer issues the permits of endpoints for which this VM is the issuer. holder has this VM's own
	// requests, and asks those that wait for a permit.
	issuer *ggspermit.Issuer
	holder *ggspermit.Holder
	asks   map[ggscore.PermitID]chan ggscore.PermitDecision
	// versions are the adapters' versions in use. versionSum is their sum, which heartbeats
	// carry so that a VM detects peers with newer versions.
	versions   map[ggscore.ModelAdapter]uint64
	versionSum uint64
	// recordsRead is set once the VMs' own records were read from the store.
	recordsRead bool
	newer       newerEntries
	workers     map[ggscore.EndpointID]*worker
	// orderLogs are the orders that endpoints didn't answer, including orders to previous
	// processes of an endpoint.
	orderLogs map[ggscore.EndpointID]*orderLog
	peers     map[ggscore.VMID]*member
	// isolated is whether this VM was isolated at the last change of its paths.
	isolated bool
	uses     map[use]*usage
	loads    map[load]*pendingLoad
	listed   bool
	// entries are the store's entries as last read. VMs that start while the store is
	// unreachable read them from this VM.
	entries map[ggscore.Key][]ggscore.Entry
	// startedAt distinguishes this process from previous ones of the VM. sequence numbers the
	// heartbeats. lastFullHoldings is when all that the owned endpoints hold was last sent.
	// lastSummary is when a relay's summary was last applied.
	startedAt        int64
	sequence         uint64
	lastFullHoldings time.Time
	lastSummary      time.Time
	// listProgress is how far this VM and its peers have read the list of endpoints.
	// operatorsChangedAt is the position of the last observed change of the operators' entries, and
	// operatorsRead the position up to which they were read.
	listProgress       ggsregistry.Progress
	operatorsChangedAt ggscore.StorePosition
	operatorsRead      ggscore.StorePosition
	// resyncedEpoch is the last epoch in which the list, the operators' entries and the VMs' own
	// records were all read. resyncDuration is how long this VM took to read them in that epoch.
	resyncedEpoch  ggscore.StoreEpoch
	resyncDuration time.Duration
	// configSince is when the configuration in force came into force.
	configSince time.Time
	// operatorsAnnounced is the newest position of the operators' entries that a peer
	// announced. operatorsSynced is the newest position announced before the last full snapshot.
	// behindSince is when a peer first announced a position that this VM has not read yet.
	operatorsAnnounced ggscore.StorePosition
	operatorsSynced    ggscore.StorePosition
	behindSince        time.Time
	// operatorsReadTime is when this VM last read the operators' entries, by a snapshot or a
	// completed watch. operatorsObserved is when this VM or a peer last read them.
	operatorsReadTime time.Time
	operatorsObserved time.Time
	// listReadTime is when this VM last read the list. listObserved is when this VM or a peer
	// last read it.
	listReadTime time.Time
	listObserved time.Time
	// storeHeartbeatNotified wakes the loop that writes store heartbeats. The loop writes one at
	// once if storeHeartbeatDue is set. listNotified and operatorsNotified wake the loops that
	// read the list and the operators' entries, after a peer announced a change.
	// membersNotified wakes the loop that reads the VMs' own records.
	storeHeartbeatNotified chan struct{}
	storeHeartbeatDue      atomic.Bool
	listNotified           chan struct{}
	operatorsNotified      chan struct{}
	membersNotified        chan struct{}
}

// Stats holds the counters of an Edge.
type Stats struct {
	Requests    atomic.Int64
	Answered    atomic.Int64
	Refused     atomic.Int64
	Failed      atomic.Int64
	CallersLeft atomic.Int64
	Retries     atomic.Int64
	Loads       atomic.Int64
	Orders      atomic.Int64
	StoreCalls  atomic.Int64
	InFlight    atomic.Int64
}

// A member is a peer as described by its record in the store.
type member struct {
	datagramAddr netip.AddrPort
	controlAddr  netip.AddrPort
	domain       ggscore.Domain
	region       ggscore.Region
	// capacity compares VMs by processor and network link.
	capacity uint64
	// isolated is set while the peer has no path to any endpoint.
	isolated bool
	// lastSeen is when the peer's last heartbeat arrived, when a summary last listed the peer as
	// live, or when the peer became known.
	lastSeen time.Time
	started  int64
	sequence uint64
}

// A use is an adapter at an endpoint, for which requests are counted.
type use struct {
	endpoint ggscore.EndpointID
	target   ggscore.ModelAdapter
}

// A usage counts this VM's requests for a use: those sent since the last heartbeat, and those
// in flight.
type usage struct {
	sent   int
	active int
}

// New returns an Edge that has read no state yet.
func New(o Options, p Parts) *Edge {
	if p.Paths == nil {
		p.Paths = workingPaths{}
	}
	turns := ggsturn.NewTable(ggsturn.Options{VM: o.VM, LastNumber: o.Seed})
	limits := ggsthrottle.NewTable(o.VM)
	e := &Edge{
		options:     o,
		Parts:       p,
		turns:       turns,
		node:        ggsrelay.NewNode(ggsrelay.Options{Self: o.relayMember(), Started: p.Monotonic().UnixNano()}),
		assignments: ggsassign.NewTable(),
		table: ggsplace.NewTable(ggsplace.Options{
			Domain: o.Domain, Regions: o.Regions, Seed: o.Seed, Turns: turns, Throttle: limits, Policy: o.Policy,
		}),
		ownership:              ggsfencing.NewOwnershipTracker(ggsfencing.Options{Self: o.VM, Domain: o.Domain, MinOrderGap: o.MinOrderGap, FirstStart: o.FirstStart}),
		retries:                ggsretry.NewPolicy(retryOptions(o)),
		limits:                 limits,
		defects:                ggsdefect.NewTable(),
		stop:                   ggsstop.New(p.Monotonic),
		holder:                 ggspermit.NewHolder(o.VM, uint64(p.Monotonic().UnixNano())), //nolint:gosec // the clock is after 1970
		asks:                   map[ggscore.PermitID]chan ggscore.PermitDecision{},
		registry:               ggsregistry.NewRegistry(),
		versions:               map[ggscore.ModelAdapter]uint64{},
		workers:                map[ggscore.EndpointID]*worker{},
		orderLogs:              map[ggscore.EndpointID]*orderLog{},
		peers:                  map[ggscore.VMID]*member{},
		uses:                   map[use]*usage{},
		loads:                  map[load]*pendingLoad{},
		entries:                map[ggscore.Key][]ggscore.Entry{},
		startedAt:              p.Monotonic().UnixNano(),
		storeHeartbeatNotified: make(chan struct{}, 1),

		listNotified:       make(chan struct{}, 1),
		operatorsNotified:  make(chan struct{}, 1),
		membersNotified:    make(chan struct{}, 1),
		checks:             make(chan ggscore.Instance, maxChecks),
		checking:           map[ggscore.EndpointID]bool{},
		lastConfigNotified: make(chan struct{}, 1),
	}
	e.issuer = ggspermit.NewIssuer(e.table)
	e.metrics = newMetrics(e)
	e.epochs = newEpochState(p.Log, p.Now, e.epochChanged)
	e.Store = &epochStore{epochs: e.epochs, Store: &meteredStore{Store: p.Store, count: func(call string) {
		e.stats.StoreCalls.Add(1)
		e.metrics.storeCalls.WithLabelValues(call).Inc()
	}}}
	e.crashes = ggscrash.NewTracker(ggscrash.Options{
		VM: o.VM, Prefix: ggscore.KeyOf(string(o.Keys.Own), suspectPart), Crashes: o.Keys.Crashes, TimeOfDay: p.TimeOfDay, Store: e.Store, Reporter: e, Reader: e,
		Epoch: e.epochs.current, RetryPause: e.retryPause, Now: p.Now, Log: p.Log,
	})
	e.origins = ggsorigins.NewTracker(e.originOptions())
	return e
}

// originOptions returns the options of the tracker of streams' origins.
func (e *Edge) originOptions() ggsorigins.Options {
	o := ggsorigins.Options{
		VM: e.options.VM, Peers: e, Register: e.options.Keys.Software, Journals: e.options.Keys.Origins, FirstStart: e.options.FirstStart,
		RetryPause: e.retryPause, TimeOfDay: e.TimeOfDay, ListComplete: e.listComplete, Now: e.Now, Log: e.Log,
	}
	if e.options.Keys.Software != "" {
		o.Store = e.Store
	}
	return o
}

// relayMember returns this VM as a member for ggsrelay.
func (o *Options) relayMember() ggsrelay.Member {
	return ggsrelay.Member{VM: o.VM, Domain: o.Domain, Region: o.Regions[o.Domain], Capacity: o.Capacity}
}

// retryShare is the share of the deployment's bound on retries that this VM uses. A VM serves
// only a part of the requests, and a peer that joins or leaves before the others know of it
// must not exceed the bound.
const retryShare = 0.5

func retryOptions(o Options) ggsretry.Options {
	return ggsretry.Options{
		Seed: o.Seed, Ratio: o.RetryRatio * retryShare, Depth: retryDepth(o, minVMs),
		MaxAttempts: maxSends, Base: retryBase, MaxWait: retryMaxWait,
	}
}

// minVMs is the minimum number of VMs among which the retry slack is divided. A VM that has just
// started knows no others, and would otherwise take retryShare of the slack alone. It is the size
// of a small deployment.
const minVMs = 9

// retryDepth returns this VM's part of the retry slack, given the number of VMs.
func retryDepth(o Options, vms int) float64 {
	return max(float64(o.RetrySlack)*retryShare/float64(max(vms, minVMs)), 1)
}

// Run follows the store and the peers and sends orders until the context ends.
func (e *Edge) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.followOperators(ctx) })
	g.Go(func() error { return e.followInstances(ctx) })
	g.Go(func() error { return e.followMembers(ctx) })
	g.Go(func() error { return e.sendHeartbeats(ctx) })
	g.Go(func() error { return e.sendSummaries(ctx) })
	g.Go(func() error {
		return e.Peers.Run(ctx, ggspeer.Handler{
			Heartbeat: e.receiveHeartbeat, Summary: e.receiveSummary, Notice: e.receiveNotice, Origins: e.origins.Observe,
			Crashes:   e.crashes.Observe,
			PermitAsk: e.receivePermitAsk, PermitDecision: e.receivePermitDecision,
			PermitRelease: e.receivePermitRelease, PermitRenewal: e.receivePermitRenewal,
		})
	})
	g.Go(func() error { return e.maintainOwnership(ctx) })
	g.Go(func() error { return e.querySeeds(ctx) })
	g.Go(func() error { return e.fetchNewer(ctx) })
	g.Go(func() error { return e.maintainLastConfig(ctx) })
	for range checkers {
		g.Go(func() error { return e.checkProcesses(ctx) })
	}
	g.Go(func() error { return e.crashes.Run(ctx) })
	g.Go(func() error { return e.origins.Run(ctx) })
	g.Go(func() error { return e.maintainPermits(ctx) })
	return g.Wait()
}

// Ready returns nil while the edge accepts new connections, else a *NotReadyError.
func (e *Edge) Ready() error {
	if e.stop.Draining() {
		return &NotReadyError{Reason: "stopping"}
	}
	if e.paths.Load() == nil {
		return &NotReadyError{Reason: "no configuration read from the store yet"}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.listed {
		return &NotReadyError{Reason: "list of endpoints not read from the store yet"}
	}
	return nil
}

// since returns the time elapsed since t.
func (e *Edge) since(t time.Time) time.Duration { return e.Monotonic().Sub(t) }

// Drain begins a planned stop: Ready returns an error, callers' connections are closed after their next answer, requests that may
// not end before the end are refused, and all others are ended then. It returns when the context ends.
func (e *Edge) Drain(ctx context.Context, times ggsgrace.Schedule) {
	e.stop.Drain(times)
	e.stop.Run(ctx)
}

// Cut returns the number of requests that a planned stop has ended although they had been sent.
func (e *Edge) Cut() int { return e.stop.Cut() }

// Stats returns the counters.
func (e *Edge) Stats() *Stats { return &e.stats }
