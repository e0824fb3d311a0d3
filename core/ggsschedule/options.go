package ggsschedule

import "time"

// A Policy selects how requests are routed and adapters are evicted.
type Policy int

// The policies. All but PolicyCost are baselines for measurements: they bind a request
// to a runner on arrival and evict the least recently used adapter.
const (
	// PolicyCost weighs load stalls, batch sizes and the cost of reloading an evicted
	// adapter.
	PolicyCost Policy = iota
	// PolicyRandom binds a request to a random runner.
	PolicyRandom
	// PolicyLeastLoaded binds a request to the runner with the fewest running and bound
	// requests.
	PolicyLeastLoaded
	// PolicyRendezvousLRU binds a request to a runner by rendezvous hashing of its adapter.
	PolicyRendezvousLRU
)

// String returns the policy's name as printed in measurement tables.
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

// Options configure a Scheduler. Zero values select the defaults.
type Options struct {
	Policy Policy
	// StallWeight trades short load stalls (1) against full batches (0). SetPolicy
	// overrides it. The default is 0.5.
	StallWeight float64
	// LoadTime is how long a load takes at full speed. The default is 250 ms.
	LoadTime time.Duration
	// Seed seeds the jitter of retries and the random baseline.
	Seed uint64
	// MaxQueued bounds the queued requests of one service. The default is 4096.
	MaxQueued int
	// MaxAdapters is the number of adapter entries of one service beyond which idle entries
	// are removed. The default is 32,768.
	MaxAdapters int
	// ReportLag is how much older than RunnerReport.At a report's contents may be.
	ReportLag time.Duration
	// SettleAfter is how long an order that ended with EndUnknown may still take effect.
	// The default is 1 s.
	SettleAfter time.Duration
}

// withDefaults returns o with zero values replaced by the defaults.
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
