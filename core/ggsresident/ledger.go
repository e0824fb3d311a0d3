// Package ggsresident decides which placement orders an endpoint gets: which adapters to load,
// and which to evict to free slots.
//
// Inputs are the endpoint's status reports, the adapters that requests wait for, the VMs'
// reports of adapters in use, and the answers to orders. Outputs are the next order and the
// time at which to check for another one.
//
// # Usage
//
//	l := ggsresident.NewLedger(ggsresident.Options{Engine: engine, MaxInTransit: 4})
//	l.Sync(now, status)             // the endpoint's status report
//	l.Want(now, target, version)    // a request waits for the adapter
//	l.Use(now, target, vm, active)  // whether a VM's requests use the adapter
//	o, ok := l.Next(now)            // the next order
//	l.HandleAnswer(now, o, answer)
//	at := l.Due(now)                // when to call Next again
//
// One VM sends orders to an endpoint, one at a time. Each order is conditional on the number
// of orders that the endpoint has accepted. An order that is executed late therefore either
// precedes every later order or has no effect, and no adapter slot is used twice.
//
// An unanswered order may expect a number that the endpoint hasn't reached, or that the
// endpoint's next process reaches again. A slot stays free for such an order as long as it may
// still be executed. An Unanswered holds these orders, and is handed on from owner to owner:
//
//	u.Inherit(now, record)          // a new owner has read the previous one's record
//	due := u.RecordDue(now)         // when to store u.Record(now) next
//	u.Recorded(made, record)        // it was stored
//
// A Ledger has no clock, goroutine or lock of its own; the caller passes times and serializes
// access.
package ggsresident

