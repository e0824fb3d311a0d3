// Package ggsvms follows the platform's lagging list of VMs.
//
// # Usage
//
//	f := ggsvms.New(lister, ggsvms.Options{Interval: time.Second}, logger)
//	f.Subscribe(func(vms []ggscore.VM) { … })
//	err := f.Run(ctx)
//
// While the platform is away the last list stays in force.
package ggsvms

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
)

const listTimeout = 2 * time.Second

// Options sets a Follower's times.
type Options struct {
	// Interval is the mean time between two readings.
	Interval time.Duration
}

// A Follower keeps the latest list. Its lock is a leaf.
type Follower struct {
	lister  ggscore.VMLister
	options Options
	log     log.Logger

	mu     sync.Mutex
	vms    []ggscore.VM
	known  bool
	away   bool
	notify []func([]ggscore.VM)
}

// New returns a Follower without a list.
func New(l ggscore.VMLister, o Options, k log.Logger) *Follower {
	return &Follower{lister: l, options: o, log: k}
}

// List returns the latest list; known is false until there was one.
func (f *Follower) List() (vms []ggscore.VM, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms, f.known
}

// Run reads the list again and again until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for {
		f.read(ctx)
		// The interval is spread so that processes that started together
		// don't read together.
		t := time.NewTimer(f.options.Interval/2 + rand.N(f.options.Interval))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		}
	}
}

// Subscribe calls back with each list that differs from the one before. It is
// called before Run.
func (f *Follower) Subscribe(notify func([]ggscore.VM)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notify = append(f.notify, notify)
}

func (f *Follower) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := f.lister.ListVMs(ctx)
	f.mu.Lock()
	if was := f.away; was != (err != nil) && ctx.Err() == nil {
		f.away = err != nil
		_ = level.Info(f.log).Log("event", "vmListChanged", "away", f.away)
	}
	same := err != nil || (f.known && slices.Equal(vms, f.vms))
	if !same {
		f.vms, f.known = vms, true
	}
	notify := f.notify
	f.mu.Unlock()
	if same {
		return
	}
	for _, n := range notify {
		n(vms)
	}
}
