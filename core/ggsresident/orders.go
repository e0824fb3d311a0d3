package ggsresident

import (
	"cmp"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// neverExpected is a number of accepted orders that no endpoint reaches.
const neverExpected = 1<<53 - 1

// Next returns the order that is due. Polls may be in flight at the same time as each other and
// as one other order: a poll changes nothing, and if it is executed after newer orders, its
// condition no longer holds and the endpoint doesn't accept it.
func (l *Ledger) Next(now time.Time) (Step, bool) {
	if !l.synced {
		return Step{}, false
	}
	if s, ok := l.nextPoll(now); ok {
		return s, true
	}
	// After an ambiguous answer the number of accepted orders isn't known, and every order
	// that expects a wrong number is refused.
	if !l.ambiguousSince.IsZero() || l.evicting() {
		return Step{}, false
	}
	if l.lostOrder != nil {
		return *l.lostOrder, !now.Before(l.repeatAt) && !l.Blocked(now)
	}
	l.sortWants(now)
	if l.Blocked(now) {
		return Step{}, false
	}
	if l.unwanted != "" {
		return l.nextUnload(now)
	}
	for _, w := range l.wants {
		if s, ok := l.nextLoad(now, w); ok {
			return s, true
		}
	}
	return Step{}, false
}

// nextUnload returns the order to unload the unwanted model, once nothing is on its way to the endpoint.
func (l *Ledger) nextUnload(now time.Time) (Step, bool) {
	if !l.models[l.unwanted] {
		l.unwanted = ""
		return Step{}, false
	}
	if l.loading != "" || l.loadsInTransit() > 0 || l.LateOrders(now) > 0 {
		return Step{}, false
	}
	return Step{Unload: true, Target: ggscore.ModelAdapter{Model: l.unwanted}, Expected: l.sequence}, true
}

// sortWants removes adapters that need no load and sorts the others by request rate, because
// more requests arrive for a popular adapter while it waits. In the order of arrival, the
// popular adapters of a failed runner waited behind rare ones.
func (l *Ledger) sortWants(now time.Time) {
	l.wants = slices.DeleteFunc(l.wants, func(w want) bool {
		return l.Holds(w.target, w.version) || now.Sub(w.since) > WantRetention
	})
	if !l.options.Policy.On(ggscore.MechanismWantedFirst) {
		return
	}
	for i := range l.wants {
		l.wants[i].rate = l.missRate(now, l.wants[i].target)
	}
	slices.SortStableFunc(l.wants, func(a, b want) int { return cmp.Compare(b.rate, a.rate) })
}

// nextLoad returns the next order towards loading a wanted adapter: to load its base model, to
// evict another adapter, or to load it.
func (l *Ledger) nextLoad(now time.Time, w want) (Step, bool) {
	if w.target.Adapter == "" || !l.models[w.target.Model] {
		if now.Before(l.modelPollAt) || !l.mayLoadModel(now, w.target.Model) {
			return Step{}, false
		}
		return Step{Target: ggscore.ModelAdapter{Model: w.target.Model}, Expected: l.sequence}, true
	}
	h := l.held[w.target]
	if h != nil && (h.inTransit && h.target >= w.version || h.evicting) {
		return Step{}, false
	}
	if l.loadsInTransit() >= l.options.MaxInTransit {
		return Step{}, false
	}
	s := Step{Target: w.target, Version: w.version, Expected: l.sequence}
	if h != nil || len(l.held)+1+l.LateOrders(now) <= l.slots() {
		return s, true
	}
	v, ok := l.evictionCandidate(now)
	if late := l.LateOrders(now); !ok || late > 0 && len(l.held)-1+late > l.slots() {
		return Step{}, false
	}
	return Step{Unload: true, Target: v, Expected: l.sequence}, true
}

// mayLoadModel reports whether a base model isn't held and may be loaded beside what the endpoint holds. A late order may load
// something else beside it.
func (l *Ledger) mayLoadModel(now time.Time, m ggscore.BaseModel) bool {
	if l.models[m] || !l.CanHold(ggscore.ModelAdapter{Model: m}) {
		return false
	}
	return len(l.inMemory(m)) == 0 || l.LateOrders(now) == 0
}

// Blocked reports whether orders wait until an unanswered one is recorded.
func (l *Ledger) Blocked(now time.Time) bool {
	expected := l.sequence
	if l.lostOrder != nil {
		expected = l.lostOrder.Expected
	}
	return l.options.Unanswered.Blocks(now, expected)
}

// LateOrders returns the number of unanswered orders that may still be executed once the endpoint
// has accepted the next order. A slot stays free for each.
func (l *Ledger) LateOrders(now time.Time) int {
	return l.options.Unanswered.consecutive(now, l.sequence+1, l.options.Started)
}

// nextPoll returns a poll that is due for a load or an eviction in progress.
//
// An endpoint answers a poll for an adapter in transit whatever number the poll expects. A poll
// for a load expects a number that is never reached, so that the endpoint's next process doesn't
// carry out a late one as an order.
func (l *Ledger) nextPoll(now time.Time) (Step, bool) {
	for t, h := range l.held {
		if !h.needsPoll() || now.Before(h.pollAt) || h.evicting && l.Blocked(now) {
			continue
		}
		h.polling = true
		s := Step{Unload: h.evicting, Target: t, Version: h.target, Expected: neverExpected, Poll: true}
		if h.evicting {
			s.Expected = l.sequence
		}
		return s, true
	}
	return Step{}, false
}

// needsPoll reports whether the adapter has to be polled for and no poll is in flight.
func (h *held) needsPoll() bool { return (h.inTransit || h.evicting) && !h.polling }

// evictionCandidate returns the adapter to evict: the one with the lowest rate of requests that
// would miss it, and among equals the least recently used.
func (l *Ledger) evictionCandidate(now time.Time) (ggscore.ModelAdapter, bool) {
	var best ggscore.ModelAdapter
	var bestHeld *held
	var bestRate float64
	for t, h := range l.held {
		if h.inTransit || h.evicting || l.isWanted(t) {
			continue
		}
		r := l.missRate(now, t)
		if now.Before(l.unusedAt(now, h, r)) {
			continue
		}
		if bestHeld == nil || r < bestRate || r == bestRate && h.lastUsed.Before(bestHeld.lastUsed) {
			best, bestHeld, bestRate = t, h, r
		}
	}
	return best, bestHeld != nil
}

// missRate returns the rate of requests that would miss an evicted adapter, per second.
func (l *Ledger) missRate(now time.Time, t ggscore.ModelAdapter) float64 {
	if l.options.Demand == nil || !l.options.Policy.On(ggscore.MechanismDemand) {
		return 0
	}
	return l.options.Demand.MissRate(now, l.options.Endpoint, t)
}

func (l *Ledger) isWanted(t ggscore.ModelAdapter) bool {
	for i := range l.wants {
		if l.wants[i].target == t {
			return true
		}
	}
	return false
}

func (l *Ledger) loadsInTransit() int {
	n := 0
	for _, h := range l.held {
		if h.inTransit {
			n++
		}
	}
	return n
}

// Due returns when to call Next again, zero for not before another method was called.
func (l *Ledger) Due(now time.Time) time.Time {
	var due time.Time
	for _, h := range l.held {
		if h.needsPoll() && (due.IsZero() || h.pollAt.Before(due)) {
			due = h.pollAt
		}
	}
	for i := range l.wants {
		if w := &l.wants[i]; l.mayLoadModel(now, w.target.Model) && (due.IsZero() || l.modelPollAt.Before(due)) {
			due = l.modelPollAt
		}
	}
	if l.needsEviction() && l.ambiguousSince.IsZero() {
		if idle, ok := l.nextUnusedAt(now); ok && (due.IsZero() || idle.Before(due)) {
			due = idle
		}
	}
	if l.lostOrder != nil && (due.IsZero() || l.repeatAt.Before(due)) {
		due = l.repeatAt
	}
	if !l.ambiguousSince.IsZero() && (due.IsZero() || l.ambiguousSince.Add(resyncAfter).Before(due)) {
		due = l.ambiguousSince.Add(resyncAfter)
	}
	return due
}

// needsEviction reports whether a wanted adapter waits for another adapter to be evicted.
func (l *Ledger) needsEviction() bool {
	if len(l.held) < l.slots() || l.loadsInTransit() >= l.options.MaxInTransit || l.evicting() {
		return false
	}
	for i := range l.wants {
		if l.held[l.wants[i].target] == nil {
			return true
		}
	}
	return false
}

// FreeCapacity returns the number of adapters that could be loaded at once, into free slots or in
// place of unused adapters.
func (l *Ledger) FreeCapacity(now time.Time) int {
	n := l.slots() - len(l.held)
	for t, h := range l.held {
		if !h.inTransit && !h.evicting && !l.isWanted(t) && !now.Before(l.unusedAt(now, h, l.missRate(now, t))) {
			n++
		}
	}
	return n
}

// unusedAt returns when an adapter counts as unused. rate is the rate of requests that would miss
// it, per second.
//
// A rare adapter counts as unused as soon as its users have ended. Otherwise half of the slots
// of a busy runner were held by adapters whose requests had ended and that waited minIdleTime
// after the last report of use. Another VM is unlikely to have just sent a request for a rare
// adapter. If it has, the eviction and the runner's other orders wait until that request has
// ended.
func (l *Ledger) unusedAt(now time.Time, h *held, rate float64) time.Time {
	if h.released && rate < rareRequestRate && l.options.Policy.On(ggscore.MechanismRelease) {
		return h.lastUsed
	}
	at := h.lastUsed.Add(minIdleTime + l.options.ReportDelay)
	maxAge := useReportMaxAge + l.options.ReportDelay
	for vm, reported := range h.users {
		if now.Sub(reported) > maxAge {
			delete(h.users, vm)
			continue
		}
		if u := reported.Add(maxAge); u.After(at) {
			at = u
		}
	}
	return at
}

// nextUnusedAt returns when the next adapter may be evicted.
func (l *Ledger) nextUnusedAt(now time.Time) (time.Time, bool) {
	var at time.Time
	for t, h := range l.held {
		if h.inTransit || h.evicting || l.isWanted(t) {
			continue
		}
		if i := l.unusedAt(now, h, l.missRate(now, t)); at.IsZero() || i.Before(at) {
			at = i
		}
	}
	return at, !at.IsZero()
}
