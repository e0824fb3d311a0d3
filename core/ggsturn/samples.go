package ggsturn

import (
	"cmp"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// maxUnreported bounds the samples in one report. A VM collects one or two between two
// heartbeats.
const maxUnreported = 16

// AddSample adds a first-chunk sample of this VM or a peer. A single VM gets a usable sample
// only every second or two.
func (t *Table) AddSample(p ggscore.TurnSample) {
	t.service(p.Service).speed.add(firstChunk{tokens: p.Tokens, took: p.Took})
}

// AddTally adds stream counts of this VM or a peer.
func (t *Table) AddTally(now time.Time, n ggscore.TurnTally) {
	p := &t.service(n.Service).mode
	p.addTally(now, n.Streams, n.Degraded)
	p.updateObserveAll(now)
	if t.decides {
		p.updateMode(now)
	}
}

// Modes returns the mode of each service: whether turns are enforced.
func (t *Table) Modes() []ggscore.TurnMode {
	var ms []ggscore.TurnMode
	for n, v := range t.services {
		if v.targetGap > 0 {
			ms = append(ms, ggscore.TurnMode{Service: n, Enforced: v.mode.enforced, DegradedBefore: v.mode.baseline})
		}
	}
	return ms
}

// ApplyMode applies the mode set by the VM that decides.
func (t *Table) ApplyMode(now time.Time, m ggscore.TurnMode) {
	p := &t.service(m.Service).mode
	if t.decides || p.enforced == m.Enforced {
		return
	}
	p.baseline = m.DegradedBefore
	p.setMode(now, m.Enforced)
}

// DrainUnreported returns the samples and stream counts collected since the previous call.
func (t *Table) DrainUnreported() ([]ggscore.TurnSample, []ggscore.TurnTally) {
	s, n := t.samples, t.tallies
	t.samples, t.tallies = nil, nil
	return s, n
}

// LearnedState returns the learned state of each service.
func (t *Table) LearnedState() []ggscore.TurnState {
	var hs []ggscore.TurnState
	for n, v := range t.services {
		if v.targetGap > 0 && v.speed.known() {
			hs = append(hs, ggscore.TurnState{
				Service: n, PerToken: v.speed.slope, Start: v.speed.intercept,
				DecodeGap: v.mode.decodeGap, Mode: ggscore.TurnMode{Service: n, Enforced: v.mode.enforced, DegradedBefore: v.mode.baseline},
			})
		}
	}
	slices.SortFunc(hs, func(a, b ggscore.TurnState) int { return cmp.Compare(a.Service, b.Service) })
	return hs
}

// Restore initializes the state of a service from the record of another VM or of this VM's
// previous process. It has no effect once this VM has learned the prefill speed.
//
// Without the restored state, half of the streams had excessive gaps in the 10 s after all
// processes of a deployment were killed, because each process had to learn again that turns were
// needed.
func (t *Table) Restore(now time.Time, h ggscore.TurnState) {
	v := t.service(h.Service)
	if v.speed.known() || h.PerToken <= 0 {
		return
	}
	v.speed.slope, v.speed.intercept = min(max(h.PerToken, minPerToken), maxPerToken), min(max(h.Start, 0), maxRestored)
	v.mode.decodeGap = min(max(h.DecodeGap, 0), maxRestored)
	if h.Mode.Enforced {
		v.mode.baseline = min(max(h.Mode.DegradedBefore, maxDegraded), 1)
		v.mode.setMode(now, true)
	}
}
