// Package ggsplace chooses the endpoint of each request, or refuses the request if no endpoint
// can take it.
//
// Inputs are the endpoints' registry entries, reports of owners (the VMs that send load and
// unload orders to an endpoint), requests in flight and demand reported by peers, and what
// endpoints announce in answers. The output is a Choice or a *RefusedError with a retry-after
// time.
//
// # Usage
//
//	t := ggsplace.NewTable(ggsplace.Options{Domain: domain, Seed: 1})
//	t.SetAdapterSlots(service, adapterSlots)        // adapter slots of each runner
//	change := t.SetInstances(read, instances)       // read from the registry at that time
//	t.SetPeerInFlight(now, vm, inFlight)            // a peer's requests in flight
//	t.RecordDeparture(departure)                    // an answer announced that its endpoint leaves
//	t.Pause(now, endpoint, d)                       // the endpoint requested a pause
//	t.PermitAsked(endpoint)                         // this VM asks for a permit
//	t.PermitDecided(endpoint)                       // the permit was granted or refused
//	t.RecordSaturated(now, endpoint, d)             // it was refused
//	t.SetLoadable(endpoint, true)                   // the endpoint has an owner
//	t.SetLoadableFrom(endpoint, at)                 // when it is expected to have one again
//	t.SetHeld(now, endpoint, held)                  // resident adapters, from the owner
//	t.SetLoadCapacity(endpoint, waiting, freeSlots) // load queue, from the owner
//	t.RecordRequests(now, adapter, n)               // requests seen by any VM
//	c, err := t.Choose(now, q)                      // *RefusedError: answer with its RetryAfter
//	ok := t.Accepts(now, c.Instance.ID)             // checked again just before sending
//	t.Sent(now, c.Instance.ID)
//	t.Ended(now, c.Instance.ID, result)
//
// Endpoints with a rate limit get the requests that Options.Throttle allows, and rank last
// among an adapter's homes.
//
// Each adapter has home endpoints, ranked by rendezvous hashing. All VMs compute the same
// homes from a view that is a fraction of a second old. An adapter that is resident nowhere is
// therefore loaded from the weight store once, and later loads find it in the memory of the
// same endpoint.
//
// A Table isn't safe for concurrent use. It has no clock and no goroutines: the caller passes
// the time.
package ggsplace

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsassign"
	"greengageslip/core/ggspopularity"
	"greengageslip/core/ggsretry"
)

// entryDelay is the time after a change until an endpoint's registry entry shows it. An entry is
// written every 1.2 s.
const entryDelay = 2 * time.Second

// Options configure a Table. Zero fields take their defaults.
type Options struct {
	Domain  ggscore.Domain
	Regions map[ggscore.Domain]ggscore.Region
	Seed    uint64
	// Turns estimates when endpoints prefill a prompt. Without it, only requests in flight
	// count.
	Turns ggscore.TurnEstimator
	// Throttle enforces the rate limits and shed limits of endpoints. Without it, none is enforced.
	Throttle ggscore.EndpointThrottle
	Policy   ggscore.Policy
}

// A Table holds what a VM knows about the endpoints' load and resident adapters, and chooses an
// endpoint for each request.
type Table struct {
	options   Options
	rng       *rand.Rand
	endpoints map[ggscore.EndpointID]*endpoint
	services  map[ggscore.Service][]*endpoint
	// sharing has the endpoints whose entries name the same address as another's.
	sharing      map[netip.AddrPort][]*endpoint
	adapterSlots map[ggscore.Service]int
	peers        map[ggscore.VMID]*peer
	// lastPeerScan is the time of the last scan for expired peer reports.
	lastPeerScan time.Time
	breakers     *ggsretry.Breakers[ggscore.EndpointID]
	demand       *ggspopularity.Demand
	// superseded are the processes of endpoints that newer ones have replaced.
	superseded map[ggscore.EndpointID]superseded
}

