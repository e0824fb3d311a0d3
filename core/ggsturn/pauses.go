package ggsturn

import (
	"math"
	"time"

	ggscore "greengageslip/core"
)

const (
	// gapFraction is the fraction of the allowed gap that engine steps may fill. The rest
	// covers the transfer of the chunks.
	gapFraction = 0.95
	// minPrefillFraction is the fraction of the allowed gap that prefill gets at least,
	// however long decoding steps are.
	minPrefillFraction = 0.25
	// The estimate of the gap without prefill tracks the quantile decodeGapQuantile of all gaps,
	// and changes by the factor decodeGapStep with each gap.
	decodeGapQuantile = 0.2
	decodeGapStep     = 0.05
	// minPrefillInGap is the fraction of a gap that prefill has to fill for the gap to be
	// attributed to prompts. A gap due to a lost packet, a slow VM or a stall has another
	// cause, and enforcing turns would only delay callers.
	minPrefillInGap = 0.8
	// degradedTimeConstant is the decay time constant of the stream counts. minStreams is the
	// decayed count of streams below which the counts aren't evaluated.
	degradedTimeConstant = 2 * time.Second
	minStreams           = 30.0
	// maxDegraded is the fraction of degraded streams from which turns are enforced. Under the
	// heaviest load, 1 to 10 percent of the streams are degraded where engines prefill in
	// chunks that keep gaps within the target, and 20 to 60 percent where they don't.
	maxDegraded = 0.15
	// minTrial is how long turns are enforced before their effect is evaluated. By then,
	// prefill that began before is finished.
	minTrial = 1500 * time.Millisecond
	// After a trial that degraded more streams than before, turns aren't enforced for
	// suspendInitial. Each further failed trial multiplies the time by suspendFactor, up to
	// suspendMax.
	suspendInitial = 5 * time.Second
	suspendMax     = 5 * time.Minute
	suspendFactor  = 3
	// baselineTimeConstant is the decay time constant of the degraded fraction measured
	// without turns. Load changes, so the fraction has to be measured again from time to time.
	baselineTimeConstant = 5 * time.Minute
)

// A modeController decides whether turns are enforced.
//
// Without turns, prefill causes gaps in streams. With turns, prompts wait and endpoints prefill
// a tenth slower. Both degrade streams. Turns are enforced while many streams are degraded
// without turns and fewer are degraded with turns.
type modeController struct {
	// decodeGap is the estimated gap in a stream while its endpoint prefills nothing.
	decodeGap time.Duration
	// streams and degraded count all streams and the degraded ones since the last change of
	// mode, decayed to the time at.
	streams, degraded float64
	at                time.Time
	// enforced reports whether prompts must wait for their turns. since is when enforced last
	// changed.
	enforced bool
	since    time.Time
	// baseline is the degraded fraction when enforcement began.
	baseline float64
	// observeAllUntil is the time until which all endpoints are observed.
	observeAllUntil time.Time
	// suspendFor is how long turns aren't enforced after the last failed trial. suspendedUntil
	// is the end of that time.
	suspendFor     time.Duration
	suspendedUntil time.Time
}

// RecordGap records a gap between two chunks of a stream. It reports whether the gap exceeds the
// service's target gap because of prefill; it is false at endpoints whose turns aren't all
// announced.
func (t *Table) RecordGap(now time.Time, s ggscore.Service, id ggscore.EndpointID, gap time.Duration) bool {
	v := t.service(s)
	if v.targetGap <= 0 || gap <= 0 {
		return false
	}
	v.mode.updateDecodeGap(gap)
	if !v.knowsAllTurns(now, id) {
		return false
	}
	return gap > v.targetGap && float64(v.prefillWithin(t.queue(id), now, gap)) >= minPrefillInGap*float64(gap)
}

