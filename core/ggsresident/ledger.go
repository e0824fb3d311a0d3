// Package ggsresident decides which orders an endpoint gets: what to load, and
// what to evict for it.
//
// # Usage
//
//	l := ggsresident.NewLedger(ggsresident.Options{Slots: 16, Transit: 4})
//	l.Sync(now, status)             // what the endpoint says it holds
//	l.Want(now, target, version)    // a request waits for it
//	l.Use(now, target)              // a request was sent
//	o, ok := l.Next(now)            // the next order
//	l.Ended(now, o, answer)
//	at := l.Due(now)                // when to ask Next again
//
// One VM gives an endpoint its orders, one at a time, each under the condition
// of the number of orders that the endpoint has accepted. So an order that is
// carried out late either comes before every later one or does nothing, and
// places are never promised twice. The package holds no clock, no goroutine and
// no lock.
package ggsresident

import (
	"cmp"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggspopularity"
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
	// fastLoad is the first question after an order: an adapter that the
	// endpoint held recently loads in a tenth of the time.
	fastLoad = 26 * time.Millisecond
	// resyncAfter is the age at which a ledger that met an unclear answer
	// asks the endpoint, whose report is some 100 ms old: one from before the
	// last order would take it back.
	resyncAfter = 450 * time.Millisecond
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
	// Slots is the number of adapters that the endpoint holds at once.
	Slots    int
	Transit  int
	LoadTime time.Duration
	Poll     time.Duration
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
	used     time.Time
	uses     ggspopularity.Recent
}

type want struct {
	target  ggscore.ModelAdapter
	version uint64
	since   time.Time
}

// newHeld returns an adapter that a request waits for.
func newHeld(now time.Time) *held {
	h := &held{used: now}
	h.uses.Add(now, 1)
	return h
}

// NewLedger returns a ledger that knows nothing of its endpoint.
func NewLedger(o Options) *Ledger {
	o.Transit = cmp.Or(o.Transit, DefaultTransit)
	o.LoadTime = cmp.Or(o.LoadTime, DefaultLoadTime)
	o.Poll = cmp.Or(o.Poll, DefaultPoll)
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
				h.used, h.uses = b.used, b.uses
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
			h.target, h.used, h.uses = b.target, b.used, b.uses
		}
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

