package ggsturn

import (
	"cmp"
	"math"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

const (
	// defaultPerToken is the prefill time per token before any sample: 20 tokens per ms,
	// typical of large models on two accelerators. With half this time, streams have gaps for
	// the first second. With twice this time, callers wait for turns although the endpoint is
	// idle.
	defaultPerToken = time.Second / 20000
	// minPerToken and maxPerToken bound the learned prefill time per token.
	minPerToken = time.Second / 400000
	maxPerToken = time.Second / 2000
	// maxRestored bounds the times that another VM has learned. An empty prompt is answered, and a stream goes on,
	// within seconds.
	maxRestored = 10 * time.Second
	// A speed is fitted from at least minSamples and at most the last maxSamples first chunks,
	// after every fitInterval samples.
	minSamples  = 16
	maxSamples  = 96
	fitInterval = 4
	// keptFraction is the fraction of the samples that the final fit uses. One in five
	// coincides with a prompt unknown to this VM or with a fault at the endpoint.
	keptFraction = 0.8
	// minSizeDeviation is the least standard deviation of prompt sizes, in tokens, for a fit.
	// With equal sizes, the time of a step can't be separated from that of prefill.
	minSizeDeviation = 100.0
)

// A firstChunk is the time to the first chunk of an answer and the size of its prompt.
type firstChunk struct {
	tokens int
	took   time.Duration
}

// A speed estimates how fast endpoints of a service prefill. It fits a line to the time to
// first chunk by prompt size, using answers whose endpoint prefilled nothing else. The slope
// is the time per token.
type speed struct {
	samples []firstChunk
	added   int
	slope   time.Duration
	// intercept is the time to the first chunk for an empty prompt.
	intercept time.Duration
}

// add records a sample.
func (s *speed) add(p firstChunk) {
	if len(s.samples) < maxSamples {
		s.samples = append(s.samples, p)
	} else {
		s.samples[s.added%maxSamples] = p
	}
	s.added++
	if s.added >= minSamples && s.added%fitInterval == 0 {
		s.fit()
	}
}

// fit fits the line to all samples, then again without those of the largest residuals.
func (s *speed) fit() {
	ps := slices.Clone(s.samples)
	intercept, slope, ok := leastSquares(ps)
	if !ok {
		return
	}
	residual := func(p firstChunk) float64 { return math.Abs(float64(p.took) - intercept - slope*float64(p.tokens)) }
	slices.SortFunc(ps, func(a, b firstChunk) int { return cmp.Compare(residual(a), residual(b)) })
	if intercept, slope, ok = leastSquares(ps[:int(keptFraction*float64(len(ps)))]); !ok {
		return
	}
	s.slope = min(max(time.Duration(slope), minPerToken), maxPerToken)
	s.intercept = max(time.Duration(intercept), 0)
}

// leastSquares returns the least-squares line through the samples.
func leastSquares(ps []firstChunk) (intercept, slope float64, ok bool) {
	var x, y, xx, xy float64
	for _, p := range ps {
		t, d := float64(p.tokens), float64(p.took)
		x, y, xx, xy = x+t, y+d, xx+t*t, xy+t*d
	}
	n := float64(len(ps))
	variance := xx/n - x/n*x/n
	if variance < minSizeDeviation*minSizeDeviation {
		return 0, 0, false
	}
	slope = (xy/n - x/n*y/n) / variance
	return y/n - slope*x/n, slope, true
}

// known reports whether the speed has been learned.
func (s *speed) known() bool { return s.slope > 0 }

// perToken returns the prefill time per token.
func (s *speed) perToken() time.Duration {
	if !s.known() {
		return defaultPerToken
	}
	return s.slope
}

const (
	// slownessWeight is the weight of the latest first chunk in an endpoint's slowness.
	slownessWeight = 0.15
	// minSlowness is the slowness below which an endpoint counts as normal. Waiting for the
	// current step and for the processor changes the time to first chunk by half.
	minSlowness = 1.6
	// maxSlowness bounds a sample: a stall says nothing about speed.
	maxSlowness = 8.0
)

// updateSlowness compares a time to first chunk with the expected time.
func (q *queue) updateSlowness(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	r := min(float64(took)/float64(expected), maxSlowness)
	q.slowness += slownessWeight * (r - q.slowness)
}

// slowFactor returns the factor by which an endpoint is slower than others of its service.
func (q *queue) slowFactor() float64 {
	if q.slowness < minSlowness {
		return 1
	}
	return q.slowness
}

// RecordFirstChunk records the arrival of an answer's first chunk. sent is when the prompt was
// sent, at its turn or slightly later.
func (t *Table) RecordFirstChunk(now time.Time, n ggscore.PromptTurn, sent time.Time) {
	v, q := t.service(n.Service), t.queue(n.Endpoint)
	i := q.find(n)
	if i < 0 || n.Tokens <= 0 || !v.knowsAllTurns(now, n.Endpoint) {
		return
	}
	took, alone := now.Sub(sent), true
	expected := v.speed.intercept + v.usualPrefillTime(n.Tokens)
	for j, o := range q.turns {
		if j != i && o.Begin.Before(now) && o.Begin.Add(v.usualPrefillTime(o.Tokens)+v.speed.intercept).After(sent) {
			alone = false
			expected += v.usualPrefillTime(o.Tokens)
		}
	}
	if v.speed.known() {
		q.updateSlowness(took, expected)
	}
	if alone && q.slowFactor() == 1 {
		p := ggscore.TurnSample{Service: n.Service, Tokens: n.Tokens, Took: took}
		t.AddSample(p)
		if len(t.samples) < maxUnreported {
			t.samples = append(t.samples, p)
		}
	}
}
