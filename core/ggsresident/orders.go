package ggsresident

import (
	"cmp"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// Next returns the order that is due. Questions for what is on its way may be
// under way beside each other and beside one other order: they change nothing, and
// one that is carried out late, after newer orders, finds its condition broken.
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
	l.sortWants(now)
	for _, w := range l.wants {
		if s, ok := l.load(now, w); ok {
			return s, true
		}
	}
	return Step{}, false
}

// sortWants drops what needs no load and puts first what is asked for most: more
// requests come for it while it waits. In the order of their arrival, the popular
// adapters of a runner that was lost waited behind rare ones.
func (l *Ledger) sortWants(now time.Time) {
	l.wants = slices.DeleteFunc(l.wants, func(w want) bool {
		return l.Holds(w.target, w.version) || now.Sub(w.since) > DefaultForget
	})
	if !l.options.Policy.On(ggscore.MechanismWantedFirst) {
		return
	}
	for i := range l.wants {
		l.wants[i].rate = l.missed(now, l.wants[i].target)
	}
	slices.SortStableFunc(l.wants, func(a, b want) int { return cmp.Compare(b.rate, a.rate) })
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
	if h != nil || len(l.held)+1+l.late(now) <= l.options.Slots {
		return s, true
	}
	v, ok := l.victim(now)
	if !ok || len(l.held)-1+l.late(now) > l.options.Slots {
		return Step{}, false
	}
	return Step{Unload: true, Target: v, Expected: l.sequence}, true
}

// late returns how many late orders may be carried out once the endpoint has accepted the
// next order.
func (l *Ledger) late(now time.Time) int {
	return l.options.Unanswered.chain(now, l.sequence+1)
}

// poll returns the question for what is on its way.
func (l *Ledger) poll(now time.Time) (Step, bool) {
	for t, h := range l.held {
		if h.asked() && !now.Before(h.poll) {
			h.asking = true
			return Step{Unload: h.evicting, Target: t, Version: h.target, Expected: l.sequence, Poll: true}, true
		}
	}
	return Step{}, false
}

// asked reports whether the adapter is to be asked for.
func (h *held) asked() bool { return (h.coming || h.evicting) && !h.asking }

// victim returns the adapter that is missed least, the longest unused among
// equals.
func (l *Ledger) victim(now time.Time) (ggscore.ModelAdapter, bool) {
	var best ggscore.ModelAdapter
	var bestHeld *held
	var bestRate float64
	for t, h := range l.held {
		if h.coming || h.evicting || l.wanted(t) {
			continue
		}
		r := l.missed(now, t)
		if now.Before(l.idle(now, h, r)) {
			continue
		}
		if bestHeld == nil || r < bestRate || r == bestRate && h.used.Before(bestHeld.used) {
			best, bestHeld, bestRate = t, h, r
		}
	}
	return best, bestHeld != nil
}

// missed returns the requests a second that would miss an adapter.
func (l *Ledger) missed(now time.Time, t ggscore.ModelAdapter) float64 {
	if l.options.Demand == nil || !l.options.Policy.On(ggscore.MechanismDemand) {
		return 0
	}
	return l.options.Demand.Missed(now, l.options.Endpoint, t)
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

// Due returns when Next is wanted again, zero for not until something happens.
func (l *Ledger) Due(now time.Time) time.Time {
	var due time.Time
	for _, h := range l.held {
		if h.asked() && (due.IsZero() || h.poll.Before(due)) {
			due = h.poll
		}
	}
	for i := range l.wants {
		if w := &l.wants[i]; !l.models[w.target.Model] && (due.IsZero() || l.modelPoll.Before(due)) {
			due = l.modelPoll
		}
	}
	if l.needsPlace() && l.unclear.IsZero() {
		if idle, ok := l.nextIdle(now); ok && (due.IsZero() || idle.Before(due)) {
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

// Room returns the number of adapters that would find a place at once.
func (l *Ledger) Room(now time.Time) int {
	n := l.options.Slots - len(l.held)
	for t, h := range l.held {
		if !h.coming && !h.evicting && !l.wanted(t) && !now.Before(l.idle(now, h, l.missed(now, t))) {
			n++
		}
	}
	return n
}

// idle returns when an adapter that so many requests a second would miss counts
// as unused.
//
// Half of the places of a busy runner were held by adapters whose requests had
// ended: each waited idleTime after the last word of it. A rare one is given up
// as soon as its users have ended; that another VM has just sent a request for it
// is unlikely, and then only delays the runner's orders.
func (l *Ledger) idle(now time.Time, h *held, rate float64) time.Time {
	if h.released && rate < rareRate && l.options.Policy.On(ggscore.MechanismRelease) {
		return h.used
	}
	at := h.used.Add(idleTime + l.options.NewsDelay)
	maxAge := wordMaxAge + l.options.NewsDelay
	for vm, said := range h.users {
		if now.Sub(said) > maxAge {
			delete(h.users, vm)
			continue
		}
		if u := said.Add(maxAge); u.After(at) {
			at = u
		}
	}
	return at
}

// nextIdle returns when the next adapter may be evicted.
func (l *Ledger) nextIdle(now time.Time) (time.Time, bool) {
	var at time.Time
	for t, h := range l.held {
		if h.coming || h.evicting || l.wanted(t) {
			continue
		}
		if i := l.idle(now, h, l.missed(now, t)); at.IsZero() || i.Before(at) {
			at = i
		}
	}
	return at, !at.IsZero()
}
