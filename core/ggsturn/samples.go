package ggsturn

import (
	"cmp"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// mostUntold bounds the samples that are told at once: VMs of today's sites see one or
// two between two beats.
const mostUntold = 16

// LearnFirst takes a first piece that a peer saw. One VM alone sees one that tells the
// speed every second or two.
func (t *Table) LearnFirst(p ggscore.TurnSample) {
	t.service(p.Service).speed.add(firstPiece{tokens: p.Tokens, took: p.Took})
}

// LearnTally takes the streams of a peer.
func (t *Table) LearnTally(now time.Time, n ggscore.TurnTally) {
	p := &t.service(n.Service).pauses
	p.tally(now, n.Streams, n.Hurt)
	p.watch(now)
	if t.decides {
		p.decide(now)
	}
}

// Modes returns whether prompts wait, by service.
func (t *Table) Modes() []ggscore.TurnMode {
	var ms []ggscore.TurnMode
	for n, v := range t.services {
		if v.gapAim > 0 {
			ms = append(ms, ggscore.TurnMode{Service: n, Waits: v.pauses.waits, Without: v.pauses.without})
		}
	}
	return ms
}

// Follow takes the word of the VM that decides whether prompts wait.
func (t *Table) Follow(now time.Time, m ggscore.TurnMode) {
	p := &t.service(m.Service).pauses
	if t.decides || p.waits == m.Waits {
		return
	}
	p.without = m.Without
	p.turn(now, m.Waits)
}

// Untold returns what this VM saw since it was last asked.
func (t *Table) Untold() ([]ggscore.TurnSample, []ggscore.TurnTally) {
	s, n := t.samples, t.tallies
	t.samples, t.tallies = nil, nil
	return s, n
}

// Shapes returns what was learnt, by service.
func (t *Table) Shapes() []ggscore.TurnShape {
	var hs []ggscore.TurnShape
	for n, v := range t.services {
		if v.gapAim > 0 && v.speed.known() {
			hs = append(hs, ggscore.TurnShape{
				Service: n, PerToken: v.speed.slope, Start: v.speed.start,
				Quiet: v.pauses.quiet, Mode: ggscore.TurnMode{Service: n, Waits: v.pauses.waits, Without: v.pauses.without},
			})
		}
	}
	slices.SortFunc(hs, func(a, b ggscore.TurnShape) int { return cmp.Compare(a.Service, b.Service) })
	return hs
}

// Adopt takes what other VMs, or this one's process before, have learnt of a service of
// which this one knows nothing.
//
// After all processes of a deployment were killed, half of the streams of the next ten
// seconds paused too long: each learnt anew that turns were needed.
func (t *Table) Adopt(now time.Time, h ggscore.TurnShape) {
	v := t.service(h.Service)
	if v.speed.known() || h.PerToken <= 0 {
		return
	}
	v.speed.slope, v.speed.start = min(max(h.PerToken, leastPerToken), mostPerToken), max(h.Start, 0)
	v.pauses.quiet = max(h.Quiet, 0)
	if h.Mode.Waits {
		v.pauses.without = min(max(h.Mode.Without, hurtMost), 1)
		v.pauses.turn(now, true)
	}
}