import (
	"cmp"
	"maps"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// Defaults of Options.
const (
	// DefaultMaxInTransit is the number of adapters that an endpoint loads at once.
	DefaultMaxInTransit = 4
	// DefaultLoadTime is how long an adapter takes to load from the weight store.
	DefaultLoadTime = 250 * time.Millisecond
	// DefaultPollInterval is the interval between polls for an adapter in transit. A poll costs
	// little, but a late one delays the requests that wait for the adapter.
	DefaultPollInterval = 20 * time.Millisecond
	// WantRetention is how long an adapter stays wanted after the last request for it.
	WantRetention = 3 * time.Second
	// minIdleTime is how long an adapter, unless it is rare (see rareRequestRate), must have
	// been unused before it is evicted. It exceeds the time until a use by another VM is known
	// here: a 150 ms heartbeat interval plus the heartbeat's delivery. The eviction of an
	// adapter in use blocks all other orders until the adapter's requests have ended, and new
	// requests for the adapter are refused.
	minIdleTime = 350 * time.Millisecond
	// rareRequestRate is the request rate, in requests per second, below which an adapter is
	// evicted as soon as all VMs have reported that they no longer use it. The reports are 0.1 s
	// old on average, in which at most 0.03 requests arrive, so at most one eviction in thirty
	// coincides with a new request.
	rareRequestRate = 0.3
	// useReportMaxAge is the age up to which a VM's report that it uses an adapter is valid. Each
	// heartbeat repeats the report.
	useReportMaxAge = 600 * time.Millisecond
	// warmLoadPoll is the time until the first poll for an adapter that the endpoint held
	// recently. The endpoint may still have it in its own memory, and then loads it in a tenth
	// of DefaultLoadTime.
	warmLoadPoll = 26 * time.Millisecond
	// resyncAfter is the time between an ambiguous answer and the resync from the endpoint's
	// report. Reports are some 100 ms old. A report made before the last order was executed
	// would remove that order's result from the ledger.
	resyncAfter = 450 * time.Millisecond
	// misdirectedPause is how long an endpoint gets no orders after another one answered at its
	// address. It equals the interval at which an endpoint renews its entry on the platform's
	// list.
	misdirectedPause = 1200 * time.Millisecond
	// minBackoff and maxBackoff bound the exponential backoff before an unanswered order is
	// repeated again.
	minBackoff      = 10 * time.Millisecond
	maxBackoff      = 500 * time.Millisecond
	maxBackoffShift = 6
	// maxWants bounds the adapters that wait to be loaded. Loading that many,
	// DefaultMaxInTransit at a time, takes half a second; requests for further adapters are
	// served faster at other endpoints.
	maxWants = 8
)

// An Options configures a Ledger. Zero fields take their defaults.
type Options struct {
	Endpoint ggscore.EndpointID
	// Demand estimates the requests that would miss an evicted adapter. If it is nil, the
	// least recently used adapter is evicted.
	Demand ggscore.AdapterDemand
	// Engine describes the endpoint's memory, its slots for adapters and its service's models.
	Engine       *ggscore.EngineSpec
	MaxInTransit int
	LoadTime     time.Duration
	PollInterval time.Duration
	// Unanswered holds the unanswered orders to the endpoint's current and earlier processes, which
	// the caller records. If it is nil, the ledger starts without any, and none is recorded.
	Unanswered *Unanswered
	// Started is when the endpoint's process had started at the latest, zero if that isn't known.
	Started time.Time
	// ReportDelay is the extra delivery time of VMs' use reports, compared with a heartbeat that
	// is sent directly.
	ReportDelay time.Duration
	Policy      ggscore.Policy
}

// A Step is an order to send.
type Step struct {
	Unload   bool
	Target   ggscore.ModelAdapter
	Version  uint64
	Expected uint64
	// Poll is set if the step polls for the completion of an accepted order.
	Poll bool
	// Repeat is set if the step repeats an order whose answer was lost.
	Repeat bool
}

// A Ledger tracks the models and adapters of one endpoint, the adapters that requests wait for,
// and the orders in flight.
type Ledger struct {
	options Options
	synced  bool
	// misdirectedAt is when another endpoint last answered at the address, zero for never.
	misdirectedAt time.Time
	// ambiguousSince is when an answer first left open what the endpoint accepted, zero if the
	// number of accepted orders is known.
	ambiguousSince time.Time
	sequence       uint64
	models         map[ggscore.BaseModel]bool
	held           map[ggscore.ModelAdapter]*held
	wants          []want
	// loadedBefore are the adapters that were loaded before. The endpoint may still have them in
	// its own memory.
	loadedBefore map[ggscore.ModelAdapter]bool
	// lostOrder is an order whose answer was lost, nil for none. lostAnswers is the number of
	// answers lost in a row, and repeatAt is when the order is repeated.
	lostOrder   *Step
	lostAnswers int
	repeatAt    time.Time
	// modelPollAt is when to poll again for a base model that is being loaded.
	modelPollAt time.Time
	// loading is the base model that is being loaded, and unloading that which is being unloaded, empty for none. Both take
	// memory.
	loading, unloading ggscore.BaseModel
	// unwanted is the base model to unload, empty for none.
	unwanted ggscore.BaseModel
}

type held struct {
	version uint64
	// target is the version in transit, where it differs from version.
	target uint64
	// inTransit is set if the adapter is in transit. evicting is set if the adapter is evicted
	// when its requests have ended.
	inTransit bool
	evicting  bool
	orderedAt time.Time
	pollAt    time.Time
	// polling is set if a poll is in flight. lostPolls is the number of unanswered polls in a
	// row.
	polling   bool
	lostPolls int
	lastUsed  time.Time
	// users are the VMs whose requests use the adapter, with the times of their last reports.
	users map[ggscore.VMID]time.Time
	// released is set if all users have reported that they no longer use the adapter.
	released bool
}

type want struct {
	target  ggscore.ModelAdapter
	version uint64
	since   time.Time
	// first is when a request first waited for the adapter.
	first time.Time
	// rate is the rate of requests that miss the adapter, per second.
	rate float64
}

// NewLedger returns a Ledger that needs a Sync before it returns orders.
func NewLedger(o Options) *Ledger {
	o.MaxInTransit = cmp.Or(o.MaxInTransit, DefaultMaxInTransit)
	o.LoadTime = cmp.Or(o.LoadTime, DefaultLoadTime)
	o.PollInterval = cmp.Or(o.PollInterval, DefaultPollInterval)
	if o.Unanswered == nil {
		o.Unanswered = &Unanswered{unrecorded: true}
	}
	return &Ledger{
		options: o, models: map[ggscore.BaseModel]bool{}, held: map[ggscore.ModelAdapter]*held{},
		loadedBefore: map[ggscore.ModelAdapter]bool{},
	}
}

// Synced reports whether the ledger's state is valid. If it isn't, the caller has to request
// the endpoint's status and call Sync.
func (l *Ledger) Synced(now time.Time) bool {
	if !l.synced {
		return false
	}
	return l.ambiguousSince.IsZero() || now.Sub(l.ambiguousSince) < resyncAfter
}

// RecentlyMisdirected reports whether another endpoint has recently answered at the endpoint's
// address. The caller then sends no orders and no status requests.
//
// A runner that restarts after a crash answers at its address under another identity, while its
// previous entry stays on the platform's list for 3.6 s. Without the pause, status requests and
// orders alternated, 180 of each per second.
func (l *Ledger) RecentlyMisdirected(now time.Time) bool {
	return !l.misdirectedAt.IsZero() && now.Sub(l.misdirectedAt) < misdirectedPause
}

// Ambiguous reports whether an answer left open which orders the endpoint accepted.
func (l *Ledger) Ambiguous() bool { return !l.ambiguousSince.IsZero() }

// Sync applies the endpoint's status report. A report that is older than the last order is
// ignored, unless an answer was ambiguous.
func (l *Ledger) Sync(now time.Time, s ggscore.InstanceStatus) {
	if l.synced && s.Sequence < l.sequence && l.ambiguousSince.IsZero() {
		return
	}
	l.synced, l.ambiguousSince, l.lostOrder, l.sequence = true, time.Time{}, nil, s.Sequence
	before := l.held
	l.models, l.held = map[ggscore.BaseModel]bool{}, map[ggscore.ModelAdapter]*held{}
	l.syncModels(now, s.Models)
	for _, m := range s.Models {
		if m.Name == l.unloading {
			continue
		}
		l.models[m.Name] = true
		for _, a := range m.Adapters {
			t := ggscore.ModelAdapter{Model: m.Name, Adapter: a.Adapter}
			h := &held{version: a.Version, target: a.Version}
			if b := before[t]; b != nil {
				h.lastUsed, h.users, h.released = b.lastUsed, b.users, b.released
				h.keepReplacement(now, b)
			}
			l.held[t] = h
		}
	}
	for _, t := range s.InTransit {
		if t.Model == l.unloading {
			continue
		}
		h := l.held[t]
		if h == nil {
			h = &held{}
			l.held[t] = h
		}
		h.inTransit, h.orderedAt, h.pollAt = true, now, now.Add(l.options.PollInterval)
		if b := before[t]; b != nil {
			h.target, h.lastUsed, h.users, h.released = b.target, b.lastUsed, b.users, b.released
		}
	}
}

// syncModels applies the models of a status report to those that are being loaded and unloaded. The report is requested again
// until a model that is being unloaded is gone.
func (l *Ledger) syncModels(now time.Time, ms []ggscore.ResidentModel) {
	holds := func(name ggscore.BaseModel) bool {
		return slices.ContainsFunc(ms, func(m ggscore.ResidentModel) bool { return m.Name == name })
	}
	if holds(l.loading) {
		l.loading = ""
	}
	if !holds(l.unloading) {
		l.unloading = ""
	}
	if l.unloading != "" {
		l.ambiguousSince = now
	}
}

// keepReplacement keeps the state of a newer version in transit. The endpoint's report omits the
// newer version until the requests on the previous version have ended.
func (h *held) keepReplacement(now time.Time, before *held) {
	if before.inTransit && before.target > h.version {
		h.inTransit, h.target, h.orderedAt, h.pollAt = true, before.target, before.orderedAt, now
	}
}

// Reset resets the ledger after a restart of the endpoint.
func (l *Ledger) Reset() {
	*l = *NewLedger(l.options)
}

// SetEngine sets the endpoint's memory, its slots for adapters and its service's models.
func (l *Ledger) SetEngine(e *ggscore.EngineSpec) { l.options.Engine = e }

// Models returns the base models that the endpoint holds, in order.
func (l *Ledger) Models() []ggscore.BaseModel { return slices.Sorted(maps.Keys(l.models)) }

// Unload has a base model unloaded. Requests that run on it end before.
func (l *Ledger) Unload(m ggscore.BaseModel) { l.unwanted = m }

// inMemory returns the base models that take the endpoint's memory, except for one.
func (l *Ledger) inMemory(except ggscore.BaseModel) []ggscore.BaseModel {
	ms := l.Models()
	add := func(m ggscore.BaseModel) {
		if m != "" && !slices.Contains(ms, m) {
			ms = append(ms, m)
		}
	}
	add(l.loading)
	add(l.unloading)
	if o := l.lostOrder; o != nil && o.Target.Adapter == "" {
		add(o.Target.Model)
	}
	return slices.DeleteFunc(ms, func(m ggscore.BaseModel) bool { return m == except })
}

// slots returns the number of adapters that the endpoint holds at once.
func (l *Ledger) slots() int { return l.options.Engine.AdapterCapacity(l.inMemory("")) }

// CanHold reports whether the endpoint holds an adapter's base model, or has memory for it.
func (l *Ledger) CanHold(t ggscore.ModelAdapter) bool {
	return l.models[t.Model] || l.options.Engine.Fits(t.Model, l.inMemory(t.Model), len(l.held))
}

// Want records that requests wait for an adapter in a version, zero for any.
func (l *Ledger) Want(now time.Time, t ggscore.ModelAdapter, version uint64) {
	for i := range l.wants {
		if w := &l.wants[i]; w.target == t {
			w.version, w.since = max(w.version, version), now
			return
		}
	}
	l.wants = append(l.wants, want{target: t, version: version, since: now, first: now})
}

// Use records whether requests of a VM use an adapter.
func (l *Ledger) Use(now time.Time, t ggscore.ModelAdapter, vm ggscore.VMID, active bool) {
	h := l.held[t]
	if h == nil {
		return
	}
	h.lastUsed = now
	if active {
		if h.users == nil {
			h.users = map[ggscore.VMID]time.Time{}
		}
		h.users[vm], h.released = now, false
		return
	}
	delete(h.users, vm)
	h.released = len(h.users) == 0
}

// Waiting returns the number of adapters that wait to be loaded.
func (l *Ledger) Waiting() int { return len(l.wants) }

// LongestWait returns for how long the first of the waiting adapters has waited, zero if none waits.
func (l *Ledger) LongestWait(now time.Time) time.Duration {
	longest := time.Duration(0)
	for i := range l.wants {
		longest = max(longest, now.Sub(l.wants[i].first))
	}
	return longest
}

// Holds reports whether the endpoint holds the adapter in the version, zero for any.
func (l *Ledger) Holds(t ggscore.ModelAdapter, version uint64) bool {
	if t.Adapter == "" {
		return l.models[t.Model]
	}
	h := l.held[t]
	return h != nil && !h.evicting && (!h.inTransit || h.version > 0) && h.version >= version &&
		(h.version > 0 || !h.inTransit) && (version == 0 || h.version == version)
}

// Resident returns the adapters that the endpoint can serve requests for.
func (l *Ledger) Resident() []ggscore.AdapterVersion {
	var vs []ggscore.AdapterVersion
	for t, h := range l.held {
		if l.Holds(t, 0) {
			vs = append(vs, ggscore.AdapterVersion{Target: t, Version: h.version})
		}
	}
	return vs
}

// evicting reports whether an eviction waits for the adapter's requests to end. Until then the
// endpoint refuses all other orders.
func (l *Ledger) evicting() bool {
	for _, h := range l.held {
		if h.evicting {
			return true
		}
	}
	return false
}

// QueueFull reports whether too many adapters wait to be loaded for the target to be added.
func (l *Ledger) QueueFull(t ggscore.ModelAdapter) bool {
	return len(l.wants) >= maxWants && !l.isWanted(t)
}

// Version returns the version that the endpoint holds, zero for none.
func (l *Ledger) Version(t ggscore.ModelAdapter) uint64 {
	if h := l.held[t]; h != nil {
		return h.version
	}
	return 0
}