type endpoint struct {
	ggscore.Instance
	own   int
	peers int
	// asking is the number of this VM's requests that wait for a permit.
	asking     int
	local      bool
	entry      map[ggscore.ModelAdapter]uint64
	entryRead  time.Time
	reported   map[ggscore.ModelAdapter]uint64
	reportedAt time.Time
	missing    map[ggscore.ModelAdapter]time.Time
	// warm holds the adapters that were last seen at the endpoint, with their versions and
	// times. The endpoint is assumed to have them in its own memory after their eviction.
	warm map[ggscore.ModelAdapter]warmAdapter
	// ended and failed are the recent rates of requests of all VMs that ended and failed.
	// unreported counts this VM's ended and failed requests not yet reported to peers.
	ended      ggspopularity.Recent
	failed     ggspopularity.Recent
	unreported ggscore.InFlight
	// loadable is set if the endpoint has an owner. waiting is the number of adapters queued
	// for loading there.
	loadable bool
	waiting  int
	// loadableFrom is when an endpoint without an owner is expected to have one, zero for unknown.
	loadableFrom time.Time
	// freeSlots is the number of adapters that can be loaded without waiting for an adapter
	// slot.
	freeSlots int
	// leaveAnnounced is set when an answer announced that the endpoint is leaving. Its registry
	// entry can lag behind.
	leaveAnnounced bool
	// pausedUntil is when the endpoint accepts requests of this VM again.
	pausedUntil time.Time
	// saturatedUntil is when the endpoint may have a permit for this VM again.
	saturatedUntil time.Time
	// presence is what answers last showed of the process at the endpoint's address.
	presence presence
}

// load returns the number of requests that are in flight or wait for a permit.
func (e *endpoint) load() int { return e.own + e.peers + e.asking }

var _ ggscore.AdapterDemand = (*Table)(nil)

// NewTable returns an empty table.
func NewTable(o Options) *Table {
	return &Table{
		options:      o,
		rng:          rand.New(rand.NewPCG(o.Seed, 0)),
		endpoints:    map[ggscore.EndpointID]*endpoint{},
		services:     map[ggscore.Service][]*endpoint{},
		adapterSlots: map[ggscore.Service]int{},
		peers:        map[ggscore.VMID]*peer{},
		demand:       ggspopularity.NewDemand(),
		superseded:   map[ggscore.EndpointID]superseded{},
		breakers:     ggsretry.NewBreakers[ggscore.EndpointID](ggsretry.BreakerOptions{Seed: o.Seed, MaxOpen: 4 * time.Second}),
	}
}

// A Change is the difference between two successive lists of registry entries.
type Change struct {
	Removed []ggscore.Instance
	// Restarted lists processes that were replaced by others under their ID.
	Restarted []ggscore.Instance
	// Leaving lists endpoints whose state changed to leaving.
	Leaving []ggscore.Instance
	// Any reports whether endpoints were added, removed or changed state.
	Any bool
}

// SetInstances replaces the endpoints' registry entries by those that were read at the given time.
func (t *Table) SetInstances(read time.Time, list []ggscore.Instance) Change {
	var c Change
	seen := make(map[ggscore.EndpointID]bool, len(list))
	for _, n := range list {
		seen[n.ID] = true
		e := t.endpoints[n.ID]
		if e == nil || !e.StartedAt.Equal(n.StartedAt) || e.Addr != n.Addr || e.Software != n.Software {
			t.recordSuperseded(read, e, n)
			if e != nil && !e.StartedAt.Equal(n.StartedAt) {
				c.Restarted = append(c.Restarted, e.Instance)
			}
			e = &endpoint{missing: map[ggscore.ModelAdapter]time.Time{}, warm: map[ggscore.ModelAdapter]warmAdapter{}}
			t.endpoints[n.ID] = e
			t.breakers.Remove(n.ID)
			e.peers = t.peersInFlight(n.ID)
			c.Any = true
		}
		n.Leaving = n.Leaving || e.leaveAnnounced
		if n.Leaving && !e.Leaving {
			c.Leaving = append(c.Leaving, n)
		}
		c.Any = c.Any || e.Leaving != n.Leaving
		e.Instance = n
		e.local = n.Domain == t.options.Domain || t.options.Regions[n.Domain] == t.options.Regions[t.options.Domain]
		e.entry, e.entryRead = heldOf(n.Models), read
	}
	for id, e := range t.endpoints {
		if !seen[id] {
			c.Removed = append(c.Removed, e.Instance)
			delete(t.endpoints, id)
			t.breakers.Remove(id)
		}
	}
	t.index()
	c.Any = c.Any || len(c.Removed) > 0
	return c
}

func heldOf(ms []ggscore.ResidentModel) map[ggscore.ModelAdapter]uint64 {
	h := map[ggscore.ModelAdapter]uint64{}
	for _, m := range ms {
		h[ggscore.ModelAdapter{Model: m.Name}] = 0
		for _, a := range m.Adapters {
			h[ggscore.ModelAdapter{Model: m.Name, Adapter: a.Adapter}] = a.Version
		}
	}
	return h
}

