package ggsresident

import (
	"time"

	ggscore "greengageslip/core"
)

// HandleAnswer applies the answer to an order.
func (l *Ledger) HandleAnswer(now time.Time, s Step, a ggscore.PlacementAnswer) {
	if h := l.held[s.Target]; s.Poll && h != nil {
		h.polling = false
		if a != ggscore.PlacementUnknown {
			h.lostPolls = 0
		}
	}
	if a != ggscore.PlacementUnknown && !s.Poll {
		l.lostAnswers, l.lostOrder = 0, nil
	}
	switch a {
	case ggscore.PlacementAccepted:
		l.accepted(now, s)
	case ggscore.PlacementSatisfied:
		l.confirmed(now, s)
	case ggscore.PlacementMisdirected:
		l.synced, l.misdirectedAt = false, now
	case ggscore.PlacementUnknown:
		if s.Expected != neverExpected {
			l.options.Unanswered.add(now, s.Expected)
		}
		l.scheduleRepeat(now, s)
	case ggscore.PlacementConflict:
		l.conflict(now, s)
	case ggscore.PlacementFenced, ggscore.PlacementRefused:
		l.postpone(now, s)
	}
}

// scheduleRepeat schedules the repetition of an order whose answer was lost.
//
// The lost order may still be executed seconds from now. The repetition has the same
// condition, so only the first of the two takes effect, and no adapter is loaded twice and no
// slot is used twice.
//
// The first repetition is sent at once, later ones with exponential backoff. A crashed runner
// refuses connections within half a millisecond, and without the backoff it was sent 1,500
// orders per second until its entry was removed.
func (l *Ledger) scheduleRepeat(now time.Time, s Step) {
	if s.Poll {
		if h := l.held[s.Target]; h != nil {
			h.lostPolls++
			h.pollAt = now.Add(backoff(h.lostPolls))
		}
		return
	}
	l.lostAnswers++
	s.Repeat = true
	l.lostOrder, l.repeatAt = &s, now.Add(backoff(l.lostAnswers))
}

// backoff returns the backoff after the given number of lost answers in a row.
func backoff(lost int) time.Duration {
	if lost <= 1 {
		return 0
	}
	return min(minBackoff<<min(lost-2, maxBackoffShift), maxBackoff)
}

// conflict applies an answer that the order's condition doesn't hold.
//
// The endpoint accepts a repeated order for an adapter in transit before it checks the
// condition. A conflict in answer to a poll for a load therefore means that the adapter has
// been loaded.
//
// A conflict in answer to a repeated order doesn't prove that the first one was executed. The
// endpoint may have accepted another order, such as a late one from this VM's previous
// process, or a poll for an adapter that has a newer version. If an eviction were wrongly
// assumed to be executed, the endpoint would be ordered to load more adapters than it has
// slots for. The endpoint's report decides instead.
func (l *Ledger) conflict(now time.Time, s Step) {
	if s.Poll && !s.Unload {
		l.confirmed(now, s)
		return
	}
	l.postpone(now, s)
}

// accepted records an order that is being executed.
//
// An endpoint accepts a repeated order for an operation in progress whatever number the order
// expects, and doesn't count it. A poll is such a repetition, so its acceptance leaves
// l.sequence unchanged.
func (l *Ledger) accepted(now time.Time, s Step) {
	if h := l.held[s.Target]; s.Poll && h != nil {
		h.pollAt = now.Add(l.options.PollInterval)
		if slow := h.orderedAt.Add(l.options.LoadTime - l.options.PollInterval/2); h.inTransit && slow.After(h.pollAt) {
			h.pollAt = slow
		}
		return
	}
	l.sequence = s.Expected + 1
	l.ambiguousSince = time.Time{}
	if s.Target.Adapter == "" {
		l.acceptedModel(now, s)
		return
	}
	h := l.held[s.Target]
	if h == nil {
		h = &held{lastUsed: now}
		l.held[s.Target] = h
	}
	h.orderedAt, h.target = now, s.Version
	if s.Unload {
		h.evicting, h.pollAt = true, now.Add(l.options.PollInterval)
		return
	}
	h.inTransit = true
	h.pollAt = now.Add(l.options.LoadTime - l.options.PollInterval/2)
	if l.loadedBefore[s.Target] {
		h.pollAt = now.Add(warmLoadPoll)
	}
	l.loadedBefore[s.Target] = true
}

// acceptedModel records an order for a base model that is being executed. Unloading it drops its adapters, and lasts until its
// requests have ended.
func (l *Ledger) acceptedModel(now time.Time, s Step) {
	m := s.Target.Model
	l.modelPollAt = now.Add(l.options.LoadTime)
	if !s.Unload {
		l.loading = m
		return
	}
	l.dropModel(m)
	l.unloading, l.ambiguousSince = m, now
}

// dropModel removes a base model and its adapters.
func (l *Ledger) dropModel(m ggscore.BaseModel) {
	delete(l.models, m)
	for t := range l.held {
		if t.Model == m {
			delete(l.held, t)
		}
	}
	if l.unwanted == m {
		l.unwanted = ""
	}
}

// confirmedModel records an order for a base model whose result the endpoint has confirmed. Whether an unload was just carried
// out, and so counted, shows the endpoint's report.
func (l *Ledger) confirmedModel(now time.Time, s Step) {
	m := s.Target.Model
	if s.Unload {
		l.dropModel(m)
		l.unloading, l.ambiguousSince = m, now
		return
	}
	l.models[m] = true
	if l.loading == m {
		l.loading = ""
	}
}

// confirmed records an order whose result the endpoint has confirmed.
func (l *Ledger) confirmed(now time.Time, s Step) {
	if s.Target.Adapter == "" {
		l.confirmedModel(now, s)
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
		h = &held{lastUsed: now}
		l.held[s.Target] = h
	}
	h.inTransit, h.version = false, max(h.target, s.Version, 1)
	// The requests that waited for the adapter are sent now.
	h.lastUsed, h.released = now, false
}

// postpone delays all orders after an ambiguous answer until the next resync.
func (l *Ledger) postpone(now time.Time, s Step) {
	if l.ambiguousSince.IsZero() {
		l.ambiguousSince = now
	}
	if h := l.held[s.Target]; h != nil {
		h.pollAt = now.Add(l.options.PollInterval)
	}
	if s.Target.Adapter == "" {
		l.modelPollAt = now.Add(l.options.LoadTime)
	}
}
