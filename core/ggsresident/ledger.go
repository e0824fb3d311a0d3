// Package ggsresident decides which orders an endpoint gets: what to load, and
// what to evict for it.
//
// # Usage
//
//	l := ggsresident.NewLedger(ggsresident.Options{Slots: 16, Transit: 4})
//	l.Sync(now, status)             // what the endpoint says it holds
//	l.Want(now, target, version)    // a request waits for it
//	l.Use(now, target, vm, active)  // what a VM's requests do with it
//	o, ok := l.Next(now)            // the next order
//	l.Ended(now, o, answer)
//	at := l.Due(now)                // when to ask Next again
//
// One VM gives an endpoint its orders, one at a time, each under the condition
// of the number of orders that the endpoint has accepted. So an order that is
// carried out late either comes before every later one or does nothing, and
// places are never promised twice. Where an order was given under a number that the endpoint
// hadn't reached, or that its next process reaches, a place is left free for it while it may
// still be carried out. The package holds no clock, no goroutine and
// no lock.
package ggsresident

import (
	"cmp"
	"time"

	ggscore "greengageslip/core"
)

// Defaults of Options.
const (
	// DefaultTransit is how many adapters an endpoint fetches at once.
	DefaultTransit = 4
	// DefaultLoadTime is how long an adapter takes from the weight store.
	DefaultLoadTime = 250 * time.Millisecond
	// DefaultPoll is the time between questions for an adapter in transit. An
	// order costs next to nothing; a late one delays its request.
	DefaultPoll = 20 * time.Millisecond
	// DefaultForget is how long an unwanted load is kept in the list.
	DefaultForget = 3 * time.Second
	// idleTime is how long an adapter has to be unused before it is evicted.
	// An endpoint takes no other order while one that evicts an adapter in use
	// waits for its requests, and refuses new ones for it. What other VMs use is
	// known a beat of 150 ms and its way later.
	idleTime = 350 * time.Millisecond
	// rareRate is the requests a second up to which an adapter is evicted as soon
	// as all VMs have said that they use it no more. Their words are 0.1 s old on
	// average, so one eviction in thirty meets a request at most.
	rareRate = 0.3
	// wordMaxAge is the age at which a VM's word that it uses an adapter no longer
	// counts: it says so with each beat.
	wordMaxAge = 600 * time.Millisecond
	// fastLoad is the first question after an order: an adapter that the
	// endpoint held recently loads in a tenth of the time.
	fastLoad = 26 * time.Millisecond
	// resyncAfter is the age at which a ledger that met an unclear answer
	// asks the endpoint, whose report is some 100 ms old: one from before the
	// last order would take it back.
	resyncAfter = 450 * time.Millisecond
	// movedPause is how long an endpoint is left alone when another one answered at
	// its address: a heartbeat of its entry.
	movedPause = 1200 * time.Millisecond
	// leastPause and maxPause bound the pause before an order is repeated once
	// more: it doubles with each that isn't answered.
	leastPause    = 10 * time.Millisecond
	maxPause      = 500 * time.Millisecond
	maxPauseShift = 6
	// maxWants bounds the adapters that wait for a place in transit: two rounds
	// of it, half a second. Requests for more are better off elsewhere.
	maxWants = 8
)

// An Options sets a Ledger. Zero fields take their defaults.
type Options struct {
	Endpoint ggscore.EndpointID
	// Demand says which adapter is missed least. Without one the longest unused
	// is evicted.
	Demand ggscore.AdapterDemand
	// Slots is the number of adapters that the endpoint holds at once.
	Slots    int
	Transit  int
	LoadTime time.Duration
	Poll     time.Duration
	// Unanswered are the orders to the endpoint's processes that weren't answered.
	Unanswered *Unanswered
	// NewsDelay is how much longer reports of VMs take to come here than a heartbeat
	// that is sent directly.
	NewsDelay time.Duration
	Policy    ggscore.Policy
}

// A Step is an order to give.
type Step struct {
	Unload   bool
	Target   ggscore.ModelAdapter
	Version  uint64
	Expected uint64
	// Poll says that the step asks again for what was ordered.
	Poll bool
	// Again says that the step repeats one whose answer was lost.
	Again bool
}

// A Ledger holds what an endpoint is known to hold.
type Ledger struct {
	options Options
	synced  bool
	// moved is when another endpoint answered at the address.
	moved time.Time
	// unclear is when an answer left open what the endpoint accepted.
	unclear  time.Time
	sequence uint64
	models   map[ggscore.BaseModel]bool
	held     map[ggscore.ModelAdapter]*held
	wants    []want
	// kept lists adapters that were ordered before: the endpoint may still have
	// them in its own memory.
	kept map[ggscore.ModelAdapter]bool
	// lost is an order whose answer was lost, losses how many were in a row, and
	// again when it is repeated.
	lost   *Step
	losses int
	again  time.Time
	// modelPoll is when a base model on its way is asked for again.
	modelPoll time.Time
}

type held struct {
	version uint64
	// target is the version on its way, where that is another.
	target uint64
	// coming says that the adapter is in transit, evicting that it leaves when
	// its requests have ended.
	coming   bool
	evicting bool
	ordered  time.Time
	poll     time.Time
	// asking says that a question for it is under way, losses how many in a row
	// weren't answered.
	asking bool
	losses int
	used   time.Time
	// users are the VMs whose requests use the adapter, and when they said so.
	users map[ggscore.VMID]time.Time
	// released says that all users have said that they use it no more.
	released bool
}