func (t *Table) index() {
	t.services = map[ggscore.Service][]*endpoint{}
	for _, e := range t.endpoints {
		t.services[e.Service] = append(t.services[e.Service], e)
	}
	for _, l := range t.services {
		slices.SortFunc(l, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	t.indexAddresses()
}

// SetLoadCapacity records the owner's report of the number of adapters queued for loading at an
// endpoint, and of the number that can be loaded without waiting for an adapter slot.
func (t *Table) SetLoadCapacity(id ggscore.EndpointID, waiting, freeSlots int) {
	if e := t.endpoints[id]; e != nil {
		e.waiting, e.freeSlots = waiting, freeSlots
	}
}

// SetHeld records the owner's report of the adapters resident at an endpoint.
func (t *Table) SetHeld(now time.Time, id ggscore.EndpointID, held []ggscore.AdapterVersion) {
	e := t.endpoints[id]
	if e == nil {
		return
	}
	e.reported = make(map[ggscore.ModelAdapter]uint64, len(held))
	for _, h := range held {
		e.reported[h.Target] = h.Version
		t.recordWarm(now, e, h)
		delete(e.missing, h.Target)
	}
	e.reportedAt = now
}

// SetLoadable records whether the endpoint has an owner. Without an owner, no adapter can be
// loaded there.
func (t *Table) SetLoadable(id ggscore.EndpointID, loadable bool) {
	if e := t.endpoints[id]; e != nil {
		e.loadable = loadable
	}
}

// SetLoadableFrom records when an endpoint without an owner is expected to have one, zero for
// unknown.
func (t *Table) SetLoadableFrom(id ggscore.EndpointID, from time.Time) {
	if e := t.endpoints[id]; e != nil {
		e.loadableFrom = from
	}
}

// AddHeld records that an adapter is resident at an endpoint.
func (t *Table) AddHeld(id ggscore.EndpointID, v ggscore.AdapterVersion) {
	e := t.endpoints[id]
	if e == nil {
		return
	}
	delete(e.missing, v.Target)
	if e.reported != nil {
		e.reported[v.Target] = v.Version
	}
	e.entry[v.Target] = v.Version
}

// SetMissing records that an endpoint answered that an adapter isn't resident there.
func (t *Table) SetMissing(now time.Time, id ggscore.EndpointID, a ggscore.ModelAdapter) {
	if e := t.endpoints[id]; e != nil {
		e.missing[a] = now
		delete(e.reported, a)
	}
}

// missingTTL is how long an endpoint's answer that an adapter isn't resident overrides earlier
// reports that it is: the interval of registry entries plus their propagation delay.
const missingTTL = 1500 * time.Millisecond

// holds reports whether the adapter is resident at the endpoint in the given version, zero for
// any. The source is the owner's report, unless the registry entry was read more than entryDelay
// later: a VM reads the entries again only after a change of the list, and an owner may be gone for
// long. Base models are only in the entry. An endpoint's answer that the adapter isn't resident
// overrides either for missingTTL.
func (e *endpoint) holds(now time.Time, a ggscore.ModelAdapter, version uint64) bool {
	m := e.entry
	if a.Adapter != "" && !e.reportedAt.IsZero() && e.entryRead.Sub(e.reportedAt) < entryDelay {
		m = e.reported
	}
	v, ok := m[a]
	if !ok || version > 0 && v != version {
		return false
	}
	at, ok := e.missing[a]
	return !ok || now.Sub(at) > missingTTL
}

// holdsModel reports whether a base model is resident at the endpoint, or any if it has no name.
func (e *endpoint) holdsModel(now time.Time, base ggscore.ModelAdapter) bool {
	if base.Model != "" {
		return e.holds(now, base, 0)
	}
	for a := range e.entry {
		if a.Adapter == "" {
			return true
		}
	}
	return false
}

// Instance returns an endpoint.
func (t *Table) Instance(id ggscore.EndpointID) (ggscore.Instance, bool) {
	e := t.endpoints[id]
	if e == nil {
		return ggscore.Instance{}, false
	}
	return e.Instance, true
}

// Instances returns the endpoints of a service, or all endpoints if the name is empty.
func (t *Table) Instances(s ggscore.Service) []ggscore.Instance {
	var l []ggscore.Instance
	for _, e := range t.endpoints {
		if s == "" || e.Service == s {
			l = append(l, e.Instance)
		}
	}
	return l
}

// Runners returns the endpoints of a service that aren't leaving.
func (t *Table) Runners(s ggscore.Service) []ggsassign.Runner {
	var rs []ggsassign.Runner
	for _, e := range t.services[s] {
		if e.Leaving {
			continue
		}
		r := ggsassign.Runner{ID: e.ID, InFlight: e.own + e.peers, Loadable: e.loadable}
		for _, m := range e.Models {
			r.Models = append(r.Models, m.Name)
		}
		rs = append(rs, r)
	}
	return rs
}
