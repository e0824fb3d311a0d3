package ggsfakeweights

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	ggscore "greengageslip/core"
)

// Options set a store up.
type Options struct {
	// LoadsPerSecond limits the starts of loads; zero means no limit.
	LoadsPerSecond float64
	// AtOnce is the number of loads that may start at once.
	AtOnce int
	// InTransit is the number of loads in transit beyond which all slow down.
	InTransit int
	// LoadTime is how long a load takes up to there.
	LoadTime time.Duration
	// Seed seeds the choice of loads that fail.
	Seed uint64
}

// Faults are the switches of a store. The zero value means none.
type Faults struct {
	// Speed multiplies the store's speed; zero counts as one.
	Speed float64
	// FailureRate is the part of loads that fail at their end.
	FailureRate float64
	// FailNext is the number of next loads that fail.
	FailNext int
}

// Stats count loads.
type Stats struct {
	Loads    uint64
	Failures uint64
	// InTransit is the number of loads now, and MaxInTransit its peak.
	InTransit    int
	MaxInTransit int
}

// A Store is the stand-in. It is safe for concurrent use.
type Store struct {
	options Options
	limiter *rate.Limiter

	mu     sync.Mutex
	faults Faults
	stats  Stats
	random *rand.Rand
}

// DefaultOptions returns the sizes of the brief.
func DefaultOptions() Options {
	return Options{LoadsPerSecond: 4, AtOnce: 3, InTransit: 24, LoadTime: 250 * time.Millisecond}
}

// New returns a store.
func New(o Options) *Store {
	return &Store{
		options: o,
		limiter: rate.NewLimiter(limitOf(o, 1), o.AtOnce),
		random:  rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
}

// Fetch takes as long as the load of an adapter takes.
func (s *Store) Fetch(ctx context.Context, a ggscore.AdapterRef) error {
	s.enter()
	defer s.leave()
	if err := s.limiter.Wait(ctx); err != nil {
		return err
	}
	t := time.NewTimer(s.LoadTime())
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return s.result(a)
}

// LoadTime returns how long a load takes that starts now.
func (s *Store) LoadTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	crowd := 1.0
	if s.options.InTransit > 0 {
		crowd = max(1, float64(s.stats.InTransit)/float64(s.options.InTransit))
	}
	return time.Duration(float64(s.options.LoadTime) * crowd / s.faults.speed())
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.limiter.SetLimit(limitOf(s.options, f.speed()))
}

// Stats returns the counts so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Store) enter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.InTransit++
	s.stats.MaxInTransit = max(s.stats.MaxInTransit, s.stats.InTransit)
}

func (s *Store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.InTransit--
}

func (s *Store) result(a ggscore.AdapterRef) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	fails := s.random.Float64() < s.faults.FailureRate
	if s.faults.FailNext > 0 {
		s.faults.FailNext--
		fails = true
	}
	if fails {
		s.stats.Failures++
		return &LoadFailedError{Adapter: a.String()}
	}
	s.stats.Loads++
	return nil
}

func (f Faults) speed() float64 {
	if f.Speed <= 0 {
		return 1
	}
	return f.Speed
}

func limitOf(o Options, speed float64) rate.Limit {
	if o.LoadsPerSecond <= 0 {
		return rate.Inf
	}
	return rate.Limit(o.LoadsPerSecond * speed)
}