type want struct {
	target  ggscore.ModelAdapter
	version uint64
	since   time.Time
	// rate is the requests a second that miss it.
	rate float64
}

// NewLedger returns a ledger that knows nothing of its endpoint.
func NewLedger(o Options) *Ledger {
	o.Transit = cmp.Or(o.Transit, DefaultTransit)
	o.LoadTime = cmp.Or(o.LoadTime, DefaultLoadTime)
	o.Poll = cmp.Or(o.Poll, DefaultPoll)
	if o.Unanswered == nil {
		o.Unanswered = &Unanswered{}
	}
	return &Ledger{
		options: o, models: map[ggscore.BaseModel]bool{}, held: map[ggscore.ModelAdapter]*held{},
		kept: map[ggscore.ModelAdapter]bool{},
	}
}

// Synced reports whether the ledger knows what the endpoint holds. Where not,
// its status is to be asked for.
func (l *Ledger) Synced(now time.Time) bool {
	if !l.synced {
		return false
	}
	return l.unclear.IsZero() || now.Sub(l.unclear) < resyncAfter
}

// Moved reports whether another endpoint has answered at the address of late.
//
// A runner that crashed and started again answers there under another identity,
// and the entry of the one before stays for 3.6 s. Asked for its report and given
// an order in turn, it met 180 of both a second.
func (l *Ledger) Moved(now time.Time) bool { return !l.moved.IsZero() && now.Sub(l.moved) < movedPause }

// Unclear reports whether an answer left open what the endpoint accepted.
func (l *Ledger) Unclear() bool { return !l.unclear.IsZero() }

// Sync takes the endpoint's own word.
func (l *Ledger) Sync(now time.Time, s ggscore.InstanceStatus) {
	if l.synced && s.Sequence < l.sequence && l.unclear.IsZero() {
		return
	}
	l.synced, l.unclear, l.lost, l.sequence = true, time.Time{}, nil, s.Sequence
	before := l.held
	l.models, l.held = map[ggscore.BaseModel]bool{}, map[ggscore.ModelAdapter]*held{}
	for _, m := range s.Models {
		l.models[m.Name] = true
		for _, a := range m.Adapters {
			t := ggscore.ModelAdapter{Model: m.Name, Adapter: a.Adapter}
			h := &held{version: a.Version, target: a.Version}
			if b := before[t]; b != nil {
				h.used, h.users, h.released = b.used, b.users, b.released
				h.replace(now, b)
			}
			l.held[t] = h
		}
	}
	for _, t := range s.Coming {
		h := l.held[t]
		if h == nil {
			h = &held{}
			l.held[t] = h
		}
		h.coming, h.ordered, h.poll = true, now, now.Add(l.options.Poll)
		if b := before[t]; b != nil {
			h.target, h.used, h.users, h.released = b.target, b.used, b.users, b.released
		}
	}
}

// replace keeps that a newer version is on its way, which the report doesn't say while it
// waits for the requests of the one before.
func (h *held) replace(now time.Time, before *held) {
	if before.coming && before.target > h.version {
		h.coming, h.target, h.ordered, h.poll = true, before.target, before.ordered, now
	}
}

// Restarted forgets all: the endpoint started anew.
func (l *Ledger) Restarted() {
	*l = *NewLedger(l.options)
}

// Want notes that requests wait for an adapter in a version, zero for any.
func (l *Ledger) Want(now time.Time, t ggscore.ModelAdapter, version uint64) {
	for i := range l.wants {
		if w := &l.wants[i]; w.target == t {
			w.version, w.since = max(w.version, version), now
			return
		}
	}
	l.wants = append(l.wants, want{target: t, version: version, since: now})
}

// Use notes whether requests of a VM use an adapter.
func (l *Ledger) Use(now time.Time, t ggscore.ModelAdapter, vm ggscore.VMID, active bool) {
	h := l.held[t]
	if h == nil {
		return
	}
	h.used = now
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

// Holds reports whether the endpoint holds the adapter in the version, zero
// for any.
func (l *Ledger) Holds(t ggscore.ModelAdapter, version uint64) bool {
	if t.Adapter == "" {
		return l.models[t.Model]
	}
	h := l.held[t]
	return h != nil && !h.evicting && (!h.coming || h.version > 0) && h.version >= version &&
		(h.version > 0 || !h.coming) && (version == 0 || h.version == version)
}

// Resident returns the adapters that requests may be sent for.
func (l *Ledger) Resident() []ggscore.AdapterVersion {
	var vs []ggscore.AdapterVersion
	for t, h := range l.held {
		if l.Holds(t, 0) {
			vs = append(vs, ggscore.AdapterVersion{Target: t, Version: h.version})
		}
	}
	return vs
}

// evicting reports whether an adapter leaves when its requests have ended. Until
// then the endpoint refuses all other orders.
func (l *Ledger) evicting() bool {
	for _, h := range l.held {
		if h.evicting {
			return true
		}
	}
	return false
}

// Crowded reports whether so many adapters wait for a place in transit that
// another has no business here.
func (l *Ledger) Crowded(t ggscore.ModelAdapter) bool {
	return len(l.wants) >= maxWants && !l.wanted(t)
}

// Version returns the version that the endpoint holds, zero for none.
func (l *Ledger) Version(t ggscore.ModelAdapter) uint64 {
	if h := l.held[t]; h != nil {
		return h.version
	}
	return 0
}
