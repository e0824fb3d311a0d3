package ggsturn

import (
	"math"
	"time"

	ggscore "greengageslip/core"
)

const (
	// gapShare is the part of the allowed pause that steps may fill. The rest is the
	// way of the pieces.
	gapShare = 0.95
	// leastShare bounds the part that reading gets, however long quiet steps are.
	leastShare = 0.25
	// quietShare is the part of pauses that count as those of steps without reading,
	// and quietStep the factor by which the estimate moves with each pause.
	quietShare = 0.2
	quietStep  = 0.05
	// filled is the part of a pause that reading has to fill for it to count as
	// brought about by prompts. One by a lost packet, a slow VM or a stall has another
	// cause, and fewer prompts at once would only make callers wait.
	filled = 0.8
	// hurtConstant is the time in which streams lose two thirds of their weight in the
	// part that is hurt, and leastStreams the weight by which it is told.
	hurtConstant = 2 * time.Second
	leastStreams = 30.0
	// hurtMost is the part from which prompts wait for turns. Where engines read in
	// pieces that keep pauses within the aim, 1 to 10 in a hundred streams pass it
	// under the heaviest load; where not, 20 to 60.
	hurtMost = 0.15
	// tryTime is how long prompts wait for turns at least before it is judged: what
	// was begun before has been read then.
	tryTime = 1500 * time.Millisecond
	// restFirst is how long prompts don't wait after more streams were hurt by waiting
	// than before, restMost bounds it, and restGrow is the factor by which it grows
	// each time.
	restFirst = 5 * time.Second
	restMost  = 5 * time.Minute
	restGrow  = 3
	// withoutConstant is the time in which the part that was hurt without turns loses
	// two thirds of its weight: the load changes, so now and then it is seen anew.
	withoutConstant = 5 * time.Minute
)

// A pauses learns whether prompts have to wait for each other.
//
// Without turns prompts make streams pause; with them prompts wait, and endpoints read
// a tenth slower. A stream is hurt by one as by the other. So prompts wait where many
// streams are hurt without, as long as fewer are with.
type pauses struct {
	// quiet is the pause of a stream whose endpoint reads nothing.
	quiet time.Duration
	// streams and hurt are the sums of streams, and of those that were hurt, since
	// prompts wait or don't, decayed to the moment at.
	streams, hurt float64
	at            time.Time
	// waits says that prompts wait, since when.
	waits bool
	since time.Time
	// without is the part that was hurt when prompts began to wait.
	without float64
	// watchUntil is until when all endpoints are observed.
	watchUntil time.Time
	// rest is how long prompts don't wait after a try that failed, until when.
	rest  time.Duration
	until time.Time
}

// Gap notes a pause between two pieces of a stream, and reports whether prompts made it
// longer than callers want.
func (t *Table) Gap(now time.Time, s ggscore.Service, id ggscore.EndpointID, gap time.Duration) bool {
	v := t.service(s)
	if v.gapAim <= 0 || gap <= 0 {
		return false
	}
	v.pauses.seeQuiet(gap)
	if !v.knows(now, id) {
		return false
	}
	return gap > v.gapAim && float64(v.reading(t.queue(id), now, gap)) >= filled*float64(gap)
}

// Stream notes a stream of this VM that ended whole, or one that was hurt when it was
// first: by a pause that Gap reports, or by a first piece that came late only because
// its prompt waited for its turn.
func (t *Table) Stream(now time.Time, s ggscore.Service, id ggscore.EndpointID, hurt bool) {
	if !t.service(s).knows(now, id) {
		return
	}
	n := ggscore.TurnTally{Service: s, Streams: 1}
	if hurt {
		n.Hurt = 1
	}
	t.LearnTally(now, n)
	for i := range t.tallies {
		if t.tallies[i].Service == s {
			t.tallies[i].Streams += n.Streams
			t.tallies[i].Hurt += n.Hurt
			return
		}
	}
	t.tallies = append(t.tallies, n)
}

// seeQuiet moves the estimate of a pause without reading.
func (p *pauses) seeQuiet(gap time.Duration) {
	switch {
	case p.quiet == 0:
		p.quiet = gap
	case gap < p.quiet:
		p.quiet -= time.Duration(quietStep * (1 - quietShare) * float64(p.quiet))
	default:
		p.quiet += time.Duration(quietStep * quietShare * float64(p.quiet))
	}
}

// tally takes streams of some VM.
func (p *pauses) tally(now time.Time, streams, hurt int) {
	keep := 0.0
	if !p.at.IsZero() {
		keep = math.Exp(-float64(now.Sub(p.at)) / float64(hurtConstant))
	}
	p.at, p.streams, p.hurt = now, p.streams*keep+float64(streams), p.hurt*keep+float64(hurt)
}

// decide has prompts wait or not by the streams that were seen.
func (p *pauses) decide(now time.Time) {
	if p.streams < leastStreams {
		return
	}
	share := p.hurt / p.streams
	switch {
	case !p.waits && share >= hurtMost && !now.Before(p.until):
		p.without = share
		p.turn(now, true)
	case p.waits && now.Sub(p.since) >= tryTime && share > p.expected(now):
		p.rest = min(max(restGrow*p.rest, restFirst), restMost)
		p.until = now.Add(p.rest)
		p.turn(now, false)
	}
}

// turn has prompts wait from now on, or no longer.
func (p *pauses) turn(now time.Time, waits bool) {
	p.waits, p.since, p.streams, p.hurt = waits, now, 0, 0
}

// expected returns the part of streams that would be hurt if prompts didn't wait.
func (p *pauses) expected(now time.Time) float64 {
	return p.without * math.Exp(-float64(now.Sub(p.since))/float64(withoutConstant))
}

// reading returns the part of a pause that has just ended in which the endpoint had
// prompts to read.
func (v *service) reading(q *queue, now time.Time, gap time.Duration) time.Duration {
	var read time.Duration
	var free time.Time
	for _, n := range q.turns {
		if !n.Begin.Before(now) {
			break
		}
		from := later(n.Begin, free)
		free = from.Add(v.usual(n.Tokens))
		read += max(earlier(free, now).Sub(later(from, now.Add(-gap))), 0)
	}
	return read
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

// limit returns the work that may begin within the aim, zero for no limit.
func (p *pauses) limit(aim time.Duration) time.Duration {
	if !p.waits {
		return 0
	}
	return max(time.Duration(gapShare*float64(aim))-p.quiet, time.Duration(leastShare*float64(aim)))
}
