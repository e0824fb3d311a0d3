package ggsshares

import (
	"time"

	ggscore "greengageslip/core"
)

// The defaults of Options.
const (
	defaultWorkers     = 4
	defaultTickEvery   = 50 * time.Millisecond
	defaultCallTimeout = 2 * time.Second
)

// Options set a Shares up. All are to be set.
type Options struct {
	Self ggscore.VMID
	// Seed drives the jitter of attempts to borrow.
	Seed uint64
	// Workers bounds the calls of the platform's service at once.
	Workers int
	// TickEvery is how often it is looked for what is due.
	TickEvery   time.Duration
	CallTimeout time.Duration
}

// DefaultOptions returns the usual options of a VM.
func DefaultOptions(self ggscore.VMID) Options {
	return Options{Self: self, Workers: defaultWorkers, TickEvery: defaultTickEvery, CallTimeout: defaultCallTimeout}
}
