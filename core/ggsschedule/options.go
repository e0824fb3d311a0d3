package ggsschedule

import "time"

// A Policy chooses how requests are routed and adapters are evicted.
type Policy int

// The policies. All but PolicyCost are baselines for measurements: they bind a
// request to a runner when it arrives, and evict what was used least recently.
const (
	// PolicyCost weighs stalls, batches and the cost of coming back.
	PolicyCost Policy = iota
	// PolicyRandom binds a request to a random runner.
	PolicyRandom
	// PolicyLeastLoaded binds a request to the runner with the least work.
	PolicyLeastLoaded
	// PolicyRendezvousLRU binds a request by rendezvous hashing of its adapter.
	PolicyRendezvousLRU
)

// String returns the policy's name in tables.
func (p Policy) String() string {
	switch p {
	case PolicyCost:
		return "cost"
	case PolicyRandom:
		return "random"
	case PolicyLeastLoaded:
		return "leastLoaded"
	case PolicyRendezvousLRU:
		return "rendezvousLRU"
	}
	return "unknown"
}

// The defaults of Options.
const (
	defaultLoadTime    = 250 * time.Millisecond
	defaultMaxQueued   = 4096
	defaultMaxAdapters = 32768
	defaultSettleAfter = time.Second
	defaultStallWeight = 0.5
)

// Options set a Scheduler up. Zero values stand for the defaults.
type Options struct {
	Policy Policy
	// StallWeight moves the policy between short load stalls (1) and full
	// batches (0). SetPolicy overrides it; zero stands for 0.5.
	StallWeight float64
	// LoadTime is how long a load takes at full speed; zero stands for 250 ms.
	LoadTime time.Duration
	// Seed drives the jitter of retries and the random baseline.
	Seed uint64
	// MaxQueued bounds the waiting requests of one service; zero stands for
	// 4096.
	MaxQueued int
	// MaxAdapters is the number of adapters of one service beyond which idle
	// ones are forgotten; zero stands for 32,768.
	MaxAdapters int
	// ReportLag is how much older than its At a report's contents may be.
	ReportLag time.Duration
	// SettleAfter is how long an order whose end is unknown may still take
	// effect; zero stands for 1 s.
	SettleAfter time.Duration
}

// withDefaults returns o with its zero values replaced.
func (o Options) withDefaults() Options {
	if o.StallWeight == 0 {
		o.StallWeight = defaultStallWeight
	}
	if o.LoadTime == 0 {
		o.LoadTime = defaultLoadTime
	}
	if o.MaxQueued == 0 {
		o.MaxQueued = defaultMaxQueued
	}
	if o.MaxAdapters == 0 {
		o.MaxAdapters = defaultMaxAdapters
	}
	if o.SettleAfter == 0 {
		o.SettleAfter = defaultSettleAfter
	}
	return o
}
