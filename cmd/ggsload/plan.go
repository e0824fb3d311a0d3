package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"time"
)

// planStream selects the plan's stream of random numbers, so that other users of the same seed
// draw other numbers.
const planStream = 0x6c6f6164

// A kind is a kind of request.
type kind struct {
	// stream and whole are chat requests. Other kinds call an operation of a plain
	// service; once adds an idempotency key to the call.
	stream    bool
	whole     bool
	once      bool
	service   string
	operation string
}

// A plannedRequest is a request of the schedule.
type plannedRequest struct {
	due     time.Duration
	kind    kind
	market  string
	adapter string
	gateway int
}

// A weightedSet draws items at random by weight.
type weightedSet[T any] struct {
	items []T
	sums  []float64
}

func (w *weightedSet[T]) add(item T, weight float64) {
	w.items = append(w.items, item)
	w.sums = append(w.sums, weight+w.total())
}

func (w *weightedSet[T]) draw(g *rand.Rand) T {
	x := g.Float64() * w.total()
	i := sort.Search(len(w.sums), func(i int) bool { return w.sums[i] > x })
	return w.items[min(i, len(w.items)-1)]
}

func (w *weightedSet[T]) total() float64 {
	if len(w.sums) == 0 {
		return 0
	}
	return w.sums[len(w.sums)-1]
}

// A plan is a schedule, which the options and the seed determine.
type plan struct {
	options *runCommand
	rng     *rand.Rand
	kinds   weightedSet[kind]
	markets weightedSet[string]
	ranks   weightedSet[int]
	at      time.Duration
	sent    int
}

func newPlan(r *runCommand) (*plan, error) {
	p := &plan{options: r, rng: rand.New(rand.NewPCG(r.Seed, planStream))}
	for _, s := range r.Mix {
		name, weight, err := parseWeight("--mix", s)
		if err != nil {
			return nil, err
		}
		k, err := parseKind(name)
		if err != nil {
			return nil, err
		}
		p.kinds.add(k, weight)
	}
	for _, s := range r.Markets {
		name, weight, err := parseWeight("--market", s)
		if err != nil {
			return nil, err
		}
		p.markets.add(name, weight)
	}
	for i := range r.Adapters {
		p.ranks.add(i, math.Pow(float64(i+1), -r.Zipf))
	}
	return p, nil
}

// next returns the next request, or false after the last one.
func (p *plan) next() (plannedRequest, bool) {
	p.at += time.Duration(p.rng.ExpFloat64() / p.rate() * float64(time.Second))
	if p.at >= p.options.Duration {
		return plannedRequest{}, false
	}
	q := plannedRequest{
		due:     p.at,
		kind:    p.kinds.draw(p.rng),
		market:  p.markets.draw(p.rng),
		gateway: p.sent % len(p.options.Gateways),
	}
	n := p.ranks.draw(p.rng)
	if p.options.ShiftAt > 0 && p.at >= p.options.ShiftAt {
		n = (n + p.options.Adapters/2) % p.options.Adapters
	}
	q.adapter = adapterName(p.options.Format, n)
	p.sent++
	return q, true
}

// rate returns the rate at the plan's current time, in requests per second.
func (p *plan) rate() float64 {
	o := p.options
	if o.PeakFor > 0 && p.at >= o.PeakAt && p.at < o.PeakAt+o.PeakFor {
		return o.Rate * o.PeakFactor
	}
	return o.Rate
}

// adapterName returns the name of an adapter. A format without a verb is the name of
// a single adapter.
func adapterName(format string, n int) string {
	if !strings.Contains(format, "%") {
		return format
	}
	return fmt.Sprintf(format, n)
}

// parseKind parses a kind of request: stream, whole, call:SERVICE/OPERATION or
// once:SERVICE/OPERATION.
func parseKind(s string) (kind, error) {
	switch s {
	case "stream":
		return kind{stream: true}, nil
	case "whole":
		return kind{whole: true}, nil
	}
	mode, target, _ := strings.Cut(s, ":")
	service, operation, ok := strings.Cut(target, "/")
	if !ok || service == "" || operation == "" || (mode != "call" && mode != "once") {
		return kind{}, &usageError{detail: fmt.Sprintf("--mix %q: want stream, whole, call:SERVICE/OPERATION or once:SERVICE/OPERATION", s)}
	}
	return kind{service: service, operation: operation, once: mode == "once"}, nil
}

// parseWeight parses NAME=WEIGHT. The weight defaults to 1.
func parseWeight(option, s string) (string, float64, error) {
	name, text, found := strings.Cut(s, "=")
	if !found {
		return name, 1, nil
	}
	w, err := strconv.ParseFloat(text, 64)
	if err != nil || w <= 0 || name == "" {
		return "", 0, &usageError{detail: fmt.Sprintf("%s %q: want NAME=WEIGHT with a weight above 0", option, s)}
	}
	return name, w, nil
}
