package ggsfakeplain

import (
	"sync"
	"time"

	ggscore "greengageslip/core"
)

// Options set a service up.
type Options struct {
	ID ggscore.EndpointID
	// Time is how long a call takes.
	Time time.Duration
}

// Faults are the switches of a service. The zero value means none.
type Faults struct {
	// LoseAnswers is the number of calls that run while the connection is
	// closed in place of an answer.
	LoseAnswers int
	// Slow is added to the time of each call.
	Slow time.Duration
	// Refuse is the number of calls that are answered 503 as not run.
	Refuse int
}

// A Run names what ran.
type Run struct {
	Key     string
	Request string
}

// A Service is the stand-in. It is safe for concurrent use.
type Service struct {
	options Options

	mu     sync.Mutex
	faults Faults
	runs   map[Run]int
	keys   map[string]int
}

// New returns a service.
func New(o Options) *Service {
	return &Service{options: o, runs: map[Run]int{}, keys: map[string]int{}}
}

// Runs returns how often each key and request ran.
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

// time returns how long a call takes now.
func (s *Service) time() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.options.Time + s.faults.Slow
}

// refuses reports whether a call is to be refused.
func (s *Service) refuses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refuse <= 0 {
		return false
	}
	s.faults.Refuse--
	return true
}

// run counts a run. It returns the number of runs of the key, and whether the
// answer is to be lost.
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
