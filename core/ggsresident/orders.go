package ggsresident

import (
	"time"

	ggscore "greengageslip/core"
)

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
