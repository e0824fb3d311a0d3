// Package ggsplace decides which endpoint a request goes to, and when one is
// refused for want of one.
//
// # Usage
//
//	t := ggsplace.NewTable(ggsplace.Options{Domain: domain, Seed: 1})
//	t.SetInstances(now, instances)
//	t.SetPeer(now, vm, flights)              // a peer's requests in flight
//	t.SetHeld(now, endpoint, held)           // what its orderer says it holds
//	c, err := t.Choose(now, q)               // *RefusedError: answer with its RetryAfter
//	t.Sent(now, c.Instance.ID, target)
//	t.Ended(now, c.Instance.ID, result, load)
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

// Costs of a choice, as the delay that a request is expected to meet.
const (
	// costInFlight is the delay for each request in flight at a runner: half of
	// the time that it takes to read a usual prompt of 650 tokens at 38 a ms.
	costInFlight = 12 * time.Millisecond
	// costLoad is an adapter's time from the weight store.
	costLoad = 250 * time.Millisecond
	// costWarm is the time of an adapter that the runner held before: it loads from
	// the runner's own memory in a tenth of the time.
	costWarm = costLoad / 10
	// costAway is added for a load at a runner that isn't one of the adapter's
	// homes, where it can't be in the runner's own memory and takes another's
	// place: the delay of 30 requests in flight more.
	costAway = 400 * time.Millisecond
	// costWait is added for each adapter that waits to be loaded before: four
	// are on their way at once, for 250 ms.
	costWait = costLoad / 4
	// costPlace is added for each adapter that waits for a place before: a busy
	// runner's 18 places are held by streams of 1.1 s on average, some by several.
	costPlace = 80 * time.Millisecond
	// costCopy is added for a load of an adapter that enough endpoints hold: it
	// takes the place of another, whose next request has to wait for a load. It is
	// more than the way to another region and what a crowded runner adds.
	costCopy = 200 * time.Millisecond
	// costRegion is a round trip to another region and the price of its bytes.
	costRegion = 40 * time.Millisecond
	// costFailure is the delay of a request that fails, multiplied by the part
	// that does: most of a deadline. It is more than that of a load elsewhere
	// where a third fail, and where all endpoints fail alike it changes nothing.
	costFailure = 3 * time.Second
	// failureUsual is the part that fails at sound endpoints: lookups of what
	// doesn't exist are a twentieth of a ledger's requests.
	failureUsual = 0.08
	// failurePrior is the requests a second that a rate is told by at least, so
	// that one failure after a silence says little.
	failurePrior = 0.5
	// costPlain is the work of a plain service's request.
	costPlain = 16 * time.Millisecond
)

// peerMaxAge is the age at which a peer's word on its requests in flight no
// longer counts: several beats between VMs.
const peerMaxAge = 1500 * time.Millisecond

// heldMaxAge is the age at which an orderer's word on what its endpoint holds
// yields to the endpoint's own entry, which is written every 1.2 s.
const heldMaxAge = 2 * time.Second

// plainQueueFactor bounds the requests at a plain endpoint, in multiples of its
// slots: what waits behind two rounds of work misses most objectives, and the
// endpoint sheds soon after.
const plainQueueFactor = 3

// An Options sets a Table. Zero fields take their defaults.
type Options struct {
	Domain  ggscore.Domain
	Regions map[ggscore.Domain]ggscore.Region
	Seed    uint64
}

// A Query asks for an endpoint.
type Query struct {
	Service ggscore.Service
	// Engine is nil for plain services.
	Engine *ggscore.EngineSpec
	Target ggscore.ModelAdapter
	// Version is the adapter's version that has to answer, zero for any.
	Version uint64
	// Tried lists endpoints that are not to be chosen again.
	Tried []ggscore.EndpointID
}

// A Choice is an endpoint for a request. Resident says that it holds what the
// request needs; else that has to be loaded first.
type Choice struct {
	Instance ggscore.Instance
	Resident bool
	// InFlight is the number of requests believed to be there.
	InFlight int
}

// A Flight is a count of requests in flight at an endpoint, and of those that
// ended and that failed there since the last one.
type Flight struct {
	Endpoint ggscore.EndpointID
	Count    int
	Ended    int
	Failed   int
}

