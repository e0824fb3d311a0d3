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

// planStream separates the plan's random numbers from others of one seed.
const planStream = 0x6c6f6164

type kind struct {
	// stream and whole are chats; else the call names a plain service's
	// operation, and once says that it carries an idempotency key.
	stream    bool
	whole     bool
	once      bool
	service   string
	operation string
}

// A planned is a request of the schedule.
type planned struct {
	due     time.Duration
	kind    kind
	market  string
	adapter string
	gateway int
}

// A weighted draws one of its items by weight.
type weighted[T any] struct {
	items []T
	sums  []float64
}

func (w *weighted[T]) add(item T, weight float64) {
	w.items = append(w.items, item)
	w.sums = append(w.sums, weight+w.total())
}

func (w *weighted[T]) draw(g *rand.Rand) T {
	x := g.Float64() * w.total()
	i := sort.Search(len(w.sums), func(i int) bool { return w.sums[i] > x })
	return w.items[min(i, len(w.items)-1)]
}

func (w *weighted[T]) total() float64 {
	if len(w.sums) == 0 {
		return 0
	}
	return w.sums[len(w.sums)-1]
}

// A plan is a schedule. The same options and seed always give the same one.
type plan struct {
	options *runCommand
	rng     *rand.Rand
	kinds   weighted[kind]
	markets weighted[string]
	ranks   weighted[int]
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

// next returns the next request, or false after the last.
func (p *plan) next() (planned, bool) {
	p.at += time.Duration(p.rng.ExpFloat64() / p.rate() * float64(time.Second))
	if p.at >= p.options.Duration {
		return planned{}, false
	}
	q := planned{
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

// rate returns the rate at the plan's time.
func (p *plan) rate() float64 {
	o := p.options
	if o.PeakFor > 0 && p.at >= o.PeakAt && p.at < o.PeakAt+o.PeakFor {
		return o.Rate * o.PeakFactor
	}
	return o.Rate
}

// adapterName returns the name of an adapter. A format without a verb names
// the one adapter.
func adapterName(format string, n int) string {
	if !strings.Contains(format, "%") {
		return format
	}
	return fmt.Sprintf(format, n)
}

// parseKind parses a kind of requests.
func parseKind(s string) (kind, error) {
	switch s {
	case "stream":
		return kind{stream: true}, nil
	case "whole":
		return kind{whole: true}, nil
	}
	how, what, _ := strings.Cut(s, ":")
	service, operation, ok := strings.Cut(what, "/")
	if !ok || service == "" || operation == "" || (how != "call" && how != "once") {
		return kind{}, &usageError{detail: fmt.Sprintf("--mix %q: want stream, whole, call:SERVICE/OPERATION or once:SERVICE/OPERATION", s)}
	}
	return kind{service: service, operation: operation, once: how == "once"}, nil
}

// parseWeight parses "name=weight"; the weight may be missing.
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
