// Package ggsplace decides which endpoint a request goes to, and when one is
// refused for want of one.
//
// # Usage
//
//	t := ggsplace.NewTable(ggsplace.Options{Domain: domain, Seed: 1})
//	t.SetPlaces(service, places)
//	change := t.SetInstances(instances)
//	t.SetPeer(now, vm, flights)              // a peer's requests in flight
//	t.Depart(departure)                      // an answer said that its endpoint leaves
//	t.Pause(now, endpoint, d)                // it refused and wants nothing for so long
//	t.SetHeld(now, endpoint, held)           // what its orderer says it holds
//	t.SetRoom(endpoint, waiting, room)       // and has room for
//	t.Asked(now, adapter, n)                 // requests, of all VMs
//	c, err := t.Choose(now, q)               // *RefusedError: answer with its RetryAfter
//	t.Takes(now, c.Instance.ID)              // still, right before it is sent
//	t.Sent(now, c.Instance.ID)
//	t.Ended(now, c.Instance.ID, result)
//
// Endpoints that name a rate limit get what Options.Throttle allows, and are the last to
// be an adapter's home.
//
// All VMs choose alike over a view that is a fraction of a second old: an
// adapter that is resident nowhere has the same home for all of them, so that
// it is fetched once and found again in the endpoint's own memory later. The
// package holds no clock, no goroutine and no lock.
package ggsplace

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggspopularity"
	"greengageslip/core/ggsretry"
)

// heldMaxAge is the age at which an orderer's word on what its endpoint holds
// yields to the endpoint's own entry, which is written every 1.2 s.
const heldMaxAge = 2 * time.Second

// An Options sets a Table. Zero fields take their defaults.
type Options struct {
	Domain  ggscore.Domain
	Regions map[ggscore.Domain]ggscore.Region
	Seed    uint64
	// Turns tells what prompts wait for at endpoints. Without it only requests in
	// flight count.
	Turns ggscore.TurnExpecter
	// Throttle keeps to the rate limits of endpoints. Without it none is kept.
	Throttle ggscore.EndpointThrottle
	Policy   ggscore.Policy
}

// A Table holds what a VM knows of the endpoints.
type Table struct {
	options   Options
	rng       *rand.Rand
	endpoints map[ggscore.EndpointID]*endpoint
	services  map[ggscore.Service][]*endpoint
	places    map[ggscore.Service]int
	peers     map[ggscore.VMID]*peer
	// looked is when silent peers were looked for last.
	looked   time.Time
	breakers *ggsretry.Breakers[ggscore.EndpointID]
	demand   *ggspopularity.Demand
}

type endpoint struct {
	ggscore.Instance
	own     int
	peers   int
	local   bool
	entry   map[ggscore.ModelAdapter]uint64
	told    map[ggscore.ModelAdapter]uint64
	toldAt  time.Time
	missing map[ggscore.ModelAdapter]time.Time
	// warm lists the adapters that the endpoint held last, by version and time.
	warm map[ggscore.ModelAdapter]warmth
	// ended and failed are the requests of all VMs that ended and failed in the
	// last seconds, untold the own ones that peers weren't told of.
	ended  ggspopularity.Recent
	failed ggspopularity.Recent
	untold ggscore.InFlight
	// loadable says that a VM gives the endpoint orders, waiting how many
	// adapters wait to be loaded there.
	loadable bool
	waiting  int
	// room is the number of adapters that find a place there at once.
	room int
	// departed says that an answer said that the endpoint leaves. Its entry may say so later.
	departed bool
	// pausedUntil is when the endpoint takes requests of this VM again.
	pausedUntil time.Time
}

var _ ggscore.AdapterDemand = (*Table)(nil)

// NewTable returns an empty table.
func NewTable(o Options) *Table {
	return &Table{
		options:   o,
		rng:       rand.New(rand.NewPCG(o.Seed, 0)),
		endpoints: map[ggscore.EndpointID]*endpoint{},
		services:  map[ggscore.Service][]*endpoint{},
		places:    map[ggscore.Service]int{},
		peers:     map[ggscore.VMID]*peer{},
		demand:    ggspopularity.NewDemand(),
		breakers:  ggsretry.NewBreakers[ggscore.EndpointID](ggsretry.BreakerOptions{Seed: o.Seed, MaxOpen: 4 * time.Second}),
	}
}

