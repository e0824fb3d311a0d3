package ggsturn

import (
	"cmp"
	"math"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

const (
	// priorPerToken is the time to read a token before any was seen: 20 tokens a
	// ms, which large models on two accelerators read. A value half as high lets
	// streams pause for the first second, one twice as high makes callers wait for
	// turns that stand free.
	priorPerToken = time.Second / 20000
	// leastPerToken and mostPerToken bound what is learnt.
	leastPerToken = time.Second / 400000
	mostPerToken  = time.Second / 2000
	// leastSeen is the number of first pieces by which the speed is told, mostSeen
	// that of the last ones that count, and fitEvery that after which it is told anew.
	leastSeen = 16
	mostSeen  = 96
	fitEvery  = 4
	// kept is the part of the first pieces that the line goes by: one in five found
	// a prompt that this VM didn't know of, or an endpoint in trouble.
	kept = 0.8
	// leastSpread is the least standard deviation of the prompts' sizes, in tokens,
	// that tells a speed: with all alike the time of a step can't be told apart.
	leastSpread = 100.0
)

// A firstPiece is the time of a first piece and the size of its prompt.
type firstPiece struct {
	tokens int
	took   time.Duration
}

// A speed is how fast endpoints of a service read, learnt from the first pieces of
// answers that found their endpoint reading nothing else: a line through their
// times by size, whose slope is the time a token.
type speed struct {
	seen  []firstPiece
	next  int
	slope time.Duration
	// start is the time of the first piece of an empty prompt.
	start time.Duration
}

// add notes that an answer's first piece came so long after the prompt was sent.
func (s *speed) add(p firstPiece) {
	if len(s.seen) < mostSeen {
		s.seen = append(s.seen, p)
	} else {
		s.seen[s.next%mostSeen] = p
	}
	s.next++
	if s.next >= leastSeen && s.next%fitEvery == 0 {
		s.fit()
	}
}

// fit draws the line once through all, and once more without those that lie
// farthest from it.
func (s *speed) fit() {
	ps := slices.Clone(s.seen)
	start, slope, ok := line(ps)
	if !ok {
		return
	}
	far := func(p firstPiece) float64 { return math.Abs(float64(p.took) - start - slope*float64(p.tokens)) }
	slices.SortFunc(ps, func(a, b firstPiece) int { return cmp.Compare(far(a), far(b)) })
	if start, slope, ok = line(ps[:int(kept*float64(len(ps)))]); !ok {
		return
	}
	s.slope = min(max(time.Duration(slope), leastPerToken), mostPerToken)
	s.start = max(time.Duration(start), 0)
}

// line returns the line of least squares through first pieces.
func line(ps []firstPiece) (start, slope float64, ok bool) {
	var x, y, xx, xy float64
	for _, p := range ps {
		t, d := float64(p.tokens), float64(p.took)
		x, y, xx, xy = x+t, y+d, xx+t*t, xy+t*d
	}
	n := float64(len(ps))
	variance := xx/n - x/n*x/n
	if variance < leastSpread*leastSpread {
		return 0, 0, false
	}
	slope = (xy/n - x/n*y/n) / variance
	return y/n - slope*x/n, slope, true
}

// known reports whether the speed was learnt.
func (s *speed) known() bool { return s.slope > 0 }

// perToken returns the time to read a token.
func (s *speed) perToken() time.Duration {
	if !s.known() {
		return priorPerToken
	}
	return s.slope
}

const (
	// slowWeight is the weight of the last first piece in an endpoint's slowness.
	slowWeight = 0.15
	// slowLeast is the slowness up to which an endpoint counts as like the others:
	// a wait for the step under way and the processor changes a first piece by half.
	slowLeast = 1.6
	// slowMost bounds it: a stall says nothing about speed.
	slowMost = 8.0
)

// observe notes how a first piece's time compares with what was expected.
func (q *queue) observe(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	r := min(float64(took)/float64(expected), slowMost)
	q.slowness += slowWeight * (r - q.slowness)
}

// slow returns the factor by which an endpoint is slower than those of its service.
func (q *queue) slow() float64 {
	if q.slowness < slowLeast {
		return 1
	}
	return q.slowness
}

// First notes that the first piece of an answer came; sent is when its prompt was
// sent, which is its turn or a little later.
func (t *Table) First(now time.Time, n ggscore.PromptTurn, sent time.Time) {
	v, q := t.service(n.Service), t.queue(n.Endpoint)
	i := q.find(n)
	if i < 0 || n.Tokens <= 0 || !v.knows(now, n.Endpoint) {
		return
	}
	took, alone := now.Sub(sent), true
	expected := v.speed.start + v.usual(n.Tokens)
	for j, o := range q.turns {
		if j != i && o.Begin.Before(now) && o.Begin.Add(v.usual(o.Tokens)+v.speed.start).After(sent) {
			alone = false
			expected += v.usual(o.Tokens)
		}
	}
	if v.speed.known() {
		q.observe(took, expected)
	}
	if alone && q.slow() == 1 {
		p := ggscore.TurnSample{Service: n.Service, Tokens: n.Tokens, Took: took}
		t.LearnFirst(p)
		if len(t.samples) < mostUntold {
			t.samples = append(t.samples, p)
		}
	}
}