// A Table holds what a VM knows of the endpoints.
type Table struct {
	options   Options
	rng       *rand.Rand
	endpoints map[ggscore.EndpointID]*endpoint
	services  map[ggscore.Service][]*endpoint
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
	untold Flight
	// loadable says that a VM gives the endpoint orders, waiting how many
	// adapters wait to be loaded there.
	loadable bool
	waiting  int
	// room is the number of adapters that find a place there at once.
	room int
}

type peer struct {
	at      time.Time
	flights map[ggscore.EndpointID]int
}

var _ ggscore.AdapterDemand = (*Table)(nil)

// NewTable returns an empty table.
func NewTable(o Options) *Table {
	return &Table{
		options:   o,
		rng:       rand.New(rand.NewPCG(o.Seed, 0)),
		endpoints: map[ggscore.EndpointID]*endpoint{},
		services:  map[ggscore.Service][]*endpoint{},
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
	for i := range list {
		n := &list[i]
		seen[n.ID] = true
		e := t.endpoints[n.ID]
		if e == nil || !e.Born.Equal(n.Born) || e.Addr != n.Addr {
			e = &endpoint{missing: map[ggscore.ModelAdapter]time.Time{}, warm: map[ggscore.ModelAdapter]warmth{}}
			t.endpoints[n.ID] = e
			t.breakers.Remove(n.ID)
			e.peers = t.inFlight(n.ID)
			c.Any = true
		}
		if n.Leaving && !e.Leaving {
			c.Leaving = append(c.Leaving, *n)
		}
		c.Any = c.Any || e.Leaving != n.Leaving
		e.Instance = *n
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

// inFlight returns the peers' requests in flight at an endpoint.
func (t *Table) inFlight(id ggscore.EndpointID) int {
	n := 0
	for _, p := range t.peers {
		n += p.flights[id]
	}
	return n
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

// SetPeer takes a peer's requests in flight.
func (t *Table) SetPeer(now time.Time, vm ggscore.VMID, fs []Flight) {
	t.dropSilent(now)
	t.addFlights(t.peers[vm], -1)
	p := &peer{at: now, flights: make(map[ggscore.EndpointID]int, len(fs))}
	for _, f := range fs {
		p.flights[f.Endpoint] = f.Count
		if e := t.endpoints[f.Endpoint]; e != nil {
			e.ended.Add(now, f.Ended)
			e.failed.Add(now, f.Failed)
		}
	}
	t.peers[vm] = p
	t.addFlights(p, 1)
}

// addFlights adds a peer's requests in flight to the endpoints', or takes them
// off. Added up anew for each beat they took 54 us a beat with 65
// VMs, which hear 430 beats a second; so it takes 5 (a benchmark of 65 peers).
func (t *Table) addFlights(p *peer, sign int) {
	if p == nil {
		return
	}
	for id, n := range p.flights {
		if e := t.endpoints[id]; e != nil {
			e.peers += sign * n
		}
	}
}

// dropSilent drops the words of peers that fell silent. It looks for them once
// in peerMaxAge.
func (t *Table) dropSilent(now time.Time) {
	if now.Sub(t.looked) < peerMaxAge {
		return
	}
	t.looked = now
	for vm, p := range t.peers {
		if now.Sub(p.at) > peerMaxAge {
			t.addFlights(p, -1)
			delete(t.peers, vm)
		}
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
		e.keep(now, h)
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

// Choose returns the endpoint where the request is expected to be answered
// soonest, or a *RefusedError.
func (t *Table) Choose(now time.Time, q Query) (Choice, error) {
	list := t.services[q.Service]
	base := ggscore.ModelAdapter{Model: q.Target.Model}
	homes := t.homes(now, list, q, base)
	sound := soundFailures(now, list)
	candidates, ready := t.candidates(now, q, base)
	holders := 0
	for _, c := range candidates {
		if c.resident {
			holders++
		}
	}
	var best *candidate
	for i := range candidates {
		c := &candidates[i]
		c.cost = t.cost(c.endpoint, q.Engine)
		if !c.resident {
			c.cost += c.loadCost(&q, slices.Contains(homes, c.endpoint))
			if holders >= max(len(homes), 1) {
				c.cost += costCopy
			}
		}
		c.cost += time.Duration(max(c.failures(now)-sound, 0) * float64(costFailure))
		if best == nil || c.cost < best.cost {
			best = c
		}
	}
	if best == nil {
		return Choice{}, t.refused(ready)
	}
	return Choice{Instance: best.Instance, Resident: best.resident, InFlight: best.own + best.peers}, nil
}

// A candidate is an endpoint that a request may go to.
type candidate struct {
	*endpoint
	resident bool
	cost     time.Duration
}

// candidates returns the endpoints that a request may go to now, and how many
// there would be if none were full, crowded or failing.
func (t *Table) candidates(now time.Time, q Query, base ggscore.ModelAdapter) (cs []candidate, ready int) {
	excluded := t.breakers.Exclude(now, nil)
	for _, e := range t.services[q.Service] {
		if e.Leaving || slices.Contains(q.Tried, e.ID) {
			continue
		}
		if q.Engine != nil && base.Model != "" && !e.holds(now, base, 0) {
			continue
		}
		ready++
		if slices.Contains(excluded, e.ID) || t.full(e, q.Engine) {
			continue
		}
		resident := q.Engine == nil || q.Target.Adapter == "" || e.holds(now, q.Target, q.Version)
		if resident || e.loadable && e.waiting < maxWaiting {
			cs = append(cs, candidate{endpoint: e, resident: resident})
		}
	}
	return cs, ready
}

// full reports whether an endpoint has as many requests as it may get.
func (t *Table) full(e *endpoint, g *ggscore.EngineSpec) bool {
	n := e.own + e.peers
	if g == nil {
		return n >= plainQueueFactor*e.Slots
	}
	return n >= e.Slots
}

// cost returns the delay that a request is expected to meet at the endpoint.
func (t *Table) cost(e *endpoint, g *ggscore.EngineSpec) time.Duration {
	n := e.own + e.peers
	c := time.Duration(t.rng.Int64N(int64(time.Millisecond)))
	if !e.local {
		c += costRegion
	}
	if g == nil {
		// Up to its slots a request starts at once; behind them it waits for
		// the work before it.
		return c + costPlain*time.Duration(n)/time.Duration(e.Slots) + costPlain*time.Duration(max(n+1-e.Slots, 0))
	}
	return c + costInFlight*time.Duration(n)
}

// Waits that refused callers are told. The load that fills endpoints comes in
// waves of seconds; a second try within the objective still earns it.
const (
	retryFull   = 300 * time.Millisecond
	retryNone   = 600 * time.Millisecond
	retrySpread = 300 * time.Millisecond
)

func (t *Table) refused(ready int) error {
	wait := retryNone
	if ready > 0 {
		wait = retryFull
	}
	wait += time.Duration(t.rng.Int64N(int64(retrySpread)))
	return &RefusedError{Ready: ready, RetryAfter: wait}
}

// Sent notes a request that goes to an endpoint.
func (t *Table) Sent(now time.Time, id ggscore.EndpointID) {
	t.breakers.Started(now, id)
	if e := t.endpoints[id]; e != nil {
		e.own++
	}
}

// Ended notes a request's end.
func (t *Table) Ended(now time.Time, id ggscore.EndpointID, r ggsretry.Result) {
	t.breakers.Ended(now, id, r)
	e := t.endpoints[id]
	if e == nil {
		return
	}
	if e.own > 0 {
		e.own--
	}
	if r == ggsretry.ResultNeutral {
		return
	}
	e.ended.Add(now, 1)
	e.untold.Ended++
	if r == ggsretry.ResultFailed {
		e.failed.Add(now, 1)
		e.untold.Failed++
	}
}

// Own returns this VM's requests in flight, and what ended since it was last
// asked.
func (t *Table) Own() []Flight {
	var fs []Flight
	for id, e := range t.endpoints {
		f := Flight{Endpoint: id, Count: e.own, Ended: e.untold.Ended, Failed: e.untold.Failed}
		e.untold = Flight{}
		if f.Count > 0 || f.Ended > 0 {
			fs = append(fs, f)
		}
	}
	return fs
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
