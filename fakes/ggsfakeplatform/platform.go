package ggsfakeplatform

import (
	"encoding/json"
	"sync"
	"time"

	"golang.org/x/time/rate"

	ggscore "greengageslip/core"
)

// Options configure a Platform.
type Options struct {
	// Now is the clock of leases, lags, delayed writes and rates.
	Now func() time.Time
	// WritesPerSecond and ReadsPerSecond limit the rate of calls; zero means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// MaxValueBytes is the maximum size of a value.
	MaxValueBytes int
	// VMLag is the time by which the list of VMs lags behind SetVMs.
	VMLag time.Duration
}

// Faults are the failures that a Platform simulates. The zero value means none.
type Faults struct {
	// Outage answers each call with 503, waiting watches included.
	Outage bool
	// Hang accepts calls and never answers them. The calls have no effect.
	Hang bool
	// Slow is the time by which each call is delayed before it takes effect.
	Slow time.Duration
	// LoseWriteAnswers is the number of further writes that take effect although their
	// connection is closed without an answer.
	LoseWriteAnswers int
	// DelayWrites is the number of further writes whose connection is closed at once
	// without an answer and that take effect Delay later.
	DelayWrites int
	Delay       time.Duration
	// LosePrefix limits LoseWriteAnswers and DelayWrites to keys with this prefix. Calls
	// on leases have the empty key.
	LosePrefix string
}

// Calls are the counters of calls by kind.
type Calls struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
	// Refused counts calls over the rate limit. Failed counts calls that are hung, refused
	// or dropped by a fault; Slow doesn't count.
	Refused uint64
	Failed  uint64
	// Waiting is the current number of waiting watches.
	Waiting int
}

// A Platform is a simulated platform. It is safe for concurrent use.
type Platform struct {
	options Options

	mu      sync.Mutex
	store   *store
	faults  Faults
	calls   Calls
	reads   *rate.Limiter
	writes  *rate.Limiter
	delayed []delayedWrite
	vms     []vmList
	oddVMs  []string
	// changed is closed and replaced whenever the store or the faults change.
	changed chan struct{}
}

// A vmList is a list of VMs and the time from which calls return it.
type vmList struct {
	vms       []ggscore.VM
	visibleAt time.Time
}

// A delayedWrite is a write that is applied at a later time. It has no effect if it
// conflicts by then.
type delayedWrite struct {
	due   time.Time
	apply func()
}

// DefaultOptions returns the limits that the project's specification gives for the platform,
// on the wall clock.
func DefaultOptions() Options {
	return Options{
		Now:             time.Now, //nolint:forbidigo // default clock of a test double
		WritesPerSecond: 300,
		ReadsPerSecond:  2000,
		MaxValueBytes:   1 << 20,
	}
}

// New returns a platform without entries, leases and VMs.
func New(o Options) *Platform {
	return &Platform{
		options: o,
		store:   newStore(),
		reads:   limiter(o.ReadsPerSecond),
		writes:  limiter(o.WritesPerSecond),
		changed: make(chan struct{}),
	}
}

// Calls returns how many calls the platform has received so far, by kind and outcome.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// ReadVMs replaces the list of VMs by that in a JSON text of the form that PUT /v1/vms
// accepts. Calls return the new list after VMLag.
func (p *Platform) ReadVMs(text []byte) error {
	var w vmsWire
	if err := json.Unmarshal(text, &w); err != nil {
		return &badCallError{detail: err.Error()}
	}
	vms := make([]ggscore.VM, 0, len(w.VMs))
	for _, vw := range w.VMs {
		v, err := vmOf(vw)
		if err != nil {
			return err
		}
		vms = append(vms, v)
	}
	p.SetVMs(vms)
	return nil
}

// SetOddVMs sets entries of the list of VMs, as JSON, that another writer has left.
func (p *Platform) SetOddVMs(entries ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.oddVMs = entries
}

// Revision returns the revision of the last write.
func (p *Platform) Revision() ggscore.StoreRevision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep()
	return ggscore.StoreRevision(p.store.revision)
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notifyWatches()
}

// SetVMs replaces the list of VMs. Calls return the new list after VMLag.
func (p *Platform) SetVMs(vms []ggscore.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	visibleAt := p.options.Now().Add(p.options.VMLag)
	p.vms = append(p.vms, vmList{vms: append([]ggscore.VM(nil), vms...), visibleAt: visibleAt})
}

// Sweep ends expired leases, applies delayed writes that are due and notifies watches. Most
// calls sweep first; tests call Sweep when no other call arrives.
func (p *Platform) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep()
}

// sweep implements Sweep. It is called with the lock held.
func (p *Platform) sweep() {
	now := p.options.Now()
	before := p.store.revision
	kept := p.delayed[:0]
	for _, d := range p.delayed {
		if d.due.After(now) {
			kept = append(kept, d)
			continue
		}
		d.apply()
	}
	p.delayed = kept
	p.store.expireLeases(now)
	if p.store.revision != before {
		p.notifyWatches()
	}
}

// visibleVMs returns the list of VMs as calls return it now. It is called with the lock held.
func (p *Platform) visibleVMs() []ggscore.VM {
	now := p.options.Now()
	for len(p.vms) > 1 && !p.vms[1].visibleAt.After(now) {
		p.vms = p.vms[1:]
	}
	if len(p.vms) == 0 || p.vms[0].visibleAt.After(now) {
		return nil
	}
	return p.vms[0].vms
}

// notifyWatches makes waiting watches poll the store. It is called with the lock held.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// burstDivisor divides a rate limit in calls per second: the quotient, the calls of a quarter of
// a second, may be made in one burst.
const burstDivisor = 4

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/burstDivisor)))
}
