package ggsfakeplatform

import (
	"encoding/json"
	"sync"
	"time"

	"golang.org/x/time/rate"

	ggscore "greengageslip/core"
)

// Options set a stand-in up.
type Options struct {
	// Now is the clock of leases, lags, delayed writes and rates.
	Now func() time.Time
	// WritesPerSecond and ReadsPerSecond limit calls; zero means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// MaxValueBytes bounds a value.
	MaxValueBytes int
	// VMLag is how long the list of VMs lags behind SetVMs.
	VMLag time.Duration
}

// Faults are the switches of the stand-in. The zero value means none.
type Faults struct {
	// Outage answers each call with 503; waiting watches end so as well.
	Outage bool
	// Hang takes calls and never answers them. They have no effect.
	Hang bool
	// Slow holds each call back before it takes effect.
	Slow time.Duration
	// LoseWriteAnswers is the number of writes that take effect while the
	// connection is closed in place of an answer.
	LoseWriteAnswers int
	// DelayWrites is the number of writes of which the answer is lost at once
	// and that take effect Delay later.
	DelayWrites int
	Delay       time.Duration
	// LosePrefix limits LoseWriteAnswers and DelayWrites to keys below it.
	// Calls on leases have the empty key.
	LosePrefix string
}

// Calls counts calls by what they count as at the service.
type Calls struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
	// Refused counts calls over the rate, Failed those met by a fault.
	Refused uint64
	Failed  uint64
	// Waiting is the number of watches that wait now.
	Waiting int
}

// A Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	options Options

	mu      sync.Mutex
	store   *store
	faults  Faults
	calls   Calls
	reads   *rate.Limiter
	writes  *rate.Limiter
	delayed []delayedWrite
	vms     []vmState
	// changed is closed and replaced whenever something a watch waits for
	// changes.
	changed chan struct{}
}

// A vmState is a list of VMs and when it shows.
type vmState struct {
	vms   []ggscore.VM
	shows time.Time
}

// A delayedWrite takes effect at a later time, if it still can.
type delayedWrite struct {
	due   time.Time
	apply func()
}

// DefaultOptions returns the limits of the brief on the wall clock.
func DefaultOptions() Options {
	return Options{
		Now:             time.Now, //nolint:forbidigo // a stand-in's default clock
		WritesPerSecond: 300,
		ReadsPerSecond:  2000,
		MaxValueBytes:   1 << 20,
	}
}

// New returns an empty stand-in.
func New(o Options) *Platform {
	return &Platform{
		options: o,
		store:   newStore(),
		reads:   limiter(o.ReadsPerSecond),
		writes:  limiter(o.WritesPerSecond),
		changed: make(chan struct{}),
	}
}

// Calls returns the counts of calls so far.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// ReadVMs replaces the list of VMs by the one of a JSON text, as PUT /v1/vms
// takes it. The new list shows after the lag.
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
	p.wake()
}

// SetVMs replaces the list of VMs. The new list shows after the lag.
func (p *Platform) SetVMs(vms []ggscore.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	shows := p.options.Now().Add(p.options.VMLag)
	p.vms = append(p.vms, vmState{vms: append([]ggscore.VM(nil), vms...), shows: shows})
}

// Sweep lets leases lapse and delayed writes take effect that are due by the
// clock, and wakes watches. Calls do so by themselves.
func (p *Platform) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep()
}

// sweep is called with the lock held.
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
	p.store.lapse(now)
	if p.store.revision != before {
		p.wake()
	}
}

// visibleVMs returns the list that shows now. It is called with the lock held.
func (p *Platform) visibleVMs() []ggscore.VM {
	now := p.options.Now()
	for len(p.vms) > 1 && !p.vms[1].shows.After(now) {
		p.vms = p.vms[1:]
	}
	if len(p.vms) == 0 || p.vms[0].shows.After(now) {
		return nil
	}
	return p.vms[0].vms
}

// wake is called with the lock held.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// burstShare is the part of a second's rate that may come at once.
const burstShare = 4

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/burstShare)))
}
