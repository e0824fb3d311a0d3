package ggsfakeplain

import (
	"sync"
	"time"

	ggscore "greengageslip/core"
)

// Options configure a service.
type Options struct {
	ID ggscore.EndpointID
	// CallTime is the duration of a call.
	CallTime time.Duration
}

// Faults are the failures that a service simulates. The zero value means none.
type Faults struct {
	// LoseAnswers is the number of further calls that run although their connection is
	// closed without an answer.
	LoseAnswers int
	// Slow is added to the duration of each call.
	Slow time.Duration
	// Refuse is the number of further calls that are answered with 503 and outcome notRun.
	Refuse int
}

// A Run identifies a run by its idempotency key and its request ID.
type Run struct {
	Key     string
	Request string
}

// A Service is a simulated plain service. It is safe for concurrent use.
type Service struct {
	options Options

	mu     sync.Mutex
	faults Faults
	runs   map[Run]int
	keys   map[string]int
}

// New returns a service without runs.
func New(o Options) *Service {
	return &Service{options: o, runs: map[Run]int{}, keys: map[string]int{}}
}

// Runs returns the number of runs by idempotency key and request ID.
func (s *Service) Runs() map[Run]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[Run]int, len(s.runs))
	for r, n := range s.runs {
		m[r] = n
	}
	return m
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// time returns the current duration of a call.
func (s *Service) time() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.options.CallTime + s.faults.Slow
}

// consumeRefusal reports whether Faults.Refuse applies to a call, and counts it down.
func (s *Service) consumeRefusal() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refuse <= 0 {
		return false
	}
	s.faults.Refuse--
	return true
}

// run counts a run. It returns the number of runs of the idempotency key and whether the
// answer is dropped.
func (s *Service) run(r Run) (count int, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[r]++
	s.keys[r.Key]++
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		lost = true
	}
	return s.keys[r.Key], lost
}