// Use notes n requests for an adapter.
func (l *Ledger) Use(now time.Time, t ggscore.ModelAdapter, n int) {
	if h := l.held[t]; h != nil {
		h.uses.Add(now, n)
		h.used = now
	}
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

// Next returns the order that is due.
func (l *Ledger) Next(now time.Time) (Step, bool) {
	if !l.synced {
		return Step{}, false
	}
	if s, ok := l.poll(now); ok {
		return s, true
	}
	// After an unclear answer the number of accepted orders isn't known, and
	// every order that expects a wrong one is refused.
	if !l.unclear.IsZero() || l.evicting() {
		return Step{}, false
	}
	if l.lost != nil {
		return *l.lost, !now.Before(l.again)
	}
	for i := 0; i < len(l.wants); {
		w := l.wants[i]
		if l.Holds(w.target, w.version) || now.Sub(w.since) > DefaultForget {
			l.wants = append(l.wants[:i], l.wants[i+1:]...)
			continue
		}
		if s, ok := l.load(now, w); ok {
			return s, true
		}
		i++
	}
	return Step{}, false
}

// load returns the order that brings a wanted adapter nearer.
func (l *Ledger) load(now time.Time, w want) (Step, bool) {
	if w.target.Adapter == "" || !l.models[w.target.Model] {
		if now.Before(l.modelPoll) || l.models[w.target.Model] {
			return Step{}, false
		}
		return Step{Target: ggscore.ModelAdapter{Model: w.target.Model}, Expected: l.sequence}, true
	}
	h := l.held[w.target]
	if h != nil && (h.coming && h.target >= w.version || h.evicting) {
		return Step{}, false
	}
	if l.transit() >= l.options.Transit {
		return Step{}, false
	}
	s := Step{Target: w.target, Version: w.version, Expected: l.sequence}
	if h != nil || len(l.held) < l.options.Slots {
		return s, true
	}
	v, ok := l.victim(now)
	if !ok {
		return Step{}, false
	}
	return Step{Unload: true, Target: v, Expected: l.sequence}, true
}

// poll returns the question for what is on its way.
func (l *Ledger) poll(now time.Time) (Step, bool) {
	for t, h := range l.held {
		if (h.coming || h.evicting) && !now.Before(h.poll) {
			return Step{Unload: h.evicting, Target: t, Version: h.target, Expected: l.sequence, Poll: true}, true
		}
	}
	return Step{}, false
}

// victim returns the adapter that is missed least: the one with the lowest
// rate of use, the longest unused among equals.
func (l *Ledger) victim(now time.Time) (ggscore.ModelAdapter, bool) {
	var best ggscore.ModelAdapter
	var bestHeld *held
	var bestRate float64
	for t, h := range l.held {
		if h.coming || h.evicting || now.Sub(h.used) < idleTime || l.wanted(t) {
			continue
		}
		r := h.uses.PerSecond(now)
		if bestHeld == nil || r < bestRate || r == bestRate && h.used.Before(bestHeld.used) {
			best, bestHeld, bestRate = t, h, r
		}
	}
	return best, bestHeld != nil
}

func (l *Ledger) wanted(t ggscore.ModelAdapter) bool {
	for i := range l.wants {
		if l.wants[i].target == t {
			return true
		}
	}
	return false
}

func (l *Ledger) transit() int {
	n := 0
	for _, h := range l.held {
		if h.coming {
			n++
		}
	}
	return n
}

// Ended takes the answer to an order.
func (l *Ledger) Ended(now time.Time, s Step, a ggscore.PlacementAnswer) {
	if a != ggscore.PlacementUnknown {
		l.losses = 0
		if !s.Poll {
			l.lost = nil
		}
	}
	switch a {
	case ggscore.PlacementAccepted:
		l.accepted(now, s)
	case ggscore.PlacementHolds:
		l.done(now, s)
	case ggscore.PlacementMisdirected:
		l.synced = false
	case ggscore.PlacementUnknown:
		l.repeat(now, s)
	case ggscore.PlacementConflict:
		l.conflict(now, s)
	case ggscore.PlacementFenced, ggscore.PlacementRefused:
		l.postpone(now, s)
	}
}

// repeat has an order whose answer was lost given again.
//
// It may be carried out late, seconds from now. The same order under the same
// condition takes its place: whichever of the two comes first counts, and the
// other finds its condition broken, so nothing is loaded twice and no place is
// promised to two adapters.
//
// The first repeat goes out at once. Those after it wait longer each time: a
// runner that has crashed refuses connections in half a millisecond, and met
// 1,500 orders a second until its entry was gone.
func (l *Ledger) repeat(now time.Time, s Step) {
	l.losses++
	pause := time.Duration(0)
	if l.losses > 1 {
		pause = min(leastPause<<min(l.losses-2, maxPauseShift), maxPause)
	}
	if s.Poll {
		if h := l.held[s.Target]; h != nil {
			h.poll = now.Add(l.options.Poll + pause)
		}
		return
	}
	s.Again = true
	l.lost, l.again = &s, now.Add(pause)
}

// conflict takes an endpoint's word that it met the order otherwise. It says
// the same again of what is on its way before it looks at the condition, so a
// question that meets this is about an adapter that has arrived, and a repeated
// order about one that was carried out.
func (l *Ledger) conflict(now time.Time, s Step) {
	switch {
	case s.Poll && !s.Unload:
		l.done(now, s)
	case s.Again && s.Target.Adapter != "":
		l.sequence = s.Expected + 1
		l.done(now, Step{Unload: s.Unload, Target: s.Target, Version: s.Version, Poll: true})
	default:
		l.postpone(now, s)
	}
}

// accepted notes an order that is being carried out.
//
// An endpoint says the same again of what is under way already, whatever the
// order expects, and doesn't count it.
func (l *Ledger) accepted(now time.Time, s Step) {
	if h := l.held[s.Target]; s.Poll && h != nil {
		h.poll = now.Add(l.options.Poll)
		if slow := h.ordered.Add(l.options.LoadTime - l.options.Poll/2); h.coming && slow.After(h.poll) {
			h.poll = slow
		}
		return
	}
	l.sequence = s.Expected + 1
	l.unclear = time.Time{}
	if s.Target.Adapter == "" {
		l.modelPoll = now.Add(l.options.LoadTime)
		return
	}
	h := l.held[s.Target]
	if h == nil {
		h = newHeld(now)
		l.held[s.Target] = h
	}
	h.ordered, h.target = now, s.Version
	if s.Unload {
		h.evicting, h.poll = true, now.Add(l.options.Poll)
		return
	}
	h.coming = true
	h.poll = now.Add(l.options.LoadTime - l.options.Poll/2)
	if l.kept[s.Target] {
		h.poll = now.Add(fastLoad)
	}
	l.kept[s.Target] = true
}

// done notes an order whose aim is reached.
func (l *Ledger) done(now time.Time, s Step) {
	if s.Target.Adapter == "" {
		l.models[s.Target.Model] = true
		return
	}
	if s.Unload {
		delete(l.held, s.Target)
		if !s.Poll {
			l.sequence = s.Expected + 1
		}
		return
	}
	h := l.held[s.Target]
	if h == nil {
		h = newHeld(now)
		l.held[s.Target] = h
	}
	h.coming, h.version = false, max(h.target, s.Version, 1)
	// The requests that waited for it are sent now.
	h.used = now
}

// postpone puts off what an unclear answer was about.
func (l *Ledger) postpone(now time.Time, s Step) {
	if l.unclear.IsZero() {
		l.unclear = now
	}
	if h := l.held[s.Target]; h != nil {
		h.poll = now.Add(l.options.Poll)
	}
	if s.Target.Adapter == "" {
		l.modelPoll = now.Add(l.options.LoadTime)
	}
}

// Due returns when Next is wanted again, zero for not until something happens.
func (l *Ledger) Due() time.Time {
	var due time.Time
	for _, h := range l.held {
		if (h.coming || h.evicting) && (due.IsZero() || h.poll.Before(due)) {
			due = h.poll
		}
	}
	for i := range l.wants {
		if w := &l.wants[i]; !l.models[w.target.Model] && (due.IsZero() || l.modelPoll.Before(due)) {
			due = l.modelPoll
		}
	}
	if l.needsPlace() && l.unclear.IsZero() {
		if idle, ok := l.nextIdle(); ok && (due.IsZero() || idle.Before(due)) {
			due = idle
		}
	}
	if l.lost != nil && (due.IsZero() || l.again.Before(due)) {
		due = l.again
	}
	if !l.unclear.IsZero() && (due.IsZero() || l.unclear.Add(resyncAfter).Before(due)) {
		due = l.unclear.Add(resyncAfter)
	}
	return due
}

// needsPlace reports whether a wanted adapter waits for another to be evicted.
func (l *Ledger) needsPlace() bool {
	if len(l.held) < l.options.Slots || l.transit() >= l.options.Transit || l.evicting() {
		return false
	}
	for i := range l.wants {
		if l.held[l.wants[i].target] == nil {
			return true
		}
	}
	return false
}

// nextIdle returns when the next adapter may be evicted.
func (l *Ledger) nextIdle() (time.Time, bool) {
	var at time.Time
	for t, h := range l.held {
		if h.coming || h.evicting || l.wanted(t) {
			continue
		}
		if i := h.used.Add(idleTime); at.IsZero() || i.Before(at) {
			at = i
		}
	}
	return at, !at.IsZero()
}
