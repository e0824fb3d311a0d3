package ggsfakeweights

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	ggscore "greengageslip/core"
)

// Options configure a store.
type Options struct {
	// LoadsPerSecond is the rate at which loads start; zero means no limit.
	LoadsPerSecond float64
	// Burst is the number of loads that may start at once before LoadsPerSecond limits them.
	Burst int
	// LoadsAtFullSpeed is the number of loads in transit above which all loads slow down. With
	// zero, loads never slow down.
	LoadsAtFullSpeed int
	// LoadTime is the duration of a load while at most LoadsAtFullSpeed loads are in transit.
	LoadTime time.Duration
	// Seed seeds the choice of failing loads.
	Seed uint64
}

// Faults are the failures that a store simulates. The zero value means none.
type Faults struct {
	// Speed multiplies the rate of loads and divides the load time; zero means one.
	Speed float64
	// FailureRate is the fraction of loads that fail at their end.
	FailureRate float64
	// FailNext is the number of further loads that fail.
	FailNext int
}

// Stats are the counters of loads. Loads counts successful loads, Failures failed ones.
type Stats struct {
	Loads    uint64
	Failures uint64
	// InTransit is the current number of loads in transit, and MaxInTransit its maximum.
	InTransit    int
	MaxInTransit int
}

// A Store is a simulated weight store. It is safe for concurrent use.
type Store struct {
	options Options
	limiter *rate.Limiter

	mu     sync.Mutex
	faults Faults
	stats  Stats
	random *rand.Rand
}

// DefaultOptions returns the limits that the project's specification gives for the weight
// store.
func DefaultOptions() Options {
	return Options{LoadsPerSecond: 4, Burst: 3, LoadsAtFullSpeed: 24, LoadTime: 250 * time.Millisecond}
}

// New returns a store.
func New(o Options) *Store {
	return &Store{
		options: o,
		limiter: rate.NewLimiter(limitOf(o, 1), o.Burst),
		random:  rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
}

// Fetch simulates the load of an adapter and returns when the load is complete. It returns a
// LoadFailedError if a fault fails the load.
func (s *Store) Fetch(ctx context.Context, a ggscore.AdapterRef) error {
	s.beginTransit()
	defer s.endTransit()
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
	return s.finishLoad(a)
}

// LoadTime returns the duration of a load that starts now.
func (s *Store) LoadTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	slowdown := 1.0
	if s.options.LoadsAtFullSpeed > 0 {
		slowdown = max(1, float64(s.stats.InTransit)/float64(s.options.LoadsAtFullSpeed))
	}
	return time.Duration(float64(s.options.LoadTime) * slowdown / s.faults.speed())
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.limiter.SetLimit(limitOf(s.options, f.speed()))
}

// Stats returns the counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Store) beginTransit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.InTransit++
	s.stats.MaxInTransit = max(s.stats.MaxInTransit, s.stats.InTransit)
}

func (s *Store) endTransit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.InTransit--
}

func (s *Store) finishLoad(a ggscore.AdapterRef) error {
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