// A Change is how a reading of the endpoints' entries differs from the one before.
type Change struct {
	Gone []ggscore.Instance
	// Leaving are those that have turned to leaving.
	Leaving []ggscore.Instance
	// Any says that endpoints came, went or changed their state.
	Any bool
}

// SetInstances takes the endpoints' entries.
func (t *Table) SetInstances(list []ggscore.Instance) Change {
	var c Change
	seen := make(map[ggscore.EndpointID]bool, len(list))
	for _, n := range list {
		seen[n.ID] = true
		e := t.endpoints[n.ID]
		if e == nil || !e.Born.Equal(n.Born) || e.Addr != n.Addr {
			e = &endpoint{missing: map[ggscore.ModelAdapter]time.Time{}, warm: map[ggscore.ModelAdapter]warmth{}}
			t.endpoints[n.ID] = e
			t.breakers.Remove(n.ID)
			e.peers = t.inFlight(n.ID)
			c.Any = true
		}
		n.Leaving = n.Leaving || e.departed
		if n.Leaving && !e.Leaving {
			c.Leaving = append(c.Leaving, n)
		}
		c.Any = c.Any || e.Leaving != n.Leaving
		e.Instance = n
		e.local = n.Domain == t.options.Domain || t.options.Regions[n.Domain] == t.options.Regions[t.options.Domain]
		e.entry = heldOf(n.Models)
	}
	for id, e := range t.endpoints {
		if !seen[id] {
			c.Gone = append(c.Gone, e.Instance)
			delete(t.endpoints, id)
			t.breakers.Remove(id)
		}
	}
	t.index()
	c.Any = c.Any || len(c.Gone) > 0
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
}

// SetRoom takes the word of an endpoint's orderer on how many adapters wait to
// be loaded there, and how many find a place at once.
func (t *Table) SetRoom(id ggscore.EndpointID, waiting, room int) {
	if e := t.endpoints[id]; e != nil {
		e.waiting, e.room = waiting, room
	}
}

// SetHeld takes the word of an endpoint's orderer on what it holds.
func (t *Table) SetHeld(now time.Time, id ggscore.EndpointID, held []ggscore.AdapterVersion) {
	e := t.endpoints[id]
	if e == nil {
		return
	}
	e.told = make(map[ggscore.ModelAdapter]uint64, len(held))
	for _, h := range held {
		e.told[h.Target] = h.Version
		t.keep(now, e, h)
		delete(e.missing, h.Target)
	}
	e.toldAt = now
}

// SetLoadable notes whether a VM gives the endpoint orders.
func (t *Table) SetLoadable(id ggscore.EndpointID, loadable bool) {
	if e := t.endpoints[id]; e != nil {
		e.loadable = loadable
	}
}

// AddHeld notes that an endpoint holds an adapter.
func (t *Table) AddHeld(id ggscore.EndpointID, v ggscore.AdapterVersion) {
	e := t.endpoints[id]
	if e == nil {
		return
	}
	delete(e.missing, v.Target)
	if e.told != nil {
		e.told[v.Target] = v.Version
	}
	e.entry[v.Target] = v.Version
}

// SetMissing notes that an endpoint said that it doesn't hold an adapter.
func (t *Table) SetMissing(now time.Time, id ggscore.EndpointID, a ggscore.ModelAdapter) {
	if e := t.endpoints[id]; e != nil {
		e.missing[a] = now
		delete(e.told, a)
	}
}

// missingFor is how long an endpoint's word that it lacks an adapter stands
// against older words that it holds it: an entry's interval and its way.
const missingFor = 1500 * time.Millisecond

// holds reports whether the endpoint is believed to hold the adapter.
func (e *endpoint) holds(now time.Time, a ggscore.ModelAdapter, version uint64) bool {
	m := e.entry
	if a.Adapter != "" && now.Sub(e.toldAt) < heldMaxAge {
		m = e.told
	}
	v, ok := m[a]
	if !ok || version > 0 && v != version {
		return false
	}
	at, ok := e.missing[a]
	return !ok || now.Sub(at) > missingFor
}

// Instances returns the endpoints of a service, or all for an empty name.
func (t *Table) Instances(s ggscore.Service) []ggscore.Instance {
	var l []ggscore.Instance
	for _, e := range t.endpoints {
		if s == "" || e.Service == s {
			l = append(l, e.Instance)
		}
	}
	return l
}