// RecordStream records a stream of this VM, unless it is at an endpoint whose turns aren't all
// announced: at its end if it wasn't degraded, otherwise when it became degraded. A stream is
// degraded by a gap for which RecordGap returns true, or by a first chunk that is late only
// because the prompt waited for its turn.
func (t *Table) RecordStream(now time.Time, s ggscore.Service, id ggscore.EndpointID, degraded bool) {
	if !t.service(s).knowsAllTurns(now, id) {
		return
	}
	n := ggscore.TurnTally{Service: s, Streams: 1}
	if degraded {
		n.Degraded = 1
	}
	t.AddTally(now, n)
	for i := range t.tallies {
		if t.tallies[i].Service == s {
			t.tallies[i].Streams += n.Streams
			t.tallies[i].Degraded += n.Degraded
			return
		}
	}
	t.tallies = append(t.tallies, n)
}

// updateDecodeGap adjusts the estimated gap without prefill.
func (m *modeController) updateDecodeGap(gap time.Duration) {
	switch {
	case m.decodeGap == 0:
		m.decodeGap = gap
	case gap < m.decodeGap:
		m.decodeGap -= time.Duration(decodeGapStep * (1 - decodeGapQuantile) * float64(m.decodeGap))
	default:
		m.decodeGap += time.Duration(decodeGapStep * decodeGapQuantile * float64(m.decodeGap))
	}
}

// addTally adds stream counts of any VM.
func (m *modeController) addTally(now time.Time, streams, degraded int) {
	keep := 0.0
	if !m.at.IsZero() {
		keep = math.Exp(-float64(now.Sub(m.at)) / float64(degradedTimeConstant))
	}
	m.at, m.streams, m.degraded = now, m.streams*keep+float64(streams), m.degraded*keep+float64(degraded)
}

// updateMode starts or stops enforcing turns, depending on the fraction of degraded streams.
func (m *modeController) updateMode(now time.Time) {
	if m.streams < minStreams {
		return
	}
	share := m.degraded / m.streams
	switch {
	case !m.enforced && share >= maxDegraded && !now.Before(m.suspendedUntil):
		m.baseline = share
		m.setMode(now, true)
	case m.enforced && now.Sub(m.since) >= minTrial && share > m.expectedDegraded(now):
		m.suspendFor = min(max(suspendFactor*m.suspendFor, suspendInitial), suspendMax)
		m.suspendedUntil = now.Add(m.suspendFor)
		m.setMode(now, false)
	}
}

// setMode starts or stops enforcing turns and resets the stream counts, which apply to one mode
// only.
func (m *modeController) setMode(now time.Time, enforced bool) {
	m.enforced, m.since, m.streams, m.degraded = enforced, now, 0, 0
}

// expectedDegraded returns the fraction of streams expected to be degraded without turns: the
// fraction measured before enforcement began, decaying with time.
func (m *modeController) expectedDegraded(now time.Time) float64 {
	return m.baseline * math.Exp(-float64(now.Sub(m.since))/float64(baselineTimeConstant))
}

// prefillWithin returns the time within a gap that ends now in which the endpoint had prompts
// to prefill.
func (v *service) prefillWithin(q *queue, now time.Time, gap time.Duration) time.Duration {
	var prefill time.Duration
	var idleAt time.Time
	for _, n := range q.turns {
		if !n.Begin.Before(now) {
			break
		}
		from := later(n.Begin, idleAt)
		idleAt = from.Add(v.usualPrefillTime(n.Tokens))
		prefill += max(earlier(idleAt, now).Sub(later(from, now.Add(-gap))), 0)
	}
	return prefill
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// prefillLimit returns the prefill time that may begin within the target gap, zero for no limit.
func (m *modeController) prefillLimit(targetGap time.Duration) time.Duration {
	if !m.enforced {
		return 0
	}
	return max(time.Duration(gapFraction*float64(targetGap))-m.decodeGap, time.Duration(minPrefillFraction*float64(targetGap)))
}
